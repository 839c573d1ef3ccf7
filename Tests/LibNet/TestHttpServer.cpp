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
        received.emplace_back(id, request.head.method + request.head.target + request.body);
        if (!isSilent)
            answer(received.size() - 1);
    }
    void answer(std::size_t index)
    {
        Net::HttpResponse response;
        if (index >= received.size())
            return;
        response.body = body.empty() ? received[index].second : body;
        server->respond(received[index].first, response);
    }
    bool mayRunBesideOthers(Proxy::MessageHead const& head) override { return head.target.starts_with("/safe/"); }
    void onMemoryRefusal(std::size_t) override { ++refusedForMemory; }
    void onAbandoned(Net::ExchangeId) override { ++abandoned; }
    void onAnswerCutOff(Net::ExchangeId, std::size_t) override { ++cutOff; }

    Net::HttpServer* server { nullptr };
    bool isSilent { false };
    /// Of every answer, unless empty.
    std::string body;
    int requests { 0 };
    int abandoned { 0 };
    int cutOff { 0 };
    std::size_t refusedForMemory { 0 };
    Net::ExchangeId last;
    std::vector<std::pair<Net::ExchangeId, std::string>> received;
};

std::string get(std::string const& target) { return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n"; }

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

// Load: a caller sends safe requests without waiting for answers. They were run one after the other, so that each
// waited for all before it.
BOOST_AUTO_TEST_CASE(SafeRequestsOfOneConnectionRunSideBySideAndAreAnsweredInOrder)
{
    echo.isSilent = true;
    Peer peer(loop, address);
    peer.stream->write(get("/safe/1") + get("/safe/2") + get("/safe/3"));
    BOOST_REQUIRE(runUntil(loop, [&] { return echo.requests == 3; }));
    echo.answer(2);
    echo.answer(1);
    runFor(loop, 50ms);
    BOOST_TEST(peer.received.empty());
    echo.answer(0);
    BOOST_TEST(receives(peer, "GET/safe/3"));
    auto const at = [&](int n) { return peer.received.find("GET/safe/" + std::to_string(n)); };
    BOOST_TEST(at(1) < at(2));
    BOOST_TEST(at(2) < at(3));
    BOOST_TEST(server->heldBodyBytes() == 0);
}

// A request that must not be repeated must not run while an earlier answer may still close the connection, since its
// caller would send it again.
BOOST_AUTO_TEST_CASE(AnUnsafeRequestRunsAlone)
{
    echo.isSilent = true;
    Peer peer(loop, address);
    peer.stream->write(get("/safe/1") + "POST /unsafe/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
        + get("/safe/3") + "POST /unsafe/4 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    for (int i = 1; i <= 4; ++i) {
        BOOST_REQUIRE(runUntil(loop, [&] { return echo.requests >= i; }));
        runFor(loop, 50ms);
        BOOST_TEST(echo.requests == i);
        echo.answer(static_cast<std::size_t>(i) - 1);
    }
    BOOST_TEST(receives(peer, "POST/unsafe/4"));
    BOOST_TEST(peer.received.find("POST/unsafe/2body") != std::string::npos);
}

// Requests behind an answer that closes the connection count as not read, so none may have been run.
BOOST_AUTO_TEST_CASE(NothingIsRunBehindAClosingAnswer)
{
    echo.isSilent = true;
    Peer peer(loop, address);
    peer.stream->write(
        get("/safe/1") + "GET /safe/2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/safe/3"));
    BOOST_REQUIRE(runUntil(loop, [&] { return echo.requests == 2; }));
    echo.answer(1);
    echo.answer(0);
    BOOST_TEST(receives(peer, "GET/safe/2"));
    BOOST_TEST(runUntil(loop, [&] { return peer.end.has_value(); }));
    BOOST_TEST(echo.requests == 2);
}

BOOST_AUTO_TEST_CASE(AnAnswerClosesNoConnectionOnWhichALaterRequestRuns)
{
    echo.isSilent = true;
    Peer peer(loop, address);
    peer.stream->write(get("/safe/1") + get("/safe/2"));
    BOOST_REQUIRE(runUntil(loop, [&] { return echo.requests == 2; }));
    server->startDraining();
    peer.stream->write(get("/safe/3"));
    runFor(loop, 50ms);
    BOOST_TEST(echo.requests == 2);
    echo.answer(0);
    BOOST_TEST(receives(peer, "GET/safe/1"));
    BOOST_TEST(peer.received.find("close") == std::string::npos);
    echo.answer(1);
    BOOST_TEST(receives(peer, "GET/safe/2"));
    BOOST_TEST(peer.received.find("Connection: close") != std::string::npos);
    BOOST_TEST(runUntil(loop, [&] { return peer.end.has_value(); }));
    BOOST_TEST(echo.requests == 2);
}

