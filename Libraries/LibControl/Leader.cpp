#include <LibControl/Leader.h>

#include <algorithm>

namespace Control {

Core::Duration LeaderSettings::leaseUpperBound(Core::Duration lease) const
{
    auto const nanoseconds = static_cast<double>(lease.count()) * (1 + maxClockDrift) / (1 - maxClockDrift);
    return Core::Duration(static_cast<Core::Duration::rep>(nanoseconds) + 1);
}

Leader::Leader(State const& state, std::unique_ptr<Placement const> placement, LeaderSettings settings)
    : state_(state)
    , placement_(std::move(placement))
    , settings_(settings)
{
}

std::vector<Action> Leader::step(Core::TimePoint now, Event const& event)
{
    now = std::max(now, lastStep_);
    if (isLeading_ && now - lastStep_ > settings_.pauseThreshold)
        lossDetectionStart_ = now + settings_.pauseThreshold;
    lastStep_ = now;
    std::visit([&](auto const& alternative) { handle(now, alternative); }, event);
    return std::exchange(actions_, {});
}

void Leader::clear()
{
    isLeading_ = false;
    quorumContact_.reset();
    hosts_.clear();
    servers_.clear();
    rampUps_.clear();
    pools_.clear();
    proposals_.clear();
    view_.reset();
}

void Leader::handle(Core::TimePoint now, BecameLeader const&)
{
    clear();
    isLeading_ = true;
    earlierLeaseExpiry_ = now + settings_.leaseUpperBound(settings_.viewLease);
    earlierGrantExpiry_ = now + settings_.leaseUpperBound(settings_.grantTimeToLive);
    lossDetectionStart_ = now;
    nextServerScan_ = now;
    nextHostScan_ = now;
    clockAdvanced_ = now;
    evaluatedVersion_ = {};
    refreshedVersion_.reset();
    for (auto const& [name, host] : state_.entryHosts())
        hosts_[name] = { .incarnation = host.incarnation,
            .joinedAt = host.joinedAt,
            .expiry = earlierLeaseExpiry_,
            .contactDeadline = earlierLeaseExpiry_ };
    for (auto const& [name, record] : state_.servers())
        rampUps_[name] = { record.server.coldSince, now - settings_.rampUpDuration };
    refreshAll(now);
    for (auto const& [pool, table] : state_.slots()) {
        // An earlier leader may have requested these releases, and the owner may have confirmed them. The slots are
        // never granted to the owner again, so a confirmation stays valid however late it arrives.
        auto& ownership = refresh(now, pool, table);
        for (auto const slot : ownership.releasing)
            ownership.handovers[slot] = { table.records()[slot].epoch, earlierGrantExpiry_ };
    }
}

void Leader::handle(Core::TimePoint, LostLeadership const&) { clear(); }

void Leader::handle(Core::TimePoint, QuorumContact const& contact)
{
    if (isLeading_)
        quorumContact_ = std::max(quorumContact_.value_or(contact.roundBegan), contact.roundBegan);
}

void Leader::handle(Core::TimePoint now, Tick const&)
{
    if (isLeading_)
        evaluate(now);
}

void Leader::handle(Core::TimePoint now, StateApplied const&)
{
    if (isLeading_ && evaluatedVersion_ != state_.viewVersion())
        evaluate(now);
}

void Leader::handle(Core::TimePoint now, Heartbeat const& heartbeat)
{
    if (!isLeading_)
        return;
    HeartbeatAnswer answer {
        .host = heartbeat.host.name, .incarnation = heartbeat.host.incarnation, .sequence = heartbeat.sequence
    };
    answer.hasQuorum = mayGrant(now);
    recordWork(now, heartbeat);
    if (auto* lease = findHostLease(now, heartbeat)) {
        recordHeartbeat(now, heartbeat, *lease);
        if (mayGrant(now)) {
            lease->expiry = now + settings_.leaseUpperBound(settings_.viewLease);
            answer.viewLease = settings_.viewLease;
        }
    }
    if (heartbeat.appliedVersion < state_.viewVersion())
        answer.view = view();
    answer.grants.reserve(heartbeat.announcements.size());
    for (auto const& announcement : heartbeat.announcements)
        answer.grants.push_back(answerAnnouncement(now, announcement));
    actions_.emplace_back(std::move(answer));
}

bool Leader::mayGrant(Core::TimePoint now) const
{
    return isLeading_ && quorumContact_ && now <= *quorumContact_ + settings_.quorumContactValidity;
}

Leader::HostLease* Leader::findHostLease(Core::TimePoint now, Heartbeat const& heartbeat)
{
    auto const& host = heartbeat.host;
    auto const known = state_.entryHosts().find(host.name);
    auto& lease = hosts_[host.name];
    if (known == state_.entryHosts().end()) {
        lease.contactDeadline = now + settings_.leaseUpperBound(settings_.viewLease);
        proposeJoin(now, heartbeat);
        return nullptr;
    }
    if (known->second.incarnation != host.incarnation) {
        // The previous incarnation may be paused and still consider its lease valid.
        if (now >= lease.expiry) {
            lease.isRemovalProposed = true;
            lease.contactDeadline = now + settings_.leaseUpperBound(settings_.viewLease);
            proposeJoin(now, heartbeat);
        }
        return nullptr;
    }
    auto const joinedAt = known->second.joinedAt;
    if (lease.incarnation != host.incarnation || lease.joinedAt != joinedAt)
        lease = { .incarnation = host.incarnation, .joinedAt = joinedAt, .expiry = lease.expiry };
    if (lease.isRemovalProposed)
        return nullptr;
    if (known->second.rpcEndpoint != host.rpcEndpoint || known->second.failureDomain != host.failureDomain)
        proposeJoin(now, heartbeat);
    return &lease;
}

void Leader::proposeJoin(Core::TimePoint now, Heartbeat const& heartbeat)
{
    auto const subject = "join/" + heartbeat.host.name.value + "/" + std::to_string(heartbeat.host.incarnation.value);
    propose(now, subject, JoinEntryHost { heartbeat.host });
}

void Leader::recordHeartbeat(Core::TimePoint now, Heartbeat const& heartbeat, HostLease& lease)
{
    lease.contactDeadline = now + settings_.leaseUpperBound(settings_.viewLease);
    lease.appliedVersion = std::max(lease.appliedVersion, heartbeat.appliedVersion);
    if (heartbeat.sequence <= lease.sequence)
        return;
    lease.sequence = heartbeat.sequence;
    lease.held = heartbeat.heldReleases;
}

void Leader::recordWork(Core::TimePoint now, Heartbeat const& heartbeat)
{
    for (auto const& work : heartbeat.work) {
        auto const* table = state_.findSlots(work.slot.pool);
        if (!table || work.slot.slot.value >= table->records().size())
            continue;
        auto& loads = pools_[work.slot.pool].loads;
        loads.resize(table->records().size());
        auto& load = loads[work.slot.slot.value];
        load.load = decayed(load, now) + std::chrono::duration<double>(work.busy).count();
        load.updated = now;
    }
}

Grant Leader::answerAnnouncement(Core::TimePoint now, Announcement const& announcement)
{
    auto const& server = announcement.server;
    Grant grant { .server = server.name, .incarnation = server.incarnation };
    auto& lease = servers_[{ server.name, server.incarnation }];
    auto const* record = state_.findServer(server.name);
    if (lease.isReplaced && record && record->server.incarnation != server.incarnation
        && now < servers_[{ server.name, record->server.incarnation }].contactDeadline)
        return grant;
    auto const isOnRecord = reconcileServer(now, announcement, record, lease);
    if (lease.isRemovalProposed)
        return grant;
    lease.contactDeadline = now + settings_.leaseUpperBound(settings_.grantTimeToLive);
    lease.busySlots = announcement.busySlots;
    if (!isOnRecord)
        return grant;
    refreshAll(now);
    recordReleases(announcement);
    if (!mayGrant(now))
        return grant;
    lease.expiry = now + settings_.leaseUpperBound(settings_.grantTimeToLive);
    grant.timeToLive = settings_.grantTimeToLive;
    fillGrant(now, grant, server.pool);
    return grant;
}

bool Leader::reconcileServer(
    Core::TimePoint now, Announcement const& announcement, ServerRecord const* record, ServerLease& lease)
{
    auto const& server = announcement.server;
    auto const subject = server.name.value + "/" + std::to_string(server.incarnation.value);
    auto const isOnRecord = record && !record->lost && mayKeepSlots(record->server, server);
    if (record && record->lost)
        lease.isRemovalProposed = false;
    if (record && record->server.incarnation != server.incarnation)
        servers_[{ server.name, record->server.incarnation }].isReplaced = true;
    if (!isOnRecord || !hasSameAttributes(record->server, server) || record->reportedCold != announcement.cold)
        propose(now, "register/" + subject, RegisterServer { server, announcement.cold });
    if (!isOnRecord || record->drainedByAnnouncement == announcement.draining)
        return isOnRecord;
    if (announcement.draining)
        propose(now, "drain/" + subject, DrainServer { server.name, DrainCause::Announced });
    else
        propose(now, "return/" + subject, ReturnServer { server.name, DrainCause::Announced });
    return true;
}

void Leader::recordReleases(Announcement const& announcement)
{
    auto const pool = pools_.find(announcement.server.pool);
    auto const* table = state_.findSlots(announcement.server.pool);
    if (pool == pools_.end() || !table)
        return;
    for (auto const& released : announcement.released) {
        auto const handover = pool->second.handovers.find(released.slot.value);
        auto const* record = table->find(released.slot);
        if (handover != pool->second.handovers.end() && handover->second.epoch == released.epoch && record
            && record->owner == announcement.server.name && record->ownerIncarnation == announcement.server.incarnation)
            handover->second.isConfirmed = true;
    }
}

void Leader::fillGrant(Core::TimePoint now, Grant& grant, Core::PoolName const& pool)
{
    auto const* table = state_.findSlots(pool);
    if (!table)
        return;
    auto const& ownership = refresh(now, pool, *table);
    auto const found = ownership.slotsOf.find(grant.server);
    if (found == ownership.slotsOf.end())
        return;
    for (auto const slot : found->second) {
        auto const& record = table->records()[slot];
        auto& list = ownership.handovers.contains(slot) ? grant.release : grant.slots;
        if (record.ownerIncarnation == grant.incarnation)
            list.push_back({ { slot }, record.epoch });
    }
}

void Leader::evaluate(Core::TimePoint now)
{
    if (!mayGrant(now))
        return;
    evaluatedVersion_ = state_.viewVersion();
    if (now >= lossDetectionStart_) {
        detectLostHosts(now);
        detectLostServers(now);
    }
    refreshAll(now);
    for (auto const& [pool, table] : state_.slots())
        changeOwners(now, pool, table);
    advanceClock(now);
    constexpr std::size_t maxTrackedProposals = 4096;
    if (proposals_.size() > maxTrackedProposals)
        std::erase_if(
            proposals_, [&](auto const& entry) { return now - entry.second >= settings_.proposalRetryInterval; });
}

void Leader::detectLostHosts(Core::TimePoint now)
{
    if (now < nextHostScan_)
        return;
    nextHostScan_ = now + settings_.leaseUpperBound(settings_.viewLease);
    for (auto const& [name, host] : state_.entryHosts()) {
        auto& lease = hosts_.try_emplace(name, HostLease { .expiry = earlierLeaseExpiry_ }).first->second;
        auto const deadline = std::max(lease.expiry, lease.contactDeadline);
        nextHostScan_ = std::min(nextHostScan_, std::max(deadline, now + settings_.proposalRetryInterval / 10));
        if (now < deadline)
            continue;
        if (lease.joinedAt != host.joinedAt)
            lease = { .incarnation = host.incarnation, .joinedAt = host.joinedAt, .expiry = lease.expiry };
        lease.isRemovalProposed = true;
        propose(now, "remove/" + name.value + "/" + std::to_string(host.joinedAt.value),
            RemoveEntryHost { name, host.incarnation, host.joinedAt });
    }
}

void Leader::detectLostServers(Core::TimePoint now)
{
    if (now < nextServerScan_)
        return;
    nextServerScan_ = now + settings_.leaseUpperBound(settings_.grantTimeToLive);
    for (auto const& [name, record] : state_.servers()) {
        if (record.lost)
            continue;
        auto const incarnation = record.server.incarnation;
        auto& lease
            = servers_.try_emplace({ name, incarnation }, ServerLease { .expiry = earlierGrantExpiry_ }).first->second;
        auto const deadline = std::max({ lease.expiry, lease.contactDeadline, earlierGrantExpiry_ });
        nextServerScan_ = std::min(nextServerScan_, std::max(deadline, now + settings_.proposalRetryInterval / 10));
        if (now < deadline)
            continue;
        lease.isRemovalProposed = true;
        propose(now, "lost/" + name.value + "/" + std::to_string(incarnation.value), ServerLost { name, incarnation });
    }
}

void Leader::advanceClock(Core::TimePoint now)
{
    auto const elapsed = std::min(now - clockAdvanced_, maxClockStep);
    if (elapsed < settings_.expiryInterval)
        return;
    clockAdvanced_ = now;
    actions_.emplace_back(Propose { ExpireRecords { elapsed } });
}

Core::TimePoint Leader::grantExpiry(Core::ServerName const& server, Core::Incarnation incarnation) const
{
    auto const found = servers_.find({ server, incarnation });
    return found == servers_.end() ? earlierGrantExpiry_ : std::max(found->second.expiry, earlierGrantExpiry_);
}

std::optional<Core::ViewVersion> Leader::effectiveVersion(Core::TimePoint now) const
{
    if (!isLeading_)
        return std::nullopt;
    auto version = state_.viewVersion();
    for (auto const& [name, lease] : hosts_) {
        if (now < lease.expiry)
            version = std::min(version, lease.appliedVersion);
    }
    return version;
}

bool Leader::isInEffect(Core::ViewVersion version, Core::TimePoint now) const
{
    auto const effective = effectiveVersion(now);
    return effective && *effective >= version;
}

Core::Result<Core::Void, NotCurrentOwner> Leader::confirmOwner(
    Core::PoolName const& pool, Core::SlotNumber slot, Core::Epoch epoch) const
{
    auto const* table = state_.findSlots(pool);
    auto const* record = table ? table->find(slot) : nullptr;
    if (!isLeading_ || !record || record->phase != Routing::SlotPhase::Owned || record->epoch != epoch)
        return NotCurrentOwner {};
    return Core::Void {};
}

std::vector<PoolDemand> Leader::measuredDemand() const
{
    std::map<Core::PoolName, double> busy;
    for (auto const& [name, record] : state_.servers()) {
        auto const lease = servers_.find({ name, record.server.incarnation });
        if (!record.lost && lease != servers_.end())
            busy[record.server.pool] += lease->second.busySlots;
    }
    std::vector<PoolDemand> demand;
    demand.reserve(busy.size());
    for (auto const& [pool, slots] : busy)
        demand.push_back({ pool, slots });
    return demand;
}

std::shared_ptr<Routing::View const> Leader::view()
{
    if (!view_ || view_->version != state_.viewVersion())
        view_ = std::make_shared<Routing::View const>(state_.buildView());
    return view_;
}

void Leader::propose(Core::TimePoint now, std::string const& subject, Command command)
{
    auto const [found, isNew] = proposals_.try_emplace(subject, now);
    if (!isNew && now - found->second < settings_.proposalRetryInterval)
        return;
    found->second = now;
    actions_.emplace_back(Propose { std::move(command) });
}

} // namespace Control
