#include "Scenarios.h"

namespace PolicyBench {

using namespace std::chrono_literals;

namespace {

    constexpr std::size_t largeSite = 50;

    constexpr Scenario allScenarios[] = {
        { "limits", measureLimits },
        { "host-death", measureHostDeath },
        { "cold-start", measureColdStart },
        { "pool-cold-start", measurePoolColdStart },
        { "stragglers", measureStragglers },
        { "overload", measureOverload },
        { "retries", measureRetries },
        { "imbalance", measureImbalance },
        { "crash", measureCrash },
        { "cost", measureCost },
    };

} // namespace

std::span<Scenario const> scenarios() { return allScenarios; }

std::unique_ptr<Fleet> warmFleet(FleetSettings const& settings)
{
    auto fleet = std::make_unique<Fleet>(settings);
    fleet->run(settings.site.servers >= largeSite ? 6s : 10s);
    fleet->resetResults();
    return fleet;
}

Core::Duration measuredTime(Site const& site) { return site.servers >= largeSite ? 5s : 20s; }

double goodput(Fleet const& fleet)
{
    return static_cast<double>(fleet.results.answered) / static_cast<double>(fleet.results.offered);
}

} // namespace PolicyBench
