#include "Scenarios.h"

#include <LibPolicy/LeastLoadedChoice.h>

#include <algorithm>
#include <cstdio>

namespace PolicyBench {

using namespace std::chrono_literals;

namespace {

    using MakeDecisions = std::function<Policy::DispatchPolicies(Policy::DispatchSettings const&)>;

    struct Variant {
        char const* name;
        MakeDecisions decisions;
    };

    Policy::DispatchPolicies baseline(Policy::DispatchSettings const&) { return Policy::baselinePolicies(); }

    std::vector<Variant> baselineAndDefault()
    {
        return { { "baseline", baseline }, { "policy", Policy::defaultPolicies } };
    }

    unsigned long long number(std::uint64_t value) { return value; }

    struct ColdModel {
        char const* name;
        double coldLatency;
        std::uint32_t requestsToWarm;
    };

    constexpr ColdModel coldModels[] = {
        { "latency 4x, 60 requests", 4, 60 },
        { "latency 1.2x, 60 requests", 1.2, 60 },
        { "latency 1x, 60 requests", 1, 60 },
        { "latency 1x, 300 requests", 1, 300 },
    };

    void printColdRow(Site const& site, ColdModel const& model, Variant const& variant, bool announced, Fleet& fleet)
    {
        auto const total = fleet.totals();
        std::printf("| %s | %s | %s | %s | %llu of %llu | %.1f | %llu | %.2f %% | %.1f |\n", site.name.c_str(),
            model.name, announced ? "restart" : "unnoticed", variant.name, number(total.exceeded),
            number(total.arrived), total.peakRatio, number(total.collapses), goodput(fleet) * 100,
            fleet.results.quantile(0.99));
    }

} // namespace

/// A tenth of the servers becomes cold, by a restart or without notice.
void measureColdStart(Sites sites, std::uint64_t seed)
{
    std::printf("| pool | cold server | event | variant | arrived above bearable | peak / bearable | collapses "
                "| goodput | p99 ms |\n|---|---|---|---|---|---|---|---|---|\n");
    for (auto const& base : sites) {
        for (auto const& model : coldModels) {
            // At the large sizes only the first model, to bound the time of a run.
            if (base.servers >= 50 && &model != &coldModels[0])
                continue;
            for (auto const announced : { true, false }) {
                for (auto const& variant : baselineAndDefault()) {
                    auto site = base;
                    site.backend.coldLatency = model.coldLatency;
                    site.backend.requestsToWarm = model.requestsToWarm;
                    auto const fleet
                        = warmFleet({ .site = site, .decisions = variant.decisions, .load = 0.6, .seed = seed });
                    for (std::size_t server = 0; server < site.servers; server += 10) {
                        if (announced)
                            fleet->backends[server]->crash();
                        else
                            fleet->backends[server]->becomeCold();
                    }
                    if (announced) {
                        fleet->run(site.backend.downTime);
                        fleet->resetResults();
                    }
                    fleet->run(site.servers >= 50 ? 5s : 15s);
                    printColdRow(site, model, variant, announced, *fleet);
                }
            }
        }
    }
}

/// All servers of a pool start cold while the full load is already there.
void measurePoolColdStart(Sites sites, std::uint64_t seed)
{
    std::printf("| pool | variant | arrived above bearable | peak / bearable | collapses | goodput in 20 s "
                "| time to 90 %% of the load, s |\n|---|---|---|---|---|---|---|\n");
    for (auto const& site : sites) {
        for (auto const& variant : baselineAndDefault()) {
            Fleet fleet(
                { .site = site, .decisions = variant.decisions, .load = 0.9, .startWarm = false, .seed = seed });
            fleet.resetResults();
            fleet.run(site.servers >= 50 ? 10s : 20s);
            auto const total = fleet.totals();
            auto const wanted = 0.9 * 0.9 * site.capacity() * 0.1;
            auto const& answered = fleet.results.answeredPerInterval;
            // The first second in which 90 % of the offered load is answered.
            std::size_t first = 0;
            for (; first + 10 <= answered.size(); ++first) {
                double sum = 0;
                for (std::size_t i = first; i < first + 10; ++i)
                    sum += static_cast<double>(answered[i]);
                if (sum >= 10 * wanted)
                    break;
            }
            auto const reached = first + 10 <= answered.size();
            std::printf("| %s | %s | %llu of %llu | %.1f | %llu | %.2f %% | %s%.1f |\n", site.name.c_str(),
                variant.name, number(total.exceeded), number(total.arrived), total.peakRatio, number(total.collapses),
                goodput(fleet) * 100, reached ? "" : "not within ", static_cast<double>(first) * 0.1);
        }
    }
}

namespace {

