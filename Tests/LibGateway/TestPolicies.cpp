#include <LibCore/Random.h>
#include <LibGateway/Admission.h>
#include <LibGateway/PoolSplit.h>
#include <LibGateway/RetryBudgetShare.h>
#include <LibGateway/SendShareLimiter.h>
#include <LibGateway/ServerChoice.h>

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>

using namespace Gateway;
using namespace std::chrono_literals;

namespace {

Core::TimePoint const start { 1000s };

} // namespace

BOOST_AUTO_TEST_SUITE(AdmissionTests)

BOOST_AUTO_TEST_CASE(AnIdleServerReceivesARequestThatCanBeAnsweredInTime)
{
    ServerLoad const server(4);
    BOOST_TEST(!Admission::check({ 500ms, 500ms, 2, false, 0.5 }, server, start).has_value());
}

// Load pattern: a burst for one owner. The queue is bounded, and a request that cannot be answered in time is refused
// immediately.
BOOST_AUTO_TEST_CASE(ARequestThatWouldNotBeAnsweredInTimeIsRefusedImmediately)
{
    ServerLoad server(2);
    for (int i = 0; i < 6; ++i)
        server.onSent();
    // Five of the requests ahead must finish first, in two slots with a service time of 100 ms.
    BOOST_TEST(Admission::check({ 200ms, 200ms, 0, false, 0.5 }, server, start).has_value());
}

// Load pattern: sustained overload of one owner by half of its capacity. With a queue limited only by the deadline,
// every answer would exceed its target latency.
BOOST_AUTO_TEST_CASE(UnderSustainedOverloadAnswersStayWithinTheirTarget)
{
    constexpr auto service = 100ms;
    constexpr auto target = 300ms;
    ServerLoad server(2);
    std::vector<Core::TimePoint> slots(2, start);
    std::vector<Core::TimePoint> ends;
    int inTarget = 0;
    int late = 0;
    for (auto now = start; now < start + 20s; now += service / 3) {
        std::erase_if(ends, [&](auto end) {
            if (end <= now)
                server.onDone();
            return end <= now;
        });
        if (Admission::check({ 800ms, target, 0, false, 0.5 }, server, now))
            continue;
        server.onSent();
        auto& slot = *std::ranges::min_element(slots);
        slot = std::max(slot, now) + service;
        ends.push_back(slot);
        ++(slot - now <= target ? inTarget : late);
    }
    // The capacity is 400 requests: two slots with ten requests a second each, for twenty seconds.
    BOOST_TEST(inTarget >= 380);
    BOOST_TEST(late <= inTarget / 20);
}

BOOST_AUTO_TEST_CASE(TheQueueIsBoundedHoweverLongTheCallerWaits)
{
    ServerLoad server(2);
    int sent = 0;
    while (!Admission::check({ 60s, 60s, 0, false, 0.5 }, server, start) && sent < 100) {
        server.onSent();
        ++sent;
    }
    BOOST_TEST(sent == 8);
}

BOOST_AUTO_TEST_CASE(LessUrgentRequestsMayUseFewerQueuePlacesButSome)
{
    ServerLoad server(4);
    int urgent = 0;
    while (!Admission::check({ 60s, 60s, 0, false, 0.5 }, server, start)) {
        server.onSent();
        ++urgent;
    }
    ServerLoad other(4);
    int lessUrgent = 0;
    while (!Admission::check({ 60s, 60s, 2, false, 0.5 }, other, start)) {
        other.onSent();
        ++lessUrgent;
    }
    BOOST_TEST(lessUrgent < urgent);
    BOOST_TEST(lessUrgent >= 4);
}

BOOST_AUTO_TEST_CASE(AllEntryHostsTogetherSendAHotOwnerWhatItCanHandle)
{
    // 83 entry hosts receive 372 requests a second for one key, whose owner handles ten a second. Two thirds of the
    // requests are less urgent.
    constexpr int seconds = 20;
    constexpr int perSecond = 372;
    constexpr double capacity = 10;
    Core::Random random(3);
    std::map<std::int32_t, int> admitted;
    std::map<std::int32_t, int> asked;
    for (int i = 0; i < seconds * perSecond; ++i) {
        auto const priority = i % 3 == 0 ? 1 : 2;
        ++asked[priority];
        admitted[priority] += Admission::isAdmitted(capacity / perSecond, priority, random.unit()) ? 1 : 0;
    }
    auto const total = admitted[1] + admitted[2];
    BOOST_TEST(total < 1.3 * capacity * seconds);
    BOOST_TEST(total > 0.7 * capacity * seconds);
    // More urgent requests are admitted more often, and the others are not starved.
    BOOST_TEST(admitted[1] * asked[2] > admitted[2] * asked[1]);
    BOOST_TEST(admitted[2] > 0);
    BOOST_TEST(Admission::isAdmitted(1, 3, 0.999));
}