BOOST_AUTO_TEST_CASE(AnErrorBehindARequestIsAnsweredAfterIt)
{
    echo.isSilent = true;
    Peer peer(loop, address);
    peer.stream->write(get("/safe/1") + "no request\r\n\r\n");
    runFor(loop, 50ms);
    BOOST_TEST(peer.received.empty());
    echo.answer(0);
    BOOST_TEST(receives(peer, "400 Bad Request"));
    BOOST_TEST(peer.received.find("GET/safe/1") < peer.received.find("400 Bad Request"));
}

BOOST_AUTO_TEST_CASE(ACallerThatLeavesAbandonsAllItsRequests)
{
    echo.isSilent = true;
    Peer peer(loop, address);
    peer.stream->write(get("/safe/1") + get("/safe/2") + get("/safe/3"));
    BOOST_REQUIRE(runUntil(loop, [&] { return echo.requests == 3; }));
    echo.answer(1);
    peer.stream->close();
    BOOST_TEST(runUntil(loop, [&] { return echo.abandoned == 2; }));
    runFor(loop, 20ms);
    BOOST_TEST(echo.abandoned == 2);
}

// Load: a caller that sends requests without end. Their number and the answers that wait are bounded.
BOOST_AUTO_TEST_CASE(TheRequestsInProgressOfAConnectionAreBounded)
{
    echo.isSilent = true;
    Peer peer(loop, address);
    std::string requests;
    for (int i = 0; i < 40; ++i)
        requests += get("/safe/" + std::to_string(i));
    peer.stream->write(requests);
    BOOST_REQUIRE(runUntil(loop, [&] { return echo.requests >= 16; }));
    runFor(loop, 100ms);
    BOOST_TEST(echo.requests == 16);
    // Answers behind the first one wait for it, and then no further request is read.
    echo.body = std::string(100UL * 1024, 'b');
    for (std::size_t i = 1; i < 5; ++i)
        echo.answer(i);
    runFor(loop, 50ms);
    BOOST_TEST(echo.requests == 16);
    echo.body.clear();
    for (std::size_t i = 0; i < 40; ++i) {
        BOOST_REQUIRE(runUntil(loop, [&] { return echo.received.size() > i; }));
        echo.answer(i);
    }
    BOOST_TEST(receives(peer, "GET/safe/39"));
}

