#include <LibCore/Random.h>
#include <LibGateway/Admission.h>
#include <LibGateway/RequestCosts.h>
#include <LibGateway/ServerChoice.h>
#include <LibGateway/ServerSubset.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <numeric>
#include <queue>
#include <set>

using namespace Gateway;
using namespace std::chrono_literals;

namespace {

Core::TimePoint const start { 1000s };
Core::PoolName const orders { "orders" };

std::vector<Fleet::ServerRecord> serversOf(std::size_t count, std::uint32_t slots)
{
    std::vector<Fleet::ServerRecord> servers(count);
    for (std::size_t i = 0; i < count; ++i) {
        servers[i].number = static_cast<Fleet::ServerNumber>(i + 1);
        servers[i].domain = { std::string(1, static_cast<char>('a' + i % 3)) };
        servers[i].slots = slots;
    }
    return servers;
}

std::vector<Fleet::ServerRecord const*> pointersTo(std::vector<Fleet::ServerRecord> const& servers)
{
    std::vector<Fleet::ServerRecord const*> result;
    std::ranges::transform(servers, std::back_inserter(result), [](auto const& server) { return &server; });
    return result;
}

/// The outcome of one replay.
struct Outcome {
    std::size_t orders { 0 };
    std::size_t lateOrders { 0 };
    std::size_t connections { 0 };
    double busiest { 0 };
};

/// Load of a customer: orders of 130 ms with a target of 600 ms and lookups of 750 ms on 107 servers with two slots and
/// uneven speeds, a quarter of them in use, from 60 entry hosts that do not know what the others send. A server with
/// two running requests queues the others.
class Replay {
public:
    explicit Replay(bool usesSubsets)
        : usesSubsets_(usesSubsets)
        , servers_(serversOf(serverCount, slots))
        , hosts_(hostCount)
    {
        for (std::size_t i = 0; i < hostCount; ++i) {
            for (std::size_t j = 0; j < serverCount; ++j)
                hosts_[i].loads.emplace_back(slots);
            EntryHostShare const share { hostCount, static_cast<std::uint32_t>(i) };
            if (usesSubsets)
                hosts_[i].subset = ServerSubset::choose(pointersTo(servers_), share, domainOf(i));
        }
        for (std::size_t j = 0; j < serverCount; ++j)
            speeds_.push_back(std::array { 0.7, 1.0, 1.0, 1.4 }.at(j % 4));
    }

    Outcome play()
    {
        std::vector<std::size_t> sent(serverCount);
        auto next = start;
        while (next < start + 60s) {
            next += std::chrono::duration_cast<Core::Duration>(
                std::chrono::duration<double>(-std::log(1 - random_.unit()) / 180));
            finishUntil(next);
            auto const isOrder = random_.unit() < 0.56;
            auto const host = random_.below(hostCount);
            auto const server = choose(host, next, isOrder);
            ++sent[server];
            begin(host, server, next, isOrder);
        }
        finishUntil(next + 60s);
        auto const mean = std::accumulate(sent.begin(), sent.end(), 0.0) / serverCount;
        outcome_.busiest = static_cast<double>(*std::ranges::max_element(sent)) / mean;
        for (auto const& host : hosts_)
            outcome_.connections += host.met.size();
        return outcome_;
    }

private:
    static constexpr std::size_t serverCount = 107;
    static constexpr std::uint32_t slots = 2;
    static constexpr std::uint32_t hostCount = 60;

    struct Host {
        std::vector<ServerLoad> loads;
        RequestCosts costs;
        std::vector<Fleet::ServerNumber> subset;
        std::set<std::size_t> met;
    };
    struct Job {
        Core::TimePoint ends;
        std::size_t host { 0 };
        std::size_t server { 0 };
        Core::TimePoint arrived;
        Core::Duration work {};
        bool isOrder { false };
        double cost { 1 };
        bool operator>(Job const& other) const { return ends > other.ends; }
    };

    static Core::FailureDomain domainOf(std::size_t host)
    {
        return { std::string(1, static_cast<char>('a' + host % 3)) };
    }
    RequestCosts::Kind kindOf(bool isOrder) const { return { orders, { isOrder ? "order" : "lookup" }, 0 }; }

