#include "Scenarios.h"

#include <algorithm>

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
    fleet->run(settings.site.servers >= largeSite ? 3s : 5s);
    fleet->resetResults();
    return fleet;
}

Core::Duration measuredTime(Site const& site) { return site.servers >= largeSite ? 3s : 20s; }

double goodput(Fleet const& fleet)
{
    auto const& results = fleet.results;
    auto const ended = results.answered + results.refused + results.failed;
    return static_cast<double>(results.answered) / static_cast<double>(std::max<std::uint64_t>(ended, 1));
}

} // namespace PolicyBench
