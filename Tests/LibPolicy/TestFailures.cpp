#include "GroupFixture.h"

#include <LibPolicy/CrashTracker.h>
#include <LibPolicy/RetryRule.h>

using Routing::RequestClass;

BOOST_AUTO_TEST_SUITE(Retries)

/// Guards against running non-idempotent work twice (S7), also when a holder asks for it by mistake.
BOOST_AUTO_TEST_CASE(WorkThatMayHaveRunIsNotRetried)
{
    for (auto const outcome : { AttemptOutcome::ConnectionLost, AttemptOutcome::TimedOut, AttemptOutcome::Cancelled,
             AttemptOutcome::Answered }) {
        BOOST_TEST(!mayRetry(RequestClass::NonIdempotent, outcome));
    }
    BOOST_TEST(mayRetry(RequestClass::NonIdempotent, AttemptOutcome::Shed));
    BOOST_TEST(mayRetry(RequestClass::NonIdempotent, AttemptOutcome::ConnectFailed));
    BOOST_TEST(mayRetry(RequestClass::Idempotent, AttemptOutcome::ConnectionLost));

    DispatchSettings settings;
    settings.retry.budgetRatio = 1;
    GroupFixture fixture(settings);
    fixture.addServer("a");
    auto request = fixture.ownedBy("a");
    request.requestClass = RequestClass::NonIdempotent;
    fixture.release(fixture.granted(request));
    request.kind = AttemptKind::Retry;
    BOOST_TEST((fixture.refused(request).reason == RefusalReason::RetryBudgetExhausted));
    request.previousOutcome = AttemptOutcome::TimedOut;
    BOOST_TEST((fixture.refused(request).reason == RefusalReason::RetryBudgetExhausted));
    request.previousOutcome = AttemptOutcome::Shed;
    fixture.granted(request);
}

/// Guards against retries that multiply the load of a failing pool.
BOOST_AUTO_TEST_CASE(RetriesStayWithinATenthOfFirstAttempts)
{
    GroupFixture fixture;
    fixture.addServer("a");
    for (int i = 0; i < 500; ++i) {
        auto request = fixture.ownedBy("a");
        fixture.release(fixture.granted(request), AttemptOutcome::Shed);
        request.kind = AttemptKind::Retry;
        for (auto const& grant : GroupFixture::only<Granted>(fixture.acquire(request)))
            fixture.release(grant.permit, AttemptOutcome::Shed);
    }
    auto const& counters = fixture.group.counters();
    BOOST_TEST(counters.retries <= 50U);
    BOOST_TEST(counters.retries >= 45U);
    BOOST_TEST(counters.refusedBudget == 500 - counters.retries);
}

/// Guards against retries that start after, or cannot end before, the deadline, and against synchronized retries.
BOOST_AUTO_TEST_CASE(BackoffIsJitteredAndCountsTheTimeSpent)
{
    Core::Random random(3);
    Core::TimePoint const now { 1h };
    Core::Duration shortest = 1h;
    Core::Duration longest {};
    for (int i = 0; i < 200; ++i) {
        auto const plan = planRetry(now, now + 1s, RequestClass::Idempotent, AttemptOutcome::TimedOut, 2, 10ms, random);
        BOOST_REQUIRE(plan.has_value());
        shortest = std::min(shortest, plan->delay);
        longest = std::max(longest, plan->delay);
    }
    BOOST_TEST(shortest < 1ms);
    BOOST_TEST(longest > 9ms);
    BOOST_TEST(longest <= 10ms);
    BOOST_TEST(!planRetry(now, now + 9ms, RequestClass::Idempotent, AttemptOutcome::Shed, 1, 10ms, random));
    BOOST_TEST(!planRetry(now, now + 1s, RequestClass::Idempotent, AttemptOutcome::Shed, 3, 10ms, random));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Hedging)

/// Guards against hedges of non-idempotent requests, hedges at the same server, and hedges beyond the budget.
BOOST_AUTO_TEST_CASE(HedgesAreBoundedAndGoElsewhere)
{
    GroupFixture fixture;
    fixture.addServer("a");
    fixture.addServer("b");
    std::optional<Core::Duration> delay;
    for (int i = 0; i < 100; ++i) {
        auto const permit = fixture.granted(fixture.request());
        fixture.advance(10ms);
        fixture.release(permit, AttemptOutcome::Answered, 10ms);
        delay = permit.hedgeAfter;
    }
    BOOST_REQUIRE(delay.has_value());
    BOOST_TEST(*delay >= 10ms);
    BOOST_TEST(*delay < 100ms);

    auto order = fixture.request();
    order.requestClass = RequestClass::NonIdempotent;
    auto const orderPermit = fixture.granted(order);
    BOOST_TEST(!orderPermit.hedgeAfter);
    order.kind = AttemptKind::Hedge;
    order.previousOutcome = AttemptOutcome::Shed;
    fixture.refused(order);
    fixture.release(orderPermit);

    auto request = fixture.request();
    auto const first = fixture.granted(request);
    request.kind = AttemptKind::Hedge;
    request.excluded = { first.server };
    auto const second = fixture.granted(request);
    BOOST_TEST((second.server != first.server));
    request.excluded = { first.server, second.server };
    BOOST_TEST((fixture.refused(request).reason == RefusalReason::Overloaded));
    int granted = 0;
    for (int i = 0; i < 50; ++i) {
        request.excluded = { first.server };
        for (auto const& action : fixture.acquire(request)) {
            if (auto const* grant = std::get_if<Granted>(&action)) {
                ++granted;
                fixture.release(grant->permit);
            }
        }
    }
    BOOST_TEST(granted <= 10);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Ejection)