BOOST_AUTO_TEST_CASE(RetriesOfRefusedCallersAreSpread)
{
    auto const soonest = Admission::retryAfter(400ms, 100ms, 0.0);
    auto const latest = Admission::retryAfter(400ms, 100ms, 0.999);
    BOOST_TEST((latest - soonest >= 400ms));
    BOOST_TEST((Admission::retryAfter(0ms, 1ms, 0.0) > 0ms));
}

BOOST_AUTO_TEST_CASE(AReportOfOthersLoadIsWeightedLessTheOlderItIs)
{
    ServerLoad server(4);
    server.onReport({ 4, 8, 4, 1 }, start);
    BOOST_TEST(server.occupancy(start) == 12);
    BOOST_TEST(server.occupancy(start + 2s) < 1);
}

BOOST_AUTO_TEST_CASE(TheServiceTimeOfAnOverloadedServerIsEstimated)
{
    // Two slots, a queue of eight, a mean service time of 300 ms, and a fifth more requests than the capacity, so that
    // nearly every request is queued. Time advances in steps of a millisecond.
    constexpr double workMs = 300;
    constexpr std::size_t slots = 2;
    constexpr std::size_t places = 8;
    constexpr double arrivalsPerMs = 1.2 * slots / workMs;
    struct Job {
        int arrivedAt;
        int endsAt;
    };
    Core::Random random(11);
    std::vector<Job> running;
    std::vector<int> waiting;
    double sum = 0;
    int answers = 0;
    auto const draw = [&] { return static_cast<int>(-std::log(1 - random.unit()) * workMs); };
    for (int now = 0; now < 200'000; ++now) {
        if (random.unit() < arrivalsPerMs && waiting.size() < places)
            waiting.push_back(now);
        for (auto const& job : running) {
            if (job.endsAt > now)
                continue;
            ServerLoadReport const report { slots, static_cast<std::uint32_t>(waiting.size()), slots, 1 };
            auto const elapsed = std::chrono::milliseconds(now - job.arrivedAt);
            auto const serviceTime = *ServerLoad::serviceTimeOf(elapsed, false, report);
            sum += std::chrono::duration<double, std::milli>(serviceTime).count();
            ++answers;
        }
        std::erase_if(running, [&](auto const& job) { return job.endsAt <= now; });
        while (running.size() < slots && !waiting.empty()) {
            running.push_back({ waiting.front(), now + draw() });
            waiting.erase(waiting.begin());
        }
    }
    BOOST_TEST(sum / answers > 0.75 * workMs);
    BOOST_TEST(sum / answers < 1.35 * workMs);
    BOOST_TEST(!ServerLoad::serviceTimeOf(1s, false, std::nullopt).has_value());
    BOOST_TEST((*ServerLoad::serviceTimeOf(1s, true, std::nullopt) == 1s));
}

