#include "Fixtures.h"

#include <boost/test/unit_test.hpp>

using namespace Test;
using Policy::AttemptKind;
using Policy::AttemptOutcome;

BOOST_AUTO_TEST_SUITE(Outcomes)

namespace {

/// Takes the request and closes without a response.
void loseConnection(Peer& peer, FakeBackend& backend) { backend.next(peer); }

/// Never responds; ends when the proxy closes.
void staySilent(Peer& peer, FakeBackend& backend)
{
    backend.next(peer);
    peer.readToEnd();
}

FakeBackend::Script refusingWith(std::string const& status)
{
    return [status](Peer& peer, FakeBackend& backend) {
        while (!backend.next(peer).empty())
            peer.send("HTTP/1.1 " + status + " X\r\nPrimroseshift-Outcome: not-run\r\nContent-Length: 0\r\n\r\n");
    };
}

Core::Endpoint closedPort()
{
    FakeBackend const backend(staySilent);
    return backend.endpoint();
}

} // namespace

BOOST_AUTO_TEST_CASE(CompleteResponseIsAnswered)
{
    FakeBackend backend(FakeBackend::answering("hello"));
    Fixture const fixture({ &backend });
    auto const response = fixture.request(getLetter);
    BOOST_TEST(outcomeOf(response) == "200 answered ");
    BOOST_TEST(bodyOf(response) == "hello");
    BOOST_TEST(headerOf(response, "Primroseshift-Request-Id").size() == 32);
}

BOOST_AUTO_TEST_CASE(ErrorStatusOfTheServerIsAnAnswerAndNotRetried)
{
    FakeBackend backend([](Peer& peer, FakeBackend& self) {
        while (!self.next(peer).empty())
            peer.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    });
    Fixture const fixture({ &backend });
    BOOST_TEST(outcomeOf(fixture.request(getLetter)) == "503 answered ");
    BOOST_TEST(backend.requests().size() == 1);
}

BOOST_AUTO_TEST_CASE(RefusedConnectionIsNotRun)
{
    Fixture fixture({});
    fixture.control.publish([](Routing::View& view) { view.servers[0].endpoint = closedPort(); });
    BOOST_TEST(outcomeOf(fixture.request(postLetter)) == "502 not-run connect-failed");
    // No byte was sent, so even non-idempotent work was tried again, each time under its own permit.
    BOOST_TEST(fixture.control.acquires().size() == 3);
    BOOST_TEST((fixture.control.acquires()[1].kind == AttemptKind::Retry));
    BOOST_TEST(fixture.control.allPermitsReleased());
    BOOST_TEST((fixture.control.releases()[0].outcome == AttemptOutcome::ConnectFailed));
}

BOOST_AUTO_TEST_CASE(NonIdempotentWorkIsNotResentAfterALostConnection)
{
    FakeBackend backend(loseConnection);
    Fixture const fixture({ &backend });
    BOOST_TEST(outcomeOf(fixture.request(postLetter)) == "502 unknown connection-lost");
    BOOST_TEST(backend.requests().size() == 1);
    BOOST_TEST(fixture.control.acquires().size() == 1);
    BOOST_TEST(!fixture.control.releases().at(0).serverUnreachable);
}

BOOST_AUTO_TEST_CASE(IdempotentWorkIsRetriedThroughANewPermit)
{
    std::atomic<int> count { 0 };
    FakeBackend backend([&](Peer& peer, FakeBackend& self) {
        if (!self.next(peer).empty() && ++count > 1)
            peer.send(okResponse("second"));
    });
    Fixture const fixture({ &backend });
    BOOST_TEST(bodyOf(fixture.request(getLetter)) == "second");
    BOOST_TEST((fixture.control.acquires().at(1).kind == AttemptKind::Retry));
    BOOST_TEST(eventually([&] { return fixture.control.records().size() == 1; }));
    BOOST_TEST(fixture.control.records()[0].retries == 1);
}

BOOST_AUTO_TEST_CASE(RefusedRetryAfterASendIsNotReportedAsNotRun)
{
    FakeBackend backend(loseConnection);
    Fixture fixture({ &backend });
    fixture.control.onAcquire = [](auto const& request) -> Policy::AcquireResult {
        if (request.kind == AttemptKind::Retry)
            return Policy::Refusal { Policy::RefusalReason::RetryBudgetExhausted };
        return Policy::Permit { { 1 }, *request.owner };
    };
    BOOST_TEST(outcomeOf(fixture.request(getLetter)) == "502 unknown connection-lost");
}

BOOST_AUTO_TEST_CASE(ServerThatDidNotRunTheRequestIsNotRun)
{
    for (auto const* status : { "503", "409" }) {
        FakeBackend backend(refusingWith(status));
        Fixture const fixture({ &backend });
        auto const response = fixture.request(postLetter);
        BOOST_TEST(outcomeOf(response) == "503 not-run server-refused");
        BOOST_TEST(headerOf(response, "Retry-After") == "1");
        BOOST_TEST(backend.requests().size() == 1);
    }
}

