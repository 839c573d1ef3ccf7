#pragma once

#include <LibCore/Time.h>

#include <cstdint>

namespace Policy {

/// Streaming estimate of the median latency of one route. Latencies relative to it are comparable between routes, so
/// that a server that serves slow routes is not mistaken for a slow server.
class TypicalLatency {
public:
    void observe(Core::TimePoint now, Core::Duration);
    /// The estimated median latency; zero before the first sample.
    Core::Duration value() const { return Core::Duration { static_cast<Core::Duration::rep>(nanoseconds_) }; }
    /// The given latency divided by the estimate; 1 before the first sample.
    double ratio(Core::Duration) const;
    /// Lowers the estimate by 1 % if there has been no sample for 200 ms. Called for each request that is refused
    /// because of the estimate: otherwise an estimate that is too high would refuse all work and never be corrected.
    void decayIfStale(Core::TimePoint now);

private:
    double nanoseconds_ { 0 };
    std::uint64_t samples_ { 0 };
    Core::TimePoint lastSample_;
};

} // namespace Policy
