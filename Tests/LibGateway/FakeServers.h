#pragma once

#include "../Support/Loopback.h"

#include <LibFleet/View.h>
#include <LibGateway/RequestCodec.h>
#include <LibNet/HttpServer.h>

#include <functional>
#include <set>

/// Fake callers and backend servers on loopback. All run on the event loop of the test.
namespace TestGateway {

using namespace Test;

/// A codec with header field names that only the tests use.
class TestCodec final : public Gateway::RequestCodec {
public:
    Gateway::RequestMetadata readRequest(Proxy::MessageHead const&) const override;
    Gateway::AnswerMetadata readAnswer(Proxy::MessageHead const&) const override;
    std::vector<Proxy::HeaderField> headerFieldsFor(
        Core::ServerName const&, Core::Duration left, std::optional<Core::WorkspaceName> const&) const override;
    bool replacesField(std::string_view fieldName, bool hasWorkspaces) const override;
    Proxy::HeaderField challengeField() const override;
};

/// A backend server that answers each request as its script says.
class FakeServer {
public:
    /// What to send for a request, whether to keep, close or reset the connection afterwards, and the delay before.
    /// Empty bytes with `Keep` mean that the server never answers.
    struct Reaction {
        std::string bytes;
        enum class Then : std::uint8_t { Keep, Close, Reset } then { Then::Keep };
        Core::Duration after {};
        /// Bytes to send immediately, before the delay.
        std::string first {};
    };
    using Script = std::function<Reaction(std::string const& request)>;

    FakeServer(Net::EventLoop&, Script);
    ~FakeServer();

    Core::Endpoint address() const { return { "127.0.0.1", port_ }; }
    std::vector<std::string> const& requests() const { return requests_; }
    /// The serial number of the connection that carried the latest request.
    std::size_t latestConnection() const { return latestConnection_; }
    std::size_t closedByPeer() const { return closedByPeer_; }
    void setScript(Script script) { script_ = std::move(script); }
    /// Resets new connections from now on as soon as they are accepted, as if the server had too many.
    void resetNewConnections() { resetsNewConnections_ = true; }
    std::size_t resetConnectionCount() const { return resetConnectionCount_; }

private:
    class Connection;

    void accept(int fd);

    Net::EventLoop& loop_;
    Script script_;
    std::uint16_t port_ { 0 };
    std::vector<std::string> requests_;
    std::size_t latestConnection_ { 0 };
    std::size_t closedByPeer_ { 0 };
    bool resetsNewConnections_ { false };
    std::size_t resetConnectionCount_ { 0 };
    std::vector<std::unique_ptr<Connection>> connections_;
    std::unique_ptr<Net::Listener> listener_;
};

/// The value of a header field in a raw message; empty if it is missing.
std::string headerOf(std::string const& bytes, std::string const& name);
/// An answer that echoes the attempt ID of the request.
std::string answerTo(std::string const& request, std::string const& statusLine, std::string const& body,
    std::string const& extraFields = {});

/// A caller's connection that collects the received bytes.
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
    void clearReceived() { received_.clear(); }

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

/// View items and caller requests with default values for all properties that are not given.
Fleet::RouteItem route(
    std::string const& name, std::string const& prefix, Fleet::RequestKind kind, Core::PoolName const& pool);
Fleet::PoolItem pool(Core::PoolName const& name, bool isKeyDivided);
Fleet::ServerRow server(Fleet::ServerNumber number, FakeServer const& fake, Core::PoolName const& pool);
std::string request(std::string const& path, std::string const& id, std::string const& body = {}, int leftMs = 4000);
FakeServer::Script answering(std::string const& statusLine, std::string const& body, std::string const& fields = {});

} // namespace TestGateway
