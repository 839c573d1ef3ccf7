#pragma once

#include <LibControl/Placement.h>

namespace Control {

struct BalanceSettings {
    /// Moves for balance begin when a server's load exceeds its share of the pool's load by this factor.
    double startAbove { 1.20 };
    /// Moves for balance go on until no server exceeds its share by this factor.
    double stopBelow { 1.08 };
    /// Share of a slot's weight that does not depend on its measured load. Keeps the number of slots per server even
    /// when few slots are busy.
    double baseWeight { 0.25 };
};

/// Moves only what must move, to the server with the lowest load relative to its capacity; among equals to the failure
/// domain with the lowest relative load.
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
