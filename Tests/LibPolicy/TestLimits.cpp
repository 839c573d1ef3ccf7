#include "GroupFixture.h"

#include <LibPolicy/SlowStartLimit.h>

namespace {

/// Reports answers with all permits of the limit in use, 50 ms apart.
void answer(SlowStartLimit& limit, Core::TimePoint& now, int count, double ratio)
{
    for (int i = 0; i < count; ++i) {
        now += 50ms;
        limit.observe({ now, AttemptOutcome::Answered, ratio, limit.current() });
    }
}

SlowStartLimit limitFor(std::uint32_t slots)
{
    SlowStartLimit limit({ .answersPerStep = 6 });
    limit.setSlots(slots);
    limit.markCold(Core::TimePoint { 1h });
    return limit;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Limits)

/// Guards against a cold server that stays at one request, and against a limit above the slots.
BOOST_AUTO_TEST_CASE(LimitRisesToTheSlots)
{
    auto limit = limitFor(4);
    Core::TimePoint now { 1h };
    BOOST_TEST(limit.current() == 1U);
    answer(limit, now, 9, 1);
    BOOST_TEST(limit.current() == 1U);
    answer(limit, now, 2, 1);
    BOOST_TEST(limit.current() == 2U);
    answer(limit, now, 200, 1);
    BOOST_TEST(limit.current() == 4U);
    BOOST_TEST(!limit.isCold());
}

/// Guards against raising the limit of a server whose latency shows that it is still warming up.
BOOST_AUTO_TEST_CASE(LimitWaitsWhileTheServerIsSlow)
{
    auto limit = limitFor(4);
    Core::TimePoint now { 1h };
    double ratio = 8;
    while (ratio > 1.6) {
        answer(limit, now, 10, ratio);
        ratio *= 0.85;
    }
    BOOST_TEST(limit.current() == 1U);
    answer(limit, now, 30, 1);
    BOOST_TEST(limit.current() > 1U);
}

/// Guards against a permanently slower server that never gets more than one request.
BOOST_AUTO_TEST_CASE(StableSlownessIsAcceptedInTheEnd)
{
    auto limit = limitFor(2);
    Core::TimePoint now { 1h };
    answer(limit, now, 30, 2.5);
    BOOST_TEST(limit.current() == 1U);
    answer(limit, now, 200, 2.5);
    BOOST_TEST(limit.current() == 2U);
}

/// Guards against raising a limit that was never reached, so that higher capacity has not been demonstrated.
BOOST_AUTO_TEST_CASE(UnusedLimitDoesNotRise)
{
    auto limit = limitFor(4);
    Core::TimePoint now { 1h };
    answer(limit, now, 10, 1);
    for (int i = 0; i < 200; ++i)
        limit.observe({ now += 50ms, AttemptOutcome::Answered, 1, 1 });
    BOOST_TEST(limit.current() == 2U);
}

/// Guards against overload of a server that became cold without a report, detected by its shed requests.
BOOST_AUTO_TEST_CASE(ShedRequestsMarkTheServerCold)
{
    auto limit = limitFor(4);
    Core::TimePoint now { 1h };
    answer(limit, now, 300, 1);
    BOOST_TEST(!limit.observe({ now, AttemptOutcome::Shed, 1, 4 }));
    BOOST_TEST(limit.current() == 3U);
    BOOST_TEST(limit.observe({ now, AttemptOutcome::Shed, 1, 3 }));
    BOOST_TEST(limit.current() == 1U);
}

/// Guards against overload of a server that became cold without a report, detected by its latency.
BOOST_AUTO_TEST_CASE(SuddenLatencyMarksTheServerCold)
{
    auto limit = limitFor(4);
    Core::TimePoint now { 1h };
    answer(limit, now, 300, 1);
    answer(limit, now, 3, 6);
    BOOST_TEST(limit.current() == 4U);
    answer(limit, now, 1, 6);
    BOOST_TEST(limit.current() == 1U);
}

/// Guards against a straggler that is left with one request long after its slow phase has ended.
BOOST_AUTO_TEST_CASE(StragglerGetsItsLimitBackAtOnce)
{
    auto limit = limitFor(4);
    Core::TimePoint now { 1h };
    answer(limit, now, 300, 1);
    answer(limit, now, 7, 10);
    BOOST_TEST(limit.current() == 1U);
    answer(limit, now, 5, 1);
    BOOST_TEST(limit.current() == 4U);
}

/// Guards against taking a server that slowly warms up for a straggler whose slow phase has ended.
BOOST_AUTO_TEST_CASE(GradualWarmingDoesNotRestoreTheLimit)
{
    auto limit = limitFor(4);
    Core::TimePoint now { 1h };
    answer(limit, now, 300, 1);
    double ratio = 5;
    while (ratio > 1.4) {
        answer(limit, now, 1, ratio);
        ratio *= 0.95;
    }
    BOOST_TEST(limit.current() == 1U);
}

/// Guards against warming up at the same pace again after that pace proved too fast.
BOOST_AUTO_TEST_CASE(ShedRequestWhileWarmingSlowsTheNextSteps)
{
    auto limit = limitFor(4);
    Core::TimePoint now { 1h };
    answer(limit, now, 11, 1);
    limit.observe({ now, AttemptOutcome::Shed, 1, 2 });
    BOOST_TEST(limit.current() == 1U);
    answer(limit, now, 15, 1);
    BOOST_TEST(limit.current() == 1U);
    answer(limit, now, 10, 1);
    BOOST_TEST(limit.current() == 2U);
}

/// Guards against a restarted or reported-cold server that keeps its warm limit (S3).
BOOST_AUTO_TEST_CASE(RestartAndColdReportResetTheLimit)
{
    GroupFixture fixture;
    fixture.addServer("a");
    fixture.warm("a");
    fixture.addServer("a", 2, 1);
    BOOST_TEST(fixture.status("a").limit == 2);
    fixture.addServer("a", 2, 2);
    BOOST_TEST(fixture.status("a").limit == 1);
    fixture.warm("a");
    fixture.send(ServerCold { { "a" } });
    BOOST_TEST(fixture.status("a").limit == 1);
}

/// Guards against load reports that raise a limit or override the dispatcher's own counts.
BOOST_AUTO_TEST_CASE(LoadReportsNeverRaiseALimit)
{
    GroupFixture fixture;
    fixture.addServer("a");
    fixture.granted(fixture.request());
    fixture.send(LoadReport { { "a" }, 0 });
    BOOST_TEST(fixture.acquire(fixture.request()).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Choice)

/// Guards against work piling up on one server while others are idle.
BOOST_AUTO_TEST_CASE(IdleServersComeFirst)
{
    GroupFixture fixture;
    for (auto const* name : { "a", "b", "c", "d" })
        fixture.addServer(name);
    std::vector<std::string> used;
    used.reserve(4);
    for (int i = 0; i < 4; ++i)
        used.push_back(fixture.granted(fixture.request()).server.value);
    std::ranges::sort(used);
    BOOST_TEST((used == std::vector<std::string> { "a", "b", "c", "d" }));
}

/// Guards against sending an even share of the work to a slow server.
BOOST_AUTO_TEST_CASE(SlowServerIsChosenLess)
{
    GroupFixture fixture;
    fixture.addServer("a");
    fixture.addServer("b");
    int slow = 0;
    for (int i = 0; i < 200; ++i) {
        auto const permit = fixture.granted(fixture.request());
        auto const isSlow = permit.server.value == "a";
        slow += isSlow ? 1 : 0;
        fixture.advance(20ms);
        fixture.release(permit, AttemptOutcome::Answered, isSlow ? 60ms : 20ms);
    }
    BOOST_TEST(slow < 20);
}

/// Guards against a false load report that takes a server out of use.
BOOST_AUTO_TEST_CASE(FalseLoadReportsOnlyShiftPreference)
{
    GroupFixture fixture;
    fixture.addServer("a");
    fixture.addServer("b");
    fixture.send(LoadReport { { "a" }, 4'000'000'000U });
    BOOST_TEST(fixture.granted(fixture.request()).server.value == "b");
    BOOST_TEST(fixture.granted(fixture.request()).server.value == "a");
}

/// Guards against a retry at the server that just failed while another is free.
BOOST_AUTO_TEST_CASE(RetryAvoidsServersAlreadyTried)
{
    DispatchSettings settings;
    settings.retry.budgetRatio = 1;
    GroupFixture fixture(settings);
    fixture.addServer("a");
    fixture.addServer("b");
    auto request = fixture.request();
    auto const first = fixture.granted(request);
    fixture.release(first, AttemptOutcome::Shed);
    request.kind = AttemptKind::Retry;
    request.excluded = { first.server };
    BOOST_TEST((fixture.granted(request).server != first.server));
}

BOOST_AUTO_TEST_SUITE_END()
