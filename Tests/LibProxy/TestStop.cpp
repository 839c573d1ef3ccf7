#include "Fixtures.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>

using namespace Test;

BOOST_AUTO_TEST_SUITE(Stop)

namespace {

constexpr Core::Duration limit = 300ms;
/// Work of this route has 60 s, so only the stop ends it in time.
constexpr std::string_view postUpload = "POST /uploads/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
constexpr std::string_view postUploadOrder
    = "POST /uploads/1 HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k1\r\nContent-Length: 4\r\n\r\nbody";
constexpr std::string_view getUpload = "GET /uploads/1 HTTP/1.1\r\nHost: h\r\n\r\n";

/// Never responds; ends when the proxy closes.
void staySilent(Peer& peer, FakeBackend& backend)
{
    backend.next(peer);
    peer.isClosedWithin(5s);
}

/// What a caller reads while the server is drained with the limit and then stopped.
std::string answerAtStop(Fixture const& fixture, Peer& peer)
{
    fixture.server->drain(limit);
    fixture.server->stop();
    return peer.readMessage();
}

} // namespace

// inc1: the stop closed the caller's connection without an answer.
BOOST_AUTO_TEST_CASE(RequestAtASilentServerIsAnsweredAsUnknown)
{
    for (auto const text : { postUpload, getUpload }) {
        FakeBackend backend(staySilent);
        Fixture const fixture({ &backend });
        auto peer = fixture.connect();
        peer.send(text);
        BOOST_TEST(eventually([&] { return backend.requests().size() == 1; }));
        auto const begin = Core::BootClock::now();
        auto const answer = answerAtStop(fixture, peer);
        BOOST_TEST(outcomeOf(answer) == "504 unknown deadline-exceeded");
        BOOST_TEST(!peer.wasTruncated());
        BOOST_TEST((Core::BootClock::now() - begin < 2 * limit));
        BOOST_TEST(backend.requests().size() == 1U);
        BOOST_TEST(fixture.control.allPermitsReleased());
    }
}

// The answer must come while the drain still waits, not from the stop that follows it.
BOOST_AUTO_TEST_CASE(DrainWithALimitEndsEveryRequestWithinIt)
{
    FakeBackend backend(staySilent);
    Fixture const fixture({ &backend });
    auto peer = fixture.connect();
    peer.send(postUpload);
    BOOST_TEST(eventually([&] { return backend.requests().size() == 1; }));
    BOOST_TEST(fixture.server->drain(limit));
    BOOST_TEST(outcomeOf(peer.readMessage()) == "504 unknown deadline-exceeded");
}

// Guards against requests that are taken late in a drain, passed on, and cut off at its end.
BOOST_AUTO_TEST_CASE(RequestsLateInADrainAreNotPassedOn)
{
    constexpr int lateCount = 6;
    FakeBackend backend(staySilent);
    Fixture const fixture({ &backend });
    // Keeps the drain waiting until its end.
    auto running = fixture.connect();
    running.send(postUpload);
    BOOST_TEST(eventually([&] { return backend.requests().size() == 1; }));
    std::vector<Peer> late;
    late.reserve(lateCount);
    for (int i = 0; i < lateCount; ++i)
        late.push_back(fixture.connect());
    BOOST_TEST(eventually([&] { return fixture.server->counts().callerConnections == lateCount + 1U; }));
    std::jthread const drain([&] { fixture.server->drain(limit); });
    BOOST_TEST(eventually([&] { return fixture.server->isDraining(); }));
    for (auto& peer : late) {
        peer.send(postUpload);
        std::this_thread::sleep_for(limit / lateCount);
    }
    BOOST_TEST(outcomeOf(running.readMessage()) == "504 unknown deadline-exceeded");
    for (auto& peer : late) {
        // A connection that was idle may be closed first; then nothing was read from it.
        auto const answer = peer.readMessage();
        BOOST_TEST((answer.empty() || outcomeOf(answer) == "503 not-run draining"), answer);
    }
    BOOST_TEST(backend.requests().size() == 1U);
}

// A stop without a drain, or after one that began without a limit, cut requests off in the same way.
BOOST_AUTO_TEST_CASE(RequestAtASilentServerIsAnsweredByAStopAlone)
{
    FakeBackend backend(staySilent);
    Fixture const fixture({ &backend });
    auto peer = fixture.connect();
    peer.send(postUpload);
    BOOST_TEST(eventually([&] { return backend.requests().size() == 1; }));
    fixture.server->stop();
    BOOST_TEST(outcomeOf(peer.readMessage()) == "504 unknown deadline-exceeded");
}

