#include <LibPolicy/HedgeDelay.h>

#include <algorithm>

namespace Policy {

namespace {
    // Number of samples before hedging starts. The estimate of a high quantile from fewer samples is unreliable.
    constexpr std::uint64_t minSamples = 20;
    // Step of the quantile estimate relative to its value. Small, so that a short slow phase hardly changes the delay.
    constexpr double estimateStep = 0.05;
    constexpr double minRatio = 1.2;
} // namespace

QuantileHedgeDelay::QuantileHedgeDelay(HedgeSettings const& settings)
    : settings_(settings)
{
}

void QuantileHedgeDelay::observe(double ratio)
{
    ++samples_;
    auto const step = estimateStep * ratio_;
    ratio_ += ratio > ratio_ ? step * settings_.quantile : -step * (1 - settings_.quantile);
    ratio_ = std::max(ratio_, minRatio);
}

std::optional<Core::Duration> QuantileHedgeDelay::delay(Core::Duration typical) const
{
    if (!settings_.enabled || samples_ < minSamples || typical.count() == 0)
        return std::nullopt;
    auto const scaled = static_cast<double>(typical.count()) * ratio_;
    return std::max(Core::Duration { static_cast<Core::Duration::rep>(scaled) }, settings_.minDelay);
}

} // namespace Policy
