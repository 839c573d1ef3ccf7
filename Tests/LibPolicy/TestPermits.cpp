#include "GroupFixture.h"

BOOST_AUTO_TEST_SUITE(Permits)

/// Guards against more work in flight at a server than its limit allows, and against a lost or doubled count.
BOOST_AUTO_TEST_CASE(ColdServerGetsOneRequestAtATime)
{
    GroupFixture fixture;
    fixture.addServer("a", 4);
    auto const first = fixture.granted(fixture.ownedBy("a"));
    BOOST_TEST(fixture.acquire(fixture.ownedBy("a")).empty());
    auto const next = GroupFixture::only<Granted>(fixture.release(first));
    BOOST_TEST(next.size() == 1);
    BOOST_TEST(fixture.status("a").inFlight == 1);
    BOOST_TEST(fixture.release(first).empty());
    BOOST_TEST(fixture.status("a").inFlight == 1);
    BOOST_TEST(fixture.group.counters().unknownReleases == 1);
}

/// Guards against granting a request after its deadline has passed in the queue.
BOOST_AUTO_TEST_CASE(WaitingRequestIsRefusedAtItsDeadline)
{
    GroupFixture fixture;
    fixture.addServer("a");
    auto const held = fixture.granted(fixture.ownedBy("a"));
    auto late = fixture.ownedBy("a");
    late.deadline = fixture.now + 50ms;
    BOOST_TEST(fixture.acquire(late).empty());
    auto const refusals = GroupFixture::only<Refused>(fixture.advance(60ms));
    BOOST_REQUIRE_EQUAL(refusals.size(), 1);
    BOOST_TEST((refusals[0].refusal.reason == RefusalReason::DeadlineUnreachable));
    BOOST_TEST(refusals[0].refusal.retryAfter.count() > 0);
    BOOST_TEST(GroupFixture::only<Granted>(fixture.release(held)).empty());
}

/// Guards against a grant after the caller withdrew.
BOOST_AUTO_TEST_CASE(CancelledAcquireIsNotGranted)
{
    GroupFixture fixture;
    fixture.addServer("a");
    auto const held = fixture.granted(fixture.ownedBy("a"));
    fixture.acquire(fixture.ownedBy("a"));
    auto const refusals = GroupFixture::only<Refused>(fixture.send(Cancel { { fixture.tickets } }));
    BOOST_REQUIRE_EQUAL(refusals.size(), 1);
    BOOST_TEST((refusals[0].refusal.reason == RefusalReason::Cancelled));
    BOOST_TEST(fixture.release(held).empty());
}

/// Guards against counting a lost holder's permits too briefly, which overloads the server, or for ever.
BOOST_AUTO_TEST_CASE(PermitsOfALostHolderCountUntilItsLeaseEnds)
{
    GroupFixture fixture;
    fixture.addServer("a");
    fixture.granted(fixture.ownedBy("a"));
    fixture.send(HolderLost { { "entry1" }, fixture.now + 2s });
    auto waiting = fixture.ownedBy("a");
    waiting.holder = { "entry2" };
    BOOST_TEST(fixture.acquire(waiting).empty());
    BOOST_TEST(GroupFixture::only<Granted>(fixture.advance(1900ms)).empty());
    BOOST_TEST(GroupFixture::only<Granted>(fixture.advance(200ms)).size() == 1);
    BOOST_TEST(fixture.group.counters().expiredPermits == 1);
}

/// Guards against a request that waits for a holder that no longer exists and takes a slot.
BOOST_AUTO_TEST_CASE(WaitingRequestsOfALostHolderAreDropped)
{
    GroupFixture fixture;
    fixture.addServer("a");
    auto const held = fixture.granted(fixture.ownedBy("a"));
    auto waiting = fixture.ownedBy("a");
    waiting.holder = { "entry2" };
    fixture.acquire(waiting);
    BOOST_TEST(GroupFixture::only<Refused>(fixture.send(HolderLost { { "entry2" }, fixture.now + 2s })).size() == 1);
    BOOST_TEST(fixture.release(held).empty());
}

