#pragma once

#include <LibControl/Outcome.h>
#include <LibCore/Result.h>

#include <span>
#include <vector>

namespace Control {

/// Ownership of one slot of a key-partitioned pool.
struct SlotRecord {
    Routing::SlotPhase phase { Routing::SlotPhase::Unassigned };
    Core::Epoch epoch;
    /// Current owner, or the last owner of an unassigned slot. Empty when the slot never had an owner.
    Core::ServerName owner;
    Core::Incarnation ownerIncarnation;
    bool ownerChecksFencing { false };
    /// Planned next owner of a slot that is being released. Not binding: the assignment may name another server.
    Core::ServerName successor;
    /// The view version at which the phase or owner last changed.
    Core::ViewVersion changedAt;

    bool operator==(SlotRecord const&) const = default;
};

/// Ownership of the slots of one pool. Enforces that a slot gets a new owner only after its previous owner stopped.
class SlotTable {
public:
    using Check = Core::Result<Core::Void, SlotRejectionReason>;

    SlotTable() = default;
    /// All slots are unassigned and have `firstEpoch`.
    SlotTable(std::uint32_t slotCount, Core::Epoch firstEpoch, Core::ViewVersion now);

    /// Moves an owned slot to phase `Releasing`.
    Check beginRelease(SlotRelease const&, Core::ViewVersion now);
    /// Assigns a slot to `owner`, the registered server that `SlotAssign::to` names, and increments its epoch.
    /// `acknowledged` is the view version that all entry hosts have applied.
    Check assign(
        SlotAssign const&, Routing::BackendServer const& owner, Core::ViewVersion acknowledged, Core::ViewVersion now);
    /// Unassigns all slots of a server and returns their number.
    std::uint32_t unassignSlotsOf(Core::ServerName const& owner, Core::ViewVersion now);

    SlotRecord const* find(Core::SlotNumber) const;
    std::span<SlotRecord const> records() const { return records_; }
    /// View version at which a slot of the table last changed.
    Core::ViewVersion changedAt() const { return changedAt_; }
    /// Highest epoch of any slot; the default epoch for an empty table.
    Core::Epoch highestEpoch() const;

    /// Creates a table from the records of a snapshot.
    static SlotTable fromRecords(std::vector<SlotRecord>);

    bool operator==(SlotTable const&) const = default;

private:
    Check checkOwnerStopped(SlotRecord const&, ReleaseBasis, Core::ViewVersion acknowledged) const;

    std::vector<SlotRecord> records_;
    Core::ViewVersion changedAt_;
};

} // namespace Control
