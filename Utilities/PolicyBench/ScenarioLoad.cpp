#include "Scenarios.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>

namespace PolicyBench {

using namespace std::chrono_literals;

namespace {

    struct Variant {
        char const* name;
        std::function<Policy::DispatchPolicies(Policy::DispatchSettings const&)> decisions;
    };

    std::vector<Variant> baselineAndDefault()
    {
        return { { "baseline", [](auto const&) { return Policy::baselinePolicies(); } },
            { "policy", Policy::defaultPolicies } };
    }

    unsigned long long number(std::uint64_t value) { return value; }

} // namespace

/// Goodput at twice the capacity, relative to the highest goodput at any load.
void measureOverload(Sites sites, std::uint64_t seed)
{
    std::printf("| pool | variant | highest goodput, 1/s | at load | goodput at 200 %%, 1/s | ratio | p99 ms at 200 %% "
                "|\n|---|---|---|---|---|---|---|\n");
    for (auto const& site : sites) {
        for (auto const& variant : baselineAndDefault()) {
            double best = 0;
            double bestLoad = 0;
            double overloaded = 0;
            double p99 = 0;
            for (auto const load : { 0.7, 0.8, 0.9, 1.0, 1.1, 1.25, 2.0 }) {
                auto const fleet
                    = warmFleet({ .site = site, .decisions = variant.decisions, .load = load, .seed = seed });
                auto const time = measuredTime(site);
                fleet->run(time);
                auto const rate
                    = static_cast<double>(fleet->results.answered) / std::chrono::duration<double>(time).count();
                if (rate > best) {
                    best = rate;
                    bestLoad = load;
                }
                overloaded = rate;
                p99 = fleet->results.quantile(0.99);
            }
            std::printf("| %s | %s | %.0f | %.0f %% | %.0f | %.1f %% | %.0f |\n", site.name.c_str(), variant.name, best,
                bestLoad * 100, overloaded, 100 * overloaded / best, p99);
        }
    }
}

/// Load that retries add while servers shed half of all requests.
void measureRetries(Sites sites, std::uint64_t seed)
{
    std::printf(
        "| pool | variant | first attempts | all attempts | extra load | goodput |\n|---|---|---|---|---|---|\n");
    for (auto const& site : sites) {
        for (auto const& variant : baselineAndDefault()) {
            auto const fleet = warmFleet({ .site = site, .decisions = variant.decisions, .load = 0.3, .seed = seed });
            for (auto const& backend : fleet->backends)
                backend->setShedRate(0.5);
            auto const before = fleet->counters();
            fleet->run(measuredTime(site));
            auto const after = fleet->counters();
            auto const all = after.granted - before.granted;
            auto const extra = after.retries + after.hedges - before.retries - before.hedges;
            std::printf("| %s | %s | %llu | %llu | %.1f %% | %.2f %% |\n", site.name.c_str(), variant.name,
                number(all - extra), number(all), 100.0 * static_cast<double>(extra) / static_cast<double>(all - extra),
                goodput(*fleet) * 100);
        }
    }
}

/// Servers lost to one request that crashes each server and that its caller sends again.
void measureCrash(Sites sites, std::uint64_t seed)
{
    std::printf("| pool | variant | sent at the same time | resends | crashes | refused as quarantined | innocent "
                "requests quarantined | goodput |\n|---|---|---|---|---|---|---|---|\n");
    for (auto const& site : sites) {
        for (auto const parallel : { 1U, 4U }) {
            for (auto const& variant : baselineAndDefault()) {
                auto const fleet
                    = warmFleet({ .site = site, .decisions = variant.decisions, .load = 0.5, .seed = seed });
                fleet->sendCrasher(1, 30, parallel);
                fleet->run(15s);
                std::printf("| %s | %s | %u | 30 | %llu | %llu | %llu | %.2f %% |\n", site.name.c_str(), variant.name,
                    parallel, number(fleet->totals().crashes), number(fleet->quarantineRefusals),
                    number(fleet->innocentQuarantined), goodput(*fleet) * 100);
            }
        }
    }
}

namespace {

    double nanosecondsPerPair(std::size_t servers, std::size_t waiting, Routing::PoolKind kind, std::uint64_t seed)
    {
        Policy::DispatchSettings const settings { .kind = kind, .queue = { .maxQueuedRequests = 1U << 20 } };
        Policy::DispatchGroup group(settings, seed);
        std::vector<Policy::Action> actions;
        auto now = Core::TimePoint { 1h };
        for (std::size_t i = 0; i < servers; ++i)
            group.step(now, Policy::ServerPresent { { "server" + std::to_string(i) }, { 1 }, 4 }, actions);
        group.step(now, Policy::Start {}, actions);
        std::vector<Policy::Acquire> events;
        for (std::size_t i = 0; i < 256; ++i) {
            Policy::AcquireRequest request { .holder = { "entry" + std::to_string(i % 10) },
                .pool = { "pool" },
                .route = { "route" + std::to_string(i % 7) },
                .caller = { "caller" + std::to_string(i % 20) },
                .requestClass = Routing::RequestClass::Idempotent,
                .deadline = now + 1h };
            if (kind == Routing::PoolKind::KeyPartitioned)
                request.owner = Core::ServerName { "server" + std::to_string(i % servers) };
            events.push_back({ {}, request });
        }
        std::uint64_t ticket = 0;
        // Fills the servers and the queue; each release then grants the next waiting request.
        if (waiting > 0) {
            for (std::size_t i = 0; i < waiting + servers; ++i) {
                auto& event = events[i % events.size()];
                event.ticket = { ++ticket };
                group.step(now, event, actions);
            }
        }
        std::vector<Policy::Permit> held;
        auto collect = [&] {
            for (auto const& action : actions) {
                if (auto const* granted = std::get_if<Policy::Granted>(&action))
                    held.push_back(granted->permit);
            }
            actions.clear();
        };
        collect();
        constexpr int pairs = 200'000;
        std::size_t next = 0;
        auto const start = std::chrono::steady_clock::now();
        for (int i = 0; i < pairs; ++i) {
            auto& event = events[static_cast<std::size_t>(i) % events.size()];
            event.ticket = { ++ticket };
            now += 1us;
            group.step(now, event, actions);
            collect();
            if (next < held.size()) {
                group.step(
                    now, Policy::Release { { held[next++].id, Policy::AttemptOutcome::Answered, 1us } }, actions);
                collect();
            }
        }
        auto const end = std::chrono::steady_clock::now();
        return std::chrono::duration<double, std::nano>(end - start).count() / pairs;
    }

} // namespace

/// Processor time of one acquire and one release. Real time on a shared machine: compare the rows, not the runs.
void measureCost(Sites, std::uint64_t seed)
{
    std::printf("| pool | servers | waiting | ns per acquire and release, median of 5 |\n|---|---|---|---|\n");
    for (auto const kind : { Routing::PoolKind::AnyServer, Routing::PoolKind::KeyPartitioned }) {
        for (auto const servers : { 8, 64, 512 }) {
            for (auto const waiting : { 0, 1'000, 100'000 }) {
                std::array<double, 5> runs {};
                std::ranges::generate(runs, [&] {
                    return nanosecondsPerPair(
                        static_cast<std::size_t>(servers), static_cast<std::size_t>(waiting), kind, seed);
                });
                std::ranges::sort(runs);
                std::printf("| %s | %d | %d | %.0f |\n",
                    kind == Routing::PoolKind::AnyServer ? "any-server" : "key-partitioned", servers, waiting, runs[2]);
            }
        }
    }
}

} // namespace PolicyBench
