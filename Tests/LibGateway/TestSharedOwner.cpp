#include <LibCore/Random.h>
#include <LibFleet/OccupancyEstimates.h>
#include <LibGateway/Admission.h>
#include <LibGateway/CallerPatience.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <deque>

using namespace Gateway;
using namespace std::chrono_literals;

namespace {

Core::TimePoint const start { 1000s };

/// Replays, in virtual time, the load on one owner whose requests come through many entry hosts.
struct SharedOwnerReplay {
    std::size_t hosts { 195 };
    std::uint32_t slots { 4 };
    std::size_t queuePlaces { 16 };
    Core::Duration service { 380ms };
    /// Arrivals relative to what the server can process.
    double overload { 1.5 };
    bool hasEstimates { true };

    int served { 0 };
    int servedInTarget { 0 };
    int expired { 0 };
    int rejectedByServer { 0 };
    int refused { 0 };

    void run()
    {
        struct Job {
            std::size_t host;
            Core::TimePoint sentAt;
            Core::TimePoint endsAt;
        };
        constexpr auto step = 2ms;
        constexpr auto deadline = 2500ms;
        constexpr auto target = 1200ms;
        constexpr auto interval = 500ms;
        Core::Random random(5);
        std::vector<ServerLoad> loads(hosts, ServerLoad(slots));
        Fleet::OccupancyEstimates estimates;
        std::vector<Job> running;
        std::deque<Job> waiting;
        auto const perStep
            = overload * slots * std::chrono::duration<double>(step) / std::chrono::duration<double>(service);
        auto nextInterval = start + interval;
        for (auto now = start; now < start + 30s; now += step) {
            auto const stated = [&] {
                return ServerLoadReport { static_cast<std::uint32_t>(running.size()),
                    static_cast<std::uint32_t>(waiting.size()), slots, 1 };
            };
            for (auto const& job : running) {
                if (job.endsAt > now)
                    continue;
                loads[job.host].onDone();
                loads[job.host].onReport(stated(), now);
                estimates.add(1, 1, static_cast<double>(running.size() + waiting.size()));
                ++served;
                servedInTarget += now - job.sentAt <= target ? 1 : 0;
            }
            std::erase_if(running, [&](Job const& job) { return job.endsAt <= now; });
            std::erase_if(waiting, [&](Job const& job) {
                auto const isExpired = now - job.sentAt > deadline;
                if (isExpired) {
                    loads[job.host].onDone();
                    ++expired;
                }
                return isExpired;
            });
            while (running.size() < slots && !waiting.empty()) {
                auto job = waiting.front();
                waiting.pop_front();
                auto const time = std::chrono::duration<double>(service) * -std::log(1 - random.unit());
                job.endsAt = now + std::chrono::duration_cast<Core::Duration>(time);
                running.push_back(job);
            }
            if (now >= nextInterval) {
                nextInterval += interval;
                estimates.advance();
                for (auto const& change :
                    hasEstimates ? estimates.takeChanges() : std::vector<Fleet::ServerOccupancy> {})
                    for (auto& load : loads)
                        load.onEstimate(change.requests, service, now);
            }
            if (random.unit() >= perStep)
                continue;
            auto const host = static_cast<std::size_t>(random.below(hosts));
            if (Admission::check({ deadline, target, 1, false, random.unit() }, loads[host], now)) {
                ++refused;
            } else if (waiting.size() >= queuePlaces) {
                ++rejectedByServer;
            } else {
                loads[host].onSent();
                waiting.push_back({ host, now, {} });
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(SharedOwnerTests)

// Load pattern: an owner gets half more requests than it can process, through 195 entry hosts, each of which sends to
// it once in many seconds. Without the leader's estimates each host takes the owner for idle, and the owner's queue
// decides.
BOOST_AUTO_TEST_CASE(ManyEntryHostsTogetherDoNotOverfillAnOwner)
{
    SharedOwnerReplay blind;
    blind.hasEstimates = false;
    blind.run();
    SharedOwnerReplay replay;
    replay.run();
    // At most half of the vain requests, more answers within their target, and no answer is lost for it.
    BOOST_TEST(2 * replay.rejectedByServer <= blind.rejectedByServer);
    BOOST_TEST(replay.servedInTarget > blind.servedInTarget);
    BOOST_TEST(replay.served >= 0.95 * blind.served);
}

BOOST_AUTO_TEST_CASE(TheOutcomeDoesNotGetWorseWithTheNumberOfEntryHosts)
{
    SharedOwnerReplay few;
    few.hosts = 10;
    few.run();
    for (std::size_t const hosts : { 70, 195, 700 }) {
        SharedOwnerReplay replay;
        replay.hosts = hosts;
        replay.run();
        BOOST_TEST_CONTEXT(hosts << " entry hosts")
        {
            BOOST_TEST(replay.served >= 0.95 * few.served);
            BOOST_TEST(replay.servedInTarget >= 0.9 * few.servedInTarget);
        }
    }
}

BOOST_AUTO_TEST_CASE(AnEstimateIsDisregardedOnceTheLeaderIsSilent)
{
    ServerLoad load(4);
    load.onEstimate(20, 380ms, start);
    BOOST_TEST(load.occupancy(start + 1s) > 19);
    BOOST_TEST(load.occupancy(start + 6s) == 0);
}

BOOST_AUTO_TEST_CASE(AnEstimateDoesNotCountThisHostsOwnRequestsTwice)
{
    ServerLoad load(4);
    load.onSent();
    load.onSent();
    load.onEstimate(5, 0ms, start);
    BOOST_TEST(load.occupancy(start) == 5);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ReturningCallerTests)

BOOST_AUTO_TEST_CASE(ACallerWithLessTimeLeftThanOthersIsReturning)
{
    CallerPatience patience;
    BOOST_TEST((patience.timeSinceFirstAttempt(start, 1000ms) == 0ms));
    BOOST_TEST((patience.timeSinceFirstAttempt(start + 1s, 640ms) == 360ms));
    BOOST_TEST((patience.timeSinceFirstAttempt(start + 1s, 990ms) == 0ms));
}

BOOST_AUTO_TEST_CASE(AShorterWaitOfAllCallersCountsAsTheFirstAttemptAfterAWhile)
{
    CallerPatience patience;
    patience.timeSinceFirstAttempt(start, 1000ms);
    for (auto now = start; now < start + 40s; now += 1s)
        patience.timeSinceFirstAttempt(now, 600ms);
    BOOST_TEST((patience.timeSinceFirstAttempt(start + 40s, 600ms) == 0ms));
}

// Load pattern: refused callers return to an owner that is still busy, while new callers keep arriving. Their target
// latency has passed, so that they were refused again, although they could still be answered before their deadline.
BOOST_AUTO_TEST_CASE(AReturningCallerMayQueueWhereANewOneIsRefused)
{
    ServerLoad load(4);
    load.onEstimate(9, 100ms, start);
    AdmissionQuery const fresh { 1000ms, 200ms, 2, false, 0.5 };
    AdmissionQuery const returning { 640ms, -160ms, 2, true, 0.5 };
    BOOST_TEST(Admission::check(fresh, load, start).has_value());
    BOOST_TEST(!Admission::check(returning, load, start).has_value());
    // Not if it would miss its deadline.
    load.onEstimate(15, 200ms, start);
    BOOST_TEST(Admission::check(returning, load, start).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
