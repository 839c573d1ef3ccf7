#pragma once

#include <LibNet/Stream.h>

namespace Net {

class FrameChannel;

class FrameHandler {
public:
    virtual ~FrameHandler() = default;
    virtual void onOpen(FrameChannel&) { }
    virtual void onFrame(FrameChannel&, std::string_view payload) = 0;
    virtual void onClosed(FrameChannel&) = 0;
};

/// Messages with a length before each, over one TCP connection between two hosts of the product.
///
/// Both sides send an empty frame at an interval, so that a connection that went silent without a reset is noticed.
class FrameChannel final : private StreamHandler, public Reclaimable {
public:
    FrameChannel(EventLoop&, FrameHandler&, int fd);
    FrameChannel(EventLoop&, FrameHandler&, Core::Endpoint const&);
    ~FrameChannel() override;

    void send(std::string_view payload);
    /// Bytes that the peer has not taken. A sender that sees many of them gives up on the channel.
    std::size_t pendingBytes() const { return stream_.pendingBytes(); }
    bool isOpen() const { return stream_.isOpen(); }
    /// Closes without an event.
    void close();

    /// Longer frames end the channel.
    static constexpr std::size_t maxFrameBytes = 64UL * 1024 * 1024;

private:
    void onConnected(Stream&) override;
    void onData(Stream&) override;
    void onEnd(Stream&, StreamEnd) override;
    void startKeepAlive();
    void keepAlive();
    void releasePartial();
    void end();

    EventLoop& loop_;
    FrameHandler& handler_;
    Stream stream_;
    std::string partial_;
    Core::TimePoint lastHeard_;
    EventLoop::TimerId timer_;
};

} // namespace Net
