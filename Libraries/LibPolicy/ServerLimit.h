#pragma once

#include <LibPolicy/Permit.h>

#include <algorithm>

namespace Policy {

/// What one finished attempt says about its server.
struct AttemptSample {
    Core::TimePoint now;
    AttemptOutcome outcome { AttemptOutcome::Answered };
    /// Latency relative to the typical latency of the route.
    double ratio { 1 };
    /// Requests in flight at the server just before this one finished.
    std::uint32_t inFlight { 1 };
};

/// How many requests one server gets at the same time.
class ServerLimit {
public:
    virtual ~ServerLimit() = default;
    virtual std::uint32_t current() const = 0;
    virtual bool isCold() const = 0;
    virtual void setSlots(std::uint32_t) = 0;
    virtual void markCold(Core::TimePoint now) = 0;
    /// The server was slow for a while. It starts with one request, but gets its former limit back as soon as its
    /// latency is typical again.
    virtual void beginProbation(Core::TimePoint now) = 0;
    /// This many requests are known to be in flight, granted by an earlier dispatcher.
    virtual void raiseLimitTo(std::uint32_t) = 0;
    /// Whether the sample marked the server cold.
    virtual bool observe(AttemptSample const&) = 0;
};

/// Baseline: as many requests as the server has slots, also when it is cold.
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