/// Guards against new work for a draining or removed server (S8), and against requests that stay queued for it.
BOOST_AUTO_TEST_CASE(DrainingServerGetsNoNewWork)
{
    GroupFixture fixture;
    fixture.addServer("a");
    auto const held = fixture.granted(fixture.ownedBy("a"));
    fixture.acquire(fixture.ownedBy("a"));
    auto const refusals = GroupFixture::only<Refused>(fixture.send(ServerPresent { { "a" }, { 1 }, 2, true }));
    BOOST_REQUIRE_EQUAL(refusals.size(), 1);
    BOOST_TEST((refusals[0].refusal.reason == RefusalReason::NoServer));
    BOOST_TEST((fixture.refused(fixture.ownedBy("a")).reason == RefusalReason::NoServer));
    BOOST_TEST((fixture.refused(fixture.request()).reason == RefusalReason::NoServer));
    fixture.send(ServerRemoved { { "a" } });
    BOOST_TEST(fixture.status("a").inFlight == 1);
    fixture.release(held);
    BOOST_TEST(fixture.group.servers().empty());
}

/// Guards against overload after a server left and returned while its old requests still run.
BOOST_AUTO_TEST_CASE(ReturnedServerKeepsTheCountOfItsOldRequests)
{
    GroupFixture fixture;
    fixture.addServer("a");
    auto const held = fixture.granted(fixture.ownedBy("a"));
    fixture.send(ServerRemoved { { "a" } });
    fixture.addServer("a", 2, 2);
    BOOST_TEST(fixture.acquire(fixture.ownedBy("a")).empty());
    BOOST_TEST(GroupFixture::only<Granted>(fixture.release(held)).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TakeOver)

/// Guards against grants before all entry hosts registered what they hold.
BOOST_AUTO_TEST_CASE(NothingIsGrantedBeforeStart)
{
    GroupFixture fixture({}, false);
    fixture.addServer("a");
    BOOST_TEST(fixture.acquire(fixture.ownedBy("a")).empty());
    BOOST_TEST(fixture.advance(100ms).empty());
    BOOST_TEST(GroupFixture::only<Granted>(fixture.send(Start {})).size() == 1);
}

/// Guards against old and new dispatcher together exceeding the limit of a server.
BOOST_AUTO_TEST_CASE(RegisteredPermitsCountAndProveCapacity)
{
    GroupFixture fixture({ .permitPrefix = 2 }, false);
    fixture.addServer("a", 4);
    std::vector<Permit> held;
    for (std::uint64_t id = 1; id <= 3; ++id) {
        held.push_back({ { id }, { "a" }, std::nullopt });
        fixture.send(RegisterHeld { held.back(), { "entry1" }, { "route" }, {} });
    }
    fixture.send(RegisterHeld { held.back(), { "entry1" }, { "route" }, {} });
    fixture.send(Start {});
    BOOST_TEST(fixture.status("a").inFlight == 3);
    BOOST_TEST(fixture.acquire(fixture.ownedBy("a")).empty());
    auto const next = GroupFixture::only<Granted>(fixture.release(held[0]));
    BOOST_REQUIRE_EQUAL(next.size(), 1);
    BOOST_TEST(next[0].permit.id.value > held[2].id.value);
    BOOST_TEST(fixture.status("a").limit == 3);
}

/// Guards against a cold start of all servers at each change of dispatcher, and against a former limit that would
/// overload a restarted server.
BOOST_AUTO_TEST_CASE(LimitsAreHandedOver)
{
    GroupFixture fixture({}, false);
    fixture.addServer("a", 4);
    fixture.addServer("b", 4, 2);
    fixture.send(RegisterLimit { { "a" }, { 1 }, 3, 10ms });
    fixture.send(RegisterLimit { { "a" }, { 1 }, 4, 1s });
    fixture.send(RegisterLimit { { "b" }, { 1 }, 4, 10ms });
    fixture.send(Start {});
    BOOST_TEST(fixture.status("a").limit == 3);
    BOOST_TEST(fixture.status("b").limit == 1);
    BOOST_TEST(fixture.granted(fixture.ownedBy("a")).limit == 3);
}

/// Guards against a dispatcher that goes on granting after it was replaced or lost its lease.
BOOST_AUTO_TEST_CASE(ReplacedDispatcherGrantsNothing)
{
    GroupFixture fixture;
    fixture.addServer("a");
    fixture.send(LeaseExtended { fixture.now + 1s });
    auto const held = fixture.granted(fixture.ownedBy("a"));
    fixture.advance(1s);
    BOOST_TEST(fixture.acquire(fixture.ownedBy("a")).empty());
    BOOST_TEST(fixture.release(held).empty());
    auto const refusals = GroupFixture::only<Refused>(fixture.send(Stop {}));
    BOOST_REQUIRE_EQUAL(refusals.size(), 1);
    BOOST_TEST((refusals[0].refusal.reason == RefusalReason::NotDispatcher));
    BOOST_TEST((fixture.refused(fixture.ownedBy("a")).reason == RefusalReason::NotDispatcher));
}

BOOST_AUTO_TEST_SUITE_END()
