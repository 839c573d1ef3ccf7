#pragma once

#include <cstdint>
#include <random>

namespace Core {

/// Seeded random numbers. The same seed gives the same sequence on every host.
class Random {
public:
    explicit Random(std::uint64_t seed)
        : engine_(seed)
    {
    }

    /// Seeds from the operating system. For daemons only: decisions and tests use a fixed seed.
    static Random fromSystemEntropy();

    std::uint64_t next() { return engine_(); }

    /// Uniform in [0, bound). Zero when the bound is zero. The modulo bias is below bound / 2^64.
    std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : engine_() % bound; }

    /// Uniform in [0, 1).
    double unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

private:
    std::mt19937_64 engine_;
};

} // namespace Core
