#include <LibCore/Random.h>
#include <LibGateway/Admission.h>
#include <LibGateway/ColdGate.h>
#include <LibGateway/PoolSplit.h>
#include <LibGateway/RetryShare.h>
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

BOOST_AUTO_TEST_CASE(AnIdleServerGetsARequestThatCanStillBeAnswered)
{
    ServerLoad const server(4);
    BOOST_TEST(!Admission::check({ 500ms, 500ms, 2, 0.5 }, server, start).has_value());
}

// Load pattern: a burst for one owner. What waits is bounded, and what cannot be answered in time is refused at once.
BOOST_AUTO_TEST_CASE(ARequestThatWouldNotBeAnsweredInTimeIsRefusedAtOnce)
{
    ServerLoad server(2);
    for (int i = 0; i < 6; ++i)
        server.onSent();
    // Five requests before it in two slots of 100 ms each.
    BOOST_TEST(Admission::check({ 200ms, 200ms, 0, 0.5 }, server, start).has_value());
}

// Load pattern: half as many requests again as one owner can run, for as long as it takes. With a queue up to the
// deadline every answer would come after its target.
BOOST_AUTO_TEST_CASE(UnderLastingOverloadAnswersStayWithinTheirTarget)
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
        if (Admission::check({ 800ms, target, 0, 0.5 }, server, now))
            continue;
        server.onSent();
        auto& slot = *std::ranges::min_element(slots);
        slot = std::max(slot, now) + service;
        ends.push_back(slot);
        ++(slot - now <= target ? inTarget : late);
    }
    // Two slots of ten requests a second, for twenty seconds.
    BOOST_TEST(inTarget >= 380);
    BOOST_TEST(late <= inTarget / 20);
}

BOOST_AUTO_TEST_CASE(PlacesAreBoundedHoweverLongTheCallerWaits)
{
    ServerLoad server(2);
    int sent = 0;
    while (!Admission::check({ 60s, 60s, 0, 0.5 }, server, start) && sent < 100) {
        server.onSent();
        ++sent;
    }
    BOOST_TEST(sent == 8);
}

BOOST_AUTO_TEST_CASE(LessUrgentRequestsFindFewerPlacesButSome)
{
    ServerLoad server(4);
    int urgent = 0;
    while (!Admission::check({ 60s, 60s, 0, 0.5 }, server, start)) {
        server.onSent();
        ++urgent;
    }
    ServerLoad other(4);
    int patient = 0;
    while (!Admission::check({ 60s, 60s, 2, 0.5 }, other, start)) {
        other.onSent();
        ++patient;
    }
    BOOST_TEST(patient < urgent);
    BOOST_TEST(patient >= 4);
}

BOOST_AUTO_TEST_CASE(AllEntryHostsTogetherSendAHotOwnerWhatItCanDo)
{
    // 83 entry hosts, 372 requests a second for one key, an owner that does ten a second; two of three are less urgent.
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
    // The more urgent are served more often, and the others are not starved.
    BOOST_TEST(admitted[1] * asked[2] > admitted[2] * asked[1]);
    BOOST_TEST(admitted[2] > 0);
    BOOST_TEST(Admission::isAdmitted(1, 3, 0.999));
}

BOOST_AUTO_TEST_CASE(ReturnsOfRefusedCallersAreSpread)
{
    auto const soonest = Admission::retryAfter(400ms, 100ms, 0.0);
    auto const latest = Admission::retryAfter(400ms, 100ms, 0.999);
    BOOST_TEST((latest - soonest >= 400ms));
    BOOST_TEST((Admission::retryAfter(0ms, 1ms, 0.0) > 0ms));
}

BOOST_AUTO_TEST_CASE(AReportOfOthersLoadIsBelievedLessTheOlderItIs)
{
    ServerLoad server(4);
    server.onReport({ 4, 8, 4, 1 }, start);
    BOOST_TEST(server.occupancy(start) == 12);
    BOOST_TEST(server.occupancy(start + 2s) < 1);
}

