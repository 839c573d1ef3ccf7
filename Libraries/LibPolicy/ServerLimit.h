#pragma once

#include <LibPolicy/Permit.h>

#include <algorithm>

namespace Policy {

/// Observation of one finished attempt, the input of a server limit.
struct AttemptSample {
    Core::TimePoint now;
    AttemptOutcome outcome { AttemptOutcome::Answered };
    /// Latency of the attempt relative to the typical latency of the route.
    double ratio { 1 };
    /// Requests in flight at the server just before this one finished.
    std::uint32_t inFlight { 1 };
};

/// Concurrency limit of one server.
class ServerLimit {
public:
    virtual ~ServerLimit() = default;
    virtual std::uint32_t current() const = 0;
    virtual bool isCold() const = 0;
    virtual void setSlots(std::uint32_t) = 0;
    virtual void markCold(Core::TimePoint now) = 0;
    /// Restarts a server that was slow for some time with the cold limit. Its former limit is restored as soon as its
    /// latency is typical again.
    virtual void beginProbation(Core::TimePoint now) = 0;
    /// Raises the limit to the number of requests that the server demonstrably handled for an earlier dispatcher: its
    /// requests in flight or its last limit.
    virtual void raiseLimitTo(std::uint32_t) = 0;
    /// Updates the limit with the sample. Returns whether the sample marked the server cold.
    virtual bool observe(AttemptSample const&) = 0;
};

/// Baseline: the limit is the number of slots, also while the server is cold.
class SlotsLimit final : public ServerLimit {
public:
    std::uint32_t current() const override { return slots_; }
    bool isCold() const override { return false; }
    void setSlots(std::uint32_t slots) override { slots_ = std::max(slots, 1U); }
    void markCold(Core::TimePoint) override { }
    void beginProbation(Core::TimePoint) override { }
    void raiseLimitTo(std::uint32_t) override { }
    bool observe(AttemptSample const&) override { return false; }

private:
    std::uint32_t slots_ { 1 };
};

} // namespace Policy
