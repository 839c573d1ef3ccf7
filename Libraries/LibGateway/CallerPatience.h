#pragma once

#include <LibCore/Time.h>

namespace Gateway {

/// Recognizes callers of one route that return after a refusal.
///
/// A returning caller sends a new request, but the time that it will still wait is shorter by the time since its first
/// attempt. The longest recent wait is taken for that of a first attempt, so a caller that is always less patient than
/// others of the same route counts as returning.
class CallerPatience {
public:
    /// Records the time that a caller will wait, and returns the estimated time since its first attempt: zero if this
    /// is the first one.
    Core::Duration timeSinceFirstAttempt(Core::TimePoint now, Core::Duration timeLeft);

private:
    Core::TimePoint periodStart_;
    Core::Duration longest_ {};
    Core::Duration longestOfPreviousPeriod_ {};
};

} // namespace Gateway
