#pragma once

#include <LibPolicy/DispatchSettings.h>
#include <LibPolicy/ServerLimit.h>

namespace Policy {

/// Limit with slow start: the smaller of the slots of the server and the capacity that it demonstrated since it was
/// last cold.
///
/// A cold server starts with one request. The limit rises by one when the server answered enough requests at the
/// current limit, the latency is near the typical one and no longer falls, and the step interval has passed. A shed
/// request lowers the limit and doubles the time and the answers that this server needs for a step.
///
/// A server that was cut back because of latency alone may be a straggler or cold. The latency of a straggler falls at
/// once when its slow phase ends, that of a cold server falls gradually with the work it does. A sudden return to the
/// typical latency therefore restores the former limit.
class SlowStartLimit final : public ServerLimit {
public:
    explicit SlowStartLimit(LimitSettings const&);

    std::uint32_t current() const override { return limit_; }
    bool isCold() const override { return limit_ < slots_; }
    void setSlots(std::uint32_t) override;
    void markCold(Core::TimePoint now) override;
    void beginProbation(Core::TimePoint now) override;
    void raiseLimitTo(std::uint32_t) override;
    bool observe(AttemptSample const&) override;

private:
    void onAnswer(AttemptSample const&);
    void onShed(AttemptSample const&);
    void increaseLimitIfWarm(Core::TimePoint now);
    void beginWindow();
    void restoreFormerLimitIfTypical(AttemptSample const&);

    LimitSettings settings_;
    std::uint32_t slots_ { 1 };
    std::uint32_t limit_ { 1 };
    Core::Duration stepInterval_;
    std::uint32_t answersPerStep_;
    Core::TimePoint lastStep_;
    /// Number of answers in the current window, which began at the last decision about the limit; the two members below
    /// hold the sum of their latency ratios and whether the limit was reached.
    std::uint32_t answers_ { 0 };
    double ratioSum_ { 0 };
    bool limitReached_ { false };
    /// Mean latency ratio of the previous window; zero when there is none.
    double previousRatio_ { 0 };
    std::uint32_t plateauWindows_ { 0 };
    /// The limit before the server was cut back because of latency; zero when there is nothing to restore.
    std::uint32_t formerLimit_ { 0 };
    std::uint32_t probationAnswers_ { 0 };
    double probationSum_ { 0 };
    /// Mean latency ratio of the previous probation window.
    double previousProbationRatio_ { 0 };
    /// Bit masks of the slow and the shed attempts among the last 16 outcomes, the latest in the lowest bit.
    std::uint16_t slowHistory_ { 0 };
    std::uint16_t shedHistory_ { 0 };
};

} // namespace Policy