BOOST_AUTO_TEST_CASE(ShedIdempotentWorkGoesToAnotherServer)
{
    FakeBackend shedding(refusingWith("503"));
    FakeBackend serving(FakeBackend::answering("other"));
    Fixture const fixture({ &shedding, &serving });
    BOOST_TEST(bodyOf(fixture.request("GET /uploads/1 HTTP/1.1\r\nHost: h\r\n\r\n")) == "other");
    BOOST_TEST(fixture.control.acquires().at(1).excluded.size() == 1);
    BOOST_TEST((fixture.control.releases().at(0).outcome == AttemptOutcome::Shed));
}

BOOST_AUTO_TEST_CASE(SilentServerEndsAtTheDeadlineAsUnknown)
{
    FakeBackend backend(staySilent);
    Fixture const fixture({ &backend });
    auto const begin = Core::BootClock::now();
    auto const response
        = fixture.request("GET /letters/7 HTTP/1.1\r\nHost: h\r\nPrimroseshift-Deadline-Ms: 200\r\n\r\n");
    BOOST_TEST(outcomeOf(response) == "504 unknown deadline-exceeded");
    BOOST_TEST((Core::BootClock::now() - begin < 1500ms));
    BOOST_TEST((fixture.control.releases().at(0).outcome == AttemptOutcome::TimedOut));
    BOOST_TEST(fixture.control.attemptEnds().size() == 1);
}

BOOST_AUTO_TEST_CASE(LeaseLostWhileWaitingForAPermitSendsNothing)
{
    FakeBackend backend(FakeBackend::answering("x"));
    Fixture fixture({ &backend });
    std::atomic<bool> hasLease { true };
    fixture.control.hasLease = [&] { return hasLease.load(); };
    fixture.control.onAcquire = [&](auto const& request) -> Policy::AcquireResult {
        hasLease = false;
        return Policy::Permit { { 1 }, *request.owner };
    };
    BOOST_TEST(outcomeOf(fixture.request(postLetter)) == "503 not-run not-ready");
    BOOST_TEST(backend.requests().empty());
    BOOST_TEST(fixture.control.allPermitsReleased());
}

BOOST_AUTO_TEST_CASE(RefusalsOfTheDispatcherAreNotRun)
{
    using enum Policy::RefusalReason;
    std::vector<std::pair<Policy::RefusalReason, std::string>> const expected { { Overloaded,
                                                                                    "503 not-run overloaded" },
        { DeadlineUnreachable, "503 not-run deadline-unreachable" }, { Quarantined, "422 not-run quarantined" },
        { NoServer, "503 not-run no-owner" }, { NotDispatcher, "503 not-run overloaded" } };
    Fixture fixture({});
    for (auto const& [reason, outcome] : expected) {
        fixture.control.onAcquire = [reason = reason](auto const&) { return Policy::Refusal { reason, 2500ms }; };
        auto const response = fixture.request(postLetter);
        BOOST_TEST(outcomeOf(response) == outcome);
        BOOST_TEST(headerOf(response, "Retry-After") == "3");
    }
}

BOOST_AUTO_TEST_CASE(QuarantinedRequestOfTheViewIsNotRun)
{
    FakeBackend backend(FakeBackend::answering("x"));
    Fixture fixture({ &backend });
    BOOST_TEST(statusOf(fixture.request(postLetter)) == "200");
    auto const fingerprint = fixture.control.acquires().at(0).fingerprint;
    fixture.control.publish([&](Routing::View& view) { view.quarantine.push_back({ fingerprint, { "post" } }); });
    BOOST_TEST(outcomeOf(fixture.request(postLetter)) == "422 not-run quarantined");
    BOOST_TEST(statusOf(fixture.request(getLetter)) == "200");
}

BOOST_AUTO_TEST_CASE(RequestWaitsForAnOwnerWithinItsBound)
{
    FakeBackend backend(FakeBackend::answering("late owner"));
    Fixture fixture({ &backend }, { .ownerWait = 300ms });
    auto const setPhase = [&](Routing::SlotPhase phase) {
        fixture.control.publish([&](Routing::View& view) {
            for (auto& slot : view.slots[{ "letters" }])
                slot.phase = phase;
        });
    };
    setPhase(Routing::SlotPhase::Releasing);
    BOOST_TEST(outcomeOf(fixture.request(postLetter)) == "503 not-run no-owner");
    auto peer = fixture.connect();
    peer.send(postLetter);
    std::this_thread::sleep_for(50ms);
    setPhase(Routing::SlotPhase::Owned);
    BOOST_TEST(bodyOf(peer.readMessage()) == "late owner");
}

