#include <LibPolicy/TypicalLatency.h>

#include <algorithm>

namespace Policy {

namespace {
    // Minimum step of the estimate relative to its value, with which it can double within about 35 samples.
    constexpr double minStep = 0.02;
    constexpr double staleDecayFactor = 0.99;
    // Age of the last sample from which the estimate decays. Under overload many requests are refused, but answers keep
    // the estimate correct, so it must not decay then.
    constexpr Core::Duration staleAfter = std::chrono::milliseconds(200);
} // namespace

void TypicalLatency::observe(Core::TimePoint now, Core::Duration latency)
{
    lastSample_ = now;
    ++samples_;
    auto const sample = static_cast<double>(std::max<Core::Duration::rep>(latency.count(), 1));
    if (samples_ == 1) {
        nanoseconds_ = sample;
        return;
    }
    auto const step = std::max(minStep, 1.0 / static_cast<double>(samples_ + 1));
    nanoseconds_ *= sample > nanoseconds_ ? 1 + step : 1 - step;
}

double TypicalLatency::ratio(Core::Duration latency) const
{
    return samples_ == 0 || nanoseconds_ <= 0 ? 1 : static_cast<double>(latency.count()) / nanoseconds_;
}

void TypicalLatency::decayIfStale(Core::TimePoint now)
{
    if (now - lastSample_ > staleAfter)
        nanoseconds_ *= staleDecayFactor;
}

} // namespace Policy
