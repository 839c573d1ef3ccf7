#include <LibConsensus/Codec.h>
#include <LibControlHost/ControlHost.h>

#include <algorithm>

namespace ControlHost {

using Telemetry::EventId;

namespace {

    constexpr Core::Duration tickInterval = std::chrono::milliseconds(50);
    /// The time for which changes of the view are collected into one update. With 83 entry hosts, each update takes 83
    /// writes on a host with 0.3 of a core, and heartbeats of hundreds of servers cause changes all the time.
    constexpr Core::Duration publishDelay = std::chrono::milliseconds(30);
    constexpr Core::Duration metricsInterval = std::chrono::seconds(1);
    /// The time after which an entry host without a change is logged. Hosts report twice a second, and the platform
    /// allows 2 s until a change is in force everywhere.
    constexpr Core::Duration maxRevisionLag = std::chrono::milliseconds(1500);
    constexpr Core::Duration joinInterval = std::chrono::milliseconds(250);
    /// The time without a leader, two election timeouts, after which a member sends a join request, since it may have
    /// been removed from the group.
    constexpr Core::Duration leaderTimeout = std::chrono::milliseconds(1600);
    constexpr Core::Duration joinerExpiry = std::chrono::seconds(2);
    constexpr Core::Duration memberChangeInterval = std::chrono::milliseconds(20);
    /// The number of cached full updates for entry hosts with different revisions.
    constexpr std::size_t maxCachedUpdates = 8;
    /// The time for which a disconnected entry host is still counted, since it may still serve requests.
    constexpr Core::Duration entryHostRetention = std::chrono::seconds(30);
    /// The time after an election until a new leader publishes the list of entry hosts, so that they can connect first.
    constexpr Core::Duration entryHostListDelay = std::chrono::seconds(2);

} // namespace

ControlHost::ControlHost(Net::EventLoop& loop, Telemetry::EventLog& events, Telemetry::Metrics& metrics,
    ControlHostSettings settings, OpenedStore store)
    : loop_(loop)
    , events_(events)
    , metrics_(metrics)
    , settings_(std::move(settings))
    , identity_(store.identity)
    , replica_(loop, events, *this, consensusSettings(store.identity, settings_.memory), std::move(store.opened))
    , lastLeader_(loop.now())
{
    tick();
}

ControlHost::~ControlHost()
{
    loop_.cancel(timer_);
    loop_.cancel(publishTimer_);
}

bool ControlHost::listen()
{
    listener_ = Net::Listener::open(loop_, settings_.address, [this](int fd) { accept(fd); });
    return listener_ != nullptr;
}

void ControlHost::accept(int fd)
{
    Net::FrameHandler& handler = *this;
    incoming_.push_back(std::make_unique<Net::FrameChannel>(loop_, handler, fd));
}

void ControlHost::heartbeat(Fleet::Heartbeat beat, std::function<void(HeartbeatResult)> callback)
{
    admitHeartbeat(std::move(beat), Core::BootClock::now(), std::move(callback));
}

void ControlHost::admitHeartbeat(
    Fleet::Heartbeat beat, Core::TimePoint receivedAt, std::function<void(HeartbeatResult)> callback)
{
    if (!coordinator_ || !replica_.hasAuthority()) {
        callback(SubmitError(NotLeading {}));
        return;
    }
    auto const admission = coordinator_->admit(loop_.now(), beat);
    if (admission.ignored)
        metrics_.countIgnoredHeartbeat(Fleet::describe(*admission.ignored));
    if (!admission.command) {
        answerHeartbeat(beat, receivedAt, callback);
        return;
    }
    if (admission.isReturn)
        events_.write(EventId::BackendReturned,
            { { "server", beat.server.name.value }, { "pool", beat.server.pool.value },
                { "address", beat.server.address.toString() } });
    replica_.submit(*admission.command,
        [this, beat = std::move(beat), receivedAt, callback = std::move(callback)](SubmitResult const& result) {
            if (result.isError())
                callback(result.error());
            else
                // Another heartbeat of the server may have registered it meanwhile, as one that does not drain.
                admitHeartbeat(beat, receivedAt, callback);
        });
}

void ControlHost::answerHeartbeat(
    Fleet::Heartbeat const& beat, Core::TimePoint receivedAt, std::function<void(HeartbeatResult)> const& callback)
{
    if (!coordinator_ || !replica_.hasAuthority()) {
        callback(SubmitError(NotLeading {}));
        return;
    }
    callback(coordinator_->answer(receivedAt, Core::BootClock::now(), beat));
    submitDecisions();
    publishSoon();
}

void ControlHost::leave(Core::ServerName const& name, std::function<void(ChangeResult)> callback)
{
    if (!coordinator_) {
        callback(NotLeading {});
        return;
    }
    auto const command = coordinator_->leave(name);
    if (!command) {
        // The server was already removed, or never registered.
        read([callback = std::move(callback)](auto const& state) {
            if (state.isError())
                callback(NotLeading {});
            else
                callback(Core::Void {});
        });
        return;
    }
    commit(*command, std::move(callback));
}

void ControlHost::change(Fleet::ItemChange change, std::function<void(ChangeResult)> callback)
{
    if (!coordinator_) {
        callback(NotLeading {});
        return;
    }
    auto const& state = replica_.state();
    if (!state.isInEffect(change) && fits(state, change)) {
        commitItems(std::move(change), std::move(callback));
        return;
    }
    // Answered without an entry in the log. Another leader may have committed newer items, so leadership is confirmed.
    read([this, change = std::move(change), callback = std::move(callback)](auto const& result) mutable {
        if (result.isError())
            callback(NotLeading {});
        else if (result.value()->isInEffect(change))
            callback(Core::Void {});
        else if (fits(*result.value(), change))
            commitItems(std::move(change), std::move(callback));
        // While a change is in progress, it may be this one, sent again, and must not be refused.
        else if (itemChangesInProgress_ > 0)
            callback(OutcomeUnknown {});
        else
            callback(Fleet::ChangeError(
                Fleet::TooManyItemBytes { result.value()->itemBytesAfter(change), settings_.memory.items }));
    });
}

bool ControlHost::fits(Fleet::State const& state, Fleet::ItemChange const& change) const
{
    auto const after = state.itemBytesAfter(change);
    return after <= settings_.memory.items || after <= state.itemBytes();
}

void ControlHost::commitItems(Fleet::ItemChange change, std::function<void(ChangeResult)> callback)
{
    Fleet::Command command;
    command.items = std::move(change);
    ++itemChangesInProgress_;
    commit(command, [this, callback = std::move(callback)](ChangeResult const& result) {
        --itemChangesInProgress_;
        callback(result);
    });
}

void ControlHost::change(Fleet::DomainChange change, std::function<void(ChangeResult)> callback)
{
    Fleet::Command command;
    command.domain = std::move(change);
    commit(command, std::move(callback));
}

void ControlHost::commit(Fleet::Command const& command, std::function<void(ChangeResult)> callback)
{
    if (!coordinator_) {
        callback(NotLeading {});
        return;
    }
    replica_.submit(command, [callback = std::move(callback)](SubmitResult const& result) {
        if (result.isError())
            std::visit([&](auto const& error) { callback(error); }, result.error());
        else if (result.value().error)
            callback(*result.value().error);
        else
            callback(Core::Void {});
    });
}

void ControlHost::read(std::function<void(Core::Result<Fleet::State const*, NotLeading>)> callback)
{
    if (!coordinator_) {
        callback(NotLeading {});
        return;
    }
    replica_.confirmLeadership([this, callback = std::move(callback)](bool isLeading) {
        if (isLeading)
            callback(&replica_.state());
        else
            callback(NotLeading {});
    });
}

std::vector<Core::HostName> ControlHost::voters() const
{
    std::vector<Core::HostName> names;
    auto const status = replica_.status();
    std::ranges::transform(status.configuration.voters, std::back_inserter(names), &Consensus::Member::name);
    return names;
}

std::optional<Core::Endpoint> ControlHost::leader() const
{
    auto const leader = replica_.status().leader;
    if (!leader)
        return hintedLeader_;
    return *leader == identity_ ? std::nullopt : addressOf(*leader);
}

void ControlHost::send(Consensus::Message const& message)
{
    auto const address = addressOf(message.to);
    if (!address)
        return;
    auto& channel = channelTo(*address);
    // Consensus tolerates the loss of messages.
    if (channel.pendingBytes() <= settings_.memory.peerMessages)
        channel.send(makeFrame(FrameType::Consensus, std::string_view(Consensus::encodeMessage(message))));
}

Net::FrameChannel& ControlHost::channelTo(Core::Endpoint const& address)
{
    Net::FrameHandler& handler = *this;
    auto& channel = outgoing_[address];
    if (!channel)
        channel = std::make_unique<Net::FrameChannel>(loop_, handler, address);
    return *channel;
}

void ControlHost::onClosed(Net::FrameChannel& channel)
{
    if (auto const entry = entryChannels_.extract(&channel))
        revisions_.onLeave(entry.mapped());
    for (auto found = outgoing_.begin(); found != outgoing_.end(); ++found) {
        if (found->second.get() != &channel)
            continue;
        loop_.reclaim(std::move(found->second));
        outgoing_.erase(found);
        return;
    }
    auto const found = std::ranges::find(incoming_, &channel, &std::unique_ptr<Net::FrameChannel>::get);
    if (found == incoming_.end())
        return;
    loop_.reclaim(std::move(*found));
    incoming_.erase(found);
}

void ControlHost::onFrame(Net::FrameChannel& channel, std::string_view frame)
{
    auto const payload = frame.substr(1);
    switch (static_cast<FrameType>(frame.front())) {
    case FrameType::Consensus:
        if (auto message = Consensus::decodeMessage(payload); !message.isError())
            replica_.deliver(std::move(message).value());
        else
            events_.write(EventId::PeerUnreachable, { { "reason", Consensus::describe(message.error()) } });
        return;
    case FrameType::Hello:
        if (auto const hello = Fleet::decode<Hello>(payload))
            onHello(channel, *hello);
        return;
    case FrameType::Join:
        if (auto const request = Fleet::decode<JoinRequest>(payload))
            onJoin(channel, *request);
        return;
    case FrameType::Report:
        if (auto const report = Fleet::decode<Fleet::LoadReport>(payload))
            onReport(channel, *report);
        return;
    case FrameType::Leader:
        if (auto const hint = Fleet::decode<LeaderHint>(payload))
            onHint(*hint);
        return;
    case FrameType::ReservationRequest:
        if (auto const request = Fleet::decode<Fleet::ReservationRequest>(payload))
            onReservationRequest(channel, *request);
        return;
    case FrameType::QuotaRequest:
        if (auto const request = Fleet::decode<Fleet::QuotaRequest>(payload))
            onQuotaRequest(channel, *request);
        return;
    case FrameType::View:
    case FrameType::CompressedView:
    case FrameType::ReservationReply:
    case FrameType::QuotaReply:
        return;
    }
}

LeaderHint ControlHost::hint() const
{
    LeaderHint hint;
    hint.leader = isLeading() ? settings_.address : leader();
    auto const status = replica_.status();
    for (auto const* const list : { &status.configuration.voters, &status.configuration.learners }) {
        for (auto const& member : *list)
            hint.members.push_back(member.endpoint);
    }
    return hint;
}

void ControlHost::onHello(Net::FrameChannel& channel, Hello const& hello)
{
    if (!coordinator_) {
        channel.send(makeFrame(FrameType::Leader, hint()));
        return;
    }
    for (auto const& fingerprint : hello.quarantined)
        coordinator_->crashSuspects().adopt(fingerprint, loop_.now());
    publish();
    channel.send(makeFrame(FrameType::Leader, hint()));
    entryChannels_[&channel] = hello.entryHost;
    revisions_.onJoin(hello.entryHost, hello.itemRevision, loop_.now());
    events_.write(EventId::EntryHostJoined, { { "entry", hello.entryHost } });
    channel.send(fullUpdateFrame(hello.itemRevision));
}

void ControlHost::onJoin(Net::FrameChannel& channel, JoinRequest const& request)
{
    if (!coordinator_) {
        channel.send(makeFrame(FrameType::Leader, hint()));
        return;
    }
    Core::HostName const identity { request.identity };
    joiners_[identity] = { { identity, request.address }, loop_.now() };
}

void ControlHost::onHint(LeaderHint const& hint)
{
    // A host knows itself whether it leads. One that was frozen may name a leader that has stepped down meanwhile.
    hintedLeader_ = hint.leader == settings_.address ? std::nullopt : hint.leader;
}

void ControlHost::onReport(Net::FrameChannel& channel, Fleet::LoadReport const& report)
{
    if (!coordinator_)
        return;
    coordinator_->onLoadReport(loop_.now(), report);
    auto const sender = entryChannels_.find(&channel);
    if (sender != entryChannels_.end())
        revisions_.onReport(sender->second, report.itemRevision);
}

void ControlHost::reportEntryHostsBehind()
{
    auto const behind = revisions_.behind(loop_.now(), maxRevisionLag);
    metrics_.setEntryHostsBehind(behind.size());
    for (auto const& host : behind) {
        auto const channel
            = std::ranges::find(entryChannels_, host.entryHost, [](auto const& entry) { return entry.second; });
        events_.write(EventId::EntryHostBehind,
            { { "entry", host.entryHost }, { "revision", host.revision },
                { "current", replica_.state().itemRevision() }, { "behindMs", Core::toMilliseconds(host.time) },
                { "unsentBytes", channel == entryChannels_.end() ? 0 : channel->first->pendingBytes() } });
    }
}

/// Without the authority of a quorum there is no answer, since another leader may grant reservations already.
void ControlHost::onReservationRequest(Net::FrameChannel& channel, Fleet::ReservationRequest const& request)
{
    if (!coordinator_ || !replica_.hasAuthority())
        return;
    auto const reservation = coordinator_->reserve(loop_.now(), request);
    Fleet::ReservationReply const reply { request.id, reservation.isGranted, Core::toMilliseconds(reservation.wait) };
    channel.send(makeFrame(FrameType::ReservationReply, reply));
}

/// Without the authority of a quorum there is no answer, for the same reason as for reservations.
void ControlHost::onQuotaRequest(Net::FrameChannel& channel, Fleet::QuotaRequest const& request)
{
    if (!coordinator_ || !replica_.hasAuthority())
        return;
    channel.send(makeFrame(FrameType::QuotaReply, coordinator_->grantQuota(loop_.now(), request)));
}

void ControlHost::onApplied(Fleet::Command const& command, Fleet::ApplyResult const& applied)
{
    if (!coordinator_)
        return;
    logChanges(command, applied);
    if (applied.hasChangedItems)
        revisions_.onChange(replica_.state().itemRevision(), loop_.now());
    coordinator_->onApplied(loop_.now(), command, applied);
    Fleet::addChanges(update_, replica_.state(), *coordinator_, command, applied, loop_.now());
    publishSoon();
}

/// Logs each change that was applied while this host leads. The event log limits the rate.
void ControlHost::logChanges(Fleet::Command const& command, Fleet::ApplyResult const& applied)
{
    if (applied.hasChangedItems)
        events_.write(EventId::EditAccepted,
            { { "routes", applied.routes.size() }, { "pools", applied.pools.size() },
                { "workspaces", applied.workspaces.size() } });
    if (command.domain)
        events_.write(command.domain->isEvacuated ? EventId::DrainStarted : EventId::ReturnStarted,
            { { "domain", command.domain->domain.value } });
    for (auto const number : applied.joined) {
        if (auto const* const server = replica_.state().findServer(number))
            events_.write(EventId::BackendJoined,
                { { "server", server->name.value }, { "pool", server->pool.value },
                    { "address", server->address.toString() }, { "domain", server->domain.value } });
    }
    for (auto const number : applied.changedServers) {
        if (auto const* const server = replica_.state().findServer(number))
            events_.write(EventId::DrainStarted, { { "server", server->name.value }, { "pool", server->pool.value } });
    }
    for (auto const& name : applied.removedNames)
        events_.write(EventId::BackendLeft, { { "server", name.value } });
    for (auto const& assignment : applied.assignments) {
        auto const* const owner = replica_.state().findServer(assignment.owner);
        events_.write(EventId::SlotOwnerChanged,
            { { "pool", assignment.pool.value }, { "first", assignment.first }, { "last", assignment.last },
                { "owner", owner ? owner->name.value : "" }, { "handover", !assignment.handover.empty() } });
    }
}

void ControlHost::onLeading(bool isLeading)
{
    update_ = {};
    fullUpdateFrames_.clear();
    revisions_ = {};
    if (isLeading) {
        coordinator_ = std::make_unique<Fleet::Coordinator>(replica_.state(), settings_.coordinator, loop_.now());
        leadingSince_ = loop_.now();
        publishedEntryHosts_.clear();
        entryHosts_.clear();
        return;
    }
    coordinator_.reset();
    joiners_.clear();
    // Disconnected entry hosts search for the new leader immediately.
    for (auto const& [channel, name] : std::exchange(entryChannels_, {})) {
        channel->send(makeFrame(FrameType::Leader, hint()));
        channel->close();
        onClosed(*channel);
    }
}

void ControlHost::submitDecisions()
{
    if (!coordinator_)
        return;
    if (auto const command = coordinator_->takeCommand())
        replica_.submit(*command, [](auto const&) {});
}

void ControlHost::publishSoon()
{
    if (publishTimer_.number == 0)
        publishTimer_ = loop_.after(publishDelay, [this] { publish(); });
}

void ControlHost::publish()
{
    loop_.cancel(publishTimer_);
    if (!coordinator_)
        return;
    auto const now = loop_.now();
    for (auto const number : coordinator_->takeColdChanges())
        Fleet::addServer(update_, replica_.state(), *coordinator_, number, now);
    auto rows = coordinator_->takeRows();
    std::ranges::move(rows, std::back_inserter(update_.ranges.rows));
    auto occupancies = coordinator_->takeOccupancyChanges();
    std::ranges::move(occupancies, std::back_inserter(update_.occupancies.rows));
    publishRequestLimits();
    publishCrashSuspects();
    if (update_.isEmpty())
        return;
    auto const frame = makeViewFrame(update_);
    update_ = {};
    fullUpdateFrames_.clear();
    for (auto const& [channel, name] : entryChannels_)
        channel->send(frame);
    closeCongestedChannels(frame.size());
}

/// Disconnects the entry hosts that have taken the least, until the unsent updates of the others fit the budget. An
/// entry host must not miss a change; after it reconnects, it requests a full update.
void ControlHost::closeCongestedChannels(std::size_t lastFrameBytes)
{
    std::vector<std::pair<std::size_t, Net::FrameChannel*>> pending;
    std::size_t total = 0;
    for (auto const& [channel, name] : entryChannels_) {
        pending.emplace_back(channel->pendingBytes(), channel);
        total += pending.back().first;
    }
    std::ranges::sort(pending, std::greater {});
    for (auto const& [bytes, channel] : pending) {
        // A channel that has taken all but the last update keeps up.
        if (total <= settings_.memory.viewUpdates || bytes <= 2 * lastFrameBytes)
            return;
        total -= bytes;
        channel->close();
        onClosed(*channel);
    }
}

void ControlHost::publishCrashSuspects()
{
    auto& suspects = coordinator_->crashSuspects();
    for (auto const& decision : suspects.takeDecisions())
        events_.write(decision.isQuarantined ? EventId::QuarantineAdded : EventId::QuarantineLifted,
            { { "fingerprint", decision.fingerprint }, { "crashedServers", decision.crashedServers } });
    if (!suspects.takeChange())
        return;
    update_.quarantined = suspects.quarantined();
    update_.suspects = suspects.suspects();
}

void ControlHost::publishRequestLimits()
{
    for (auto const& row : coordinator_->takeRequestLimitChanges(loop_.now())) {
        update_.requestLimits.push_back(row);
        auto const* const server = replica_.state().findServer(row.server);
        if (!server)
            continue;
        if (row.perSecond)
            events_.write(EventId::RequestLimitStated,
                { { "server", server->name.value }, { "pool", server->pool.value }, { "perSecond", *row.perSecond } });
        else
            events_.write(
                EventId::RequestLimitEnded, { { "server", server->name.value }, { "pool", server->pool.value } });
    }
}

std::string const& ControlHost::fullUpdateFrame(std::uint64_t knownRevision)
{
    // All entry hosts request the view at the same time after a change of the leader, most of them with the same
    // revision.
    if (fullUpdateFrames_.size() >= maxCachedUpdates && !fullUpdateFrames_.contains(knownRevision))
        fullUpdateFrames_.clear();
    auto& frame = fullUpdateFrames_[knownRevision];
    if (frame.empty()) {
        auto view = Fleet::makeFullUpdate(replica_.state(), *coordinator_, knownRevision, loop_.now());
        if (!publishedEntryHosts_.empty())
            view.entryHosts = publishedEntryHosts_;
        frame = makeViewFrame(view);
    }
    return frame;
}

void ControlHost::updateEntryHosts()
{
    auto const now = loop_.now();
    for (auto const& [channel, name] : entryChannels_)
        entryHosts_[name] = now;
    std::erase_if(entryHosts_, [&](auto const& entry) { return now - entry.second > entryHostRetention; });
    if (now - leadingSince_ < entryHostListDelay)
        return;
    std::vector<std::string> names;
    std::ranges::transform(entryHosts_, std::back_inserter(names), [](auto const& entry) { return entry.first; });
    if (names == publishedEntryHosts_)
        return;
    publishedEntryHosts_ = names;
    update_.entryHosts = std::move(names);
}

void ControlHost::tick()
{
    timer_ = loop_.after(tickInterval, [this] { tick(); });
    auto const now = loop_.now();
    if (replica_.status().leader)
        lastLeader_ = now;
    requestJoin();
    publishMetrics();
    if (!coordinator_)
        return;
    coordinator_->tick(now);
    submitDecisions();
    updateEntryHosts();
    publish();
    updateMembership();
}

void ControlHost::publishMetrics()
{
    if (loop_.now() - lastMetrics_ < metricsInterval)
        return;
    lastMetrics_ = loop_.now();
    events_.reportSuppressed();
    auto const status = replica_.status();
    auto const isLeader = status.role == Consensus::Role::Leader;
    metrics_.setStorageSound(replica_.isStorageSound());
    metrics_.setRaft(status.term.value, status.commitIndex.value, isLeader, status.leader.has_value());
    metrics_.setLogBytes(status.logBytes, status.snapshotBytes, replica_.state().itemBytes());
    metrics_.clearRequestLimits();
    metrics_.setCrashSuspects(coordinator_ ? coordinator_->crashSuspects().suspects().size() : 0,
        coordinator_ ? coordinator_->crashSuspects().quarantined().size() : 0);
    reportEntryHostsBehind();
    if (coordinator_) {
        for (auto const& row : coordinator_->allRequestLimits(loop_.now())) {
            if (auto const* const server = replica_.state().findServer(row.server))
                metrics_.setRequestLimit(server->pool, server->name, row.perSecond.value_or(0));
        }
    }
    std::map<std::pair<Core::PoolName, Core::FailureDomain>, std::uint64_t> servers;
    for (auto const& [number, server] : replica_.state().servers())
        ++servers[{ server.pool, server.domain }];
    for (auto const& [where, count] : servers)
        metrics_.setBackendServers(where.first, where.second, "registered", count);
}

void ControlHost::requestJoin()
{
    auto const now = loop_.now();
    auto const status = replica_.status();
    auto const isSettled = status.leader && status.configuration.isMember(identity_);
    if (isSettled || now - lastJoin_ < joinInterval)
        return;
    // During an ordinary election, no join request is needed.
    if (status.configuration.isMember(identity_) && now - lastLeader_ < leaderTimeout)
        return;
    lastJoin_ = now;
    std::vector<Core::Endpoint> candidates = settings_.seeds;
    std::ranges::transform(status.configuration.voters, std::back_inserter(candidates), &Consensus::Member::endpoint);
    std::erase(candidates, settings_.address);
    if (!hintedLeader_ && candidates.empty())
        return;
    auto const target = hintedLeader_ ? *hintedLeader_ : candidates[nextSeed_++ % candidates.size()];
    // The hint is used only once, so that a wrong hint has no lasting effect.
    hintedLeader_.reset();
    channelTo(target).send(makeFrame(FrameType::Join, JoinRequest { identity_.value, settings_.address }));
}

void ControlHost::updateMembership()
{
    auto const now = loop_.now();
    std::erase_if(joiners_, [&](auto const& entry) { return now - entry.second.lastHeard > joinerExpiry; });
    auto const status = replica_.status();
    if (!status.isConfigurationCommitted || now - lastMemberChange_ < memberChangeInterval)
        return;
    std::vector<Joiner> joiners;
    std::ranges::transform(joiners_, std::back_inserter(joiners), [](auto const& entry) { return entry.second; });
    auto const change = planMembership(status, joiners, now);
    if (!change)
        return;
    lastMemberChange_ = now;
    replica_.requestChange(*change);
}

} // namespace ControlHost