/// Guards against a straggler that keeps its share of the work, and against its return at the full limit.
BOOST_AUTO_TEST_CASE(StragglerIsEjectedAndReturnsWithOneRequest)
{
    GroupFixture fixture;
    for (auto const* name : { "a", "b", "c", "d" })
        fixture.addServer(name);
    std::vector<ServerEjected> ejected;
    for (int i = 0; i < 60 && ejected.empty(); ++i) {
        std::vector<Permit> permits;
        permits.reserve(4);
        for (int n = 0; n < 4; ++n)
            permits.push_back(fixture.granted(fixture.request()));
        auto const actions = fixture.advance(10ms);
        ejected = GroupFixture::only<ServerEjected>(actions);
        for (auto const& permit : permits)
            fixture.release(permit, AttemptOutcome::Answered, permit.server.value == "c" ? 100ms : 10ms);
    }
    BOOST_REQUIRE_EQUAL(ejected.size(), 1);
    BOOST_TEST(ejected[0].server.value == "c");
    for (int n = 0; n < 3; ++n)
        BOOST_TEST(fixture.granted(fixture.request()).server.value != "c");
    auto const back = GroupFixture::only<ServerReinstated>(fixture.advance(1s));
    BOOST_REQUIRE_EQUAL(back.size(), 1);
    BOOST_TEST(fixture.status("c").limit == 1);
}

/// Guards against ejecting so many servers that the rest is overloaded.
BOOST_AUTO_TEST_CASE(ShareOfEjectedServersIsCapped)
{
    StragglerEjection rule(EjectionSettings {});
    std::vector<ServerHealth> servers;
    for (std::size_t i = 0; i < 8; ++i)
        servers.push_back({ i, false, i < 3 ? 20.0 + static_cast<double>(i) : 1.0, 50 });
    BOOST_TEST((rule.evaluate(servers) == std::vector<std::size_t> { 2, 1 }));
    servers[2].ejected = true;
    servers[1].ejected = true;
    BOOST_TEST(rule.evaluate(servers).empty());
}

