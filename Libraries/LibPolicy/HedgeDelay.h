#pragma once

#include <LibPolicy/DispatchSettings.h>

#include <optional>

namespace Policy {

/// Determines the time without an answer after which a hedge, a second attempt at another server, is worthwhile.
class HedgeDelay {
public:
    virtual ~HedgeDelay() = default;
    /// Records the latency of an answer relative to the typical latency of its route. Only for answers of servers that
    /// are not stragglers.
    virtual void observe(double ratio) = 0;
    /// The delay before a hedge for a route with this typical latency; empty when no hedge is worthwhile.
    virtual std::optional<Core::Duration> delay(Core::Duration typical) const = 0;
};

/// Baseline: never hedges.
class NoHedging final : public HedgeDelay {
public:
    void observe(double) override { }
    std::optional<Core::Duration> delay(Core::Duration) const override { return std::nullopt; }
};

/// Hedges after a configured quantile of the observed latency.
class QuantileHedgeDelay final : public HedgeDelay {
public:
    explicit QuantileHedgeDelay(HedgeSettings const&);

    void observe(double ratio) override;
    std::optional<Core::Duration> delay(Core::Duration typical) const override;

private:
    HedgeSettings settings_;
    double ratio_ { 3 };
    std::uint64_t samples_ { 0 };
};

} // namespace Policy
