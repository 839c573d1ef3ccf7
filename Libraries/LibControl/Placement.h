#pragma once

#include <LibCore/Identifiers.h>
#include <LibRouting/View.h>

#include <optional>
#include <vector>

namespace Control {

/// Index that stands for "no server".
inline constexpr std::uint32_t noServer = 0xFFFF'FFFF;

struct PlacementServer {
    Core::ServerName name;
    Core::FailureDomain domain;
    /// Current capacity, in a unit common to the pool; less than the full capacity during ramp-up. Zero when the server
    /// must hand over all its slots.
    double capacity { 0 };
};

struct PlacementSlot {
    /// Index into `PlacementInput::servers`, or `noServer`.
    std::uint32_t owner { noServer };
    /// Last owner of a slot without an owner, which may still have the slot's data. `noServer` when there is none.
    std::uint32_t lastOwner { noServer };
    /// True for a slot that must not be planned, since its previous owner has not stopped yet or its assignment is
    /// already decided. Its load then counts toward `owner`, the planned next owner.
    bool isWaiting { false };
    /// Measured load of the slot, in any unit common to the pool.
    double load { 0 };
};

struct PlacementInput {
    Core::PoolName pool;
    /// Sorted by name.
    std::vector<PlacementServer> servers;
    /// Index is the slot number.
    std::vector<PlacementSlot> slots;
    /// Maximum number of slots that may move for rebalancing. Slots without an owner and slots of drained servers are
    /// always placed, in addition.
    std::size_t balanceBudget { 0 };
};

struct PlannedSlot {
    Core::SlotNumber slot;
    /// New owner, as an index into `PlacementInput::servers`.
    std::uint32_t to { noServer };

    bool operator==(PlannedSlot const&) const = default;
};

/// Strategy that decides which server should own which slot. Deterministic and stateless.
class Placement {
public:
    virtual ~Placement() = default;

    /// Returns new owners for slots without an owner, and moves of owned slots. Empty when no server may own slots.
    virtual std::vector<PlannedSlot> plan(PlacementInput const&) const = 0;
};

} // namespace Control
