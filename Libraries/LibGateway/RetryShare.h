#pragma once

#include <LibCore/Time.h>

#include <array>
#include <cstdint>

namespace Gateway {

/// The bound on repeated sends that all entry hosts keep together.
struct RetryBound {
    /// Repeats for each request, over the window.
    double ratio { 0.2 };
    /// Repeats of all entry hosts that are allowed beyond that.
    double slack { 0 };
    Core::Duration window { std::chrono::seconds(10) };
};

/// The part of one entry host in the bound on repeats to one pool: the ratio of its own requests and an equal part of
/// the slack. The parts add up to the bound however the traffic is spread. Counts in steps of a tenth of the window.
class RetryShare {
public:
    explicit RetryShare(RetryBound const& bound)
        : bound_(bound)
    {
    }

    void countRequest(Core::TimePoint now);
    /// Takes one repeat if the bound allows it.
    bool tryRepeat(Core::TimePoint now, std::uint32_t entryHosts);

private:
    static constexpr std::size_t steps = 10;

    void advance(Core::TimePoint now);

    RetryBound bound_;
    std::int64_t currentStep_ { 0 };
    std::array<std::uint32_t, steps + 1> requests_ {};
    std::array<std::uint32_t, steps + 1> repeats_ {};
};

} // namespace Gateway
