#include <LibGateway/RetryShare.h>

#include <algorithm>
#include <numeric>

namespace Gateway {

namespace {

    /// Part of the bound that is used, since the windows of the entry hosts do not begin at the same time.
    constexpr double usedPart = 0.75;

} // namespace

void RetryShare::advance(Core::TimePoint now)
{
    auto const step = now.time_since_epoch() / (bound_.window / static_cast<std::int64_t>(steps));
    auto const passed = std::min(step - currentStep_, static_cast<std::int64_t>(requests_.size()));
    for (std::int64_t i = 1; i <= passed; ++i) {
        auto const slot = static_cast<std::size_t>((step - passed + i) % static_cast<std::int64_t>(requests_.size()));
        requests_.at(slot) = 0;
        repeats_.at(slot) = 0;
    }
    currentStep_ = step;
}

void RetryShare::countRequest(Core::TimePoint now)
{
    advance(now);
    ++requests_.at(static_cast<std::size_t>(currentStep_) % requests_.size());
}

bool RetryShare::tryRepeat(Core::TimePoint now, std::uint32_t entryHosts)
{
    advance(now);
    auto const requests = std::accumulate(requests_.begin(), requests_.end(), 0U);
    auto const repeats = std::accumulate(repeats_.begin(), repeats_.end(), 0U);
    auto const allowed = usedPart * (bound_.ratio * requests + bound_.slack / std::max(entryHosts, 1U));
    if (repeats + 1 > allowed)
        return false;
    ++repeats_.at(static_cast<std::size_t>(currentStep_) % repeats_.size());
    return true;
}

} // namespace Gateway
