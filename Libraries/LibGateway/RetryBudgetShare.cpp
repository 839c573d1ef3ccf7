#include <LibGateway/RetryBudgetShare.h>

#include <algorithm>
#include <numeric>

namespace Gateway {

namespace {

    /// Fraction of the budget that is used, since the windows of the entry hosts are not aligned.
    constexpr double usedFraction = 0.75;

} // namespace

void RetryBudgetShare::advance(Core::TimePoint now)
{
    auto const step = now.time_since_epoch() / (budget_.window / static_cast<std::int64_t>(steps));
    auto const passed = std::min(step - currentStep_, static_cast<std::int64_t>(requests_.size()));
    for (std::int64_t i = 1; i <= passed; ++i) {
        auto const slot = static_cast<std::size_t>((step - passed + i) % static_cast<std::int64_t>(requests_.size()));
        requests_.at(slot) = 0;
        retryCounts_.at(slot) = 0;
    }
    currentStep_ = step;
}

void RetryBudgetShare::countRequest(Core::TimePoint now)
{
    advance(now);
    ++requests_.at(static_cast<std::size_t>(currentStep_) % requests_.size());
}

std::uint32_t RetryBudgetShare::retries() const
{
    return std::accumulate(retryCounts_.begin(), retryCounts_.end(), 0U);
}

std::uint32_t RetryBudgetShare::requests() const { return std::accumulate(requests_.begin(), requests_.end(), 0U); }

bool RetryBudgetShare::tryAcquireRetry(Core::TimePoint now, double slackShare)
{
    advance(now);
    auto const allowed = usedFraction * (budget_.ratio * requests() + budget_.slack * slackShare);
    if (retries() + 1 > allowed)
        return false;
    ++retryCounts_.at(static_cast<std::size_t>(currentStep_) % retryCounts_.size());
    return true;
}

} // namespace Gateway
