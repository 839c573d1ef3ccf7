#pragma once

#include <LibCore/Time.h>

#include <cstdint>

namespace Policy {

/// Running estimate of the median latency of one route. Makes latencies of different routes comparable, so that a
/// server that runs slow routes is not taken for a slow server.
class TypicalLatency {
public:
    void observe(Core::TimePoint now, Core::Duration);
    /// Zero before the first sample.
    Core::Duration value() const { return Core::Duration { static_cast<Core::Duration::rep>(nanoseconds_) }; }
    /// The latency relative to the typical one. 1 before the first sample.
    double ratio(Core::Duration) const;
    /// Lowers the estimate slightly when no sample has come for a while. Called for each request that is refused
    /// because of it: a too high estimate would otherwise refuse all work and never be corrected.
    void doubt(Core::TimePoint now);

private:
    double nanoseconds_ { 0 };
    std::uint64_t samples_ { 0 };
    Core::TimePoint lastSample_;
};

} // namespace Policy