BOOST_AUTO_TEST_CASE(AnOverloadedServerIsFoundSlow)
{
    // Two slots, a queue of eight, work of 300 ms on the average, and a fifth more requests than it can do: nearly
    // every answer has waited. Time in steps of a millisecond.
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

BOOST_AUTO_TEST_CASE(AnUnreachableServerIsLeftAloneForLongerEachTime)
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

BOOST_AUTO_TEST_SUITE(RetryShareTests)

// Load pattern: every answer is lost for a while, at many entry hosts with uneven traffic.
BOOST_AUTO_TEST_CASE(TheSharesOfAllEntryHostsKeepTheBoundInEveryWindow)
{
    RetryBound const bound { 0.2, 56, 10s };
    constexpr std::uint32_t hosts = 8;
    std::vector<RetryShare> shares(hosts, RetryShare(bound));
    Core::Random random(3);
    std::vector<std::pair<Core::TimePoint, bool>> events;
    for (auto now = start; now < start + 40s; now += 10ms) {
        for (std::uint32_t i = 0; i < hosts; ++i) {
            if (random.unit() > 0.1 * (i + 1) / hosts)
                continue;
            shares[i].countRequest(now);
            events.emplace_back(now, false);
            for (int attempt = 0; attempt < 2; ++attempt) {
                if (shares[i].tryRepeat(now, hosts))
                    events.emplace_back(now, true);
            }
        }
    }
    for (auto from = start; from < start + 30s; from += 500ms) {
        double requests = 0;
        double repeats = 0;
        for (auto const& [at, isRepeat] : events) {
            if (at >= from && at < from + bound.window)
                (isRepeat ? repeats : requests) += 1;
        }
        BOOST_TEST(repeats <= bound.ratio * requests + bound.slack);
    }
    BOOST_TEST(std::ranges::count(events, true, &std::pair<Core::TimePoint, bool>::second) > 100);
}

BOOST_AUTO_TEST_CASE(RepeatsReturnAfterTheWindow)
{
    RetryShare share({ 0.2, 8, 10s });
    while (share.tryRepeat(start, 1)) { }
    BOOST_TEST(!share.tryRepeat(start + 9s, 1));
    BOOST_TEST(share.tryRepeat(start + 12s, 1));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ColdGateTests)

// Load pattern: a server returns cold and every entry host has requests for it, each beginning at its own moment.
BOOST_AUTO_TEST_CASE(AllEntryHostsTogetherKeepTheBoundInEverySecond)
{
    for (auto const& [hosts, perSecond] : { std::pair { 8U, 32.0 }, { 11U, 10.1 }, { 83U, 13.1 }, { 1U, 5.0 } }) {
        std::vector<ColdGate> gates(hosts);
        std::vector<Core::TimePoint> sends;
        Core::Random random(hosts);
        for (auto now = start; now < start + 20s; now += 5ms) {
            for (std::uint32_t i = 0; i < hosts; ++i) {
                if (random.unit() < 0.3 && gates[i].tryPass(now, { perSecond, hosts, i }))
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

BOOST_AUTO_TEST_CASE(EntryHostsThatKnowTheSameDoNotAllChooseTheSameServer)
{
    // 77 entry hosts, each of which sees a server once in several seconds, share 38 servers of which two look twice as
    // fast. With every request at the best-looking one 28 of 100 uploads found a full queue while half of the slots
    // were idle.
    constexpr std::size_t servers = 38;
    constexpr int requests = 20'000;
    std::vector<ServerCandidate> candidates(servers, { 300ms, false });
    candidates[3].cost = 150ms;
    candidates[20].cost = 150ms;
    Core::Random random(7);
    std::vector<int> chosen(servers);
    for (int i = 0; i < requests; ++i) {
        auto const domain = random.below(3);
        for (std::size_t server = 0; server < servers; ++server)
            candidates[server].isNear = server % 3 == domain;
        ++chosen[ServerChoice::order(candidates, random).front()];
    }
    // No server gets over five times its even part, whatever it looks like.
    BOOST_TEST(std::ranges::max(chosen) < 5 * requests / static_cast<int>(servers));
    BOOST_TEST(chosen[3] > requests / static_cast<int>(servers));
}

BOOST_AUTO_TEST_CASE(EveryServerIsTriedOnceTheNearOnesFirstUnlessOthersAreFaster)
{
    std::vector<ServerCandidate> candidates { { 300ms, true }, { 300ms, false }, { 100ms, false }, { 300ms, false } };
    Core::Random random(7);
    for (int i = 0; i < 50; ++i) {
        auto order = ServerChoice::order(candidates, random);
        // The near one or the fast one, never another of the far ones.
        BOOST_TEST((order.front() == 0 || order.front() == 2));
        std::ranges::sort(order);
        BOOST_TEST(order == (std::vector<std::size_t> { 0, 1, 2, 3 }), boost::test_tools::per_element());
    }
    BOOST_TEST(ServerChoice::order({}, random).empty());
}
