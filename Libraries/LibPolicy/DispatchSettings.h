#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibRouting/Pool.h>

#include <cstddef>
#include <cstdint>

namespace Policy {

/// Settings of the concurrency limit per backend server. See docs/dispatch.md for the choice of each value.
struct LimitSettings {
    /// Limit of a server that is new, returned or cold again. A cold server may be able to serve only one request at a
    /// time.
    std::uint32_t coldLimit { 1 };
    /// Shortest time between two increases by one while a server warms up.
    Core::Duration stepInterval { std::chrono::milliseconds(500) };
    /// Number of answers at the current limit that are required before the next increase.
    std::uint32_t answersPerStep { 64 };
    /// Latency relative to the typical latency of the route above which the limit of a warming server is not increased.
    double maxWarmRatio { 1.5 };
    /// Latency relative to the typical latency of the route above which an attempt counts towards marking a warm server
    /// cold.
    double coldRatio { 4.0 };
    /// Score of the last 16 outcomes from which a warm server is marked cold. A slow attempt scores 1, a shed one 2.
    std::uint32_t coldScoreThreshold { 4 };
};

struct QueueSettings {
    std::size_t maxQueuedRequests { 1024 };
    /// Largest share of the queue that a single caller may occupy, so that it cannot block the other callers.
    double maxShareOfOneCaller { 0.5 };
    /// Relative weights with which waiting requests of each priority are served. Bulk keeps a small share, so that it
    /// is never starved.
    std::uint32_t interactiveWeight { 16 };
    std::uint32_t normalWeight { 4 };
    std::uint32_t bulkWeight { 1 };
};

/// Settings of the budget that retries and hedges share.
struct RetrySettings {
    /// Additional attempts that are allowed per first attempt. A little below the allowed 10 %, to leave room for
    /// saved attempts.
    double budgetRatio { 0.095 };
    /// Largest number of unused additional attempts that may be saved. Bounds a burst of retries after a calm period.
    double maxSavedAttempts { 5 };
};

struct HedgeSettings {
    bool enabled { true };
    /// Quantile of the latency, relative to the typical latency of the route, after which a hedge is sent.
    double quantile { 0.95 };
    Core::Duration minDelay { std::chrono::milliseconds(2) };
};

struct EjectionSettings {
    /// Largest share of the group's servers that may be ejected as stragglers at the same time.
    double maxShare { 0.25 };
    /// Average latency relative to the median server of the group above which a server is a straggler.
    double stragglerRatio { 3.0 };
    /// Consecutive failed connections after which a server is ejected.
    std::uint32_t failuresToEject { 3 };
    Core::Duration baseTime { std::chrono::milliseconds(500) };
    Core::Duration maxTime { std::chrono::seconds(10) };
};

struct QuarantineSettings {
    /// Number of distinct servers that a request must have crashed to be quarantined.
    std::uint32_t serversToQuarantine { 2 };
    Core::Duration quarantineTime { std::chrono::minutes(10) };
    /// A suspicion that no second crash confirms is dropped after this time.
    Core::Duration suspicionTime { std::chrono::minutes(10) };
    std::size_t maxFingerprints { 4096 };
};

/// All settings of one dispatch group.
struct DispatchSettings {
    Routing::PoolKind kind { Routing::PoolKind::AnyServer };
    /// Upper 24 bits of the permit ids. Must differ between two dispatchers of the same group, for example the low bits
    /// of the view version that appointed the dispatcher.
    std::uint32_t permitPrefix { 0 };
    LimitSettings limit;
    QueueSettings queue;
    RetrySettings retry;
    HedgeSettings hedge;
    EjectionSettings ejection;
    QuarantineSettings quarantine;
};

/// Longest time between two calls of `DispatchGroup::step` with a `Tick`.
inline constexpr Core::Duration tickInterval = std::chrono::milliseconds(10);

} // namespace Policy
