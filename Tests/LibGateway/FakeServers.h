#pragma once

#include "../Support/Loopback.h"

#include <LibFleet/View.h>
#include <LibGateway/RequestCodec.h>
#include <LibNet/HttpServer.h>

#include <functional>
#include <set>

/// Loopback stand-ins for callers and backend servers. All run on the loop of the test.
namespace TestGateway {

using namespace Test;

/// Header names of the tests' own.
class TestCodec final : public Gateway::RequestCodec {
public:
    Gateway::RequestMetadata readRequest(Proxy::MessageHead const&) const override;
    Gateway::AnswerMetadata readAnswer(Proxy::MessageHead const&) const override;
    std::vector<Proxy::HeaderField> headerFieldsFor(Core::ServerName const&, Core::Duration left) const override;
    bool replacesField(std::string_view fieldName) const override;
};

/// A backend server that answers each connection's bytes with a script.
class FakeServer {
public:
    /// What to send for the request with these bytes, and whether to close afterwards, reset, or stay silent.
    struct Reaction {
        std::string bytes;
        enum class Then : std::uint8_t { Keep, Close, Reset } then { Then::Keep };
        Core::Duration after {};
    };
    using Script = std::function<Reaction(std::string const& request)>;

    FakeServer(Net::EventLoop&, Script);
    ~FakeServer();

    Core::Endpoint address() const { return { "127.0.0.1", port_ }; }
    std::vector<std::string> const& requests() const { return requests_; }
    std::size_t closedByPeer() const { return closedByPeer_; }
    void setScript(Script script) { script_ = std::move(script); }
    /// From now on new connections are reset as soon as they are accepted, as if there were too many.
    void turnConnectionsAway() { turnsAway_ = true; }
    std::size_t turnedAway() const { return turnedAway_; }

private:
    class Connection;

    void accept(int fd);

    Net::EventLoop& loop_;
    Script script_;
    std::uint16_t port_ { 0 };
    std::vector<std::string> requests_;
    std::size_t closedByPeer_ { 0 };
    bool turnsAway_ { false };
    std::size_t turnedAway_ { 0 };
    std::vector<std::unique_ptr<Connection>> connections_;
    std::unique_ptr<Net::Listener> listener_;
};

/// The value of a header of raw bytes.
std::string headerOf(std::string const& bytes, std::string const& name);
/// An answer that echoes the attempt's id.
std::string answerTo(std::string const& request, std::string const& statusLine, std::string const& body,
    std::string const& extraFields = {});

/// A caller's connection that collects what it receives.
class Caller final : private Net::StreamHandler {
public:
    Caller(Net::EventLoop& loop, Core::Endpoint const& address)
        : loop_(loop)
        , stream_(new Net::Stream(loop, *this, address, Net::StreamSettings {}))
    {
    }

    void send(std::string const& bytes) { stream_->write(bytes); }
    void close() { stream_->close(); }
    std::string const& received() const { return received_; }
    bool isEnded() const { return isEnded_; }
    bool waitForAnswer()
    {
        return runUntil(loop_, [this] { return isEnded_ || received_.find("\r\n\r\n") != std::string::npos; });
    }
    std::string status() const { return received_.size() < 12 ? std::string() : received_.substr(9, 3); }
    void forget() { received_.clear(); }

private:
    void onData(Net::Stream& stream) override
    {
        received_.append(stream.input().view());
        stream.input().consume(stream.input().view().size());
    }
    void onEnd(Net::Stream&, Net::StreamEnd) override { isEnded_ = true; }

    Net::EventLoop& loop_;
    std::unique_ptr<Net::Stream> stream_;
    std::string received_;
    bool isEnded_ { false };
};

/// Items of a view and requests of callers, with the usual values where a test does not care.
Fleet::RouteItem route(
    std::string const& name, std::string const& prefix, Fleet::RequestKind kind, Core::PoolName const& pool);
Fleet::PoolItem pool(Core::PoolName const& name, bool isKeyDivided);
Fleet::ServerRow server(Fleet::ServerNumber number, FakeServer const& fake, Core::PoolName const& pool);
std::string request(std::string const& path, std::string const& id, std::string const& body = {}, int leftMs = 4000);
FakeServer::Script answering(std::string const& statusLine, std::string const& body, std::string const& fields = {});

} // namespace TestGateway