    std::size_t choose(std::size_t index, Core::TimePoint now, bool isOrder)
    {
        auto& host = hosts_[index];
        auto const cost = usesSubsets_ ? host.costs.relativeCost(kindOf(isOrder)) : 1.0;
        std::vector<ServerCandidate> candidates(serverCount);
        for (std::size_t i = 0; i < serverCount; ++i) {
            auto const& load = host.loads[i];
            candidates[i].expectedLatency = load.expectedWait(now);
            candidates[i].isInSameDomain = servers_[i].domain == domainOf(index);
            candidates[i].needsConnection = usesSubsets_ && !host.met.contains(i);
            auto const place = std::ranges::find(host.subset, servers_[i].number);
            if (place != host.subset.end())
                candidates[i].subsetPlace = static_cast<std::size_t>(place - host.subset.begin());
            candidates[i].expectedLatency += usesSubsets_
                ? load.expectedServiceTime(cost, host.costs.meanServiceTime(orders), place != host.subset.end(), now)
                : load.serviceTime();
        }
        return ServerChoice::order(candidates, random_).front();
    }

    void begin(std::size_t host, std::size_t server, Core::TimePoint now, bool isOrder)
    {
        hosts_[host].met.insert(server);
        auto const cost = usesSubsets_ ? hosts_[host].costs.relativeCost(kindOf(isOrder)) : 1.0;
        hosts_[host].loads[server].onSent(cost);
        auto const spread = 0.5 + random_.unit();
        auto const work = std::chrono::duration_cast<Core::Duration>(
            std::chrono::duration<double, std::milli>((isOrder ? 130 : 750) * spread * speeds_[server]));
        Job const job { {}, host, server, now, work, isOrder, cost };
        if (running_[server] < slots)
            run(job, now);
        else
            waiting_[server].push_back(job);
    }

    void run(Job job, Core::TimePoint now)
    {
        ++running_[job.server];
        job.ends = now + job.work;
        ends_.push(job);
    }

    void finishUntil(Core::TimePoint until)
    {
        while (!ends_.empty() && ends_.top().ends <= until) {
            auto const job = ends_.top();
            ends_.pop();
            --running_[job.server];
            auto& queue = waiting_[job.server];
            if (!queue.empty()) {
                run(queue.front(), job.ends);
                queue.pop_front();
            }
            answer(job);
        }
    }

    void answer(Job const& job)
    {
        auto& host = hosts_[job.host];
        auto& load = host.loads[job.server];
        auto const waiting = static_cast<std::uint32_t>(waiting_[job.server].size());
        ServerLoadReport const report { running_[job.server], waiting, slots, 1 };
        load.onDone(job.cost);
        load.onReport(report, job.ends);
        if (auto const time = ServerLoad::serviceTimeOf(job.ends - job.arrived, true, report)) {
            load.onServiceTime(*time, job.cost);
            host.costs.record(kindOf(job.isOrder), *time);
        }
        if (!job.isOrder || job.arrived < start + 10s)
            return;
        ++outcome_.orders;
        outcome_.lateOrders += job.ends - job.arrived > 600ms ? 1 : 0;
    }