    /// Slows another tenth of the servers ten times for 500 ms, once a second.
    void scheduleSlowPhases(Fleet& fleet, Core::Duration time, std::uint64_t seed)
    {
        auto const random = std::make_shared<Core::Random>(seed);
        auto const slowServers = std::max<std::size_t>(fleet.backends.size() / 10, 1);
        for (Core::Duration start {}; start < time; start += 1s) {
            fleet.simulation.after(start, [&fleet, random, slowServers] {
                for (std::size_t i = 0; i < slowServers; ++i)
                    fleet.backends[random->below(fleet.backends.size())]->slowDown(10, fleet.simulation.now() + 500ms);
            });
        }
    }

    std::vector<Variant> stragglerVariants()
    {
        return {
            { "baseline", baseline },
            { "baseline + least loaded",
                [](auto const&) {
                    auto decisions = Policy::baselinePolicies();
                    decisions.choice = std::make_unique<Policy::LeastLoadedChoice>();
                    return decisions;
                } },
            { "policy without hedging",
                [](auto const& settings) {
                    auto decisions = Policy::defaultPolicies(settings);
                    decisions.hedge = std::make_unique<Policy::NoHedging>();
                    return decisions;
                } },
            { "policy without ejection",
                [](auto const& settings) {
                    auto decisions = Policy::defaultPolicies(settings);
                    decisions.ejection = std::make_unique<Policy::NoEjection>();
                    return decisions;
                } },
            { "policy without early refusal",
                [](auto const& settings) {
                    auto decisions = Policy::defaultPolicies(settings);
                    decisions.refuseUnmeetableDeadlines = false;
                    return decisions;
                } },
            { "policy", Policy::defaultPolicies },
        };
    }

} // namespace

/// Tail latency while a tenth of the servers is slowed ten times for moments, relative to none slowed.
void measureStragglers(Sites sites, std::uint64_t seed)
{
    std::printf("| pool | variant | p99 none slowed | p99 slowed | ratio | p99.9 none slowed | p99.9 slowed | ratio "
                "| goodput slowed | hedges | ejections |\n|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (auto const& site : sites) {
        for (auto const& variant : stragglerVariants()) {
            FleetSettings const settings { .site = site, .decisions = variant.decisions, .load = 0.5, .seed = seed };
            auto const time = site.servers >= 50 ? Core::Duration(5s) : Core::Duration(60s);
            auto const calm = warmFleet(settings);
            calm->run(time);
            auto const slowed = warmFleet(settings);
            scheduleSlowPhases(*slowed, time, seed);
            slowed->run(time);
            auto const counters = slowed->counters();
            auto const calm99 = calm->results.quantile(0.99);
            auto const slow99 = slowed->results.quantile(0.99);
            auto const calm999 = calm->results.quantile(0.999);
            auto const slow999 = slowed->results.quantile(0.999);
            std::printf("| %s | %s | %.1f | %.1f | %.2f | %.1f | %.1f | %.2f | %.2f %% | %.1f %% | %llu |\n",
                site.name.c_str(), variant.name, calm99, slow99, slow99 / calm99, calm999, slow999, slow999 / calm999,
                goodput(*slowed) * 100,
                100.0 * static_cast<double>(counters.hedges) / static_cast<double>(counters.granted),
                number(counters.ejections));
        }
    }
}

/// Spread of the work over equal servers.
void measureImbalance(Sites sites, std::uint64_t seed)
{
    std::printf("| pool | variant | load | max / mean of served requests |\n|---|---|---|---|\n");
    for (auto const& site : sites) {
        if (site.kind != Routing::PoolKind::AnyServer)
            continue;
        for (auto const load : { 0.2, 0.7 }) {
            for (auto const& variant :
                std::vector<Variant> { { "random choice",
                                           [](auto const& settings) {
                                               auto decisions = Policy::defaultPolicies(settings);
                                               decisions.choice = std::make_unique<Policy::RandomChoice>();
                                               return decisions;
                                           } },
                    { "round robin",
                        [](auto const& settings) {
                            auto decisions = Policy::defaultPolicies(settings);
                            decisions.choice = std::make_unique<Policy::RoundRobinChoice>();
                            return decisions;
                        } },
                    { "least loaded", Policy::defaultPolicies } }) {
                auto const fleet
                    = warmFleet({ .site = site, .decisions = variant.decisions, .load = load, .seed = seed });
                fleet->run(measuredTime(site));
                std::uint64_t most = 0;
                for (auto const& backend : fleet->backends)
                    most = std::max(most, backend->counts.arrived);
                auto const mean
                    = static_cast<double>(fleet->totals().arrived) / static_cast<double>(fleet->backends.size());
                std::printf("| %s | %s | %.0f %% | %.2f |\n", site.name.c_str(), variant.name, load * 100,
                    static_cast<double>(most) / mean);
            }
        }
    }
}

} // namespace PolicyBench