// An order whose result nobody saw must not be run again by its resend.
BOOST_AUTO_TEST_CASE(OrderAtASilentServerIsMarkedUnknown)
{
    FakeBackend backend(staySilent);
    Fixture const fixture({ &backend });
    auto peer = fixture.connect();
    peer.send(postUploadOrder);
    BOOST_TEST(eventually([&] { return backend.requests().size() == 1; }));
    BOOST_TEST(outcomeOf(answerAtStop(fixture, peer)) == "504 unknown deadline-exceeded");
    BOOST_TEST(fixture.control.countCalls("markUnknown") == 1U);
    BOOST_TEST(fixture.control.countCalls("abandon") == 0U);
}

// A body of which a part is at the server may have run there.
BOOST_AUTO_TEST_CASE(RequestWhoseBodyIsPartlyAtAServerIsAnsweredAsUnknown)
{
    FakeBackend backend([](Peer& peer, FakeBackend&) { peer.readToEnd(); });
    Fixture const fixture({ &backend });
    auto peer = fixture.connect();
    peer.send("PUT /uploads/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n" + std::string(100'000, 'x'));
    BOOST_TEST(eventually([&] { return fixture.control.acquires().size() == 1; }));
    std::this_thread::sleep_for(50ms);
    BOOST_TEST(outcomeOf(answerAtStop(fixture, peer)) == "504 unknown deadline-exceeded");
}

// Requests that are at no server get a rejection that allows to send them again.
BOOST_AUTO_TEST_CASE(RequestWhoseBodyHasNotComeIsRejectedAsNotRun)
{
    FakeBackend backend(staySilent);
    Fixture const fixture({ &backend });
    auto peer = fixture.connect();
    peer.send("POST /uploads/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo");
    BOOST_TEST(eventually([&] { return fixture.server->counts().requestsInFlight == 1; }));
    BOOST_TEST(outcomeOf(answerAtStop(fixture, peer)) == "503 not-run deadline-unreachable");
    BOOST_TEST(backend.requests().empty());
}

BOOST_AUTO_TEST_CASE(RequestWithoutAnOwnerIsRejectedAsNotRun)
{
    FakeBackend backend(staySilent);
    Fixture fixture({ &backend });
    fixture.control.publish([](Routing::View& view) {
        for (auto& slot : view.slots[{ "letters" }])
            slot.phase = Routing::SlotPhase::Releasing;
    });
    auto peer = fixture.connect();
    peer.send(postLetter);
    BOOST_TEST(eventually([&] { return fixture.server->counts().requestsInFlight == 1; }));
    BOOST_TEST(outcomeOf(answerAtStop(fixture, peer)) == "503 not-run no-owner");
    BOOST_TEST(backend.requests().empty());
}

BOOST_AUTO_TEST_CASE(RequestWhoseHeadHasNotComeIsRejectedAsNotRun)
{
    FakeBackend backend(staySilent);
    Fixture const fixture({ &backend });
    auto peer = fixture.connect();
    peer.send("POST /uploads/1 HTTP/1.1\r\nHost:");
    BOOST_TEST(eventually([&] { return fixture.server->counts().callerConnections == 1; }));
    std::this_thread::sleep_for(50ms);
    BOOST_TEST(outcomeOf(answerAtStop(fixture, peer)) == "503 not-run draining");
}

// The server's queue of connections is full, so a new one is never accepted.
BOOST_AUTO_TEST_CASE(RequestThatWaitsForAConnectionIsRejectedAsNotRun)
{
    // Nothing answers on this address once its backlog of one is full.
    Proxy::Socket const full(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address { .sin_family = AF_INET, .sin_addr = { htonl(INADDR_LOOPBACK) } };
    socklen_t length = sizeof address;
    BOOST_REQUIRE(::bind(full.descriptor(), reinterpret_cast<sockaddr*>(&address), length) == 0);
    BOOST_REQUIRE(::listen(full.descriptor(), 0) == 0);
    getsockname(full.descriptor(), reinterpret_cast<sockaddr*>(&address), &length);
    Core::Endpoint const endpoint { "127.0.0.1", ntohs(address.sin_port) };
    std::vector<Proxy::Socket> filling;
    while (true) {
        auto connected = Proxy::connectTo(endpoint, Core::BootClock::now() + 100ms);
        if (connected.isError())
            break;
        filling.push_back(std::move(connected).value());
        BOOST_REQUIRE(filling.size() < 16U);
    }
    Fixture fixture({}, { .connectTimeout = 10s });
    fixture.control.publish([&](Routing::View& view) {
        view.servers.push_back(
            { .name = { "server-0" }, .pool = { "uploads" }, .endpoint = endpoint, .connections = 100 });
    });
    auto peer = fixture.connect();
    peer.send(postUpload);
    BOOST_TEST(eventually([&] { return fixture.control.acquires().size() == 1; }));
    std::this_thread::sleep_for(50ms);
    BOOST_TEST(outcomeOf(answerAtStop(fixture, peer)) == "502 not-run connect-failed");
}

// Waits for permits and for the control quorum are outside of the server's threads, so it must ask for their end.
BOOST_AUTO_TEST_CASE(RequestThatWaitsForAPermitOrAClaimIsRejectedAsNotRun)
{
    for (auto const* waitsFor : { "acquire", "claim" }) {
        FakeBackend backend(staySilent);
        Fixture fixture({ &backend });
        auto const waitForLimit = [&] {
            eventually([&] {
                auto const waitLimit = fixture.control.waitLimit.load();
                return waitLimit.count() != 0 && Core::BootClock::now().time_since_epoch() >= waitLimit;
            });
        };
        fixture.control.onAcquire = [&](Policy::AcquireRequest const&) -> Policy::AcquireResult {
            waitForLimit();
            return Policy::Refusal { Policy::RefusalReason::DeadlineUnreachable, 1s };
        };
        fixture.control.onClaim = [&]() -> Core::Result<Proxy::ClaimResult, Proxy::OrderGateUnavailable> {
            waitForLimit();
            return Proxy::OrderGateUnavailable {};
        };
        auto peer = fixture.connect();
        auto const isClaim = std::string_view(waitsFor) == "claim";
        peer.send(isClaim ? postUploadOrder : postUpload);
        BOOST_TEST(eventually([&] { return fixture.control.countCalls(waitsFor) == 1; }));
        BOOST_TEST(fixture.server->drain(limit), waitsFor);
        BOOST_TEST(
            outcomeOf(peer.readMessage()) == (isClaim ? "503 not-run not-ready" : "503 not-run deadline-unreachable"));
        BOOST_TEST(backend.requests().empty());
    }
}

// An answer that the stop ends early must not look complete.
BOOST_AUTO_TEST_CASE(AnswerThatWouldNotEndIsVisiblyTruncated)
{
    FakeBackend backend([](Peer& peer, FakeBackend& self) {
        self.next(peer);
        peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
        peer.isClosedWithin(5s);
    });
    Fixture const fixture({ &backend });
    auto peer = fixture.connect();
    peer.send(getUpload);
    std::this_thread::sleep_for(50ms);
    BOOST_TEST(statusOf(answerAtStop(fixture, peer)) == "200");
    BOOST_TEST(peer.wasTruncated());
}

// A server that is asked while its entry host drains must not count on time that the caller does not have.
BOOST_AUTO_TEST_CASE(ServersAreToldTheTimeThatTheDrainLeaves)
{
    FakeBackend backend(staySilent);
    Fixture fixture({ &backend });
    fixture.control.onAcquire = [&](Policy::AcquireRequest const&) -> Policy::AcquireResult {
        eventually([&] { return fixture.server->isDraining(); });
        std::this_thread::sleep_for(20ms);
        return Policy::Permit { { 1 }, { "server-0" } };
    };
    auto peer = fixture.connect();
    peer.send(postUpload);
    BOOST_TEST(eventually([&] { return fixture.control.acquires().size() == 1; }));
    BOOST_TEST(outcomeOf(answerAtStop(fixture, peer)) == "504 unknown deadline-exceeded");
    BOOST_REQUIRE(backend.requests().size() == 1U);
    BOOST_TEST(std::stol(headerOf(backend.requests()[0], "Primroseshift-Deadline-Ms"))
        <= std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
}

BOOST_AUTO_TEST_SUITE_END()
