#include "Fixtures.h"
#include "Simulation/Simulation.h"

using namespace Control;
using namespace Fixtures;

namespace {

/// Leader with one entry host, h1. Proposals are committed and applied immediately.
struct LeaderFixture : Replica {
    Leader leader { state, std::make_unique<BalancedPlacement>() };
    Core::TimePoint now { 1h };
    bool hasQuorum { true };
    std::map<std::string, std::uint64_t> sequences;
    std::vector<SlotRef> held;

    LeaderFixture()
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
    /// Sends a heartbeat, by default of h1 and with the current view applied, and returns the answer.
    HeartbeatAnswer heartbeat(std::vector<Announcement> announcements = {},
        std::optional<Core::ViewVersion> applied = {}, std::string const& host = "h1")
    {
        return *step(Heartbeat { .host = entryHost(host),
            .sequence = ++sequences[host],
            .appliedVersion = applied.value_or(state.viewVersion()),
            .announcements = std::move(announcements),
            .heldReleases = held });
    }
    /// Advances the time in steps of 50 ms, each with a quorum contact and a tick.
    void advance(Core::Duration duration)
    {
        for (auto const end = now + duration; now < end;) {
            now += 50ms;
            if (hasQuorum)
                step(QuorumContact { now });
            step(Tick {});
        }
    }
    /// Advances the time while the servers announce themselves through h1.
    void advanceWithAnnouncements(std::vector<Routing::BackendServer> const& servers, Core::Duration duration)
    {
        for (auto const end = now + duration; now < end;) {
            std::vector<Announcement> announcements;
            announcements.reserve(servers.size());
            for (auto const& server : servers)
                announcements.push_back({ .server = server });
            heartbeat(announcements);
            advance(100ms);
        }
    }
    std::size_t ownedBy(std::string const& name) const
    {
        auto const* record = state.findServer({ name });
        return record ? record->ownedSlots : 0;
    }
};

/// Server s1, which checks fencing tokens, owns all slots. Server s2, which does not, is not registered yet.
struct SingleOwnerFixture : LeaderFixture {
    Routing::BackendServer s1 { server("s1") };
    Routing::BackendServer s2 { server("s2", "letter", "b", false) };

