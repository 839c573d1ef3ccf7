#include "Fixtures.h"

#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace Test;

BOOST_AUTO_TEST_SUITE(Connections)

BOOST_AUTO_TEST_CASE(HeadersAreForwardedUnchangedExceptHopByHop)
{
    FakeBackend backend([](Peer& peer, FakeBackend& self) {
        while (!self.next(peer).empty())
            peer.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Encoding: gzip\r\nLocation: /a%0d%0ab\r\n"
                      "Connection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=1\r\nPrimroseshift-Reason: none\r\n"
                      "Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n\r\n\x1f\x8b\x08x");
    });
    Fixture const fixture({ &backend });
    auto const response
        = fixture.request("GET /letters/a%2Fb?x=%20 HTTP/1.1\r\nHost: h:1\r\nX-Value: a%0d%0aB: c%41\r\n"
                          "Connection: X-Nominated, keep-alive\r\nX-Nominated: 1\r\nTE: trailers\r\n"
                          "Upgrade: websocket\r\nProxy-Authorization: x\r\nPrimroseshift-Slot: 99\r\n"
                          "Primroseshift-Request-Id: forged\r\n"
                          "traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\n"
                          "\r\n");
    auto const request = backend.requests().at(0);
    BOOST_TEST(request.starts_with("GET /letters/a%2Fb?x=%20 HTTP/1.1\r\n"));
    // cpp-httplib's codec would decode the value and let a caller insert headers.
    BOOST_TEST(headerOf(request, "X-Value") == "a%0d%0aB: c%41");
    BOOST_TEST(headerOf(request, "Host") == "h:1");
    for (auto const* name : { "Connection", "X-Nominated", "TE", "Upgrade", "Proxy-Authorization" })
        BOOST_TEST(headerOf(request, name).empty(), name);
    BOOST_TEST(headerOf(request, "Primroseshift-Slot") != "99");
    BOOST_TEST(headerOf(request, "Primroseshift-Epoch") == "7");
    BOOST_TEST(headerOf(request, "Primroseshift-Request-Id") == headerOf(response, "Primroseshift-Request-Id"));
    BOOST_TEST(std::stol(headerOf(request, "Primroseshift-Deadline-Ms")) <= 2000);
    auto const trace = headerOf(request, "traceparent");
    BOOST_TEST(trace.starts_with("00-0af7651916cd43dd8448eb211c80319c-"));
    BOOST_TEST(trace.find("b7ad6b7169203331") == std::string::npos);

    BOOST_TEST(headerOf(response, "Location") == "/a%0d%0ab");
    BOOST_TEST(headerOf(response, "Content-Encoding") == "gzip");
    BOOST_TEST(bodyOf(response) == "\x1f\x8b\x08x");
    BOOST_TEST(headerOf(response, "X-Hop").empty());
    BOOST_TEST(headerOf(response, "Primroseshift-Reason").empty());
    BOOST_TEST(response.find("Set-Cookie: b=2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(RedirectsAreForwardedAndNotFollowed)
{
    FakeBackend backend([](Peer& peer, FakeBackend& self) {
        while (!self.next(peer).empty())
            peer.send("HTTP/1.1 302 Found\r\nLocation: /letters/8\r\nContent-Length: 0\r\n\r\n");
    });
    Fixture const fixture({ &backend });
    BOOST_TEST(outcomeOf(fixture.request(getLetter)) == "302 answered ");
    BOOST_TEST(backend.requests().size() == 1);
}

BOOST_AUTO_TEST_CASE(KeptAliveConnectionServesManyRequestsWithoutDelay)
{
    FakeBackend backend(FakeBackend::answering("x"));
    Fixture const fixture({ &backend });
    auto peer = fixture.connect();
    auto const begin = Core::BootClock::now();
    for (int i = 0; i < 50; ++i) {
        peer.send(getLetter);
        BOOST_REQUIRE(statusOf(peer.readMessage()) == "200");
    }
    // Without TCP_NODELAY delayed acknowledgements add 40 ms to each request; the library's default ends after 5.
    BOOST_TEST((Core::BootClock::now() - begin < 1s));
    BOOST_TEST(backend.connections() == 1);
}

BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder)
{
    FakeBackend backend([](Peer& peer, FakeBackend& self) {
        for (auto request = self.next(peer); !request.empty(); request = self.next(peer))
            peer.send(okResponse(request.substr(0, request.find(" HTTP"))));
    });
    Fixture const fixture({ &backend });
    auto peer = fixture.connect();
    peer.send("GET /letters/1 HTTP/1.1\r\nHost: h\r\n\r\nGET /letters/2 HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(bodyOf(peer.readMessage()) == "GET /letters/1");
    BOOST_TEST(bodyOf(peer.readMessage()) == "GET /letters/2");
}

BOOST_AUTO_TEST_CASE(BytesBehindAResponseReachNoOtherCaller)
{
    FakeBackend backend([](Peer& peer, FakeBackend& self) {
        if (!self.next(peer).empty())
            peer.send(okResponse("mine") + okResponse("forged"));
        while (!self.next(peer).empty())
            peer.send(okResponse("reused"));
    });
    Fixture const fixture({ &backend });
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(bodyOf(fixture.request(getLetter)) == "mine");
}

BOOST_AUTO_TEST_CASE(LateResponseReachesNoOtherCaller)
{
    FakeBackend backend([](Peer& peer, FakeBackend& self) {
        for (auto request = self.next(peer); !request.empty(); request = self.next(peer)) {
            auto const key = request.substr(0, request.find(" HTTP"));
            if (key == "GET /letters/slow")
                std::this_thread::sleep_for(300ms);
            peer.send(okResponse(key));
        }
    });
    Fixture const fixture({ &backend });
    auto peer = fixture.connect();
    peer.send("GET /letters/slow HTTP/1.1\r\nHost: h\r\nPrimroseshift-Deadline-Ms: 100\r\n\r\n");
    BOOST_TEST(statusOf(peer.readMessage()) == "504");
    for (int i = 0; i < 5; ++i) {
        auto const path = "GET /letters/" + std::to_string(i);
        peer.send(path + " HTTP/1.1\r\nHost: h\r\n\r\n");
        BOOST_TEST(bodyOf(peer.readMessage()) == path);
        std::this_thread::sleep_for(80ms);
    }
}

BOOST_AUTO_TEST_CASE(ConnectionClosedWhileIdleDoesNotFailARequest)
{
    FakeBackend backend([](Peer& peer, FakeBackend& self) {
        if (!self.next(peer).empty())
            peer.send(okResponse("once"));
    });
    Fixture const fixture({ &backend });
    for (int i = 0; i < 5; ++i) {
        BOOST_TEST(bodyOf(fixture.request(postLetter)) == "once");
        std::this_thread::sleep_for(5ms);
    }
}

BOOST_AUTO_TEST_CASE(NonIdempotentWorkAvoidsOldIdleConnections)
{
    FakeBackend backend(FakeBackend::answering("x"));
    Fixture const fixture({ &backend }, { .provenConnectionAge = 100ms });
    fixture.request(getLetter);
    fixture.request(postLetter);
    BOOST_TEST(backend.connections() == 1, "a connection that answered a moment ago is proven");
    std::this_thread::sleep_for(150ms);
    fixture.request(postLetter);
    BOOST_TEST(backend.connections() == 2);
    std::this_thread::sleep_for(150ms);
    fixture.request(getLetter);
    BOOST_TEST(backend.connections() == 2, "idempotent work may use any idle connection");
}

BOOST_AUTO_TEST_CASE(HalfOpenConnectionIsToldFromAFailedServer)
{
    std::atomic<int> connection { 0 };
    FakeBackend backend([&](Peer& peer, FakeBackend& self) {
        auto const isFirst = ++connection == 1;
        for (int count = 0; !self.next(peer).empty(); ++count) {
            if (isFirst && count > 0) {
                peer.isClosedWithin(3s);
                return;
            }
            peer.send(okResponse("alive"));
        }
    });
    Fixture const fixture({ &backend }, { .silentConnectionTimeout = 100ms });
    fixture.request(getLetter);
    // The idle connection delivers nothing any more; the retry on a new connection answers.
    BOOST_TEST(bodyOf(fixture.request(getLetter)) == "alive");
    // Reported in the background, so in any order with the retry.
    auto const releases = fixture.control.releases(3);
    auto const lost
        = std::ranges::find(releases, Policy::AttemptOutcome::ConnectionLost, &Policy::ReleaseReport::outcome);
    BOOST_REQUIRE((lost != releases.end()));
    BOOST_TEST(!lost->serverUnreachable);
    auto const ends = fixture.control.attemptEnds(3);
    BOOST_TEST(std::ranges::count(ends, true, &Proxy::AttemptEnd::halfOpenConnection) == 1);
}

BOOST_AUTO_TEST_CASE(FailedServerIsReportedAsUnreachable)
{
    FakeBackend backend([](Peer& peer, FakeBackend&) {
        peer.readMessage();
        peer.isClosedWithin(3s);
    });
    Fixture const fixture({ &backend }, { .probeTimeout = 800ms });
    auto const begin = Core::BootClock::now();
    auto const response
        = fixture.request("GET /letters/7 HTTP/1.1\r\nHost: h\r\nPrimroseshift-Deadline-Ms: 100\r\n\r\n");
    BOOST_TEST(statusOf(response) == "504");
    BOOST_TEST((Core::BootClock::now() - begin < 700ms), "the caller must not wait for the probe");
    BOOST_TEST(fixture.control.releases().at(0).serverUnreachable);
}

BOOST_AUTO_TEST_CASE(ConnectionsStayWithinTheShareOfThisEntryHost)
{
    std::atomic<bool> mayAnswer { false };
    FakeBackend backend([&](Peer& peer, FakeBackend& self) {
        while (!self.next(peer).empty()) {
            eventually([&] { return mayAnswer.load(); });
            peer.send(okResponse("x"));
        }
    });
    Fixture fixture({ &backend });
    fixture.control.publish([](Routing::View& view) {
        view.servers[0].connections = 7;
        view.entryHosts.assign(3, { .name = { "entry" } });
    });
    std::vector<Peer> peers;
    for (int i = 0; i < 3; ++i) {
        peers.push_back(fixture.connect());
        peers.back().send(getLetter);
    }
    BOOST_TEST(eventually([&] { return fixture.control.records().size() == 1 && backend.requests().size() == 2; }));
    BOOST_TEST(backend.connections() == 2, "7 connections over 3 entry hosts are 2 for each");
    BOOST_TEST((fixture.control.records()[0].reason == Proxy::Reason::Overloaded));
    mayAnswer = true;
}

BOOST_AUTO_TEST_CASE(ConnectionsBeyondTheBoundGetATypedResponse)
{
    Fixture const fixture({}, { .maxConnections = 2 });
    auto first = fixture.connect();
    auto second = fixture.connect();
    for (auto* peer : { &first, &second }) {
        peer->send("GET /none HTTP/1.1\r\nHost: h\r\n\r\n");
        BOOST_TEST(statusOf(peer->readMessage()) == "404");
    }
    auto const response = fixture.request(getLetter);
    BOOST_TEST(outcomeOf(response) == "503 not-run overloaded");
    BOOST_TEST(headerOf(response, "Retry-After") == "1");
    BOOST_TEST(fixture.server->counts().rejectedConnections == 1);
    first.close();
    BOOST_TEST(eventually([&] { return statusOf(fixture.request("GET /none HTTP/1.1\r\nHost: h\r\n\r\n")) == "404"; }));
}

BOOST_AUTO_TEST_CASE(BurstOfConnectionsIsAcceptedWithoutRetransmission)
{
    FakeBackend backend(FakeBackend::answering("x"));
    Fixture fixture({ &backend });
    // The fake grants any number of permits, so the server's own limit must not reject a part of the burst.
    fixture.control.publish([](Routing::View& view) { view.servers[0].connections = 1000; });
    constexpr std::size_t burst = 200;
    std::vector<std::thread> threads;
    threads.reserve(burst);
    std::atomic<std::size_t> served { 0 };
    std::atomic<std::size_t> retransmitted { 0 };
    for (std::size_t i = 0; i < burst; ++i)
        threads.emplace_back([&] {
            auto peer = fixture.connect();
            peer.send(getLetter);
            served += statusOf(peer.readMessage()) == "200" ? 1U : 0U;
            tcp_info info {};
            socklen_t length = sizeof info;
            getsockopt(peer.socket().descriptor(), IPPROTO_TCP, TCP_INFO, &info, &length);
            retransmitted += info.tcpi_total_retrans;
        });
    for (auto& thread : threads)
        thread.join();
    BOOST_TEST(served == burst);
    // A full backlog drops segments of the handshake, which the caller sends again after 1 s.
    BOOST_TEST(retransmitted == 0U);
}

BOOST_AUTO_TEST_CASE(DrainFinishesRequestsInFlightAndRejectsNewOnes)
{
    std::atomic<bool> mayAnswer { false };
    FakeBackend backend([&](Peer& peer, FakeBackend& self) {
        self.next(peer);
        eventually([&] { return mayAnswer.load(); });
        peer.send(okResponse("finished"));
    });
    Fixture const fixture({ &backend });
    auto inFlight = fixture.connect();
    auto idle = fixture.connect();
    idle.send("GET /none HTTP/1.1\r\nHost: h\r\n\r\n");
    idle.readMessage();
    inFlight.send(postLetter);
    BOOST_TEST(eventually([&] { return backend.requests().size() == 1; }));
    fixture.server->beginDrain();
    BOOST_TEST(fixture.server->isDraining());
    BOOST_TEST(!fixture.server->drain(20ms), "a request is still in flight");
    idle.send(getLetter);
    auto const response = idle.readMessage();
    BOOST_TEST(outcomeOf(response) == "503 not-run draining");
    BOOST_TEST(headerOf(response, "Connection") == "close");
    BOOST_TEST(Proxy::connectTo(fixture.endpoint, Core::BootClock::now() + 1s).isError());
    mayAnswer = true;
    BOOST_TEST(bodyOf(inFlight.readMessage()) == "finished");
    BOOST_TEST(fixture.server->drain(5s));
}

BOOST_AUTO_TEST_CASE(StopEndsARequestThatWouldNotEnd)
{
    FakeBackend backend([](Peer& peer, FakeBackend& self) {
        self.next(peer);
        peer.isClosedWithin(5s);
    });
    Fixture const fixture({ &backend });
    auto peer = fixture.connect();
    peer.send(getLetter);
    BOOST_TEST(eventually([&] { return backend.requests().size() == 1; }));
    auto const begin = Core::BootClock::now();
    fixture.server->stop();
    BOOST_TEST((Core::BootClock::now() - begin < 1s));
    BOOST_TEST(fixture.control.allPermitsReleased());
}

BOOST_AUTO_TEST_CASE(IdleConnectionsAreClosed)
{
    FakeBackend backend(FakeBackend::answering("x"));
    Fixture const fixture({ &backend }, { .callerIdleTimeout = 100ms, .serverIdleTimeout = 100ms });
    auto peer = fixture.connect();
    peer.send(getLetter);
    peer.readMessage();
    BOOST_TEST(fixture.server->counts().serverConnections == 1);
    BOOST_TEST(peer.isClosedWithin(2s));
    BOOST_TEST(eventually([&] { return fixture.server->counts().serverConnections == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()
