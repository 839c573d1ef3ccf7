#pragma once

#include "Fleet.h"

#include <span>
#include <string_view>

namespace PolicyBench {

/// A named measurement that prints a table.
struct Scenario {
    std::string_view name;
    void (*run)(std::uint64_t seed);
};

std::span<Scenario const> scenarios();

void measureLimits(std::uint64_t seed);
void measureHostDeath(std::uint64_t seed);
void measureColdStart(std::uint64_t seed);
void measurePoolColdStart(std::uint64_t seed);
void measureStragglers(std::uint64_t seed);
void measureOverload(std::uint64_t seed);
void measureRetries(std::uint64_t seed);
void measureImbalance(std::uint64_t seed);
void measureCrash(std::uint64_t seed);
void measureCost(std::uint64_t seed);

/// A fleet that has run under load until it is warm, with empty results.
std::unique_ptr<Fleet> warmFleet(FleetSettings const&);
/// Shorter for large sites, to bound the time of a run.
Core::Duration measuredTime(Site const&);
/// Answered requests relative to offered ones.
double goodput(Fleet const&);

} // namespace PolicyBench
