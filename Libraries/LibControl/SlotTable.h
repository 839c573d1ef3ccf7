#pragma once

#include <LibControl/Outcome.h>
#include <LibCore/Result.h>

#include <span>
#include <vector>

namespace Control {

/// One slot of a key-partitioned pool.
struct SlotRecord {
    Routing::SlotPhase phase { Routing::SlotPhase::Unassigned };
    Core::Epoch epoch;
    /// The owner; for an unassigned slot the last owner. Empty when it never had one.
    Core::ServerName owner;
    Core::Incarnation ownerIncarnation;
    bool ownerChecksFencing { false };
    /// The planned next owner while releasing. Informative: the assignment may name another one.
    Core::ServerName successor;
    /// The view version at which the phase or owner last changed.
    Core::ViewVersion changedAt;

    bool operator==(SlotRecord const&) const = default;
};

/// Ownership of the slots of one pool. Enforces that a slot changes owner only after its owner has stopped.
class SlotTable {
public:
    using Check = Core::Result<Core::Void, SlotRejectionReason>;

    SlotTable() = default;
    SlotTable(std::uint32_t slotCount, Core::Epoch firstEpoch, Core::ViewVersion now);

    Check beginRelease(SlotRelease const&, Core::ViewVersion now);
    /// `owner` is the registered server that `SlotAssign::to` names.
    Check assign(
        SlotAssign const&, Routing::BackendServer const& owner, Core::ViewVersion acknowledged, Core::ViewVersion now);
    /// Returns how many slots became unassigned.
    std::uint32_t vacate(Core::ServerName const& owner, Core::ViewVersion now);

    SlotRecord const* find(Core::SlotNumber) const;
    std::span<SlotRecord const> records() const { return records_; }
    /// The view version of the last change.
    Core::ViewVersion changedAt() const { return changedAt_; }
    Core::Epoch highestEpoch() const;

    /// Replaces the content with records from a snapshot.
    static SlotTable fromRecords(std::vector<SlotRecord>);

    bool operator==(SlotTable const&) const = default;

private:
    Check checkStopped(SlotRecord const&, ReleaseBasis, Core::ViewVersion acknowledged) const;

    std::vector<SlotRecord> records_;
    Core::ViewVersion changedAt_;
};

} // namespace Control
