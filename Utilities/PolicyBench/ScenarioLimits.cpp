#include "Scenarios.h"

#include <cstdio>
#include <initializer_list>

namespace PolicyBench {

using namespace std::chrono_literals;

namespace {

    char const* nameOf(Enforcement enforcement)
    {
        switch (enforcement) {
        case Enforcement::Local:
            return "a local";
        case Enforcement::Quota:
            return "b quotas";
        case Enforcement::Permits:
            return "d permits";
        }
        return "";
    }

    constexpr std::initializer_list<Enforcement> allEnforcements
        = { Enforcement::Local, Enforcement::Quota, Enforcement::Permits };

    void printRow(Site const& site, Enforcement enforcement, double load, Fleet& fleet)
    {
        auto const total = fleet.totals();
        std::printf("| %s | %s | %.0f %% | %.2f %% | %.1f | %.1f | %llu of %llu | %.1f | %llu |\n", site.name.c_str(),
            nameOf(enforcement), load * 100, goodput(fleet) * 100, fleet.results.quantile(0.5),
            fleet.results.quantile(0.99), static_cast<unsigned long long>(total.exceeded),
            static_cast<unsigned long long>(total.arrived), total.peakRatio,
            static_cast<unsigned long long>(total.collapses));
    }

} // namespace

/// Enforcement of fleet-wide limits: steady load, then a fifth of the servers returning cold.
void measureLimits(Sites sites, std::uint64_t seed)
{
    std::printf("| pool | enforcement | load | goodput | p50 ms | p99 ms | arrived above bearable | peak / bearable "
                "| collapses |\n|---|---|---|---|---|---|---|---|---|\n");
    for (auto const& site : sites) {
        for (auto const load : { 0.6, 0.9 }) {
            for (auto const enforcement : allEnforcements) {
                auto const fleet = warmFleet({ .site = site, .enforcement = enforcement, .load = load, .seed = seed });
                fleet->run(measuredTime(site));
                printRow(site, enforcement, load, *fleet);
            }
        }
    }
    std::printf("\nA fifth of the servers restarts at 60 %% load; counted from their return for 10 s.\n\n");
    std::printf("| pool | enforcement | load | goodput | p50 ms | p99 ms | arrived above bearable | peak / bearable "
                "| collapses |\n|---|---|---|---|---|---|---|---|---|\n");
    for (auto const& site : sites) {
        for (auto const enforcement : allEnforcements) {
            auto const fleet = warmFleet({ .site = site, .enforcement = enforcement, .load = 0.6, .seed = seed });
            for (std::size_t server = 0; server < site.servers; server += 5)
                fleet->backends[server]->crash();
            fleet->run(site.backend.downTime);
            fleet->resetResults();
            fleet->run(site.servers >= 50 ? 5s : 10s);
            printRow(site, enforcement, 0.6, *fleet);
        }
    }
}

/// The loss of the entry host that dispatches.
void measureHostDeath(Sites sites, std::uint64_t seed)
{
    std::printf("| pool | enforcement | lost work, s of full rate | intervals of 100 ms below 90 %% of the rate "
                "| intervals without an answer |\n|---|---|---|---|---|\n");
    for (auto const& site : sites) {
        for (auto const enforcement : allEnforcements) {
            auto const fleet = warmFleet({ .site = site, .enforcement = enforcement, .load = 0.6, .seed = seed });
            fleet->killHost(0);
            auto const time = site.servers >= 50 ? 4s : 8s;
            fleet->run(time);
            auto const rate = 0.6 * site.capacity();
            auto const intervals = static_cast<std::size_t>(time / 100ms);
            auto& answered = fleet->results.answeredPerInterval;
            answered.resize(intervals);
            std::size_t low = 0;
            std::size_t none = 0;
            for (auto const count : answered) {
                low += static_cast<double>(count) < 0.9 * rate * 0.1 ? 1 : 0;
                none += count == 0 ? 1 : 0;
            }
            auto const lost
                = static_cast<double>(fleet->results.offered) - static_cast<double>(fleet->results.answered);
            std::printf(
                "| %s | %s | %.2f | %zu | %zu |\n", site.name.c_str(), nameOf(enforcement), lost / rate, low, none);
        }
    }
}

} // namespace PolicyBench
