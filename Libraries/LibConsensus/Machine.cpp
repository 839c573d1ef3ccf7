#include <LibConsensus/Machine.h>
#include <LibCore/Hash.h>

#include <limits>

namespace Consensus {

namespace {

    LogIndex baseIndexOf(RecoveredState const& state)
    {
        return state.snapshot ? state.snapshot->metadata.index : LogIndex {};
    }

    Term baseTermOf(RecoveredState const& state) { return state.snapshot ? state.snapshot->metadata.term : Term {}; }

    ConfigurationHistory configurationsOf(RecoveredState const& state)
    {
        ConfigurationHistory history;
        if (state.snapshot)
            history = { state.snapshot->metadata.configurationIndex, state.snapshot->metadata.configuration };
        for (auto const& entry : state.entries) {
            if (auto const* configuration = std::get_if<Configuration>(&entry.content))
                history.add(entry.index, *configuration);
        }
        return history;
    }

} // namespace

Node::Machine::Machine(Settings settings, RecoveredState state, std::uint64_t seed, Core::TimePoint now)
    : settings_(std::move(settings))
    , random_(seed)
    , now_(now)
    , term_(state.hardState.term)
    , votedFor_(state.hardState.votedFor)
    , configurations_(configurationsOf(state))
    , log_(baseIndexOf(state), baseTermOf(state), std::move(state.entries))
    , commitIndex_(baseIndexOf(state))
    , snapshot_(state.snapshot)
    , durability_(state.isDurable ? log_.lastIndex() : LogIndex {})
    // The host may have heard from the leader shortly before it restarted, so it does not vote until the minimum
    // election timeout has passed.
    , lastLeaderContact_(now)
    , snapshotReceiver_(settings_.maxSnapshotBytes)
    , snapshotThreshold_(settings_.snapshotInterval + random_.below(settings_.snapshotInterval / 4 + 1))
    // The same random part as that of the entries.
    , snapshotThresholdBytes_(
          settings_.snapshotIntervalBytes * snapshotThreshold_ / std::max<std::uint64_t>(settings_.snapshotInterval, 1))
{
    resetElectionTimer();
    if (state.isDurable)
        return;
    storageState_ = StorageState::Failed;
    storageRetryAt_ = now_ + settings_.storageRetryInterval;
    hardStateSequence_ = durability_.begin();
}

Actions Node::Machine::step(Core::TimePoint now, Event event)
{
    actions_ = {};
    if (isFirstStep_)
        actions_.restore = snapshot_;
    isFirstStep_ = false;
    auto const isSnapshotTaken = std::holds_alternative<SnapshotTaken>(event);
    auto const before = std::tuple(role_, term_, leader_);
    now_ = std::max(now_, now);
    if (role_ != Role::Halted)
        runTimers();
    std::visit([this](auto& kind) { handle(kind); }, event);
    if (role_ == Role::Leader)
        startReadRound();

    if (before != std::tuple(role_, term_, leader_))
        actions_.roleChange = RoleChange { role_, term_, leader_ };
    actions_.isSnapshotDue = !isSnapshotTaken && isSnapshotDue();
    actions_.wakeAt = electionDeadline_;
    if (role_ == Role::Leader) {
        auto const contact = quorumValue(now_, [](Progress const& peer) { return peer.lastContactAt(); });
        actions_.wakeAt = std::min(nextHeartbeat_, contact + settings_.electionTimeoutMin + Core::Duration(1));
        if (leadershipTransfer_)
            actions_.wakeAt = std::min(actions_.wakeAt, leadershipTransfer_->deadline);
    }
    if (storageState_ == StorageState::Failed)
        actions_.wakeAt = std::min(actions_.wakeAt, storageRetryAt_);
    if (role_ == Role::Halted)
        actions_.wakeAt = Core::TimePoint::max();
    return std::move(actions_);
}

void Node::Machine::handle(MessageReceived& event)
{
    auto& message = event.message;
    if (role_ == Role::Halted)
        return;
    if (message.clusterId != settings_.clusterId)
        return refuse(message.from, MessageRefusal::WrongCluster);
    if (message.to != settings_.host)
        return refuse(message.from, MessageRefusal::WrongReceiver);
    if (message.from == settings_.host)
        return refuse(message.from, MessageRefusal::Malformed);
    if (!adoptTerm(message))
        return;
    std::visit([&](auto& body) { handle(message.from, message.term, body); }, message.body);
}

void Node::Machine::handle(Persisted const& event)
{
    if (!durability_.confirm(event.sequence))
        return;
    if (storageState_ == StorageState::Rewriting && event.sequence >= rewriteSequence_)
        storageState_ = StorageState::Sound;
    if (role_ == Role::Halted)
        return;
    if (durability_.isDurable(hardStateSequence_)) {
        std::ranges::move(deferredMessages_, std::back_inserter(actions_.messages));
        deferredMessages_.clear();
    }
    while (!pendingSnapshots_.empty() && durability_.isDurable(pendingSnapshots_.front().sequence)) {
        auto& pending = pendingSnapshots_.front().snapshot;
        if (!snapshot_ || pending.metadata.index > snapshot_->metadata.index)
            snapshot_ = std::move(pending);
        pendingSnapshots_.pop_front();
        compact();
    }
    switch (role_) {
    case Role::Candidate:
        if (durability_.isDurable(hardStateSequence_))
            countVote(settings_.host);
        break;
    case Role::Leader:
        advanceCommit();
        break;
    case Role::Follower:
        if (leader_ && std::min(verifiedIndex_, durability_.durableIndex()) > lastAcknowledgedIndex_)
            acknowledge();
        break;
    default:
        break;
    }
}

void Node::Machine::handle(StorageFailed const&)
{
    storageState_ = StorageState::Failed;
    storageRetryAt_ = now_ + settings_.storageRetryInterval;
    if (role_ == Role::Halted)
        return;
    // The log in memory still has the entries of these snapshots.
    pendingSnapshots_.clear();
    if (role_ == Role::Leader)
        handOverLeadership();
    else if (role_ != Role::Follower)
        becomeFollower(term_, std::nullopt);
    deferredMessages_.clear();
    proposals_.markUnresolvedUpTo({ std::numeric_limits<std::uint64_t>::max() }, actions_.proposals);
}

void Node::Machine::rewriteStorage()
{
    storageState_ = StorageState::Rewriting;
    PersistRequest request {
        .snapshot = snapshot_, .replacesAll = true, .hardState = HardState { term_, votedFor_ }, .entries = {}
    };
    auto const firstIndex = (snapshot_ ? snapshot_->metadata.index : LogIndex {}).next();
    for (auto index = firstIndex; index <= log_.lastIndex(); index = index.next())
        request.entries.push_back(log_.at(index));
    rewriteSequence_ = persist(std::move(request));
    if (!durability_.isDurable(hardStateSequence_))
        hardStateSequence_ = rewriteSequence_;
}

void Node::Machine::handle(SnapshotTaken& event)
{
    auto const term = log_.termAt(event.index);
    auto const isNew = event.index > lastSnapshotIndex() && event.index <= commitIndex_;
    if (role_ == Role::Halted || !isStorageSound() || !isNew || !term || !event.data)
        return;
    auto const& configuration = configurations_.at(event.index);
    Snapshot snapshot {
        .metadata = {
            .index = event.index,
            .term = *term,
            .configuration = configuration.configuration,
            .configurationIndex = configuration.index,
            .size = event.data->size(),
            .checksum = Core::hash64(*event.data),
        },
        .data = event.data,
    };
    auto const sequence = persist({ .snapshot = snapshot });
    pendingSnapshots_.push_back({ sequence, std::move(snapshot) });
}

LogIndex Node::Machine::lastSnapshotIndex() const
{
    auto const index = snapshot_ ? snapshot_->metadata.index : LogIndex {};
    return pendingSnapshots_.empty() ? index : std::max(index, pendingSnapshots_.back().snapshot.metadata.index);
}

std::uint64_t Node::Machine::lastSnapshotBytes() const
{
    if (!pendingSnapshots_.empty())
        return pendingSnapshots_.back().snapshot.metadata.size;
    return snapshot_ ? snapshot_->metadata.size : 0;
}

bool Node::Machine::isSnapshotDue() const
{
    if (role_ == Role::Halted || !isStorageSound())
        return false;
    auto const last = lastSnapshotIndex();
    return commitIndex_.value >= last.value + snapshotThreshold_
        || log_.bytesBetween(last, commitIndex_) >= std::max(snapshotThresholdBytes_, lastSnapshotBytes());
}

void Node::Machine::compact()
{
    auto const index = snapshot_->metadata.index;
    LogIndex const byCount { index.value > settings_.retainedEntries ? index.value - settings_.retainedEntries : 0 };
    auto const target = std::max(byCount, log_.firstWithin(settings_.retainedBytes, index));
    if (target <= log_.baseIndex())
        return;
    log_.compactTo(target);
    configurations_.compactTo(target);
}

void Node::Machine::commitTo(LogIndex index)
{
    while (commitIndex_ < index) {
        commitIndex_ = commitIndex_.next();
        auto const& entry = log_.at(commitIndex_);
        proposals_.resolve(entry, actions_.proposals);
        if (role_ == Role::Leader)
            uncommittedBytes_ -= std::min(uncommittedBytes_, flowControlBytes(entry));
        actions_.committed.push_back(entry);
    }
}

void Node::Machine::changeConfiguration(LogIndex index, Configuration configuration)
{
    configurations_.add(index, std::move(configuration));
    actions_.configuration = configurations_.current();
}

PersistSequence Node::Machine::persist(PersistRequest request)
{
    request.sequence = durability_.begin();
    durability_.recordWrite(request.sequence, log_.lastIndex());
    auto const sequence = request.sequence;
    if (storageState_ != StorageState::Failed)
        actions_.persist.push_back(std::move(request));
    return sequence;
}

void Node::Machine::persistHardState()
{
    hardStateSequence_ = persist({ .hardState = HardState { term_, votedFor_ } });
}

void Node::Machine::send(Core::HostName const& to, MessageBody body)
{
    Message message { settings_.clusterId, settings_.host, to, term_, std::move(body) };
    if (durability_.isDurable(hardStateSequence_))
        actions_.messages.push_back(std::move(message));
    else if (storageState_ != StorageState::Failed)
        deferredMessages_.push_back(std::move(message));
}

void Node::Machine::refuse(Core::HostName const& from, MessageRefusal reason)
{
    actions_.refused.push_back({ from, reason });
}

Status Node::Machine::status() const
{
    Status status {
        .role = role_,
        .term = term_,
        .leader = leader_,
        .commitIndex = commitIndex_,
        .lastIndex = log_.lastIndex(),
        .durableIndex = durability_.durableIndex(),
        .firstIndex = log_.baseIndex().next(),
        .snapshotIndex = snapshot_ ? snapshot_->metadata.index : LogIndex {},
        .logBytes = log_.bytesBetween(log_.baseIndex(), log_.lastIndex()),
        .snapshotBytes = snapshot_ ? snapshot_->metadata.size : 0,
        .configuration = configurations_.current(),
        .isConfigurationCommitted = configurations_.currentIndex() <= commitIndex_,
        .isLeaderReady = isLeaderReady(),
    };
    for (auto const& [host, peer] : peers_)
        status.peers.push_back({ host, configurations_.current().isVoter(host), peer.state(), peer.matchIndex(),
            peer.lastContactAt(), peer.hasLostData() });
    return status;
}

std::optional<Core::TimePoint> Node::Machine::authorityUntil() const
{
    /// Percentage of an interval that is safe to rely on when the rates of two clocks each deviate by up to 1 %.
    constexpr std::int64_t safePercent = 98;
    if (role_ != Role::Leader || (leadershipTransfer_ && leadershipTransfer_->isSent))
        return std::nullopt;
    auto const contact = quorumValue(
        now_, [](Progress const& peer) { return peer.hasContact() ? peer.lastContactAt() : Core::TimePoint {}; });
    if (contact == Core::TimePoint {})
        return std::nullopt;
    return contact + settings_.electionTimeoutMin * safePercent / 100;
}

} // namespace Consensus
