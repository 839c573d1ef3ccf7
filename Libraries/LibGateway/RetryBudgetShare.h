#pragma once

#include <LibCore/Time.h>

#include <array>
#include <cstdint>

namespace Gateway {

/// The limit on retries from all entry hosts together.
struct RetryBudget {
    /// Allowed retries for each request, over the window.
    double ratio { 0.2 };
    /// Additional retries allowed within the window, for all entry hosts together.
    double slack { 0 };
    Core::Duration window { std::chrono::seconds(10) };
};

/// One entry host's share of the retry budget of one pool: the ratio of its own requests and its part of the slack, see
/// `SharedSlack`. The shares add up to the budget however the traffic is distributed. Counts in steps of a tenth of the
/// window.
class RetryBudgetShare {
public:
    explicit RetryBudgetShare(RetryBudget const& budget)
        : budget_(budget)
    {
    }

    void countRequest(Core::TimePoint now);
    /// Consumes one retry if the budget allows it. `slackShare` is this host's part of the slack, from zero to one.
    bool tryAcquireRetry(Core::TimePoint now, double slackShare);

    /// The retries and the requests of the last window.
    std::uint32_t retries() const;
    std::uint32_t requests() const;

private:
    static constexpr std::size_t steps = 10;

    void advance(Core::TimePoint now);

    RetryBudget budget_;
    std::int64_t currentStep_ { 0 };
    std::array<std::uint32_t, steps + 1> requests_ {};
    std::array<std::uint32_t, steps + 1> retryCounts_ {};
};

} // namespace Gateway
