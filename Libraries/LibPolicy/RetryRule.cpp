#include <LibPolicy/RetryRule.h>

#include <algorithm>

namespace Policy {

bool certainlyNotRun(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Shed:
    case AttemptOutcome::FencingRefused:
    case AttemptOutcome::ConnectFailed:
    case AttemptOutcome::NotSent:
        return true;
    case AttemptOutcome::Answered:
    case AttemptOutcome::ConnectionLost:
    case AttemptOutcome::TimedOut:
    case AttemptOutcome::Cancelled:
        return false;
    }
    return false;
}

bool mayRetry(Routing::RequestClass requestClass, AttemptOutcome outcome)
{
    if (outcome == AttemptOutcome::Answered || outcome == AttemptOutcome::Cancelled)
        return false;
    return requestClass == Routing::RequestClass::Idempotent || certainlyNotRun(outcome);
}

std::optional<RetryPlan> planRetry(Core::TimePoint now, Core::TimePoint deadline, Routing::RequestClass requestClass,
    AttemptOutcome outcome, std::uint32_t attemptsMade, Core::Duration expectedTime, Core::Random& random,
    BackoffSettings const& settings)
{
    if (!mayRetry(requestClass, outcome) || attemptsMade >= settings.maxAttempts)
        return std::nullopt;
    auto const exponent = std::min(attemptsMade > 0 ? attemptsMade - 1 : 0U, 16U);
    auto const ceiling = std::min(settings.base * (std::int64_t { 1 } << exponent), settings.max);
    Core::Duration const delay { static_cast<Core::Duration::rep>(
        random.below(static_cast<std::uint64_t>(ceiling.count()) + 1)) };
    if (now + delay + expectedTime >= deadline)
        return std::nullopt;
    return RetryPlan { delay };
}

} // namespace Policy