    SingleOwnerFixture()
    {
        advanceWithAnnouncements({ s1 }, 5s);
        BOOST_REQUIRE(ownedBy("s1") == 4U);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeaderDecisions, SingleOwnerFixture)

// Guards against grants by a leader that may have been replaced, since it is partitioned from its followers or has just
// resumed after a pause.
BOOST_AUTO_TEST_CASE(WithoutFreshQuorumContactNothingIsGranted)
{
    BOOST_TEST((heartbeat({ { .server = s1 } }).viewLease == 2s));
    now += 391ms;
    auto const answer = heartbeat({ { .server = s1 } });
    BOOST_TEST((answer.viewLease == 0s));
    BOOST_TEST((answer.grants.front().timeToLive == 0s));
    BOOST_TEST(answer.grants.front().slots.empty());
}

// Guards against an entry host that keeps using a leader without a quorum until its view lease expires.
BOOST_AUTO_TEST_CASE(AnswersReportWhetherTheLeaderHasAQuorum)
{
    BOOST_TEST(heartbeat({}).hasQuorum);
    now += 391ms;
    BOOST_TEST(!heartbeat({}).hasQuorum);
}

// Guards against a leader that declares all servers lost after a pause, while their heartbeats are still queued.
BOOST_AUTO_TEST_CASE(AResumedLeaderProcessesQueuedHeartbeatsBeforeDeclaringLosses)
{
    now += 5s;
    step(QuorumContact { now });
    step(Tick {});
    BOOST_TEST(!state.findServer({ "s1" })->lost);
    heartbeat({ { .server = s1 } });
    advance(1s);
    BOOST_TEST(!state.findServer({ "s1" })->lost);
    advance(1s);
    BOOST_TEST(state.findServer({ "s1" })->lost);
}

// Guards against a server that keeps its slots, or is still treated as warm, after it was paused and lost or became
// cold.
BOOST_AUTO_TEST_CASE(AReturnedServerIsNotGrantedSlotsThatItLost)
{
    advanceWithAnnouncements({ s1, s2 }, 1s);
    auto const grantBefore = heartbeat({ { .server = s1 } }).grants.front();
    advanceWithAnnouncements({ s2 }, 2s);
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

// Guards against a new leader that assigns a slot while a grant of an earlier leader is still valid.
BOOST_AUTO_TEST_CASE(ANewLeaderWaitsForEarlierGrantsToExpire)
{
    advanceWithAnnouncements({ s1, s2 }, 1s);
    apply(ServerLost { { "s1" }, { 1 } });
    step(LostLeadership {});
    BOOST_TEST(!leader.effectiveVersion(now).has_value());
    BOOST_TEST(leader.step(now, Tick {}).empty());
    now += 500ms;
    step(BecameLeader { 2 });
    auto const freeFrom = now + 1'500ms;
    while (ownedBy("s2") == 0 && now < freeFrom + 1s)
        advanceWithAnnouncements({ s2 }, 50ms);
    BOOST_TEST((now > freeFrom));
    BOOST_TEST(ownedBy("s2") == 4U);
}

// Guards against an entry host with an old view that sends requests to a former owner without fencing checks.
BOOST_AUTO_TEST_CASE(AnOwnerWithoutFencingIsReplacedAfterEntryHostsAcknowledge)
{
    advanceWithAnnouncements({ s1, s2 }, 1s);
    advanceWithAnnouncements({ s2 }, 2s);
    BOOST_REQUIRE(ownedBy("s2") == 4U);
    auto const before = state.viewVersion();
    for (auto i = 0; i < 20; ++i) {
        heartbeat({ { .server = s1 } }, before);
        advance(100ms);
    }
    BOOST_TEST(state.findServer({ "s2" })->lost);
    BOOST_TEST(ownedBy("s1") == 0U);
    heartbeat({ { .server = s1 } });
    advance(100ms);
    BOOST_TEST(ownedBy("s1") == 4U);
}

// Guards against a planned move that completes while the old owner still serves requests or still holds a valid grant.
BOOST_AUTO_TEST_CASE(APlannedMoveHasTwoPhases)
{
    advanceWithAnnouncements({ s1, s2 }, 40s);
    BOOST_REQUIRE(ownedBy("s1") == 2U);
    auto const version = state.viewVersion();
    expect<Accepted>(DrainServer { { "s1" }, DrainCause::Operator, true, {} });
    auto const view = state.viewVersion();
    advance(50ms);
    std::vector<SlotRef> all;
    for (std::uint64_t i = 0; i < 4; ++i)
        all.push_back({ { "letter" }, { i } });
    // The entry host has not applied the new view yet, so the owner keeps its grant.
    auto grant = heartbeat({ { .server = s1 }, { .server = s2 } }, version).grants.front();
    BOOST_TEST(grant.release.empty());
    BOOST_TEST(grant.slots.size() == ownedBy("s1"));
    BOOST_TEST((state.viewVersion() > view));
    // Requests in flight at the old owner delay the release.
    held = all;
    advanceWithAnnouncements({ s1, s2 }, 5s);
    grant = heartbeat({ { .server = s1 } }).grants.front();
    BOOST_TEST(grant.release.empty());
    BOOST_TEST(ownedBy("s1") > 0U);
    // The requests have completed, so the owner is asked to release its slots. A release with a wrong epoch is ignored;
    // a correct one completes the move at once.
    held.clear();
    advanceWithAnnouncements({ s1, s2 }, 200ms);
    grant = heartbeat({ { .server = s1 } }).grants.front();
    BOOST_TEST(grant.slots.empty());
    BOOST_REQUIRE(!grant.release.empty());
    auto const owned = ownedBy("s1");
    BOOST_TEST(grant.release.size() == owned);
    heartbeat({ { .server = s1, .released = { { grant.release.front().slot, { 99 } } } } });
    advanceWithAnnouncements({ s1, s2 }, 200ms);
    BOOST_TEST(ownedBy("s1") == owned);
    heartbeat({ { .server = s1, .released = grant.release } });
    advance(50ms);
    BOOST_TEST(ownedBy("s1") == 0U);
    BOOST_TEST(ownedBy("s2") == 4U);
}

// Guards against a move that never completes because the owner does not confirm the release.
BOOST_AUTO_TEST_CASE(AnUnconfirmedReleaseEndsWithTheGrant)
{
    advanceWithAnnouncements({ s1, s2 }, 1s);
    expect<Accepted>(DrainServer { { "s1" }, DrainCause::Operator, true, {} });
    advanceWithAnnouncements({ s1, s2 }, 1'400ms);
    BOOST_TEST(ownedBy("s1") > 0U);
    advanceWithAnnouncements({ s1, s2 }, 600ms);
    BOOST_TEST(ownedBy("s1") == 0U);
}

// Guards against an edit reported as in effect while an entry host with a valid lease routes by an old view, and
// against an entry host without a lease that delays it forever.
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
        advance(100ms);
    }
    BOOST_TEST(leader.isInEffect(wanted, now));
    BOOST_TEST(!state.entryHosts().contains({ "h2" }));
}

// Guards against a restarted entry host that gets a lease while its previous incarnation may still hold a valid one.
BOOST_AUTO_TEST_CASE(ARestartedEntryHostWaitsForTheEarlierLease)
{
    heartbeat();
    Heartbeat restarted { .host = entryHost("h1", 2), .sequence = 1, .appliedVersion = state.viewVersion() };
    for (auto waited = 0ms; waited < 2'000ms; waited += 100ms) {
        BOOST_TEST((step(restarted)->viewLease == 0s));
        BOOST_TEST(state.entryHosts().at({ "h1" }).incarnation.value == 1U);
        advance(100ms);
    }
    advance(100ms);
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
    advanceWithAnnouncements({ s1, s2 }, 1s);
    expect<SlotsChanged>(release(0, slot(0).epoch.value, slot(0).owner.value, "s2"));
    BOOST_TEST(leader.confirmOwner({ "letter" }, { 0 }, slot(0).epoch).isError());
}

// Guards against drains that are decided on wrong demand, and against log entries for announcements that change
// nothing.
BOOST_AUTO_TEST_CASE(DemandIsMeasuredAndUnchangedAnnouncementsCommitNothing)
{
    heartbeat({ { .server = s1, .busySlots = 2.5 } });
    std::vector<PoolDemand> const expected { { { "letter" }, 2.5 } };
    BOOST_TEST((leader.measuredDemand() == expected));
    auto const before = index;
    advanceWithAnnouncements({ s1 }, 10s);
    BOOST_TEST(index == before);
    heartbeat({ { .server = s1, .draining = true } });
    BOOST_TEST(state.findServer({ "s1" })->drainedByAnnouncement);
    heartbeat({ { .server = s1 } });
    BOOST_TEST(!state.findServer({ "s1" })->drainedByAnnouncement);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FailureDomains)

// Guards against a drained failure domain that still owns slots after 3 s, against slots that are not served after the
// drain, and against a domain that gets its full share of slots immediately after its return.
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
