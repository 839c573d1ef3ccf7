#pragma once

#include "Fleet.h"

#include <span>
#include <string_view>

namespace PolicyBench {

using Sites = std::span<Site const>;

/// A named measurement that prints a table.
struct Scenario {
    std::string_view name;
    void (*run)(Sites, std::uint64_t seed);
};

std::span<Scenario const> scenarios();

void measureLimits(Sites sites, std::uint64_t seed);
void measureHostDeath(Sites sites, std::uint64_t seed);
void measureColdStart(Sites sites, std::uint64_t seed);
void measurePoolColdStart(Sites sites, std::uint64_t seed);
void measureStragglers(Sites sites, std::uint64_t seed);
void measureOverload(Sites sites, std::uint64_t seed);
void measureRetries(Sites sites, std::uint64_t seed);
void measureImbalance(Sites sites, std::uint64_t seed);
void measureCrash(Sites sites, std::uint64_t seed);
void measureCost(Sites sites, std::uint64_t seed);

/// A fleet that has run under load until it is warm, with empty results.
std::unique_ptr<Fleet> warmFleet(FleetSettings const&);
/// Shorter for large sites, to bound the time of a run.
Core::Duration measuredTime(Site const&);
/// Answered requests relative to all that have ended.
double goodput(Fleet const&);

} // namespace PolicyBench