    bool usesSubsets_;
    Core::Random random_ { 11 };
    std::vector<Fleet::ServerRecord> servers_;
    std::vector<double> speeds_;
    std::vector<Host> hosts_;
    std::array<std::uint32_t, serverCount> running_ {};
    std::array<std::deque<Job>, serverCount> waiting_ {};
    std::priority_queue<Job, std::vector<Job>, std::greater<>> ends_;
    Outcome outcome_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementByCost)

// Load: two kinds of requests in one pool, of 130 and 750 ms.
BOOST_AUTO_TEST_CASE(CostsAreLearnedByRouteAndSize)
{
    RequestCosts costs;
    BOOST_TEST(costs.relativeCost({ orders, { "order" }, 0 }) == 1);
    for (int i = 0; i < 200; ++i) {
        costs.record({ orders, { "order" }, 100 }, 130ms);
        costs.record({ orders, { "lookup" }, 0 }, 750ms);
        costs.record({ { "scans" }, { "scan" }, 10'000 }, 100ms);
        costs.record({ { "scans" }, { "scan" }, 1'000'000 }, 300ms);
    }
    auto const order = costs.relativeCost({ orders, { "order" }, 0 });
    auto const lookup = costs.relativeCost({ orders, { "lookup" }, 0 });
    BOOST_TEST(lookup / order == 750.0 / 130, boost::test_tools::tolerance(0.05));
    BOOST_TEST(costs.relativeCost({ { "scans" }, { "scan" }, 900'000 })
        > 2 * costs.relativeCost({ { "scans" }, { "scan" }, 1'000 }));
    BOOST_TEST((costs.meanServiceTime(orders) > 400ms && costs.meanServiceTime(orders) < 480ms));
    // The work has shifted.
    for (int i = 0; i < 300; ++i)
        costs.record({ orders, { "order" }, 0 }, 750ms);
    BOOST_TEST(costs.relativeCost({ orders, { "order" }, 0 }) == 1, boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(TheWaitDependsOnTheCostOfWhatIsInFlight)
{
    ServerLoad cheap(2);
    ServerLoad dear(2);
    for (int i = 0; i < 3; ++i) {
        cheap.onSent(0.3);
        dear.onSent(1.8);
    }
    BOOST_TEST((dear.expectedWait(start) > 5 * cheap.expectedWait(start)));
    // A request that is itself dear does not fit into the time that is left.
    AdmissionQuery query { 300ms, 300ms, 0, false, 0.5 };
    ServerLoad idle(2);
    idle.onServiceTime(400ms);
    BOOST_TEST(!Admission::check(query, idle, start).has_value());
    query.cost = 20;
    BOOST_TEST(Admission::check(query, idle, start).has_value());
}

// Load: 60 hosts in three failure domains and 107 servers. Guards against servers that no host uses, and against hosts
// that change all their servers when one is lost.
BOOST_AUTO_TEST_CASE(SubsetsCoverAllServersAndMoveLittle)
{
    for (auto const& [hosts, count] :
        { std::pair { 60U, 107UL }, { 8U, 6UL }, { 63U, 23UL }, { 3U, 40UL }, { 200U, 54UL } }) {
        auto const servers = serversOf(count, 4);
        auto pointers = pointersTo(servers);
        std::map<Fleet::ServerNumber, std::size_t> users;
        std::vector<std::vector<Fleet::ServerNumber>> before;
        for (std::uint32_t i = 0; i < hosts; ++i) {
            before.push_back(
                ServerSubset::choose(pointers, { hosts, i }, { std::string(1, static_cast<char>('a' + i % 3)) }));
            BOOST_TEST(before.back().size() >= std::min<std::size_t>(count, 3));
            for (auto const number : before.back())
                ++users[number];
        }
        BOOST_TEST(users.size() == count, hosts << " hosts, " << count << " servers");
        auto const most = std::ranges::max_element(users, {}, [](auto const& entry) { return entry.second; })->second;
        auto const even = std::max(3.0 * hosts / static_cast<double>(count), 1.0);
        BOOST_TEST(static_cast<double>(most) <= 2 * even + 2, hosts << " hosts, " << count << " servers");
        pointers.erase(pointers.begin() + static_cast<std::ptrdiff_t>(count / 2));
        for (std::uint32_t i = 0; i < hosts; ++i) {
            auto const after
                = ServerSubset::choose(pointers, { hosts, i }, { std::string(1, static_cast<char>('a' + i % 3)) });
            auto const kept = std::ranges::count_if(
                after, [&](auto const number) { return std::ranges::count(before[i], number) > 0; });
            BOOST_TEST(static_cast<std::size_t>(kept) + 2 >= after.size());
        }
    }
    BOOST_TEST(ServerSubset::choose(pointersTo(serversOf(5, 1)), { 4, std::nullopt }, { "a" }).empty());
}

// Without subsets and costs, orders stand behind lookups while most slots are free.
BOOST_AUTO_TEST_CASE(OrdersMeetFewerFullServersBesideIdleOnes)
{
    auto const before = Replay(false).play();
    auto const after = Replay(true).play();
    BOOST_TEST_MESSAGE("before: " << before.lateOrders << " of " << before.orders << " late, busiest " << before.busiest
                                  << ", connections " << before.connections << "; after: " << after.lateOrders << " of "
                                  << after.orders << ", " << after.busiest << ", " << after.connections);
    BOOST_TEST(after.lateOrders * 2 < before.lateOrders);
    BOOST_TEST(after.connections * 3 < before.connections);
}

BOOST_AUTO_TEST_SUITE_END()
