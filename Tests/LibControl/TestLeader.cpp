#include "Fixtures.h"
#include "Simulation/Simulation.h"

using namespace Control;
using namespace Fixtures;

namespace {

/// A leader whose proposals are committed at once.
struct Rig : Replica {
    Leader leader { state, std::make_unique<BalancedPlacement>() };
    Core::TimePoint now { 1h };
    bool hasQuorum { true };
    std::map<std::string, std::uint64_t> sequences;
    std::vector<SlotRef> held;

    Rig()
    {
        expect<EditAccepted>(edit("e1", 0, tables()));
        expect<Accepted>(JoinEntryHost { entryHost("h1") });
        step(BecameLeader { 1 });
    }

    std::optional<HeartbeatAnswer> step(Event const& event)
    {
        std::optional<HeartbeatAnswer> answer;
        for (auto& action : leader.step(now, event)) {
            if (auto* proposal = std::get_if<Propose>(&action)) {
                apply(proposal->command);
                step(StateApplied {});
            } else {
                answer = std::get<HeartbeatAnswer>(std::move(action));
            }
        }
        return answer;
    }
    /// A heartbeat of h1 that applied the current view unless told otherwise.
    HeartbeatAnswer heartbeat(std::vector<Announcement> announcements = {},
        std::optional<Core::ViewVersion> applied = {}, std::string const& host = "h1")
    {
        return *step(Heartbeat { .host = entryHost(host),
            .sequence = ++sequences[host],
            .appliedVersion = applied.value_or(state.viewVersion()),
            .announcements = std::move(announcements),
            .heldReleases = held });
    }
    void pass(Core::Duration duration)
    {
        for (auto const end = now + duration; now < end;) {
            now += 50ms;
            if (hasQuorum)
                step(QuorumContact { now });
            step(Tick {});
        }
    }
    /// Lets time pass while the servers announce themselves through h1.
    void passWith(std::vector<Routing::BackendServer> const& servers, Core::Duration duration)
    {
        for (auto const end = now + duration; now < end;) {
            std::vector<Announcement> announcements;
            announcements.reserve(servers.size());
            for (auto const& server : servers)
                announcements.push_back({ .server = server });
            heartbeat(announcements);
            pass(100ms);
        }
    }
    std::size_t ownedBy(std::string const& name) const
    {
        auto const* record = state.findServer({ name });
        return record ? record->ownedSlots : 0;
    }
};

/// One checked server owns all slots.
struct OneOwner : Rig {
    Routing::BackendServer s1 { server("s1") };
    Routing::BackendServer s2 { server("s2", "letter", "b", false) };

