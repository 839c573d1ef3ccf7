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
    // Answers in each of two windows that are compared to see whether latency returned to typical at once.
    constexpr std::uint32_t probationWindow = 4;
    // Mean ratio of the earlier window that counts as slow.
    constexpr double clearlySlow = 2.4;
    constexpr std::uint32_t maxAnswersPerStep = 1024;
    constexpr Core::Duration maxStepInterval = std::chrono::seconds(30);
} // namespace

SlowStartLimit::SlowStartLimit(LimitSettings const& settings)
    : settings_(settings)
    , limit_(std::max(settings.coldLimit, 1U))
    , stepInterval_(settings.stepInterval)
    , answersPerStep_(settings.answersPerStep)
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
    formerLimit_ = 0;
    beginWindow();
}

void SlowStartLimit::beginProbation(Core::TimePoint now)
{
    auto const former = std::max(limit_, formerLimit_);
    markCold(now);
    formerLimit_ = former;
    probationAnswers_ = 0;
    probationSum_ = 0;
    probationPrevious_ = clearlySlow;
}

void SlowStartLimit::raiseLimitTo(std::uint32_t inFlight) { limit_ = std::min(std::max(limit_, inFlight), slots_); }

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
    case AttemptOutcome::Cancelled:
        // The age of the attempt is a lower bound of its latency. A request that waited long before it was granted
        // times out early, which says nothing about the server.
        slowSigns_ |= sample.ratio > settings_.coldRatio ? 1U : 0U;
        break;
    default:
        break;
    }
    auto const signs = static_cast<std::uint32_t>(std::popcount(slowSigns_))
        + shedWeight * static_cast<std::uint32_t>(std::popcount(shedSigns_));
    if (signs < settings_.coldSigns || limit_ <= settings_.coldLimit)
        return false;
    if (shedSigns_ == 0)
        beginProbation(sample.now);
    else
        markCold(sample.now);
    return true;
}

void SlowStartLimit::onAnswer(AttemptSample const& sample)
{
    if (sample.ratio > settings_.coldRatio)
        slowSigns_ |= 1U;
    if (limit_ >= slots_)
        return;
    if (formerLimit_ > 0)
        considerRestoring(sample);
    ++answers_;
    ratioSum_ += sample.ratio;
    limitReached_ = limitReached_ || sample.inFlight >= limit_;
    if (answers_ >= answersPerStep_ && limitReached_ && sample.now - lastStep_ >= stepInterval_)
        considerStep(sample.now);
}

void SlowStartLimit::considerRestoring(AttemptSample const& sample)
{
    probationSum_ += sample.ratio;
    if (++probationAnswers_ < probationWindow)
        return;
    auto const mean = probationSum_ / probationAnswers_;
    if (mean <= settings_.maxWarmRatio && probationPrevious_ >= clearlySlow) {
        limit_ = std::min(std::max(limit_, formerLimit_), slots_);
        formerLimit_ = 0;
    } else if (mean <= settings_.maxWarmRatio) {
        formerLimit_ = 0;
    }
    probationPrevious_ = mean;
    probationAnswers_ = 0;
    probationSum_ = 0;
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
    if (limit_ < slots_)
        return;
    stepInterval_ = settings_.stepInterval;
    answersPerStep_ = settings_.answersPerStep;
}

void SlowStartLimit::onShed(AttemptSample const& sample)
{
    limit_ = std::max(std::min(limit_, sample.inFlight) - (limit_ > 1 && sample.inFlight > 1 ? 1U : 0U), 1U);
    formerLimit_ = 0;
    stepInterval_ = std::min(stepInterval_ * 2, maxStepInterval);
    answersPerStep_ = std::min(answersPerStep_ * 2, maxAnswersPerStep);
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
