#pragma once

#include <LibGateway/ServerLoad.h>

#include <optional>

namespace Gateway {

/// A request that is about to be sent to a server.
struct AdmissionQuery {
    /// Until the caller gives up or the route's timeout ends.
    Core::Duration left {};
    /// Until the answer is worth less. Zero or less if that time is over.
    Core::Duration leftToTarget {};
    /// Zero is the most urgent.
    std::int32_t priority { 0 };
    /// Uniform in [0, 1), to spread the returns of refused callers.
    double lot { 0 };
};

/// Tells the caller when to come back. The request has not run.
struct Refusal {
    Core::Duration retryAfter {};
};

/// Decides whether a request is sent to its server or refused at once.
///
/// Answers the pattern in which requests for one server arrive faster than it works: what would not be answered in time
/// is refused before it waits, so that the places are held by requests that are still wanted. Beyond the slots a
/// request waits only if it is expected to be answered within its target: under lasting overload a longer queue makes
/// every answer late and serves nobody more. Less urgent requests find fewer places, so that they give way first, but
/// never none.
class Admission {
public:
    /// Empty if the request may be sent.
    static std::optional<Refusal> check(AdmissionQuery const&, ServerLoad const&, Core::TimePoint now);

    /// Whether a request on a range of an overloaded server is among those that the server can do. Less urgent ones are
    /// refused more often. `lot` is uniform in [0, 1).
    static bool isAdmitted(double admittedPart, std::int32_t priority, double lot);
    /// When the caller of one that is not should come back: hot ranges are spread over other servers meanwhile.
    static Core::Duration overloadRetryAfter(double lot);

    /// When a caller should come back to a server that has this much work ahead.
    static Core::Duration retryAfter(Core::Duration expectedWait, Core::Duration serviceTime, double lot);
};

} // namespace Gateway