/// Guards against sending more work to a server that cannot be reached.
BOOST_AUTO_TEST_CASE(UnreachableServerIsPaused)
{
    GroupFixture fixture;
    fixture.addServer("a");
    std::vector<Action> actions;
    for (int i = 0; i < 3; ++i)
        actions = fixture.release(fixture.granted(fixture.ownedBy("a")), AttemptOutcome::ConnectFailed);
    BOOST_REQUIRE_EQUAL(GroupFixture::only<ServerEjected>(actions).size(), 1);
    auto urgent = fixture.ownedBy("a");
    urgent.deadline = fixture.now + 100ms;
    BOOST_TEST((fixture.refused(urgent).reason == RefusalReason::DeadlineUnreachable));
    BOOST_TEST(fixture.acquire(fixture.ownedBy("a")).empty());
    BOOST_TEST(GroupFixture::only<Granted>(fixture.advance(600ms)).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Quarantine)

namespace {
std::vector<Action> crash(GroupFixture& fixture, Permit const& permit)
{
    return fixture.release(permit, AttemptOutcome::ConnectionLost, 0ms, true);
}
} // namespace

/// Guards against a request that crashes one server after the other.
BOOST_AUTO_TEST_CASE(RequestIsStoppedAfterTwoCrashes)
{
    GroupFixture fixture;
    for (auto const* name : { "a", "b", "c", "d" })
        fixture.addServer(name);
    auto const bad = fixture.request();
    auto const first = fixture.granted(bad);
    BOOST_TEST(GroupFixture::only<CrashSuspected>(crash(fixture, first)).size() == 1);
    auto const second = fixture.granted(bad);
    BOOST_TEST((second.server != first.server));
    crash(fixture, second);
    BOOST_TEST((fixture.refused(bad).reason == RefusalReason::Quarantined));
    auto const innocent = fixture.request();
    fixture.granted(innocent);
    fixture.send(QuarantineLifted { bad.fingerprint });
    fixture.granted(bad);
}

/// Guards against stopping an innocent request because it shared its servers with the one that crashed them.
BOOST_AUTO_TEST_CASE(SuspectRunsAloneAndIsCleared)
{
    GroupFixture fixture;
    fixture.addServer("a");
    fixture.addServer("b");
    fixture.warm("a");
    fixture.warm("b");
    auto const innocent = fixture.ownedBy("a");
    auto const permit = fixture.granted(innocent);
    crash(fixture, permit);
    auto const other = fixture.granted(fixture.ownedBy("b"));
    auto again = innocent;
    again.owner = Core::ServerName { "b" };
    BOOST_TEST(fixture.acquire(again).empty());
    auto const grants = GroupFixture::only<Granted>(fixture.release(other));
    BOOST_REQUIRE_EQUAL(grants.size(), 1);
    BOOST_TEST(fixture.acquire(fixture.ownedBy("b")).empty());
    auto const actions = fixture.release(grants[0].permit);
    BOOST_TEST(GroupFixture::only<SuspicionCleared>(actions).size() == 1);
    BOOST_TEST(GroupFixture::only<Granted>(actions).size() == 1);
    fixture.granted(again);
}

/// Guards against concurrent copies of a crashing request that each crash a server, and against delaying copies of a
/// request that has already been answered.
BOOST_AUTO_TEST_CASE(ConcurrentCopiesCrashNoMoreServers)
{
    GroupFixture fixture;
    for (auto const* name : { "a", "b", "c", "d" })
        fixture.addServer(name);
    auto const bad = fixture.request();
    auto const first = fixture.granted(bad);
    auto const second = fixture.granted(bad);
    BOOST_TEST(fixture.acquire(bad).empty());
    BOOST_TEST(GroupFixture::only<Granted>(crash(fixture, first)).empty());
    auto const refusals = GroupFixture::only<Refused>(crash(fixture, second));
    BOOST_REQUIRE_EQUAL(refusals.size(), 1);
    BOOST_TEST((refusals[0].refusal.reason == RefusalReason::Quarantined));

    GroupFixture other;
    for (auto const* name : { "a", "b", "c", "d" })
        other.addServer(name);
    auto const good = other.request();
    auto const answered = other.granted(good);
    other.granted(good);
    BOOST_TEST(other.acquire(good).empty());
    BOOST_TEST(GroupFixture::only<Granted>(other.release(answered)).size() == 1);
    other.granted(good);
}

/// Guards against a server that stays reserved, and so unused, after the acquire of its suspect was cancelled.
BOOST_AUTO_TEST_CASE(ReservationEndsWithItsSuspect)
{
    GroupFixture fixture;
    fixture.addServer("a");
    auto const bad = fixture.ownedBy("a");
    crash(fixture, fixture.granted(bad));
    fixture.advance(600ms);
    auto const other = fixture.granted(fixture.ownedBy("a"));
    BOOST_TEST(fixture.acquire(bad).empty());
    fixture.send(Cancel { { fixture.tickets } });
    fixture.release(other);
    fixture.granted(fixture.ownedBy("a"));
}

/// Guards against a quarantine decided by the control hosts that does not apply to requests already in the queue.
BOOST_AUTO_TEST_CASE(ExternalQuarantineStopsWaitingWorkAndExpires)
{
    GroupFixture fixture;
    fixture.addServer("a");
    auto const held = fixture.granted(fixture.ownedBy("a"));
    auto const bad = fixture.ownedBy("a");
    BOOST_TEST(fixture.acquire(bad).empty());
    fixture.send(QuarantineAdded { bad.fingerprint, fixture.now + 1s });
    auto const refusals = GroupFixture::only<Refused>(fixture.release(held));
    BOOST_REQUIRE_EQUAL(refusals.size(), 1);
    BOOST_TEST((refusals[0].refusal.reason == RefusalReason::Quarantined));
    fixture.advance(1100ms);
    fixture.granted(bad);
}

/// Guards against counting one crash twice, and against suspicions that are kept for ever.
BOOST_AUTO_TEST_CASE(TrackerMergesReportsOfSeveralDispatchers)
{
    CrashTracker tracker(QuarantineSettings {});
    Core::TimePoint const now { 1h };
    Core::Digest const bad { 1, 2 };
    BOOST_TEST(!tracker.recordCrash(now, bad, { "a" }));
    BOOST_TEST(!tracker.recordCrash(now, bad, { "a" }));
    BOOST_TEST(tracker.recordCrash(now + 1s, bad, { "b" }));
    BOOST_TEST(!tracker.recordCrash(now + 2s, bad, { "c" }));
    BOOST_TEST(tracker.quarantined(now + 2s).size() == 1U);
    BOOST_TEST(!tracker.isQuarantined(now + 11min, bad));
    tracker.expire(now + 11min);
    BOOST_TEST(tracker.isEmpty());
    BOOST_TEST(!tracker.recordCrash(now, bad, { "a" }));
    BOOST_TEST(!tracker.recordCrash(now + 11min, bad, { "b" }));
}

BOOST_AUTO_TEST_SUITE_END()
