#pragma once

#include <LibGateway/ServerLoad.h>

#include <optional>

namespace Gateway {

/// The properties of a request that admission depends on.
struct AdmissionQuery {
    /// The time until the caller gives up or the route's timeout expires.
    Core::Duration remaining {};
    /// The time until the route's target latency is exceeded. Zero or negative once it is.
    Core::Duration remainingToTarget {};
    /// The priority of the route; zero is the most urgent.
    std::int32_t priority { 0 };
    /// Whether the caller was refused before, so that another refusal probably ends its attempts.
    bool isReturning { false };
    /// A random number, uniform in [0, 1), that spreads the retries of refused callers over time.
    double jitter { 0 };
    /// The cost of the request relative to the average one of its pool, see `RequestCosts`.
    double cost { 1 };
};

/// A refusal of a request that no server has run, with the estimates that led to it.
struct Refusal {
    /// The time after which the caller should retry.
    Core::Duration retryAfter {};
    Core::Duration expectedWait {};
    Core::Duration serviceTime {};
    /// The estimated number of requests at the server.
    double occupancy { 0 };
};

/// Admission control: decides whether a request is sent to its server or refused immediately.
///
/// Handles requests for one server that arrive faster than the server completes them. A request that would miss its
/// deadline is refused before it is queued, so that queue places hold only requests whose callers still wait. A request
/// that finds no free slot is queued only if its answer is expected within the target latency: under sustained overload
/// a longer queue delays every answer and does not raise the throughput. Less urgent requests may use fewer queue
/// places, so that they are refused first, but always some. A caller that returns after a refusal may queue
/// beyond the target latency, so that it is not refused again while callers that came later are admitted.
class Admission {
public:
    /// Returns the refusal, or nothing if the request may be sent.
    static std::optional<Refusal> check(AdmissionQuery const&, ServerLoad const&, Core::TimePoint now);

    /// Whether a request for a key range of an overloaded server is within the fraction that the server can handle.
    /// Less urgent requests are refused more often. `sample` is a random number, uniform in [0, 1).
    static bool isAdmitted(double admittedFraction, std::int32_t priority, double sample);
    /// The Retry-After time for a request that `isAdmitted` refused. Hot key ranges are moved to other servers
    /// meanwhile.
    static Core::Duration overloadRetryAfter(double jitter);

    /// The Retry-After time for a server that wants no requests for a time: not before its end, and spread over a while
    /// after it.
    static Core::Duration silenceRetryAfter(Core::Duration left, double jitter);

    /// The Retry-After time after a refusal for a quota in which there is room again after `wait`.
    static Core::Duration quotaRetryAfter(Core::Duration wait, double jitter);
    /// The longest time that a request may wait until it is sent to a server that names a limit, so that it is still
    /// answered in time. Less urgent requests may wait less, so that they are refused first.
    static Core::Duration maxReservationWait(AdmissionQuery const&, ServerLoad const&);

    /// The Retry-After time for a server with this expected queueing delay.
    static Core::Duration retryAfter(Core::Duration expectedWait, Core::Duration serviceTime, double jitter);
};

} // namespace Gateway
