#include <LibControl/State.h>

#include <algorithm>

namespace Control {

using Routing::PoolKind;
using Routing::ServerState;
using Routing::SlotPhase;

namespace {

    bool isValidName(std::string_view name) { return !name.empty() && name.size() <= maxNameBytes; }

    template <typename To, typename From> To convertVariant(From&& from)
    {
        return std::visit([](auto&& alternative) -> To { return std::forward<decltype(alternative)>(alternative); },
            std::forward<From>(from));
    }

    Outcome toOrderOutcome(bool isRecorded)
    {
        if (isRecorded)
            return OrderRecorded {};
        return OrderNotClaimed {};
    }

} // namespace

bool hasSameAttributes(Routing::BackendServer const& known, Routing::BackendServer const& announced)
{
    auto comparable = announced;
    comparable.state = known.state;
    comparable.coldSince = known.coldSince;
    return known == comparable;
}

bool mayKeepSlots(Routing::BackendServer const& known, Routing::BackendServer const& announced)
{
    return known.incarnation == announced.incarnation && known.pool == announced.pool
        && known.checksFencing == announced.checksFencing;
}

State::State(LedgerLimits ledgerLimits, EditLogLimits editLimits)
    : edits_(editLimits)
    , ledger_(ledgerLimits)
{
}

Outcome State::apply(std::uint64_t logIndex, Command const& command)
{
    if (logIndex <= appliedIndex_)
        return Rejected { RejectionReason::IndexAlreadyApplied };
    appliedIndex_ = logIndex;
    return std::visit([this](auto const& alternative) { return handle(alternative); }, command);
}

Outcome State::handle(RegisterServer const& command)
{
    auto const& server = command.server;
    if (!isValidName(server.name.value) || server.slots == 0 || server.connections == 0 || server.endpoint.port == 0)
        return Rejected { RejectionReason::InvalidAttribute };
    if (!table()->findPool(server.pool))
        return Rejected { RejectionReason::UnknownPool };
    auto const known = servers_.find(server.name);
    if (known != servers_.end())
        updateServer(known->second, command);
    else if (servers_.size() >= maxServers)
        return Rejected { RejectionReason::TooManyServers };
    else
        registerNew(command);
    return Accepted {};
}

void State::registerNew(RegisterServer const& command)
{
    advanceViewVersion();
    ServerRecord record { .server = command.server, .reportedCold = command.cold };
    markCold(record);
    servers_.emplace(command.server.name, std::move(record));
}

void State::updateServer(ServerRecord& record, RegisterServer const& command)
{
    auto const turnedCold = command.cold && !record.reportedCold;
    auto const isSame = hasSameAttributes(record.server, command.server);
    record.reportedCold = command.cold;
    if (isSame && !record.lost && !turnedCold)
        return;
    advanceViewVersion();
    auto const isRestart = record.server.incarnation != command.server.incarnation;
    if (!mayKeepSlots(record.server, command.server))
        unassignAllSlots(record);
    auto const needsSlowStart = isRestart || turnedCold || record.lost || record.server.pool != command.server.pool;
    auto const coldSince = record.server.coldSince;
    record.server = command.server;
    record.server.coldSince = needsSlowStart ? viewVersion_ : coldSince;
    record.lost = false;
    record.drainedByAnnouncement = record.drainedByAnnouncement && !isRestart;
}

Outcome State::handle(ServerLost const& command)
{
    auto* record = findCurrent(command.server, command.incarnation);
    if (!record)
        return Rejected { servers_.contains(command.server) ? RejectionReason::StaleIncarnation
                                                            : RejectionReason::UnknownServer };
    if (record->lost)
        return Accepted {};
    advanceViewVersion();
    unassignAllSlots(*record);
    record->lost = true;
    record->lostAt = clock_;
    return Accepted {};
}

Outcome State::handle(DrainServer const& command)
{
    auto const found = servers_.find(command.server);
    if (found == servers_.end())
        return Rejected { RejectionReason::UnknownServer };
    auto& record = found->second;
    auto& flag = command.cause == DrainCause::Operator ? record.drainedByOperator : record.drainedByAnnouncement;
    if (flag)
        return Accepted {};
    // A server that announces its own shutdown stops in any case, so refusing the drain would not help.
    if (!command.force && command.cause == DrainCause::Operator) {
        if (auto refusal = checkDrain([&](auto const& other) { return &other == &record; }, command.demand))
            return *refusal;
    }
    advanceViewVersion();
    flag = true;
    return Accepted {};
}

Outcome State::handle(ReturnServer const& command)
{
    auto const found = servers_.find(command.server);
    if (found == servers_.end())
        return Rejected { RejectionReason::UnknownServer };
    auto& record = found->second;
    auto& flag = command.cause == DrainCause::Operator ? record.drainedByOperator : record.drainedByAnnouncement;
    if (!flag)
        return Rejected { RejectionReason::NotDrained };
    advanceViewVersion();
    flag = false;
    if (canOwn(record))
        markCold(record);
    return Accepted {};
}

Outcome State::handle(DrainDomain const& command)
{
    if (!isValidName(command.domain.value))
        return Rejected { RejectionReason::InvalidAttribute };
    if (drainedDomains_.contains(command.domain))
        return Accepted {};
    auto const isLeaving = [&](ServerRecord const& record) { return record.server.failureDomain == command.domain; };
    if (!command.force) {
        if (auto refusal = checkDrain(isLeaving, command.demand))
            return *refusal;
    }
    advanceViewVersion();
    drainedDomains_.insert(command.domain);
    return Accepted {};
}

Outcome State::handle(ReturnDomain const& command)
{
    if (drainedDomains_.erase(command.domain) == 0)
        return Rejected { RejectionReason::NotDrained };
    advanceViewVersion();
    for (auto& [name, record] : servers_) {
        if (record.server.failureDomain == command.domain && canOwn(record))
            markCold(record);
    }
    return Accepted {};
}

Outcome State::handle(JoinEntryHost const& command)
{
    auto host = command.host;
    if (!isValidName(host.name.value))
        return Rejected { RejectionReason::InvalidAttribute };
    auto const found = entryHosts_.find(host.name);
    if (found == entryHosts_.end() && entryHosts_.size() >= maxEntryHosts)
        return Rejected { RejectionReason::TooManyEntryHosts };
    auto const isKnown = found != entryHosts_.end() && found->second.incarnation == host.incarnation;
    host.joinedAt = isKnown ? found->second.joinedAt : Core::ViewVersion { appliedIndex_ };
    if (isKnown && found->second == host)
        return Accepted {};
    advanceViewVersion();
    if (!isKnown)
        ledger_.markUnknownClaimsOf(host.name);
    entryHosts_.insert_or_assign(host.name, host);
    return Accepted {};
}

Outcome State::handle(RemoveEntryHost const& command)
{
    auto const found = entryHosts_.find(command.host);
    if (found == entryHosts_.end())
        return Rejected { RejectionReason::UnknownEntryHost };
    // A delayed duplicate must not remove a host that has joined again and holds a new lease.
    if (found->second.incarnation != command.incarnation || found->second.joinedAt != command.joinedAt)
        return Rejected { RejectionReason::StaleIncarnation };
    advanceViewVersion();
    ledger_.markUnknownClaimsOf(command.host);
    entryHosts_.erase(found);
    return Accepted {};
}

Outcome State::handle(BeginRelease const& command)
{
    auto const found = slots_.find(command.pool);
    if (found == slots_.end())
        return Rejected { RejectionReason::UnknownPool };
    SlotsChanged changed;
    Core::ViewVersion const version { appliedIndex_ };
    for (auto const& release : command.slots) {
        auto const check = findAssignableServer(command.pool, release.to) && release.to != release.from
            ? found->second.beginRelease(release, version)
            : SlotTable::Check(SlotRejectionReason::TargetNotInService);
        if (check.isError()) {
            changed.rejected.push_back({ release.slot, check.error() });
            continue;
        }
        ++servers_.at(release.from).releasingSlots;
        ++changed.accepted;
    }
    if (changed.accepted > 0)
        advanceViewVersion();
    return changed;
}

Outcome State::handle(AssignSlots const& command)
{
    auto const found = slots_.find(command.pool);
    if (found == slots_.end())
        return Rejected { RejectionReason::UnknownPool };
    SlotsChanged changed;
    Core::ViewVersion const version { appliedIndex_ };
    for (auto const& assign : command.slots) {
        auto const* target = findAssignableServer(command.pool, assign.to);
        auto const* slot = found->second.find(assign.slot);
        auto const previous = slot && slot->phase != SlotPhase::Unassigned ? slot->owner : Core::ServerName {};
        auto const check = target ? found->second.assign(assign, target->server, command.acknowledged, version)
                                  : SlotTable::Check(SlotRejectionReason::TargetNotInService);
        if (check.isError()) {
            changed.rejected.push_back({ assign.slot, check.error() });
            continue;
        }
        if (!previous.isEmpty()) {
            --servers_.at(previous).ownedSlots;
            --servers_.at(previous).releasingSlots;
        }
        ++servers_.at(assign.to).ownedSlots;
        ++changed.accepted;
    }
    if (changed.accepted > 0)
        advanceViewVersion();
    return changed;
}

Outcome State::handle(SubmitEdit const& command)
{
    if (!isValidName(command.id.value) || command.author.size() > maxNameBytes)
        return Rejected { RejectionReason::InvalidAttribute };
    auto const before = edits_.revision();
    auto outcome
        = edits_.submit(command, { appliedIndex_ }, clock_, [this](auto const& pool) { return isPoolInUse(pool); });
    if (edits_.revision() != before) {
        advanceViewVersion();
        applyTables();
    }
    return convertVariant<Outcome>(std::move(outcome));
}

Outcome State::handle(ClaimOrder const& command)
{
    auto const& key = command.key;
    if (!isValidName(key.idempotencyKey) || key.route.value.size() > maxNameBytes
        || key.caller.value.size() > maxNameBytes)
        return OrderInvalid {};
    auto const host = entryHosts_.find(command.host);
    // A late claim of a removed host would stay in progress forever: claims are marked unknown when the host is
    // removed.
    if (host == entryHosts_.end() || host->second.incarnation != command.incarnation)
        return ClaimantNotLive {};
    return convertVariant<Outcome>(ledger_.claim(command, clock_));
}

Outcome State::handle(CompleteOrder const& command) { return toOrderOutcome(ledger_.complete(command)); }
Outcome State::handle(AbandonOrder const& command) { return toOrderOutcome(ledger_.abandon(command, clock_)); }
Outcome State::handle(MarkOrderUnknown const& command) { return toOrderOutcome(ledger_.markUnknown(command)); }

Outcome State::handle(AddQuarantine const& command)
{
    if (quarantine_.contains(command.request.fingerprint))
        return Accepted {};
    if (quarantine_.size() >= maxQuarantinedRequests)
        return Rejected { RejectionReason::QuarantineFull };
    advanceViewVersion();
    quarantine_.emplace(command.request.fingerprint, Quarantined { command.request.route, clock_ });
    return Accepted {};
}

Outcome State::handle(LiftQuarantine const& command)
{
    if (quarantine_.erase(command.fingerprint) == 0)
        return Rejected { RejectionReason::UnknownFingerprint };
    advanceViewVersion();
    return Accepted {};
}

Outcome State::handle(ExpireRecords const& command)
{
    if (command.elapsed < Core::Duration::zero() || command.elapsed > maxClockStep)
        return Rejected { RejectionReason::ClockStepOutOfRange };
    clock_ += command.elapsed;
    ledger_.expire(clock_);
    edits_.expire(clock_);
    expireQuarantine();
    expireLostServers();
    return Accepted {};
}

void State::expireQuarantine()
{
    auto const isExpired = [&](auto const& entry) { return entry.second.addedAt + quarantineRetention <= clock_; };
    if (std::erase_if(quarantine_, isExpired) > 0)
        advanceViewVersion();
}

void State::expireLostServers()
{
    auto const isPastRetention = [&](auto const& entry) {
        auto const& record = entry.second;
        auto const retention = record.drainedByOperator ? drainedServerRetention : lostServerRetention;
        return record.lost && record.lostAt + retention <= clock_;
    };
    if (std::erase_if(servers_, isPastRetention) > 0)
        advanceViewVersion();
}

ServerRecord* State::findCurrent(Core::ServerName const& name, Core::Incarnation incarnation)
{
    auto const found = servers_.find(name);
    return found != servers_.end() && found->second.server.incarnation == incarnation ? &found->second : nullptr;
}

ServerRecord const* State::findServer(Core::ServerName const& name) const
{
    auto const found = servers_.find(name);
    return found == servers_.end() ? nullptr : &found->second;
}

SlotTable const* State::findSlots(Core::PoolName const& pool) const
{
    auto const found = slots_.find(pool);
    return found == slots_.end() ? nullptr : &found->second;
}

ServerRecord const* State::findAssignableServer(Core::PoolName const& pool, Core::ServerName const& name) const
{
    auto const* record = findServer(name);
    return record && record->server.pool == pool && canOwn(*record) ? record : nullptr;
}

bool State::isDrained(ServerRecord const& record) const
{
    return record.drainedByOperator || record.drainedByAnnouncement
        || drainedDomains_.contains(record.server.failureDomain);
}

bool State::canOwn(ServerRecord const& record) const { return !record.lost && !isDrained(record); }

bool State::isPoolInUse(Core::PoolName const& pool) const
{
    return std::ranges::any_of(
        servers_, [&](auto const& entry) { return entry.second.server.pool == pool && !entry.second.lost; });
}

void State::unassignAllSlots(ServerRecord& record)
{
    auto const table = slots_.find(record.server.pool);
    if (record.ownedSlots > 0 && table != slots_.end())
        table->second.unassignSlotsOf(record.server.name, viewVersion_);
    record.ownedSlots = 0;
    record.releasingSlots = 0;
}

std::optional<DrainRefused> State::checkDrain(
    std::function<bool(ServerRecord const&)> const& isLeaving, std::vector<PoolDemand> const& demand) const
{
    std::map<Core::PoolName, double> remaining;
    std::set<Core::PoolName> affected;
    for (auto const& [name, record] : servers_) {
        if (!canOwn(record))
            continue;
        if (isLeaving(record))
            affected.insert(record.server.pool);
        else
            remaining[record.server.pool] += record.server.slots;
    }
    for (auto const& pool : affected) {
        auto const measured = std::ranges::find(demand, pool, &PoolDemand::pool);
        auto const busy = measured == demand.end() ? 0.0 : measured->busySlots;
        auto const capacity = remaining[pool];
        if (capacity == 0 || busy > maxUtilizationAfterDrain * capacity)
            return DrainRefused { pool, busy, capacity };
    }
    return std::nullopt;
}

void State::applyTables()
{
    auto const isObsolete = [&](auto const& entry) {
        auto const* pool = table()->findPool(entry.first);
        if (pool && pool->kind == PoolKind::KeyPartitioned && pool->slotCount == entry.second.records().size())
            return false;
        epochFloor_ = std::max(epochFloor_, entry.second.highestEpoch());
        return true;
    };
    std::erase_if(slots_, isObsolete);
    std::erase_if(servers_, [&](auto const& entry) { return !table()->findPool(entry.second.server.pool); });
    for (auto const& pool : table()->pools()) {
        if (pool.kind == PoolKind::KeyPartitioned && !slots_.contains(pool.name))
            slots_.emplace(pool.name, SlotTable(pool.slotCount, epochFloor_, viewVersion_));
    }
}

ServerState State::viewStateOf(ServerRecord const& record) const
{
    if (record.lost)
        return ServerState::OutOfService;
    if (!isDrained(record))
        return ServerState::InService;
    if (!slots_.contains(record.server.pool))
        return ServerState::Draining;
    // A drained owner serves its slots until their release begins, so that the slots stay available until the handover.
    if (record.ownedSlots > record.releasingSlots)
        return ServerState::InService;
    return record.ownedSlots > 0 ? ServerState::Draining : ServerState::OutOfService;
}

Routing::View State::buildView() const
{
    Routing::View view { .version = viewVersion_, .revision = edits_.revision(), .table = edits_.table() };
    std::unordered_map<std::string_view, std::uint32_t> indices;
    view.servers.reserve(servers_.size());
    for (auto const& [name, record] : servers_) {
        indices.emplace(name.value, static_cast<std::uint32_t>(view.servers.size()));
        view.servers.push_back(record.server);
        view.servers.back().state = viewStateOf(record);
    }
    for (auto const& [pool, table] : slots_) {
        auto& assignments = view.slots[pool];
        assignments.reserve(table.records().size());
        for (auto const& record : table.records()) {
            auto const isOwned = record.phase != SlotPhase::Unassigned;
            assignments.push_back({ record.phase, record.epoch, isOwned ? indices.at(record.owner.value) : 0 });
        }
    }
    for (auto const& [name, host] : entryHosts_)
        view.entryHosts.push_back(host);
    for (auto const& [fingerprint, entry] : quarantine_)
        view.quarantine.push_back({ fingerprint, entry.route });
    return view;
}

} // namespace Control
