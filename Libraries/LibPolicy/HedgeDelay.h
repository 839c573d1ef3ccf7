#pragma once

#include <LibPolicy/DispatchSettings.h>

#include <optional>

namespace Policy {

/// Decides after which time without an answer a second attempt is worthwhile.
class HedgeDelay {
public:
    virtual ~HedgeDelay() = default;
    /// Latency of an answer relative to the typical latency of its route, from a server that is not a straggler.
    virtual void observe(double ratio) = 0;
    /// Empty when no hedge is worthwhile.
    virtual std::optional<Core::Duration> delay(Core::Duration typical) const = 0;
};

/// Baseline: never hedges.
class NoHedging final : public HedgeDelay {
public:
    void observe(double) override { }
    std::optional<Core::Duration> delay(Core::Duration) const override { return std::nullopt; }
};

/// Hedges after a quantile of the observed latency.
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
