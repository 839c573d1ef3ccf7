#pragma once

#include <cstdint>

namespace Test {

/// Seeds that a test runs, first and last included.
struct SeedRange {
    std::uint64_t first { 0 };
    std::uint64_t last { 0 };
};

/// `PRIMROSESHIFT_SEEDS=first:last` if set. Otherwise from 0 on: `count` seeds, fewer in a build with sanitizers.
SeedRange seedRange(std::uint64_t count);

} // namespace Test
