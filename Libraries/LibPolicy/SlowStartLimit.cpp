#include <LibPolicy/SlowStartLimit.h>

#include <bit>

namespace Policy {

namespace {
    // A shed request counts more than a slow answer: it proves overload, a slow answer only suggests it.
    constexpr std::uint32_t shedWeight = 2;
    // The server is still warming up while the mean latency of a window is below this fraction of the previous window.
    constexpr double fallingLatencyRatio = 0.9;
    // Latency ratio up to which a further decrease is regarded as noise.
    constexpr double nearTypicalRatio = 1.1;
    // After this many windows of stable but higher latency the server is regarded as permanently slower instead of
    // cold.
    constexpr std::uint32_t plateauWindowsToAccept = 6;
    // Number of answers in each of the two windows that are compared to detect a sudden return to the typical latency.
    constexpr std::uint32_t probationWindow = 4;
    // Mean latency ratio from which the earlier of the two windows counts as slow.
    constexpr double clearlySlowRatio = 2.4;
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
    slowHistory_ = 0;
    shedHistory_ = 0;
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
    previousProbationRatio_ = clearlySlowRatio;
}

void SlowStartLimit::raiseLimitTo(std::uint32_t inFlight) { limit_ = std::min(std::max(limit_, inFlight), slots_); }

bool SlowStartLimit::observe(AttemptSample const& sample)
{
    slowHistory_ = static_cast<std::uint16_t>(slowHistory_ << 1U);
    shedHistory_ = static_cast<std::uint16_t>(shedHistory_ << 1U);
    switch (sample.outcome) {
    case AttemptOutcome::Answered:
        onAnswer(sample);
        break;
    case AttemptOutcome::Shed:
        shedHistory_ |= 1U;
        onShed(sample);
        break;
    case AttemptOutcome::TimedOut:
    case AttemptOutcome::Cancelled:
        // The age of the attempt is a lower bound of its latency. A request that waited long before it was granted
        // times out early, which says nothing about the server.
        slowHistory_ |= sample.ratio > settings_.coldRatio ? 1U : 0U;
        break;
    default:
        break;
    }
    auto const coldScore = static_cast<std::uint32_t>(std::popcount(slowHistory_))
        + shedWeight * static_cast<std::uint32_t>(std::popcount(shedHistory_));
    if (coldScore < settings_.coldScoreThreshold || limit_ <= settings_.coldLimit)
        return false;
    if (shedHistory_ == 0)
        beginProbation(sample.now);
    else
        markCold(sample.now);
    return true;
}

void SlowStartLimit::onAnswer(AttemptSample const& sample)
{
    if (sample.ratio > settings_.coldRatio)
        slowHistory_ |= 1U;
    if (limit_ >= slots_)
        return;
    if (formerLimit_ > 0)
        restoreFormerLimitIfTypical(sample);
    ++answers_;
    ratioSum_ += sample.ratio;
    limitReached_ = limitReached_ || sample.inFlight >= limit_;
    if (answers_ >= answersPerStep_ && limitReached_ && sample.now - lastStep_ >= stepInterval_)
        increaseLimitIfWarm(sample.now);
}

void SlowStartLimit::restoreFormerLimitIfTypical(AttemptSample const& sample)
{
    probationSum_ += sample.ratio;
    if (++probationAnswers_ < probationWindow)
        return;
    auto const mean = probationSum_ / probationAnswers_;
    if (mean <= settings_.maxWarmRatio && previousProbationRatio_ >= clearlySlowRatio) {
        limit_ = std::min(std::max(limit_, formerLimit_), slots_);
        formerLimit_ = 0;
    } else if (mean <= settings_.maxWarmRatio) {
        formerLimit_ = 0;
    }
    previousProbationRatio_ = mean;
    probationAnswers_ = 0;
    probationSum_ = 0;
}

void SlowStartLimit::increaseLimitIfWarm(Core::TimePoint now)
{
    auto const mean = ratioSum_ / answers_;
    auto const falling = previousRatio_ > 0 && mean < fallingLatencyRatio * previousRatio_ && mean > nearTypicalRatio;
    auto const isWarm = mean <= settings_.maxWarmRatio && !falling;
    plateauWindows_ = falling ? 0 : plateauWindows_ + 1;
    previousRatio_ = mean;
    lastStep_ = now;
    beginWindow();
    if (!isWarm && plateauWindows_ < plateauWindowsToAccept)
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
