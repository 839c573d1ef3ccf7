#include "../Support/Loopback.h"

#include <LibNet/FrameChannel.h>
#include <LibNet/HttpServer.h>

#include <boost/test/unit_test.hpp>
#include <unistd.h>

using namespace Test;

namespace {

/// Collects what arrives on a connection.
class Peer final : public Net::StreamHandler {
public:
    Peer(Net::EventLoop& loop, Core::Endpoint const& address)
        : stream(std::make_unique<Net::Stream>(loop, *this, address, Net::StreamSettings {}))
    {
    }

    void onData(Net::Stream& from) override
    {
        received.append(from.input().view());
        from.input().consume(from.input().view().size());
    }
    void onEnd(Net::Stream&, Net::StreamEnd reason) override { end = reason; }

    std::unique_ptr<Net::Stream> stream;
    std::string received;
    std::optional<Net::StreamEnd> end;
};

/// Answers each request with its method, path and body.
struct Echo final : Net::HttpHandler {
    void onRequest(Net::ExchangeId id, Net::HttpRequest request) override
    {
        ++requests;
        last = id;
        if (isSilent)
            return;
        Net::HttpResponse response;
        response.body = body.empty() ? request.head.method + request.head.target + request.body : body;
        server->respond(id, response);
    }
    void onAbandoned(Net::ExchangeId) override { ++abandoned; }
    void onAnswerCutOff(Net::ExchangeId, std::size_t) override { ++cutOff; }

    Net::HttpServer* server { nullptr };
    bool isSilent { false };
    /// Of every answer, unless empty.
    std::string body;
    int requests { 0 };
    int abandoned { 0 };
    int cutOff { 0 };
    Net::ExchangeId last;
};

/// A caller behind a slow link: nothing is read until `readAnswer`.
class SlowCaller {
public:
    explicit SlowCaller(Core::Endpoint const& server)
        : fd_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        constexpr int bufferBytes = 4096;
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof bufferBytes);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(server.port);
        BOOST_REQUIRE(::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
        constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        BOOST_REQUIRE(::send(fd_, request.data(), request.size(), 0) > 0);
    }
    ~SlowCaller() { ::close(fd_); }
    SlowCaller(SlowCaller const&) = delete;
    SlowCaller& operator=(SlowCaller const&) = delete;

    /// Whether a head and a body of this size arrive before the connection ends.
    bool readAnswer(Net::EventLoop& loop, std::size_t bodyBytes)
    {
        std::vector<char> buffer(1UL << 20);
        std::string received;
        auto const isComplete = [&] {
            auto const headEnd = received.find("\r\n\r\n");
            return headEnd != std::string::npos && received.size() == headEnd + 4 + bodyBytes;
        };
        bool isEnded = false;
        auto const receive = [&] {
            ssize_t count = 0;
            while ((count = ::recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0)
                received.append(buffer.data(), static_cast<std::size_t>(count));
            isEnded = count == 0;
            return isEnded || isComplete();
        };
        return runUntil(loop, receive, 10s) && isComplete();
    }

private:
    int fd_;
};

struct Fixture {
    Fixture()
        : address { "127.0.0.1", freePort() }
        , server(Net::HttpServer::open(loop, address, echo))
    {
        BOOST_REQUIRE(server != nullptr);
        echo.server = server.get();
    }

    bool receives(Peer& peer, std::string const& text)
    {
        return runUntil(loop, [&] { return peer.received.find(text) != std::string::npos; });
    }

