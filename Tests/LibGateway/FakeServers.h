#pragma once

#include "../Support/Loopback.h"

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
    Gateway::RequestTerms readRequest(Proxy::MessageHead const&) const override;
    Gateway::AnswerTerms readAnswer(Proxy::MessageHead const&) const override;
    std::vector<Proxy::HeaderField> addressTo(Core::ServerName const&, Core::Duration left) const override;
    bool isReplaced(std::string_view fieldName) const override;
};

/// A backend server that answers each connection's bytes with a script.
class FakeServer {
public:
    /// What to send for the request with these bytes, and whether to close afterwards, reset, or stay silent.
    struct Reaction {
        std::string bytes;
        enum class Then : std::uint8_t { Keep, Close, Reset } then { Then::Keep };
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

} // namespace TestGateway