// Case 8 of the review: answers behind a slow one filled the memory of the host, since nothing counted them.
BOOST_AUTO_TEST_CASE(AnswersThatWaitForAnEarlierOneAreCounted)
{
    echo.isSilent = true;
    echo.body = std::string(50'000, 'b');
    std::optional<Peer> leaving(std::in_place, loop, address);
    Peer staying(loop, address);
    for (auto* peer : { &*leaving, &staying }) {
        auto const before = echo.received.size();
        peer->stream->write(get("/safe/first") + get("/safe/second") + get("/safe/third"));
        BOOST_REQUIRE(runUntil(loop, [&] { return echo.received.size() == before + 3; }));
        echo.answer(before + 1);
        BOOST_TEST(server->mustWait(echo.received[before + 2].first));
        BOOST_TEST(!server->mustWait(echo.received[before].first));
    }
    BOOST_TEST(server->waitingAnswerBytes() >= 100'000U);
    BOOST_TEST(server->unsentAnswerBytes() == server->waitingAnswerBytes());
    leaving.reset();
    BOOST_TEST(runUntil(loop, [&] { return server->connectionCount() == 1; }));
    BOOST_TEST(server->waitingAnswerBytes() >= 50'000U);
    BOOST_TEST(server->waitingAnswerBytes() < 100'000U);
    echo.answer(3);
    BOOST_TEST(server->waitingAnswerBytes() == 0U);
}

// Case 8 of the review, the other half: every connection may have 16 requests in progress, and all may wait.
BOOST_AUTO_TEST_CASE(NoRequestIsReadAheadWhileWaitingAnswersFillTheMemory)
{
    server->setMemoryLimit(1UL << 20);
    echo.isSilent = true;
    Peer first(loop, address);
    first.stream->write(get("/safe/1") + get("/safe/2"));
    BOOST_REQUIRE(runUntil(loop, [&] { return echo.requests == 2; }));
    echo.body = std::string(300'000, 'b');
    echo.answer(1);
    Peer second(loop, address);
    second.stream->write(get("/safe/3") + get("/safe/4"));
    BOOST_REQUIRE(runUntil(loop, [&] { return echo.requests == 3; }));
    runFor(loop, 100ms);
    BOOST_TEST(echo.requests == 3);
    echo.body.clear();
    echo.answer(2);
    BOOST_TEST(runUntil(loop, [&] { return echo.requests == 4; }));
    echo.answer(3);
    BOOST_TEST(receives(second, "GET/safe/4"));
    echo.answer(0);
    BOOST_TEST(receives(first, "GET/safe/1"));
}

// Load: crowds of large bodies that stop short of their end. All of them together took the memory of the process.
BOOST_AUTO_TEST_CASE(TheBodiesOfAllRequestsAreBounded)
{
    constexpr std::size_t limit = 1UL << 20;
    server->setMemoryLimit(limit);
    std::vector<std::unique_ptr<Peer>> crowd;
    for (int i = 0; i < 12; ++i) {
        crowd.push_back(std::make_unique<Peer>(loop, address));
        crowd.back()->stream->write(
            "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" + std::string(299'000, 'b'));
        // Each body has arrived, and is held or was refused.
        auto const arrived = [&] { return echo.refusedForMemory + server->heldBodyBytes() / 299'000; };
        BOOST_REQUIRE(runUntil(loop, [&] { return arrived() >= crowd.size(); }));
        BOOST_TEST(server->heldBodyBytes() <= limit);
    }
    BOOST_TEST(echo.refusedForMemory >= 9);
    BOOST_TEST(crowd.front()->received.find("503 Service Unavailable") != std::string::npos);
    BOOST_TEST(crowd.front()->received.find("Retry-After") != std::string::npos);
    Peer ordinary(loop, address);
    ordinary.stream->write(get("/safe/x"));
    BOOST_TEST(receives(ordinary, "GET/safe/x"));
    // The rest of a body that was not refused is still taken.
    crowd.back()->stream->write(std::string(1'000, 'b'));
    BOOST_TEST(receives(*crowd.back(), "200 OK"));
}

// Load: many bodies, each too small to give way first.
BOOST_AUTO_TEST_CASE(ManySmallBodiesAreBounded)
{
    constexpr std::size_t limit = 1UL << 20;
    server->setMemoryLimit(limit);
    std::vector<std::unique_ptr<Peer>> crowd;
    for (int i = 0; i < 60; ++i) {
        crowd.push_back(std::make_unique<Peer>(loop, address));
        crowd.back()->stream->write(
            "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n" + std::string(49'000, 'b'));
        runFor(loop, 5ms);
        BOOST_TEST(server->heldBodyBytes() <= limit + limit / 8);
    }
    Peer ordinary(loop, address);
    ordinary.stream->write(get("/safe/x"));
    BOOST_TEST(receives(ordinary, "GET/safe/x"));
}

// A body of which the limit was exceeded was held until the connection closed.
BOOST_AUTO_TEST_CASE(ARefusedBodyIsNotHeld)
{
    Net::HttpLimits limits;
    limits.maxBodyBytes = 100'000;
    server->setLimits(limits);
    Peer peer(loop, address);
    peer.stream->write(
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n" + std::string(200'000, 'b'));
    BOOST_TEST(receives(peer, "413 Content Too Large"));
    BOOST_TEST(server->heldBodyBytes() == 0);
    BOOST_TEST(server->connectionCount() == 1);
}

// Load: connections that send half a head and stay open took the descriptors of the process.
BOOST_AUTO_TEST_CASE(ConnectionsAreBoundedAndIdleOnesGiveWay)
{
    server->setMaxConnections(4);
    echo.isSilent = true;
    Peer running(loop, address);
    running.stream->write(get("/safe/running"));
    BOOST_REQUIRE(runUntil(loop, [&] { return echo.requests == 1; }));
    std::vector<std::unique_ptr<Peer>> crowd;
    for (int i = 0; i < 10; ++i) {
        crowd.push_back(std::make_unique<Peer>(loop, address));
        crowd.back()->stream->write("GET / HT");
        runFor(loop, 5ms);
        BOOST_TEST(server->connectionCount() <= 4);
    }
    Peer ordinary(loop, address);
    ordinary.stream->write(get("/safe/x"));
    BOOST_REQUIRE(runUntil(loop, [&] { return echo.requests == 2; }));
    echo.answer(0);
    echo.answer(1);
    BOOST_TEST(receives(running, "GET/safe/running"));
    BOOST_TEST(receives(ordinary, "GET/safe/x"));
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