BOOST_AUTO_TEST_CASE(OwnerThatChangesWhileThePermitIsAwaitedGetsNothing)
{
    FakeBackend oldOwner(FakeBackend::answering("old"));
    FakeBackend newOwner(FakeBackend::answering("new"));
    Fixture fixture({ &oldOwner, &newOwner });
    std::atomic<int> count { 0 };
    fixture.control.onAcquire = [&](auto const& request) -> Policy::AcquireResult {
        if (++count == 1) {
            fixture.control.publish([&](Routing::View& view) {
                view.servers[0].endpoint = newOwner.endpoint();
                for (auto& slot : view.slots[{ "letters" }])
                    slot.epoch = slot.epoch.next();
            });
        }
        return Policy::Permit { { 1 }, *request.owner };
    };
    BOOST_TEST(bodyOf(fixture.request(postLetter)) == "new");
    BOOST_TEST(oldOwner.requests().empty());
    BOOST_TEST(headerOf(newOwner.requests().at(0), "Primroseshift-Epoch") == "8");
    BOOST_TEST((fixture.control.releases().at(0).outcome == AttemptOutcome::NotSent));
}

BOOST_AUTO_TEST_CASE(EditWhileThePermitIsAwaitedIsInEffect)
{
    FakeBackend oldPool(FakeBackend::answering("old"));
    FakeBackend newPool(FakeBackend::answering("new"));
    Fixture fixture({ &oldPool, &newPool });
    std::atomic<int> count { 0 };
    // The second edit removes the route.
    auto const edit = [&](bool keepsRoute) {
        fixture.control.publish([&](Routing::View& view) {
            std::vector<Routing::PoolDefinition> pools { { .name = { "other" } }, { .name = { "uploads" } } };
            std::vector<Routing::RouteDefinition> routes;
            if (keepsRoute)
                routes.push_back(
                    { .name = { "send" }, .pool = { "other" }, .methods = { "POST" }, .pathPrefix = "/uploads" });
            auto table = Routing::RoutingTable::build(std::move(pools), std::move(routes));
            view.table = std::make_shared<Routing::RoutingTable const>(std::move(table).value());
            view.revision = view.revision.next();
            view.servers[2].pool = { "other" };
        });
    };
    fixture.control.onAcquire = [&](auto const& request) -> Policy::AcquireResult {
        if (++count != 2)
            edit(count == 1);
        return Policy::Permit { { 1 }, { request.pool.value == "uploads" ? "server-0" : "server-1" } };
    };
    auto const text = "POST /uploads/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    BOOST_TEST(bodyOf(fixture.request(text)) == "new");
    BOOST_TEST(outcomeOf(fixture.request(text)) == "404 not-run no-route");
    BOOST_TEST(oldPool.requests().empty());
    BOOST_TEST(fixture.control.allPermitsReleased());
}

BOOST_AUTO_TEST_CASE(RequestInFlightIsListedUnderItsSlotUntilItEnds)
{
    std::atomic<bool> mayAnswer { false };
    FakeBackend backend([&](Peer& peer, FakeBackend& self) {
        self.next(peer);
        eventually([&] { return mayAnswer.load(); });
        peer.send(okResponse("x"));
    });
    Fixture const fixture({ &backend });
    auto peer = fixture.connect();
    peer.send(getLetter);
    BOOST_TEST(eventually([&] { return backend.requests().size() == 1; }));
    auto const slots = fixture.server->slotsInFlight();
    BOOST_REQUIRE(slots.size() == 1);
    BOOST_TEST(slots[0].epoch.value == 7);
    mayAnswer = true;
    peer.readMessage();
    BOOST_TEST(eventually([&] { return fixture.server->slotsInFlight().empty(); }));
}

BOOST_AUTO_TEST_CASE(HedgedAttemptAnswersForASlowServerWhichIsCancelled)
{
    std::atomic<bool> wasCancelled { false };
    FakeBackend slow([&](Peer& peer, FakeBackend& self) {
        self.next(peer);
        wasCancelled = peer.isClosedWithin(2s);
    });
    FakeBackend fast(FakeBackend::answering("hedged"));
    Fixture fixture({ &slow, &fast });
    fixture.control.hedgeAfter = 30ms;
    BOOST_TEST(bodyOf(fixture.request("GET /uploads/1 HTTP/1.1\r\nHost: h\r\n\r\n")) == "hedged");
    BOOST_TEST(eventually([&] { return wasCancelled.load(); }));
    BOOST_TEST((fixture.control.acquires().at(1).kind == AttemptKind::Hedge));
    BOOST_TEST(fixture.control.allPermitsReleased());
    fixture.request(
        "POST /uploads/1 HTTP/1.1\r\nHost: h\r\nPrimroseshift-Deadline-Ms: 200\r\nContent-Length: 0\r\n\r\n");
    BOOST_TEST(fixture.control.acquires().size() == 3, "non-idempotent work must not be hedged");
}

BOOST_AUTO_TEST_SUITE_END()