BOOST_AUTO_TEST_CASE(AnUnreachableServerIsAvoidedForLongerEachTime)
{
    ServerLoad server(4);
    server.onUnreachable(start);
    auto const first = server.avoidUntil() - start;
    server.onUnreachable(start);
    BOOST_TEST((server.avoidUntil() - start > first));
    for (int i = 0; i < 50; ++i)
        server.onUnreachable(start);
    BOOST_TEST((server.avoidUntil() - start <= 2s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RetryBudgetShareTests)

// Load pattern: every answer is lost for a while, at many entry hosts with uneven traffic.
BOOST_AUTO_TEST_CASE(TheSharesOfAllEntryHostsKeepTheBudgetInEveryWindow)
{
    RetryBudget const budget { 0.2, 56, 10s };
    constexpr std::uint32_t hosts = 8;
    std::vector<RetryBudgetShare> shares(hosts, RetryBudgetShare(budget));
    Core::Random random(3);
    std::vector<std::pair<Core::TimePoint, bool>> events;
    for (auto now = start; now < start + 40s; now += 10ms) {
        for (std::uint32_t i = 0; i < hosts; ++i) {
            if (random.unit() > 0.1 * (i + 1) / hosts)
                continue;
            shares[i].countRequest(now);
            events.emplace_back(now, false);
            for (int attempt = 0; attempt < 2; ++attempt) {
                if (shares[i].tryAcquireRetry(now, 1.0 / hosts))
                    events.emplace_back(now, true);
            }
        }
    }
    for (auto from = start; from < start + 30s; from += 500ms) {
        double requests = 0;
        double retries = 0;
        for (auto const& [at, isRetry] : events) {
            if (at >= from && at < from + budget.window)
                (isRetry ? retries : requests) += 1;
        }
        BOOST_TEST(retries <= budget.ratio * requests + budget.slack);
    }
    BOOST_TEST(std::ranges::count(events, true, &std::pair<Core::TimePoint, bool>::second) > 100);
}

BOOST_AUTO_TEST_CASE(RetriesAreAllowedAgainAfterTheWindow)
{
    RetryBudgetShare share({ 0.2, 8, 10s });
    while (share.tryAcquireRetry(start, 1)) { }
    BOOST_TEST(!share.tryAcquireRetry(start + 9s, 1));
    BOOST_TEST(share.tryAcquireRetry(start + 12s, 1));
}

BOOST_AUTO_TEST_CASE(WithoutAPartOfTheSlackOnlyOwnRequestsAllowRetries)
{
    RetryBudgetShare share({ 0.2, 8, 10s });
    BOOST_TEST(!share.tryAcquireRetry(start, 0));
    for (int i = 0; i < 7; ++i)
        share.countRequest(start);
    BOOST_TEST(share.tryAcquireRetry(start, 0));
    BOOST_TEST(!share.tryAcquireRetry(start, 0));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SendShareLimiterTests)

// Load pattern: a server restarts cold, and every entry host has requests for it, starting at different times.
BOOST_AUTO_TEST_CASE(AllEntryHostsTogetherKeepTheLimitInEverySecond)
{
    for (auto const& [hosts, perSecond] : { std::pair { 8U, 32.0 }, { 11U, 10.1 }, { 83U, 13.1 }, { 1U, 5.0 } }) {
        std::vector<SendShareLimiter> limiters(hosts, SendShareLimiter(1100ms));
        auto const total = static_cast<std::size_t>(perSecond);
        std::vector<Core::TimePoint> sends;
        Core::Random random(hosts);
        for (auto now = start; now < start + 20s; now += 5ms) {
            for (std::uint32_t i = 0; i < hosts; ++i) {
                if (random.unit() < 0.3 && limiters[i].tryAcquire(now, { total, hosts, i }))
                    sends.push_back(now + std::chrono::milliseconds(random.below(20)));
            }
        }
        std::ranges::sort(sends);
        for (std::size_t i = 0; i < sends.size(); ++i) {
            auto const end = std::ranges::lower_bound(sends, sends[i] + 1s);
            BOOST_REQUIRE_LE(static_cast<double>(end - sends.begin()) - static_cast<double>(i), perSecond);
        }
        BOOST_TEST(!sends.empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(ASplitHoldsOverAFewRequests)
{
    PoolSplit split;
    std::vector<Fleet::PoolShare> const shares { { { "a" }, 90 }, { { "b" }, 10 } };
    std::map<std::string, int> counts;
    for (int i = 0; i < 50; ++i)
        ++counts[split.choose(shares)->pool.value];
    BOOST_TEST(counts["a"] == 45);
    BOOST_TEST(counts["b"] == 5);
    BOOST_TEST(split.choose({}) == nullptr);
}

BOOST_AUTO_TEST_CASE(EntryHostsWithTheSameLoadInformationDoNotAllChooseTheSameServer)
{
    // 77 entry hosts, each of which has an answer from a server once in several seconds, share 38 servers, two of which
    // seem twice as fast. When every request went to the apparently fastest one, 28 of 100 uploads found a full queue
    // while half of the slots were idle.
    constexpr std::size_t servers = 38;
    constexpr int requests = 20'000;
    std::vector<ServerCandidate> candidates(servers, { 300ms, false });
    candidates[3].expectedLatency = 150ms;
    candidates[20].expectedLatency = 150ms;
    Core::Random random(7);
    std::vector<int> chosen(servers);
    for (int i = 0; i < requests; ++i) {
        auto const domain = random.below(3);
        for (std::size_t server = 0; server < servers; ++server)
            candidates[server].isInSameDomain = server % 3 == domain;
        ++chosen[ServerChoice::order(candidates, random).front()];
    }
    // No server receives more than five times its even share, however fast it seems.
    BOOST_TEST(std::ranges::max(chosen) < 5 * requests / static_cast<int>(servers));
    BOOST_TEST(chosen[3] > requests / static_cast<int>(servers));
}

BOOST_AUTO_TEST_CASE(EveryServerIsTriedOnceTheOwnDomainFirstUnlessOthersAreFaster)
{
    std::vector<ServerCandidate> candidates { { 300ms, true }, { 300ms, false }, { 100ms, false }, { 300ms, false } };
    Core::Random random(7);
    for (int i = 0; i < 50; ++i) {
        auto order = ServerChoice::order(candidates, random);
        // The server in the own failure domain or the fast one, never a slow one in another domain.
        BOOST_TEST((order.front() == 0 || order.front() == 2));
        std::ranges::sort(order);
        BOOST_TEST(order == (std::vector<std::size_t> { 0, 1, 2, 3 }), boost::test_tools::per_element());
    }
    BOOST_TEST(ServerChoice::order({}, random).empty());
}
