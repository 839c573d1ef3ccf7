#pragma once

#include <LibCore/Identifiers.h>
#include <LibRouting/View.h>

#include <optional>
#include <vector>

namespace Control {

inline constexpr std::uint32_t noServer = 0xFFFF'FFFF;

struct PlacementServer {
    Core::ServerName name;
    Core::FailureDomain domain;
    /// Relative share of the load that the server should carry at the moment, greater than zero for a server that may
    /// own slots. Below its full capacity while it ramps up. Zero: hand over everything.
    double capacity { 0 };
};

struct PlacementSlot {
    /// Index into `PlacementInput::servers`, or `noServer`.
    std::uint32_t owner { noServer };
    /// For a slot without an owner: the last owner, which may still have the slot's data. Or `noServer`.
    std::uint32_t lastOwner { noServer };
    /// The slot waits for its owner to stop and must not be planned. Its load counts at `owner`, the next one.
    bool isWaiting { false };
    /// Measured work of the slot, in any unit common to the pool.
    double load { 0 };
};

struct PlacementInput {
    Core::PoolName pool;
    /// Sorted by name.
    std::vector<PlacementServer> servers;
    /// Index is the slot number.
    std::vector<PlacementSlot> slots;
    /// Most slots that may move for the sake of balance. Slots without an owner and slots of drained servers are always
    /// placed.
    std::size_t balanceBudget { 0 };
};

struct PlannedSlot {
    Core::SlotNumber slot;
    /// Index into `PlacementInput::servers`.
    std::uint32_t to { noServer };

    bool operator==(PlannedSlot const&) const = default;
};

/// Decides which server should own which slot. Deterministic and without state.
class Placement {
public:
    virtual ~Placement() = default;

    /// New owners for slots without an owner, and planned moves of owned slots. Empty when no server may own slots.
    virtual std::vector<PlannedSlot> plan(PlacementInput const&) const = 0;
};

} // namespace Control
