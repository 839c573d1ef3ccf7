#pragma once

#include <LibCore/Random.h>
#include <LibPolicy/Permit.h>

namespace Policy {

/// Whether the outcome proves that the backend server did not run the request.
bool certainlyNotRun(AttemptOutcome);

/// Whether another attempt is allowed at all. Non-idempotent work is never resent once a byte may have been sent.
bool mayRetry(Routing::RequestClass, AttemptOutcome);

/// Delay after which the holder of a request should make its next attempt.
struct RetryPlan {
    Core::Duration delay { 0 };
};

struct BackoffSettings {
    Core::Duration base { std::chrono::milliseconds(5) };
    Core::Duration max { std::chrono::milliseconds(500) };
    std::uint32_t maxAttempts { 3 };
};

/// Plans the next attempt with exponential backoff and full jitter. Empty when another attempt is not allowed, the
/// maximum number of attempts has been made, or the delay plus the expected time of an attempt does not fit before the
/// deadline. The deadline covers all attempts, so the time already spent counts.
std::optional<RetryPlan> planRetry(Core::TimePoint now, Core::TimePoint deadline, Routing::RequestClass, AttemptOutcome,
    std::uint32_t attemptsMade, Core::Duration expectedTime, Core::Random&, BackoffSettings const& = {});

} // namespace Policy
