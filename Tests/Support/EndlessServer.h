#pragma once

#include "Loopback.h"

#include <LibNet/Stream.h>

#include <memory>
#include <string>

namespace Test {

/// A backend server that answers each request with a beginning and then the same bytes again and again, until the
/// caller closes the connection.
class EndlessServer final : private Net::StreamHandler {
public:
    EndlessServer(Net::EventLoop& loop, std::string beginning, std::string repeated)
        : loop_(loop)
        , beginning_(std::move(beginning))
        , repeated_(std::move(repeated))
        , listener_(Net::Listener::open(loop, address, [this](int fd) {
            Net::StreamHandler& handler = *this;
            streams_.push_back(std::make_unique<Net::Stream>(loop_, handler, fd, Net::StreamSettings {}));
        }))
    {
        while (!repeated_.empty() && repeated_.size() < pieceBytes)
            repeated_ += repeated_;
        sendMore();
    }
    ~EndlessServer() override { loop_.cancel(timer_); }
    EndlessServer(EndlessServer const&) = delete;
    EndlessServer& operator=(EndlessServer const&) = delete;

    Core::Endpoint const address { "127.0.0.1", freePort() };
    /// Requests that began, and connections that callers closed.
    std::size_t begun { 0 };
    std::size_t closed { 0 };

private:
    void onData(Net::Stream& stream) override
    {
        auto const& request = stream.input().view();
        auto const headEnd = request.find("\r\n\r\n");
        if (headEnd == std::string_view::npos)
            return;
        auto const id = idOf(request.substr(0, headEnd));
        stream.input().consume(request.size());
        ++begun;
        auto text = beginning_;
        if (auto const at = text.find("{id}"); at != std::string::npos)
            text.replace(at, 4, id);
        stream.write(text);
        endless_.push_back(&stream);
    }

    void onEnd(Net::Stream& stream, Net::StreamEnd) override
    {
        ++closed;
        std::erase(endless_, &stream);
    }

    static std::string idOf(std::string_view head)
    {
        constexpr std::string_view name = "\r\nAttempt: ";
        auto const at = head.find(name);
        return at == std::string_view::npos
            ? std::string()
            : std::string(head.substr(at + name.size(), head.find("\r\n", at + 2) - at - name.size()));
    }

    void sendMore()
    {
        timer_ = loop_.after(std::chrono::milliseconds(1), [this] { sendMore(); });
        for (auto* const stream : endless_) {
            if (stream->pendingBytes() < pieceBytes)
                stream->write(repeated_);
        }
    }

    static constexpr std::size_t pieceBytes = 64UL * 1024;

    Net::EventLoop& loop_;
    std::string beginning_;
    std::string repeated_;
    std::vector<std::unique_ptr<Net::Stream>> streams_;
    std::vector<Net::Stream*> endless_;
    Net::EventLoop::TimerId timer_;
    std::unique_ptr<Net::Listener> listener_;
};

} // namespace Test
