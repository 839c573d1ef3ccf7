#include <LibControl/Leader.h>

#include <algorithm>
#include <cmath>

/// Slot ownership: the part of the leader that assigns and moves slots between backend servers.
namespace Control {

using Routing::SlotPhase;

namespace {

    /// Maximum number of slots per command, which limits the size of a log entry and the time to apply it.
    constexpr std::size_t maxSlotsPerCommand = 8'192;
    /// Maximum number of slots in release, as a multiple of the budget, at which rebalancing moves further slots.
    constexpr std::size_t maxOutstandingBudgets = 4;

} // namespace

double Leader::decayed(SlotLoad const& load, Core::TimePoint now) const
{
    if (load.load == 0)
        return 0;
    auto const halfLives = std::chrono::duration<double>(now - load.updated) / settings_.loadHalfLife;
    return load.load * std::exp2(-halfLives);
}

void Leader::refreshAll(Core::TimePoint now)
{
    if (refreshedVersion_ == state_.viewVersion())
        return;
    refreshedVersion_ = state_.viewVersion();
    std::erase_if(pools_, [&](auto const& entry) { return !state_.findSlots(entry.first); });
    for (auto const& [pool, table] : state_.slots())
        refresh(now, pool, table);
}

Leader::PoolOwnership& Leader::refresh(Core::TimePoint now, Core::PoolName const& pool, SlotTable const& table)
{
    auto& ownership = pools_[pool];
    if (ownership.seenVersion == state_.viewVersion())
        return ownership;
    ownership.seenVersion = state_.viewVersion();
    if (ownership.slotCount != table.records().size())
        ownership = { .seenVersion = ownership.seenVersion, .slotCount = table.records().size() };
    ownership.slotsOf.clear();
    ownership.unassigned.clear();
    ownership.releasing.clear();
    ownership.hasDrainedOwners = false;
    for (std::uint32_t slot = 0; slot < table.records().size(); ++slot) {
        auto const& record = table.records()[slot];
        if (record.phase == SlotPhase::Unassigned) {
            ownership.unassigned.push_back(slot);
            auto const known = ownership.unassignedSlots.find(slot);
            if (known == ownership.unassignedSlots.end() || known->second.epoch != record.epoch)
                ownership.unassignedSlots[slot] = { record.epoch, grantExpiry(record.owner, record.ownerIncarnation) };
            continue;
        }
        ownership.unassignedSlots.erase(slot);
        ownership.slotsOf[record.owner].push_back(slot);
        if (record.phase == SlotPhase::Releasing) {
            ownership.releasing.push_back(slot);
            ownership.releaseBegan.try_emplace(slot, now);
        }
    }
    auto const isObsolete = [&](auto const& entry) {
        return entry.first >= table.records().size() || table.records()[entry.first].phase != SlotPhase::Releasing;
    };
    std::erase_if(ownership.releaseBegan, isObsolete);
    std::erase_if(ownership.handovers, isObsolete);
    auto isEligible = false;
    for (auto const& [name, server] : state_.servers()) {
        if (server.server.pool != pool)
            continue;
        isEligible = isEligible || state_.canOwn(server);
        ownership.hasDrainedOwners
            = ownership.hasDrainedOwners || (state_.isDrained(server) && server.ownedSlots > server.releasingSlots);
    }
    if (!isEligible)
        ownership.eligibleSince.reset();
    else if (!ownership.eligibleSince)
        ownership.eligibleSince = now;
    return ownership;
}

void Leader::changeOwners(Core::TimePoint now, Core::PoolName const& pool, SlotTable const& table)
{
    auto& ownership = refresh(now, pool, table);
    auto const isBalanceDue = now >= ownership.nextBalance;
    if (ownership.unassigned.empty() && ownership.releasing.empty() && !ownership.hasDrainedOwners && !isBalanceDue)
        return;
    advanceHandovers(now, pool, table, ownership);
    auto const isProposalPending = ownership.proposedAt && ownership.proposedFor == table.changedAt()
        && now - *ownership.proposedAt < settings_.proposalRetryInterval;
    if (isProposalPending || !ownership.eligibleSince)
        return;
    auto const ready = findReadySlots(now, pool, table, ownership);
    if (ready.empty() && !ownership.hasDrainedOwners && !isBalanceDue)
        return;
    auto input = placementInput(now, pool, table, ownership, ready);
    auto const budget = std::max<std::size_t>(
        1, static_cast<std::size_t>(settings_.balanceBudget * static_cast<double>(table.records().size())));
    if (isBalanceDue && ownership.releasing.size() <= maxOutstandingBudgets * budget)
        input.balanceBudget = budget;
    if (isBalanceDue)
        ownership.nextBalance = now + settings_.balanceInterval;
    proposeChanges(now, table, ownership, ready, input);
}

std::set<SlotRef> Leader::heldSlots(Core::TimePoint now) const
{
    std::set<SlotRef> held;
    for (auto const& [name, lease] : hosts_) {
        if (now < lease.expiry)
            held.insert(lease.held.begin(), lease.held.end());
    }
    return held;
}

void Leader::advanceHandovers(
    Core::TimePoint now, Core::PoolName const& pool, SlotTable const& table, PoolOwnership& ownership)
{
    if (ownership.releasing.empty())
        return;
    auto const effective = effectiveVersion(now);
    auto const held = heldSlots(now);
    for (auto const slot : ownership.releasing) {
        auto const& record = table.records()[slot];
        if (ownership.handovers.contains(slot) || effective < record.changedAt)
            continue;
        auto const isHeld = held.contains({ pool, { slot } });
        if (!isHeld || now - ownership.releaseBegan.at(slot) >= settings_.releaseTimeout)
            ownership.handovers[slot] = { record.epoch, grantExpiry(record.owner, record.ownerIncarnation) };
    }
}

Leader::ReadySlots Leader::findReadySlots(
    Core::TimePoint now, Core::PoolName const& pool, SlotTable const& table, PoolOwnership const& ownership) const
{
    ReadySlots ready;
    auto const held = ownership.releasing.empty() ? std::set<SlotRef> {} : heldSlots(now);
    auto const effective = effectiveVersion(now);
    for (auto const* list : { &ownership.releasing, &ownership.unassigned }) {
        for (auto const slot : *list) {
            auto const& record = table.records()[slot];
            if (!record.ownerChecksFencing && effective < record.changedAt)
                continue;
            if (auto const basis = findReleaseBasis(now, { pool, { slot } }, record, ownership, held))
                ready.emplace(slot, *basis);
        }
    }
    return ready;
}

std::optional<ReleaseBasis> Leader::findReleaseBasis(Core::TimePoint now, SlotRef const& slot, SlotRecord const& record,
    PoolOwnership const& ownership, std::set<SlotRef> const& held) const
{
    if (record.phase == SlotPhase::Releasing) {
        auto const handover = ownership.handovers.find(slot.slot.value);
        if (handover == ownership.handovers.end())
            return std::nullopt;
        if (handover->second.isConfirmed)
            return ReleaseBasis::Confirmed;
        auto const isLate = now - ownership.releaseBegan.at(slot.slot.value) >= settings_.releaseTimeout;
        if (now < handover->second.grantExpiry || (held.contains(slot) && !isLate))
            return std::nullopt;
        return ReleaseBasis::GrantExpired;
    }
    if (now < *ownership.eligibleSince + settings_.joinSettleTime)
        return std::nullopt;
    if (record.owner.isEmpty())
        return ReleaseBasis::None;
    if (now < ownership.unassignedSlots.at(slot.slot.value).lastGrantExpiry)
        return std::nullopt;
    return ReleaseBasis::GrantExpired;
}

bool Leader::canOwnSlots(Core::ServerName const& name) const
{
    auto const* record = state_.findServer(name);
    return record && state_.canOwn(*record);
}

double Leader::rampedCapacity(Core::TimePoint now, ServerRecord const& record)
{
    auto const& server = record.server;
    auto const [found, isNew] = rampUps_.try_emplace(server.name, RampUp { server.coldSince, now });
    if (found->second.coldSince != server.coldSince)
        found->second = { server.coldSince, now };
    auto const progress = std::chrono::duration<double>(now - found->second.began) / settings_.rampUpDuration;
    return server.slots * std::min(1.0, settings_.rampUpInitialShare + (1 - settings_.rampUpInitialShare) * progress);
}

PlacementInput Leader::placementInput(Core::TimePoint now, Core::PoolName const& pool, SlotTable const& table,
    PoolOwnership& ownership, ReadySlots const& ready)
{
    PlacementInput input { .pool = pool };
    std::unordered_map<std::string_view, std::uint32_t> indices;
    for (auto const& [name, record] : state_.servers()) {
        if (record.server.pool != pool || record.lost)
            continue;
        indices.emplace(name.value, static_cast<std::uint32_t>(input.servers.size()));
        input.servers.push_back(
            { name, record.server.failureDomain, state_.canOwn(record) ? rampedCapacity(now, record) : 0.0 });
    }
    auto const indexOf = [&](Core::ServerName const& name) {
        auto const found = indices.find(name.value);
        return found == indices.end() ? noServer : found->second;
    };
    ownership.loads.resize(table.records().size());
    input.slots.reserve(table.records().size());
    for (std::uint64_t i = 0; i < table.records().size(); ++i) {
        auto const& record = table.records()[i];
        PlacementSlot slot { .load = decayed(ownership.loads[i], now) };
        auto const isReady = ready.contains(i);
        if (record.phase == SlotPhase::Owned)
            slot.owner = indexOf(record.owner);
        else if (record.phase == SlotPhase::Releasing && canOwnSlots(record.successor))
            slot.owner = indexOf(record.successor);
        if (record.phase == SlotPhase::Unassigned)
            slot.lastOwner = indexOf(record.owner);
        slot.isWaiting = record.phase != SlotPhase::Owned && (!isReady || slot.owner != noServer);
        input.slots.push_back(slot);
    }
    return input;
}

void Leader::proposeChanges(Core::TimePoint now, SlotTable const& table, PoolOwnership& ownership,
    ReadySlots const& ready, PlacementInput const& input)
{
    AssignSlots assign { input.pool, {}, effectiveVersion(now).value_or(Core::ViewVersion {}) };
    BeginRelease release { input.pool, {} };
    auto const addAssign = [&](std::uint64_t slot, ReleaseBasis basis, Core::ServerName const& to) {
        if (assign.slots.size() < maxSlotsPerCommand)
            assign.slots.push_back({ { slot }, table.records()[slot].epoch, to, basis });
    };
    for (auto const& [slot, basis] : ready) {
        auto const& record = table.records()[slot];
        if (record.phase == SlotPhase::Releasing && canOwnSlots(record.successor))
            addAssign(slot, basis, record.successor);
    }
    for (auto const& planned : placement_->plan(input)) {
        auto const& to = input.servers[planned.to].name;
        auto const& record = table.records()[planned.slot.value];
        if (auto const found = ready.find(planned.slot.value); found != ready.end())
            addAssign(planned.slot.value, found->second, to);
        else if (record.phase == SlotPhase::Owned && release.slots.size() < maxSlotsPerCommand)
            release.slots.push_back({ planned.slot, record.epoch, record.owner, to });
    }
    if (assign.slots.empty() && release.slots.empty())
        return;
    ownership.proposedAt = now;
    ownership.proposedFor = table.changedAt();
    if (!assign.slots.empty())
        actions_.emplace_back(Propose { std::move(assign) });
    if (!release.slots.empty())
        actions_.emplace_back(Propose { std::move(release) });
}

} // namespace Control
