#pragma once

#include <LibControl/Placement.h>

namespace Control {

struct BalanceSettings {
    /// Rebalancing starts when the ratio of a server's load to its share of the pool's load exceeds this factor, or is
    /// below its inverse.
    double startThreshold { 1.20 };
    /// Rebalancing stops when no server deviates from its share by more than this factor. Lower than `startThreshold`,
    /// for hysteresis.
    double stopThreshold { 1.08 };
    /// Share of a slot's weight, 0 to 1, that does not depend on its measured load. Keeps the number of slots per
    /// server even when few slots are busy.
    double baseWeight { 0.25 };
};

/// Load-aware placement that moves as few slots as possible. A slot goes to the server with the lowest load relative to
/// its capacity; the relative load of the failure domain counts as well.
class BalancedPlacement final : public Placement {
public:
    explicit BalancedPlacement(BalanceSettings settings = {})
        : settings_(settings)
    {
    }

    std::vector<PlannedSlot> plan(PlacementInput const&) const override;

private:
    BalanceSettings settings_;
};

} // namespace Control
