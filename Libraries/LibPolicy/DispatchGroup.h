#pragma once

#include <LibPolicy/DispatchEvents.h>
#include <LibPolicy/DispatchSettings.h>

#include <memory>
#include <vector>

namespace Policy {

struct DispatchPolicies;

/// State of one backend server as known to its dispatcher, for metrics and operators.
struct ServerStatus {
    Core::ServerName server;
    std::uint32_t slots { 0 };
    std::uint32_t limit { 0 };
    std::uint32_t inFlight { 0 };
    bool present { false };
    bool draining { false };
    bool cold { false };
    bool ejected { false };
    /// Moving average of the latency relative to the typical latency of the routes.
    double slowness { 1 };
};

/// Counters of a dispatch group since its creation.
struct DispatchCounters {
    std::uint64_t granted { 0 };
    std::uint64_t retries { 0 };
    std::uint64_t hedges { 0 };
    std::uint64_t refusedOverloaded { 0 };
    std::uint64_t refusedDeadline { 0 };
    std::uint64_t refusedBudget { 0 };
    std::uint64_t refusedQuarantined { 0 };
    std::uint64_t refusedOther { 0 };
    std::uint64_t unknownReleases { 0 };
    std::uint64_t expiredPermits { 0 };
    std::uint64_t ejections { 0 };
    std::uint64_t markedCold { 0 };
    std::uint64_t crashes { 0 };
};

/// The dispatcher of one group of backend servers: decides which request may go to which server and when.
///
/// A deterministic state machine. It reads no clock: time never goes back between two calls. Not thread-safe.
/// Each `Acquire` is answered by exactly one `Granted` or `Refused`, at the latest at the first `Tick` at or after the
/// deadline. An acquire or a release on a group without queue costs well under a microsecond; the cost is at most
/// logarithmic in the number of servers and of waiting requests. A `Tick` is linear in the number of servers.
class DispatchGroup {
public:
    DispatchGroup(DispatchSettings const&, std::uint64_t seed);
    /// Creates a group with other policies than the default ones, to compare variants.
    DispatchGroup(DispatchSettings const&, DispatchPolicies, std::uint64_t seed);
    ~DispatchGroup();
    DispatchGroup(DispatchGroup&&) noexcept;
    DispatchGroup& operator=(DispatchGroup&&) noexcept;
    DispatchGroup(DispatchGroup const&) = delete;
    DispatchGroup& operator=(DispatchGroup const&) = delete;

    /// Processes one event at the given time and appends the resulting actions to `actions`.
    void step(Core::TimePoint now, Event const&, std::vector<Action>& actions);

    std::vector<ServerStatus> servers() const;
    DispatchCounters const& counters() const;
    std::size_t waiting() const;
    std::size_t heldPermits() const;

private:
    class State;
    std::unique_ptr<State> state_;
};

} // namespace Policy
