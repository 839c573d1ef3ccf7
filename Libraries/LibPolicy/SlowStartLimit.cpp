#include <LibPolicy/SlowStartLimit.h>

#include <bit>

namespace Policy {

namespace {
    // A shed request states overload; a slow answer only suggests it.
    constexpr std::uint32_t shedWeight = 2;
    // A window whose mean latency is below this part of the one before shows a server that is still warming up.
    constexpr double stillFalling = 0.9;
    // Latency close enough to typical that a further fall is taken for noise.
    constexpr double nearTypical = 1.1;
    // After this many windows of stable but higher latency the server is taken for permanently slower, not for cold.
    constexpr std::uint32_t plateauToAccept = 6;
    constexpr Core::Duration maxStepInterval = std::chrono::seconds(30);
} // namespace

SlowStartLimit::SlowStartLimit(LimitSettings const& settings)
    : settings_(settings)
    , limit_(std::max(settings.coldLimit, 1U))
    , stepInterval_(settings.stepInterval)
{
}

void SlowStartLimit::setSlots(std::uint32_t slots)
{
    slots_ = std::max(slots, 1U);
    limit_ = std::min(limit_, slots_);
}

void SlowStartLimit::markCold(Core::TimePoint now)
{
    limit_ = std::min(std::max(settings_.coldLimit, 1U), slots_);
    lastStep_ = now;
    previousRatio_ = 0;
    plateauWindows_ = 0;
    slowSigns_ = 0;
    shedSigns_ = 0;
    beginWindow();
}

void SlowStartLimit::assumeDemonstrated(std::uint32_t inFlight)
{
    limit_ = std::min(std::max(limit_, inFlight), slots_);
}

bool SlowStartLimit::observe(AttemptSample const& sample)
{
    slowSigns_ = static_cast<std::uint16_t>(slowSigns_ << 1U);
    shedSigns_ = static_cast<std::uint16_t>(shedSigns_ << 1U);
    switch (sample.outcome) {
    case AttemptOutcome::Answered:
        onAnswer(sample);
        break;
    case AttemptOutcome::Shed:
        shedSigns_ |= 1U;
        onShed(sample);
        break;
    case AttemptOutcome::TimedOut:
        slowSigns_ |= 1U;
        break;
    case AttemptOutcome::Cancelled:
        // A hedge that won cancels the slower attempt; its age is a lower bound of its latency.
        slowSigns_ |= sample.ratio > settings_.coldRatio ? 1U : 0U;
        break;
    default:
        break;
    }
    auto const signs = static_cast<std::uint32_t>(std::popcount(slowSigns_))
        + shedWeight * static_cast<std::uint32_t>(std::popcount(shedSigns_));
    if (signs < settings_.coldSigns || limit_ <= settings_.coldLimit)
        return false;
    markCold(sample.now);
    return true;
}

void SlowStartLimit::onAnswer(AttemptSample const& sample)
{
    if (sample.ratio > settings_.coldRatio)
        slowSigns_ |= 1U;
    if (limit_ >= slots_)
        return;
    ++answers_;
    ratioSum_ += sample.ratio;
    limitReached_ = limitReached_ || sample.inFlight >= limit_;
    if (answers_ >= settings_.answersPerStep && limitReached_ && sample.now - lastStep_ >= stepInterval_)
        considerStep(sample.now);
}

void SlowStartLimit::considerStep(Core::TimePoint now)
{
    auto const mean = ratioSum_ / answers_;
    auto const falling = previousRatio_ > 0 && mean < stillFalling * previousRatio_ && mean > nearTypical;
    auto const nearEnough = mean <= settings_.maxWarmRatio && !falling;
    plateauWindows_ = falling ? 0 : plateauWindows_ + 1;
    previousRatio_ = mean;
    lastStep_ = now;
    beginWindow();
    if (!nearEnough && plateauWindows_ < plateauToAccept)
        return;
    ++limit_;
    previousRatio_ = 0;
    plateauWindows_ = 0;
    if (limit_ >= slots_)
        stepInterval_ = settings_.stepInterval;
}

void SlowStartLimit::onShed(AttemptSample const& sample)
{
    limit_ = std::max(std::min(limit_, sample.inFlight) - (limit_ > 1 && sample.inFlight > 1 ? 1U : 0U), 1U);
    stepInterval_ = std::min(stepInterval_ * 2, maxStepInterval);
    lastStep_ = sample.now;
    previousRatio_ = 0;
    beginWindow();
}

void SlowStartLimit::beginWindow()
{
    answers_ = 0;
    ratioSum_ = 0;
    limitReached_ = false;
}

} // namespace Policy
