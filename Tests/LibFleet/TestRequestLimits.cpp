#include "Builders.h"

#include <LibFleet/View.h>

#include <boost/test/unit_test.hpp>

using namespace TestFleet;
using namespace Fleet;

namespace {

Core::TimePoint const start { 1000s };

LimitStatement statement(std::optional<double> limit, Core::Duration sent, Core::Duration arrived)
{
    return { limit, start + sent, start + arrived };
}

/// A leader's coordinator for one pool without any consensus.
struct CoordinatorFixture {
    CoordinatorFixture()
    {
        state.apply(configure());
        for (int i = 1; i <= 4; ++i) {
            Command command;
            command.servers.joined.push_back(makeServer(i));
            state.apply(command);
        }
        coordinator = std::make_unique<Coordinator>(state, CoordinatorSettings {}, now);
    }

    ServerNumber numberOf(int index) const { return state.findServer(makeServer(index).name)->number; }

    State state;
    Core::TimePoint now { start };
    std::unique_ptr<Coordinator> coordinator;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RequestLimitTests)

BOOST_AUTO_TEST_CASE(TheNewestAnswerCounts)
{
    RequestLimit limit;
    BOOST_TEST(!limit.perSecond().has_value());
    BOOST_TEST(limit.update(statement(5.0, 0ms, 100ms)));
    BOOST_TEST(limit.update(statement(8.0, 100ms, 200ms)));
    BOOST_TEST(*limit.perSecond() == 8.0);
    BOOST_TEST(limit.update(statement(std::nullopt, 200ms, 300ms)));
    BOOST_TEST(!limit.perSecond().has_value());
}

// An answer without a limit that was under way before the first one with it does not end the limit.
BOOST_AUTO_TEST_CASE(AnAnswerThatWasOvertakenDoesNotEndTheLimit)
{
    RequestLimit limit;
    limit.update(statement(5.0, 50ms, 100ms));
    BOOST_TEST(!limit.update(statement(std::nullopt, 0ms, 400ms)));
    BOOST_TEST(!limit.update(statement(std::nullopt, 99ms, 400ms)));
    BOOST_TEST(*limit.perSecond() == 5.0);
    // Each answer with the limit restates it.
    limit.update(statement(5.0, 450ms, 500ms));
    BOOST_TEST(!limit.update(statement(std::nullopt, 480ms, 600ms)));
    BOOST_TEST(limit.update(statement(std::nullopt, 500ms, 600ms)));
}

BOOST_AUTO_TEST_CASE(AnOldAnswerDoesNotRestoreALimitThatHasEnded)
{
    RequestLimit limit;
    limit.update(statement(5.0, 0ms, 100ms));
    limit.update(statement(std::nullopt, 200ms, 300ms));
    BOOST_TEST(!limit.update(statement(5.0, 50ms, 150ms)));
    BOOST_TEST(!limit.perSecond().has_value());
}

BOOST_AUTO_TEST_CASE(OfTwoAnswersOfUnknownOrderTheLowerLimitCounts)
{
    for (auto const isReversed : { false, true }) {
        RequestLimit limit;
        limit.update(statement(isReversed ? 2.0 : 9.0, 0ms, 100ms));
        limit.update(statement(isReversed ? 9.0 : 2.0, 50ms, 150ms));
        BOOST_TEST(*limit.perSecond() == 2.0);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RequestLimitsTests)

BOOST_AUTO_TEST_CASE(ReservationsAreSpacedByTheLimitAndRefusedBeyondThePatience)
{
    RequestLimits limits;
    limits.update(1, statement(10.0, 0ms, 0ms), start);
    // A new schedule has no unused requests.
    auto const first = limits.reserve(1, 500ms, start);
    BOOST_TEST(first.isGranted);
    BOOST_TEST((first.wait >= 100ms));
    auto const second = limits.reserve(1, 500ms, start);
    BOOST_TEST(second.isGranted);
    BOOST_TEST((second.wait >= first.wait + 100ms));
    auto const impatient = limits.reserve(1, 50ms, start);
    BOOST_TEST(!impatient.isGranted);
    BOOST_TEST((impatient.wait >= second.wait + 100ms));
    BOOST_TEST(limits.reserve(1, 500ms, start).isGranted);
    // A server without a limit needs no reservation.
    BOOST_TEST(limits.reserve(2, 0ms, start).isGranted);
    limits.update(1, statement(std::nullopt, 1s, 2s), start + 2s);
    BOOST_TEST(limits.reserve(1, 0ms, start + 2s).isGranted);
    BOOST_TEST(limits.reserve(1, 0ms, start + 2s).isGranted);
}

// Zero, a fraction and a usual limit, each with more demand than it allows.
BOOST_AUTO_TEST_CASE(NoFourSecondsHoldMoreThanTheLimitAllows)
{
    for (double const limit : { 0.0, 0.2, 0.7, 3.0, 5.4, 40.0 }) {
        RequestLimits limits;
        limits.update(1, statement(limit, 0ms, 0ms), start);
        std::vector<Core::TimePoint> sends;
        for (auto now = start; now < start + 30s; now += 7ms) {
            if (auto const reservation = limits.reserve(1, 300ms, now); reservation.isGranted)
                sends.push_back(now + reservation.wait);
        }
        std::ranges::sort(sends);
        for (auto from = sends.begin(); from != sends.end(); ++from) {
            auto const count = std::ranges::lower_bound(sends, *from + 4s) - from;
            BOOST_REQUIRE_LE(static_cast<double>(count), 4 * limit + 5);
        }
        // The limit is used, and a request in two seconds shows whether it still holds.
        BOOST_TEST(static_cast<double>(sends.size()) >= 0.9 * 30 * limit);
        BOOST_TEST(sends.size() >= 13);
    }
}

BOOST_AUTO_TEST_CASE(OnlyNoticeableChangesArePublished)
{
    RequestLimits limits;
    BOOST_TEST(limits.takeChanges(start).empty());
    limits.update(1, statement(10.0, 0ms, 10ms), start + 20ms);
    auto const began = limits.takeChanges(start + 50ms);
    BOOST_REQUIRE(began.size() == 1);
    BOOST_TEST(*began.front().perSecond == 10.0);
    BOOST_TEST(began.front().latestAgoMs == 40);
    limits.update(1, statement(9.9, 20ms, 30ms), start + 30ms);
    BOOST_TEST(limits.takeChanges(start + 50ms).empty());
    BOOST_TEST(limits.all(start + 50ms).size() == 1);
    limits.update(1, statement(std::nullopt, 40ms, 50ms), start + 50ms);
    auto const ended = limits.takeChanges(start + 50ms);
    BOOST_REQUIRE(ended.size() == 1);
    BOOST_TEST(!ended.front().perSecond.has_value());
    BOOST_TEST(limits.all(start + 50ms).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(CoordinatorLimitTests, CoordinatorFixture)

BOOST_AUTO_TEST_CASE(ANewLeaderLearnsTheLimitFromTheReservationRequest)
{
    ReservationRequest request { 7, { numberOf(1), 5.0, 300, 200 }, 0 };
    BOOST_TEST(!coordinator->reserve(now, request).isGranted);
    BOOST_TEST(coordinator->takeRequestLimitChanges(now).size() == 1);
    // Its schedule begins empty, since the earlier leader may have granted the latest requests.
    BOOST_TEST(!coordinator->reserve(now + 150ms, request).isGranted);
    BOOST_TEST(coordinator->reserve(now + 220ms, request).isGranted);
    // No reservation for a server that was removed.
    request.limit.server = 99;
    BOOST_TEST(!coordinator->reserve(now + 1s, request).isGranted);
    BOOST_TEST(coordinator->allRequestLimits(now).size() == 1);
}

BOOST_AUTO_TEST_CASE(ALimitIsForgottenWithItsServer)
{
    LoadReport report;
    report.requestLimits.push_back({ numberOf(1), 5.0, 300, 200 });
    report.requestLimits.push_back({ 99, 5.0, 300, 200 });
    BOOST_TEST(!report.isEmpty());
    coordinator->onLoadReport(now, *decode<LoadReport>(encode(report)));
    BOOST_TEST(coordinator->allRequestLimits(now).size() == 1);
    auto const view = makeFullUpdate(state, *coordinator, 0, now);
    BOOST_TEST(decode<ViewUpdate>(encode(view))->requestLimits.size() == 1);
    auto const command = coordinator->leave(makeServer(1).name);
    BOOST_REQUIRE(command.has_value());
    auto const applied = state.apply(*command);
    coordinator->onApplied(now, *command, applied);
    BOOST_TEST(coordinator->allRequestLimits(now).empty());
}

BOOST_AUTO_TEST_SUITE_END()
