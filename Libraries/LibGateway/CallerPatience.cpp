#include <LibGateway/CallerPatience.h>

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

    /// The longest wait is taken over the current and the previous period, so that it follows a change of the callers.
    constexpr Core::Duration period = std::chrono::seconds(10);
    /// The fraction of the longest wait that must have passed. Callers of one route differ by less.
    constexpr double minElapsedFraction = 0.05;

} // namespace

Core::Duration CallerPatience::timeSinceFirstAttempt(Core::TimePoint now, Core::Duration timeLeft)
{
    if (now - periodStart_ >= period) {
        auto const isAdjacent = now - periodStart_ < 2 * period;
        auto const previous = std::exchange(longest_, Core::Duration::zero());
        longestOfPreviousPeriod_ = isAdjacent ? previous : Core::Duration::zero();
        periodStart_ = now;
    }
    longest_ = std::max(longest_, timeLeft);
    auto const full = std::max(longest_, longestOfPreviousPeriod_);
    auto const elapsed = full - timeLeft;
    auto const isFirst
        = std::chrono::duration<double>(elapsed) < std::chrono::duration<double>(full) * minElapsedFraction;
    return isFirst ? Core::Duration::zero() : elapsed;
}

} // namespace Gateway
