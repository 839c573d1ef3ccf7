#pragma once

#include <LibControl/Placement.h>

namespace Control {

/// Baseline for comparison: assigns a slot by its hash modulo the number of servers. Moves most slots whenever the
/// number of servers changes, and ignores load, budget and failure domains.
class ModuloPlacement final : public Placement {
public:
    std::vector<PlannedSlot> plan(PlacementInput const&) const override;
};

} // namespace Control