    OneOwner()
    {
        passWith({ s1 }, 5s);
        BOOST_REQUIRE(ownedBy("s1") == 4U);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeaderDecisions, OneOwner)

// Guards against grants by a leader that may have been replaced: partitioned from its followers, or just resumed.
BOOST_AUTO_TEST_CASE(WithoutFreshQuorumContactNothingIsGranted)
{
    BOOST_TEST((heartbeat({ { .server = s1 } }).viewLease == 2s));
    now += 391ms;
    auto const answer = heartbeat({ { .server = s1 } });
    BOOST_TEST((answer.viewLease == 0s));
    BOOST_TEST((answer.grants.front().timeToLive == 0s));
    BOOST_TEST(answer.grants.front().slots.empty());
}

// Guards against an entry host that stays with a leader which was cut off from its quorum until its view lease ends.
BOOST_AUTO_TEST_CASE(AnswersTellWhetherTheLeaderHasItsQuorum)
{
    BOOST_TEST(heartbeat({}).hasQuorum);
    now += 391ms;
    BOOST_TEST(!heartbeat({}).hasQuorum);
}

// Guards against loss of all servers after a pause of the leader, while their heartbeats wait in its queue.
BOOST_AUTO_TEST_CASE(AResumedLeaderHearsWaitingHeartbeatsFirst)
{
    now += 5s;
    step(QuorumContact { now });
    step(Tick {});
    BOOST_TEST(!state.findServer({ "s1" })->lost);
    heartbeat({ { .server = s1 } });
    pass(1s);
    BOOST_TEST(!state.findServer({ "s1" })->lost);
    pass(1s);
    BOOST_TEST(state.findServer({ "s1" })->lost);
}

// Guards against a server that resumes after a freeze, or turns cold, and serves slots as if nothing had happened.
BOOST_AUTO_TEST_CASE(AServerThatReturnsGetsNothingItLost)
{
    passWith({ s1, s2 }, 1s);
    auto const grantBefore = heartbeat({ { .server = s1 } }).grants.front();
    passWith({ s2 }, 2s);
    BOOST_TEST(state.findServer({ "s1" })->lost);
    BOOST_TEST(ownedBy("s2") == 4U);
    auto const first = heartbeat({ { .server = s1 } }).grants.front();
    BOOST_TEST((first.timeToLive == 0s));
    auto const later = heartbeat({ { .server = s1 } }).grants.front();
    for (auto const& slot : later.slots)
        BOOST_TEST(!std::ranges::count(grantBefore.slots, slot));
    BOOST_TEST((state.findServer({ "s1" })->server.coldSince > state.findServer({ "s2" })->server.coldSince));
    auto const coldBefore = state.findServer({ "s2" })->server.coldSince;
    heartbeat({ { .server = s2, .cold = true } });
    BOOST_TEST((state.findServer({ "s2" })->server.coldSince > coldBefore));
}

// Guards against an owner assigned by a new leader while a grant of the earlier leader is valid.
BOOST_AUTO_TEST_CASE(ANewLeaderWaitsOutEarlierGrants)
{
    passWith({ s1, s2 }, 1s);
    apply(ServerLost { { "s1" }, { 1 } });
    step(LostLeadership {});
    BOOST_TEST(!leader.effectiveVersion(now).has_value());
    BOOST_TEST(leader.step(now, Tick {}).empty());
    now += 500ms;
    step(BecameLeader { 2 });
    auto const freeFrom = now + 1'500ms;
    while (ownedBy("s2") == 0 && now < freeFrom + 1s)
        passWith({ s2 }, 50ms);
    BOOST_TEST((now > freeFrom));
    BOOST_TEST(ownedBy("s2") == 4U);
}

// Guards against a request sent to an owner that checks no tokens by an entry host that has an old view.
BOOST_AUTO_TEST_CASE(ANonCheckingOwnerIsReplacedOnceEntryHostsKnow)
{
    passWith({ s1, s2 }, 1s);
    passWith({ s2 }, 2s);
    BOOST_REQUIRE(ownedBy("s2") == 4U);
    auto const before = state.viewVersion();
    for (auto i = 0; i < 20; ++i) {
        heartbeat({ { .server = s1 } }, before);
        pass(100ms);
    }
    BOOST_TEST(state.findServer({ "s2" })->lost);
    BOOST_TEST(ownedBy("s1") == 0U);
    heartbeat({ { .server = s1 } });
    pass(100ms);
    BOOST_TEST(ownedBy("s1") == 4U);
}

// Guards against a planned move that overlaps: the old owner still has requests, or still believes it owns the slot.
BOOST_AUTO_TEST_CASE(APlannedMoveHasTwoPhases)
{
    passWith({ s1, s2 }, 40s);
    BOOST_REQUIRE(ownedBy("s1") == 2U);
    auto const version = state.viewVersion();
    expect<Accepted>(DrainServer { { "s1" }, DrainCause::Operator, true, {} });
    auto const view = state.viewVersion();
    pass(50ms);
    std::vector<SlotRef> all;
    for (std::uint64_t i = 0; i < 4; ++i)
        all.push_back({ { "letter" }, { i } });
    // The entry host has not applied the view yet: the owner keeps its grant.
    auto grant = heartbeat({ { .server = s1 }, { .server = s2 } }, version).grants.front();
    BOOST_TEST(grant.release.empty());
    BOOST_TEST(grant.slots.size() == ownedBy("s1"));
    BOOST_TEST((state.viewVersion() > view));
    // Requests are in flight at the old owner.
    held = all;
    passWith({ s1, s2 }, 5s);
    grant = heartbeat({ { .server = s1 } }).grants.front();
    BOOST_TEST(grant.release.empty());
    BOOST_TEST(ownedBy("s1") > 0U);
    // They have completed: the owner is asked, and its grant ends unless it confirms earlier.
    held.clear();
    passWith({ s1, s2 }, 200ms);
    grant = heartbeat({ { .server = s1 } }).grants.front();
    BOOST_TEST(grant.slots.empty());
    BOOST_REQUIRE(!grant.release.empty());
    auto const owned = ownedBy("s1");
    BOOST_TEST(grant.release.size() == owned);
    heartbeat({ { .server = s1, .released = { { grant.release.front().slot, { 99 } } } } });
    passWith({ s1, s2 }, 200ms);
    BOOST_TEST(ownedBy("s1") == owned);
    heartbeat({ { .server = s1, .released = grant.release } });
    pass(50ms);
    BOOST_TEST(ownedBy("s1") == 0U);
    BOOST_TEST(ownedBy("s2") == 4U);
}

// Guards against an owner that does not answer a request to release.
BOOST_AUTO_TEST_CASE(AnUnconfirmedReleaseEndsWithTheGrant)
{
    passWith({ s1, s2 }, 1s);
    expect<Accepted>(DrainServer { { "s1" }, DrainCause::Operator, true, {} });
    passWith({ s1, s2 }, 1'400ms);
    BOOST_TEST(ownedBy("s1") > 0U);
    passWith({ s1, s2 }, 600ms);
    BOOST_TEST(ownedBy("s1") == 0U);
}

// Guards against an edit reported as in effect while a host with a lease routes by an old view, and against a host
// without a lease that holds it up for ever.
BOOST_AUTO_TEST_CASE(AVersionIsInEffectOnceEachLiveHostAppliedIt)
{
    heartbeat({}, {}, "h2");
    heartbeat({}, {}, "h2");
    auto const old = state.viewVersion();
    expect<EditAccepted>(edit("e2", 1, std::vector<EditOperation> { PutPool { { .name = { "scan" } } } }));
    auto const wanted = state.viewVersion();
    auto const answer = heartbeat({}, old);
    BOOST_REQUIRE(answer.view);
    BOOST_TEST((answer.view->version == wanted));
    heartbeat();
    BOOST_TEST(!heartbeat().view);
    BOOST_TEST(!leader.isInEffect(wanted, now));
    BOOST_TEST((*leader.effectiveVersion(now) == old));
    for (auto i = 0; i < 21; ++i) {
        BOOST_TEST(state.entryHosts().contains({ "h2" }));
        heartbeat();
        pass(100ms);
    }
    BOOST_TEST(leader.isInEffect(wanted, now));
    BOOST_TEST(!state.entryHosts().contains({ "h2" }));
}

// Guards against a restarted entry host that takes the place of one that may still believe in its lease.
BOOST_AUTO_TEST_CASE(ARestartedEntryHostWaitsForTheEarlierLease)
{
    heartbeat();
    Heartbeat restarted { .host = entryHost("h1", 2), .sequence = 1, .appliedVersion = state.viewVersion() };
    for (auto waited = 0ms; waited < 2'000ms; waited += 100ms) {
        BOOST_TEST((step(restarted)->viewLease == 0s));
        BOOST_TEST(state.entryHosts().at({ "h1" }).incarnation.value == 1U);
        pass(100ms);
    }
    pass(100ms);
    step(restarted);
    ++restarted.sequence;
    BOOST_TEST((step(restarted)->viewLease == 2s));
}

BOOST_AUTO_TEST_CASE(OnlyTheCurrentOwnerIsConfirmed)
{
    auto const epoch = slot(0).epoch;
    BOOST_TEST(!leader.confirmOwner({ "letter" }, { 0 }, epoch).isError());
    BOOST_TEST(leader.confirmOwner({ "letter" }, { 0 }, epoch.next()).isError());
    BOOST_TEST(leader.confirmOwner({ "letter" }, { 99 }, epoch).isError());
    passWith({ s1, s2 }, 1s);
    expect<SlotsChanged>(release(0, slot(0).epoch.value, slot(0).owner.value, "s2"));
    BOOST_TEST(leader.confirmOwner({ "letter" }, { 0 }, slot(0).epoch).isError());
}

// Guards against a refusal of drains by wrong figures, and against announcements that change nothing being committed.
BOOST_AUTO_TEST_CASE(DemandIsMeasuredAndQuietAnnouncementsCommitNothing)
{
    heartbeat({ { .server = s1, .busySlots = 2.5 } });
    std::vector<PoolDemand> const expected { { { "letter" }, 2.5 } };
    BOOST_TEST((leader.measuredDemand() == expected));
    auto const before = index;
    passWith({ s1 }, 10s);
    BOOST_TEST(index == before);
    heartbeat({ { .server = s1, .draining = true } });
    BOOST_TEST(state.findServer({ "s1" })->drainedByAnnouncement);
    heartbeat({ { .server = s1 } });
    BOOST_TEST(!state.findServer({ "s1" })->drainedByAnnouncement);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FailureDomains)

// Guards against a drained domain that gets new work after 3 s, against a gap, and against a domain that returns with
// its full share at once.
BOOST_AUTO_TEST_CASE(ADomainLeavesWithinSecondsAndReturnsGradually)
{
    Simulation::World world({ .seed = 5, .servers = 9, .slots = 90, .checking = 0.5 });
    world.run(60s);
    auto const& state = world.leading().state;
    auto const slotsOf = [&](std::string const& domain) {
        std::uint32_t owned = 0;
        for (auto const& [name, record] : state.servers())
            owned += record.server.failureDomain.value == domain ? record.ownedSlots : 0;
        return owned;
    };
    BOOST_TEST(slotsOf("1") > 20U);
    world.propose(DrainDomain { { "1" }, false, world.leading().leader->measuredDemand() });
    world.run(3s);
    BOOST_TEST(slotsOf("1") == 0U);
    world.run(500ms);
    BOOST_TEST(world.servedSlots() == 90U);
    world.propose(ReturnDomain { { "1" } });
    world.run(4s);
    BOOST_TEST(slotsOf("1") > 0U);
    BOOST_TEST(slotsOf("1") < 15U);
    world.run(60s);
    BOOST_TEST(slotsOf("1") > 20U);
    BOOST_TEST(world.violations.empty());
}

BOOST_AUTO_TEST_SUITE_END()
