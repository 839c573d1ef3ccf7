#pragma once

#include <cstdint>

namespace Test {

/// The range of seeds that a test runs, with `first` and `last` inclusive.
struct SeedRange {
    std::uint64_t first { 0 };
    std::uint64_t last { 0 };
};

/// Returns the range given by the environment variable `PRIMROSESHIFT_SEEDS=first:last` if it is set. Otherwise returns
/// `count` seeds starting at 0, or a tenth of them in a build with sanitizers.
SeedRange seedRange(std::uint64_t count);

} // namespace Test