    Net::EventLoop loop;
    Echo echo;
    Core::Endpoint address;
    std::unique_ptr<Net::HttpServer> server;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Server, Fixture)

BOOST_AUTO_TEST_CASE(RequestsOfOneConnectionAreAnsweredInOrder)
{
    Peer peer(loop, address);
    peer.stream->write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxyGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(receives(peer, "GET/b"));
    BOOST_TEST(peer.received.find("POST/axy") < peer.received.find("GET/b"));
}

BOOST_AUTO_TEST_CASE(BytesThatAreNoRequestAreRejected)
{
    Peer peer(loop, address);
    peer.stream->write("nonsense\r\n\r\n");
    BOOST_TEST(receives(peer, "HTTP/1.1 400"));
    BOOST_TEST(echo.requests == 0);
}

BOOST_AUTO_TEST_CASE(AmbiguousFramingIsRejected)
{
    Peer peer(loop, address);
    peer.stream->write(
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled "
        "HTTP/1.1\r\n\r\n");
    BOOST_TEST(receives(peer, "HTTP/1.1 400"));
    BOOST_TEST(echo.requests == 0);
}

BOOST_AUTO_TEST_CASE(LimitsOnHeadAndBodyHold)
{
    Net::HttpLimits limits;
    limits.maxHeadBytes = 200;
    limits.maxBodyBytes = 10;
    server->setLimits(limits);
    Peer longHead(loop, address);
    longHead.stream->write("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'x') + "\r\n\r\n");
    BOOST_TEST(receives(longHead, "HTTP/1.1 431"));
    Peer longBody(loop, address);
    longBody.stream->write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
    BOOST_TEST(receives(longBody, "HTTP/1.1 413"));
    Peer longChunks(loop, address);
    longChunks.stream->write(
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n");
    BOOST_TEST(receives(longChunks, "HTTP/1.1 413"));
    BOOST_TEST(echo.requests == 0);
}

BOOST_AUTO_TEST_CASE(AHeadThatDoesNotEndTimesOut)
{
    Net::HttpLimits limits;
    limits.headTimeout = 50ms;
    server->setLimits(limits);
    Peer peer(loop, address);
    peer.stream->write("GET / HTTP/1.1\r\n");
    BOOST_TEST(receives(peer, "HTTP/1.1 408"));
}

BOOST_AUTO_TEST_CASE(IdleConnectionsAreClosed)
{
    Net::HttpLimits limits;
    limits.idleTimeout = 50ms;
    server->setLimits(limits);
    Peer peer(loop, address);
    BOOST_TEST(runUntil(loop, [&] { return peer.end.has_value(); }));
}

BOOST_AUTO_TEST_CASE(ACallerThatLeavesIsNoticed)
{
    echo.isSilent = true;
    Peer peer(loop, address);
    peer.stream->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_REQUIRE(runUntil(loop, [&] { return echo.requests == 1; }));
    peer.stream->close();
    BOOST_TEST(runUntil(loop, [&] { return echo.abandoned == 1; }));
    // An answer that comes too late goes nowhere.
    server->respond(echo.last, {});
    BOOST_TEST(server->connectionCount() == 0);
}

BOOST_AUTO_TEST_CASE(ADrainingServerSaysThatItCloses)
{
    server->startDraining();
    Peer peer(loop, address);
    peer.stream->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(receives(peer, "Connection: close"));
}

BOOST_AUTO_TEST_CASE(AnAnswerThatTheCallerReadsSlowlyIsNotCutOffByTheClose)
{
    // More than the kernel takes.
    echo.body.assign(32UL << 20, 'a');
    server->startDraining();
    SlowCaller caller(address);
    BOOST_REQUIRE(runUntil(loop, [&] { return echo.requests == 1; }));
    runFor(loop, 1500ms);
    BOOST_TEST(caller.readAnswer(loop, echo.body.size()));
    BOOST_TEST(echo.cutOff == 0);
}

// The kernel's timeout for unacknowledged bytes also ran while the caller's receive window was closed. A caller that
// paused for longer, or that read slowly on a busy machine, lost the rest of its answer.
BOOST_AUTO_TEST_CASE(ACallerThatReadsNothingForSomeSecondsGetsItsWholeAnswer)
{
    echo.body.assign(32UL << 20, 'a');
    SlowCaller caller(address);
    BOOST_REQUIRE(runUntil(loop, [&] { return echo.requests == 1; }));
    runFor(loop, 5s);
    BOOST_TEST(caller.readAnswer(loop, echo.body.size()));
    BOOST_TEST(echo.cutOff == 0);
}

BOOST_AUTO_TEST_CASE(AConnectionWhoseAnswerIsStillBeingSentIsNotIdle)
{
    echo.body.assign(32UL << 20, 'a');
    SlowCaller caller(address);
    BOOST_REQUIRE(runUntil(loop, [&] { return echo.requests == 1; }));
    server->closeIdle();
    BOOST_TEST(caller.readAnswer(loop, echo.body.size()));
    server->closeIdle();
    BOOST_TEST(server->connectionCount() == 0);
    BOOST_TEST(echo.cutOff == 0);
}

// A connection that is kept open: the idle time began when the answer was handed over, not when it was sent.
BOOST_AUTO_TEST_CASE(AnAnswerThatIsStillBeingSentIsNotCutOffByTheIdleTimeout)
{
    echo.body.assign(32UL << 20, 'a');
    Net::HttpLimits limits;
    limits.idleTimeout = 300ms;
    server->setLimits(limits);
    SlowCaller caller(address);
    BOOST_REQUIRE(runUntil(loop, [&] { return echo.requests == 1; }));
    runFor(loop, 800ms);
    BOOST_TEST(caller.readAnswer(loop, echo.body.size()));
    BOOST_TEST(echo.cutOff == 0);
}

// The idle time ran from the end of the head to the end of the body, whether or not the body went on arriving.
BOOST_AUTO_TEST_CASE(AnUploadThatGoesOnArrivingIsNotCutOffByTheIdleTimeout)
{
    constexpr int pieces = 10;
    Net::HttpLimits limits;
    limits.idleTimeout = 300ms;
    server->setLimits(limits);
    Peer peer(loop, address);
    peer.stream->write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(pieces) + "\r\n\r\n");
    for (int i = 0; i < pieces; ++i) {
        runFor(loop, 80ms);
        peer.stream->write("x");
    }
    BOOST_TEST(receives(peer, "HTTP/1.1 200"));
    BOOST_TEST(!peer.end.has_value());
}

// It has not run, so its caller may send it again.
BOOST_AUTO_TEST_CASE(AnUploadThatStopsArrivingIsRefused)
{
    Net::HttpLimits limits;
    limits.idleTimeout = 100ms;
    server->setLimits(limits);
    Peer peer(loop, address);
    peer.stream->write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nxy");
    BOOST_TEST(receives(peer, "HTTP/1.1 408"));
    BOOST_TEST(echo.requests == 0);
}

BOOST_AUTO_TEST_CASE(AnAnswerThatIsCutOffIsReported)
{
    echo.body.assign(32UL << 20, 'a');
    SlowCaller const caller(address);
    BOOST_REQUIRE(runUntil(loop, [&] { return echo.requests == 1; }));
    server->closeAll();
    BOOST_TEST(echo.cutOff == 1);
}

BOOST_AUTO_TEST_CASE(AnAnswerToHeadHasNoBody)
{
    Peer peer(loop, address);
    peer.stream->write("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(receives(peer, "Content-Length: 6"));
    runFor(loop, 20ms);
    BOOST_TEST(peer.received.ends_with("\r\n\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

struct Frames final : Net::FrameHandler {
    void onFrame(Net::FrameChannel&, std::string_view payload) override { received.emplace_back(payload); }
    void onClosed(Net::FrameChannel&) override { isClosed = true; }

    std::vector<std::string> received;
    bool isClosed { false };
};

} // namespace

BOOST_AUTO_TEST_SUITE(Channel)

BOOST_AUTO_TEST_CASE(FramesArriveWholeAndInOrder)
{
    Net::EventLoop loop;
    Core::Endpoint const address { "127.0.0.1", freePort() };
    Frames server;
    std::unique_ptr<Net::FrameChannel> accepted;
    auto const listener = Net::Listener::open(
        loop, address, [&](int fd) { accepted = std::make_unique<Net::FrameChannel>(loop, server, fd); });
    Frames client;
    Net::FrameChannel channel(loop, client, address);
    std::string const large(300'000, 'l');
    channel.send("first");
    channel.send(large);
    channel.send("last");
    BOOST_TEST(runUntil(loop, [&] { return server.received.size() == 3; }));
    BOOST_TEST(server.received.at(0) == "first");
    BOOST_TEST((server.received.at(1) == large));
    BOOST_TEST(server.received.at(2) == "last");
}

BOOST_AUTO_TEST_CASE(APeerThatFallsSilentIsGivenUp)
{
    Net::EventLoop loop;
    Core::Endpoint const address { "127.0.0.1", freePort() };
    // Accepts the connection and never sends anything.
    std::vector<int> accepted;
    auto const listener = Net::Listener::open(loop, address, [&](int fd) { accepted.push_back(fd); });
    Frames client;
    Net::FrameChannel channel(loop, client, address);
    BOOST_TEST(runUntil(
        loop, [&] { return client.isClosed; }, 3s));
    for (auto const fd : accepted)
        ::close(fd);
}

BOOST_AUTO_TEST_CASE(AQuietChannelStaysOpen)
{
    Net::EventLoop loop;
    Core::Endpoint const address { "127.0.0.1", freePort() };
    Frames server;
    std::unique_ptr<Net::FrameChannel> accepted;
    auto const listener = Net::Listener::open(
        loop, address, [&](int fd) { accepted = std::make_unique<Net::FrameChannel>(loop, server, fd); });
    Frames client;
    Net::FrameChannel channel(loop, client, address);
    runFor(loop, 2500ms);
    BOOST_TEST(!client.isClosed);
    BOOST_TEST(!server.isClosed);
}

BOOST_AUTO_TEST_SUITE_END()
