#include <LibControl/SlotTable.h>

#include <algorithm>

namespace Control {

using Routing::SlotPhase;

SlotTable::SlotTable(std::uint32_t slotCount, Core::Epoch firstEpoch, Core::ViewVersion now)
    : records_(slotCount)
    , changedAt_(now)
{
    for (auto& record : records_) {
        record.epoch = firstEpoch;
        record.changedAt = now;
    }
}

SlotTable::Check SlotTable::beginRelease(SlotRelease const& release, Core::ViewVersion now)
{
    auto const* known = find(release.slot);
    if (!known)
        return SlotRejectionReason::UnknownSlot;
    if (known->epoch != release.epoch)
        return SlotRejectionReason::StaleEpoch;
    if (known->phase != SlotPhase::Owned || known->owner != release.from)
        return SlotRejectionReason::NotOwner;
    auto& record = records_[release.slot.value];
    record.phase = SlotPhase::Releasing;
    record.successor = release.to;
    record.changedAt = now;
    changedAt_ = now;
    return Core::Void {};
}

SlotTable::Check SlotTable::assign(SlotAssign const& assign, Routing::BackendServer const& owner,
    Core::ViewVersion acknowledged, Core::ViewVersion now)
{
    auto const* known = find(assign.slot);
    if (!known)
        return SlotRejectionReason::UnknownSlot;
    if (known->epoch != assign.epoch)
        return SlotRejectionReason::StaleEpoch;
    if (auto const stopped = checkOwnerStopped(*known, assign.basis, acknowledged); stopped.isError())
        return stopped.error();
    records_[assign.slot.value]
        = { SlotPhase::Owned, known->epoch.next(), owner.name, owner.incarnation, owner.checksFencing, {}, now };
    changedAt_ = now;
    return Core::Void {};
}

SlotTable::Check SlotTable::checkOwnerStopped(
    SlotRecord const& record, ReleaseBasis basis, Core::ViewVersion acknowledged) const
{
    if (record.phase == SlotPhase::Owned)
        return SlotRejectionReason::NotReleasing;
    if (record.phase == SlotPhase::Releasing && basis == ReleaseBasis::None)
        return SlotRejectionReason::ReleaseNotConfirmed;
    // The last owner of an unassigned slot was lost or restarted and cannot confirm a release, so only the expiry of
    // its grant shows that it stopped.
    auto const hadOwner = !record.owner.isEmpty();
    if (record.phase == SlotPhase::Unassigned && hadOwner && basis != ReleaseBasis::GrantExpired)
        return SlotRejectionReason::ReleaseNotConfirmed;
    if (!record.ownerChecksFencing && acknowledged < record.changedAt)
        return SlotRejectionReason::EntryHostsNotAcknowledged;
    return Core::Void {};
}

std::uint32_t SlotTable::unassignSlotsOf(Core::ServerName const& owner, Core::ViewVersion now)
{
    std::uint32_t unassignedCount = 0;
    for (auto& record : records_) {
        if (record.phase == SlotPhase::Unassigned || record.owner != owner)
            continue;
        record.phase = SlotPhase::Unassigned;
        record.successor = {};
        record.changedAt = now;
        ++unassignedCount;
    }
    if (unassignedCount > 0)
        changedAt_ = now;
    return unassignedCount;
}

SlotRecord const* SlotTable::find(Core::SlotNumber slot) const
{
    return slot.value < records_.size() ? &records_[slot.value] : nullptr;
}

Core::Epoch SlotTable::highestEpoch() const
{
    auto const highest = std::ranges::max_element(records_, {}, &SlotRecord::epoch);
    return highest == records_.end() ? Core::Epoch {} : highest->epoch;
}

SlotTable SlotTable::fromRecords(std::vector<SlotRecord> records)
{
    SlotTable table;
    table.records_ = std::move(records);
    auto const latest = std::ranges::max_element(table.records_, {}, &SlotRecord::changedAt);
    if (latest != table.records_.end())
        table.changedAt_ = latest->changedAt;
    return table;
}

} // namespace Control
