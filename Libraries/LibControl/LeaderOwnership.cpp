#include <LibControl/Leader.h>

#include <algorithm>
#include <cmath>

/// The part of the leader that moves slots between backend servers.
namespace Control {

using Routing::SlotPhase;

namespace {

    /// Bounds the size of one log entry and the time to apply it.
    constexpr std::size_t maxSlotsPerCommand = 8'192;
    /// Moves for balance wait while this many times the budget is under way.
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

Leader::PoolWork& Leader::refresh(Core::TimePoint now, Core::PoolName const& pool, SlotTable const& table)
{
    auto& work = pools_[pool];
    if (work.seenVersion == state_.viewVersion())
        return work;
    work.seenVersion = state_.viewVersion();
    if (work.slotCount != table.records().size())
        work = { .seenVersion = work.seenVersion, .slotCount = table.records().size() };
    work.slotsOf.clear();
    work.unassigned.clear();
    work.releasing.clear();
    work.hasDrainedOwners = false;
    for (std::uint32_t slot = 0; slot < table.records().size(); ++slot) {
        auto const& record = table.records()[slot];
        if (record.phase == SlotPhase::Unassigned) {
            work.unassigned.push_back(slot);
            auto const known = work.freeSlots.find(slot);
            if (known == work.freeSlots.end() || known->second.epoch != record.epoch)
                work.freeSlots[slot] = { record.epoch, grantExpiry(record.owner, record.ownerIncarnation) };
            continue;
        }
        work.freeSlots.erase(slot);
        work.slotsOf[record.owner].push_back(slot);
        if (record.phase == SlotPhase::Releasing) {
            work.releasing.push_back(slot);
            work.releaseBegan.try_emplace(slot, now);
        }
    }
    auto const isObsolete = [&](auto const& entry) {
        return entry.first >= table.records().size() || table.records()[entry.first].phase != SlotPhase::Releasing;
    };
    std::erase_if(work.releaseBegan, isObsolete);
    std::erase_if(work.handovers, isObsolete);
    auto isEligible = false;
    for (auto const& [name, server] : state_.servers()) {
        if (server.server.pool != pool)
            continue;
        isEligible = isEligible || state_.canOwn(server);
        work.hasDrainedOwners
            = work.hasDrainedOwners || (state_.isDrained(server) && server.ownedSlots > server.releasingSlots);
    }
    if (!isEligible)
        work.eligibleSince.reset();
    else if (!work.eligibleSince)
        work.eligibleSince = now;
    return work;
}

void Leader::changeOwners(Core::TimePoint now, Core::PoolName const& pool, SlotTable const& table)
{
    auto& work = refresh(now, pool, table);
    auto const balances = now >= work.nextBalance;
    if (work.unassigned.empty() && work.releasing.empty() && !work.hasDrainedOwners && !balances)
        return;
    advanceHandovers(now, pool, table, work);
    auto const isUnderWay
        = work.proposedAt && work.proposedFor == table.changedAt() && now - *work.proposedAt < settings_.proposalRetry;
    if (isUnderWay || !work.eligibleSince)
        return;
    auto const ready = findReady(now, pool, table, work);
    if (ready.empty() && !work.hasDrainedOwners && !balances)
        return;
    auto input = placementInput(now, pool, table, work, ready);
    auto const budget = std::max<std::size_t>(
        1, static_cast<std::size_t>(settings_.balanceBudget * static_cast<double>(table.records().size())));
    if (balances && work.releasing.size() <= maxOutstandingBudgets * budget)
        input.balanceBudget = budget;
    if (balances)
        work.nextBalance = now + settings_.balanceInterval;
    proposeChanges(now, table, work, ready, input);
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

void Leader::advanceHandovers(Core::TimePoint now, Core::PoolName const& pool, SlotTable const& table, PoolWork& work)
{
    if (work.releasing.empty())
        return;
    auto const effective = effectiveVersion(now);
    auto const held = heldSlots(now);
    for (auto const slot : work.releasing) {
        auto const& record = table.records()[slot];
        if (work.handovers.contains(slot) || effective < record.changedAt)
            continue;
        auto const isHeld = held.contains({ pool, { slot } });
        if (!isHeld || now - work.releaseBegan.at(slot) >= settings_.releaseLimit)
            work.handovers[slot] = { record.epoch, grantExpiry(record.owner, record.ownerIncarnation) };
    }
}

Leader::ReadySlots Leader::findReady(
    Core::TimePoint now, Core::PoolName const& pool, SlotTable const& table, PoolWork const& work) const
{
    ReadySlots ready;
    auto const held = work.releasing.empty() ? std::set<SlotRef> {} : heldSlots(now);
    auto const effective = effectiveVersion(now);
    for (auto const* list : { &work.releasing, &work.unassigned }) {
        for (auto const slot : *list) {
            auto const& record = table.records()[slot];
            if (!record.ownerChecksFencing && effective < record.changedAt)
                continue;
            if (auto const basis = readyBasis(now, { pool, { slot } }, record, work, held))
                ready.emplace(slot, *basis);
        }
    }
    return ready;
}

std::optional<ReleaseBasis> Leader::readyBasis(Core::TimePoint now, SlotRef const& slot, SlotRecord const& record,
    PoolWork const& work, std::set<SlotRef> const& held) const
{
    if (record.phase == SlotPhase::Releasing) {
        auto const handover = work.handovers.find(slot.slot.value);
        if (handover == work.handovers.end())
            return std::nullopt;
        if (handover->second.isConfirmed)
            return ReleaseBasis::Confirmed;
        auto const isLate = now - work.releaseBegan.at(slot.slot.value) >= settings_.releaseLimit;
        if (now < handover->second.grantExpiry || (held.contains(slot) && !isLate))
            return std::nullopt;
        return ReleaseBasis::GrantExpired;
    }
    if (now < *work.eligibleSince + settings_.joinSettle)
        return std::nullopt;
    if (record.owner.isEmpty())
        return ReleaseBasis::None;
    if (now < work.freeSlots.at(slot.slot.value).from)
        return std::nullopt;
    return ReleaseBasis::GrantExpired;
}

bool Leader::canTake(Core::ServerName const& name) const
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
    auto const progress = std::chrono::duration<double>(now - found->second.began) / settings_.rampUp;
    return server.slots * std::min(1.0, settings_.rampUpFrom + (1 - settings_.rampUpFrom) * progress);
}

PlacementInput Leader::placementInput(
    Core::TimePoint now, Core::PoolName const& pool, SlotTable const& table, PoolWork& work, ReadySlots const& ready)
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
    work.loads.resize(table.records().size());
    input.slots.reserve(table.records().size());
    for (std::uint64_t i = 0; i < table.records().size(); ++i) {
        auto const& record = table.records()[i];
        PlacementSlot slot { .load = decayed(work.loads[i], now) };
        auto const isReady = ready.contains(i);
        if (record.phase == SlotPhase::Owned)
            slot.owner = indexOf(record.owner);
        else if (record.phase == SlotPhase::Releasing && canTake(record.successor))
            slot.owner = indexOf(record.successor);
        if (record.phase == SlotPhase::Unassigned)
            slot.lastOwner = indexOf(record.owner);
        slot.isWaiting = record.phase != SlotPhase::Owned && (!isReady || slot.owner != noServer);
        input.slots.push_back(slot);
    }
    return input;
}

void Leader::proposeChanges(
    Core::TimePoint now, SlotTable const& table, PoolWork& work, ReadySlots const& ready, PlacementInput const& input)
{
    AssignSlots assign { input.pool, {}, effectiveVersion(now).value_or(Core::ViewVersion {}) };
    BeginRelease release { input.pool, {} };
    auto const addAssign = [&](std::uint64_t slot, ReleaseBasis basis, Core::ServerName const& to) {
        if (assign.slots.size() < maxSlotsPerCommand)
            assign.slots.push_back({ { slot }, table.records()[slot].epoch, to, basis });
    };
    for (auto const& [slot, basis] : ready) {
        auto const& record = table.records()[slot];
        if (record.phase == SlotPhase::Releasing && canTake(record.successor))
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
    work.proposedAt = now;
    work.proposedFor = table.changedAt();
    if (!assign.slots.empty())
        actions_.emplace_back(Propose { std::move(assign) });
    if (!release.slots.empty())
        actions_.emplace_back(Propose { std::move(release) });
}

} // namespace Control
