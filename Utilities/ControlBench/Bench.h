#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

/// Measurements of the control state. Virtual time and counts where possible, CPU time of this process otherwise.
namespace Bench {

/// Slots moved when a server joins or leaves, and imbalance under skewed keys.
void runChurn();
/// Virtual time until slots are served again after a loss, and while a failure domain is drained.
void runRecovery(std::uint64_t seeds);
/// CPU time and bytes by size.
void runCost();
/// Random faults for many seeds; prints each violation. False when there was one.
bool runSafety(std::uint64_t firstSeed, std::uint64_t seeds);

/// CPU time of this process in microseconds.
double cpuMicroseconds();
/// The value below which the share of values lies. The values must not be empty.
double quantile(std::vector<double> values, double share);

} // namespace Bench
