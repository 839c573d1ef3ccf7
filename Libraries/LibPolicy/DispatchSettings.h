#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibRouting/Pool.h>

#include <cstddef>
#include <cstdint>

namespace Policy {

/// Limit per backend server. See docs/dispatch.md for the choice of each value.
struct LimitSettings {
    /// Limit of a server that is new, returned or cold again. A cold server may bear only one request.
    std::uint32_t coldLimit { 1 };
    /// Shortest time between two increases by one while a server warms up.
    Core::Duration stepInterval { std::chrono::milliseconds(500) };
    /// Answers needed at a limit before the next increase.
    std::uint32_t answersPerStep { 64 };
    /// Latency relative to the typical latency of the route above which a warming server is not given more.
    double maxWarmRatio { 1.5 };
    /// Latency relative to the typical latency of the route that counts towards marking a warm server cold.
    double coldRatio { 4.0 };
    /// Sheds or slow answers, among the last 16 outcomes, that mark a warm server cold.
    std::uint32_t coldSigns { 4 };
};

struct QueueSettings {
    std::size_t maxQueuedRequests { 1024 };
    /// A single caller may hold at most this share of the queue, so that it cannot shut out the others.
    double maxShareOfOneCaller { 0.5 };
    /// Relative service of waiting priorities. Bulk keeps a small share, so that it is never starved.
    std::uint32_t interactiveWeight { 16 };
    std::uint32_t normalWeight { 4 };
    std::uint32_t bulkWeight { 1 };
};

/// Retries and hedges share one budget.
struct RetrySettings {
    /// Additional attempts relative to first attempts. A little below the 10 % that are allowed, to leave room for what
    /// was saved up.
    double budgetRatio { 0.095 };
    /// Attempts that may be saved up. Bounds a burst of retries after a calm period.
    double maxSavedAttempts { 5 };
};

struct HedgeSettings {
    bool enabled { true };
    /// Quantile of the latency relative to typical after which a second attempt is worthwhile.
    double quantile { 0.95 };
    Core::Duration minDelay { std::chrono::milliseconds(2) };
};

struct EjectionSettings {
    /// Largest share of the group's servers that may be ejected as stragglers at the same time.
    double maxShare { 0.25 };
    /// Average latency relative to the median server of the group that makes a server a straggler.
    double stragglerRatio { 3.0 };
    /// Consecutive failed attempts after which a server is paused.
    std::uint32_t failuresToPause { 3 };
    Core::Duration baseTime { std::chrono::milliseconds(500) };
    Core::Duration maxTime { std::chrono::seconds(10) };
};

struct QuarantineSettings {
    /// Distinct servers that a request must have crashed.
    std::uint32_t serversToQuarantine { 2 };
    Core::Duration quarantineTime { std::chrono::minutes(10) };
    /// A suspicion that no second crash confirms is dropped after this time.
    Core::Duration suspicionTime { std::chrono::minutes(10) };
    std::size_t maxFingerprints { 4096 };
};

/// Everything that shapes the decisions of one dispatch group.
struct DispatchSettings {
    Routing::PoolKind kind { Routing::PoolKind::AnyServer };
    /// Upper 24 bits of the permit ids. Must differ between two dispatchers of the same group; the low bits of the view
    /// version that appointed the dispatcher serve well.
    std::uint32_t permitPrefix { 0 };
    LimitSettings limit;
    QueueSettings queue;
    RetrySettings retry;
    HedgeSettings hedge;
    EjectionSettings ejection;
    QuarantineSettings quarantine;
};

/// `step` must be called with a `Tick` at least this often.
inline constexpr Core::Duration tickInterval = std::chrono::milliseconds(10);

} // namespace Policy
