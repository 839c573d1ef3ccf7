#include "ControlNode.h"

#include <LibConsensus/Codec.h>
#include <LibControl/BalancedPlacement.h>
#include <LibControl/Codec.h>
#include <LibCore/Random.h>

#include <algorithm>

namespace Daemon {

namespace {

    /// Timers of the consensus library and of the leader's leases are checked this often.
    constexpr Core::Duration tickInterval = std::chrono::milliseconds(10);
    constexpr Core::Duration metricsInterval = std::chrono::seconds(1);

    Consensus::Settings consensusSettings(Config::DaemonSettings const& settings)
    {
        Consensus::Settings result;
        result.clusterId = settings.host.cluster;
        result.host = settings.host.name;
        result.electionTimeoutMin = settings.timing.electionTimeoutMin;
        result.electionTimeoutMax = settings.timing.electionTimeoutMax;
        result.heartbeatInterval = settings.timing.raftHeartbeat;
        result.maxBytesPerAppend = settings.consensus.maxAppendBytes;
        result.maxAppendsInFlight = settings.consensus.maxInFlightAppends;
        result.snapshotInterval = settings.consensus.snapshotEveryEntries;
        result.snapshotChunkBytes = settings.consensus.snapshotChunkBytes;
        return result;
    }

    Control::LeaderSettings leaderSettings(Config::DaemonSettings const& settings)
    {
        constexpr double perMille = 1000.0;
        Control::LeaderSettings result;
        result.viewLease = settings.timing.viewLease;
        result.grantTimeToLive = settings.timing.grantTimeToLive;
        result.maxClockDrift = settings.timing.clockDriftPerMille / perMille;
        return result;
    }

    Control::LedgerLimits ledgerLimits(Config::DaemonSettings const& settings)
    {
        Control::LedgerLimits limits;
        limits.maxRecords = settings.orders.maxEntries;
        limits.retention = settings.orders.retention;
        return limits;
    }

    std::string toPayload(Control::Bytes const& bytes)
    {
        return { reinterpret_cast<char const*>(bytes.data()), bytes.size() };
    }

    std::span<std::byte const> toBytes(std::string_view text)
    {
        return std::as_bytes(std::span(text.data(), text.size()));
    }

} // namespace

ControlNode::ControlNode(
    Config::DaemonSettings const& settings, ControlDependencies dependencies, Storage::Store::Opened opened)
    : settings_(settings)
    , dependencies_(dependencies)
    , state_(ledgerLimits(settings))
    , leader_(state_, std::make_unique<Control::BalancedPlacement>(), leaderSettings(settings))
    , crashes_(Policy::QuarantineSettings {})
    , node_(consensusSettings(settings), std::move(opened.state), Core::Random::fromSystemEntropy().next(),
          Core::BootClock::now())
    , storage_(std::make_unique<Storage::StorageThread>(
          [&loop = dependencies.loop](std::function<void()> function) { loop.post(std::move(function)); },
          std::move(opened.store), [this](auto const& result, Core::Duration took) { onPersisted(result, took); }))
{
    if (opened.report.failure)
        dependencies_.events.write(
            Telemetry::EventId::StorageFailed, { { "error", Storage::describe(*opened.report.failure) } });
    for (auto const& peer : settings.controlPeers)
        peers_.emplace(peer.name, peer.rpc);
    step(Consensus::Tick {});
    dependencies_.loop.every(tickInterval, [this] { tick(); });
}

void ControlNode::deliver(Consensus::Message message) { step(Consensus::MessageReceived { std::move(message) }); }

void ControlNode::submit(Control::Command const& command, std::function<void(SubmitResult)> callback)
{
    auto const token = nextToken_++;
    proposals_.emplace(token, std::move(callback));
    queuedProposals_.push_back({ { token }, toPayload(Control::encodeCommand(command)) });
    scheduleFlush();
}

void ControlNode::confirmLeadership(std::function<void(Core::Result<Core::Void, NotLeader>)> callback)
{
    auto const token = nextToken_++;
    reads_.emplace(token, std::move(callback));
    queuedReads_.push_back({ token });
    scheduleFlush();
}

Core::Result<Control::HeartbeatAnswer, NotLeader> ControlNode::heartbeat(Control::Heartbeat heartbeat)
{
    if (!leader_.isLeading())
        return notLeader();
    std::optional<Control::HeartbeatAnswer> answer;
    for (auto& action : leader_.step(Core::BootClock::now(), heartbeat)) {
        if (auto* found = std::get_if<Control::HeartbeatAnswer>(&action))
            answer = std::move(*found);
        else if (auto* propose = std::get_if<Control::Propose>(&action))
            submit(propose->command, [](auto const&) {});
    }
    // Without a quorum another host may lead already, and the entry host has to find it before its lease ends.
    if (!answer || !answer->hasQuorum)
        return notLeader();
    return std::move(*answer);
}

Core::Result<Core::Void, NotLeader> ControlNode::reportCrash(
    Core::Digest const& fingerprint, Core::ServerName const& server, Core::RouteName const& route, bool cleared)
{
    if (!leader_.isLeading())
        return notLeader();
    dependencies_.events.write(Telemetry::EventId::CrashReported,
        { { "server", server.value }, { "route", route.value }, { "cleared", cleared } });
    if (cleared)
        crashes_.clearSuspicion(fingerprint);
    else if (crashes_.recordCrash(Core::BootClock::now(), fingerprint, server))
        submit(Control::AddQuarantine { { fingerprint, route } }, [this, route](SubmitResult const& result) {
            if (result)
                dependencies_.events.write(Telemetry::EventId::QuarantineAdded, { { "route", route.value } });
        });
    return Core::Void {};
}

void ControlNode::transferLeadership(std::function<void()> callback)
{
    if (node_.role() != Consensus::Role::Leader) {
        callback();
        return;
    }
    transferCallback_ = std::move(callback);
    stepLeader(Control::LostLeadership {});
    step(Consensus::RequestTransfer {});
}

NotLeader ControlNode::notLeader() const { return { node_.status().leader }; }

Core::ViewVersion ControlNode::effectiveVersion() const
{
    return leader_.effectiveVersion(Core::BootClock::now()).value_or(Core::ViewVersion {});
}

void ControlNode::step(Consensus::Event event) { perform(node_.step(Core::BootClock::now(), std::move(event))); }

void ControlNode::perform(Consensus::Actions actions)
{
    wakeAt_ = actions.wakeAt;
    if (!actions.persist.empty())
        storage_->persist(std::move(actions.persist));
    send(actions.messages);
    if (actions.restore)
        restore(*actions.restore);
    apply(actions.committed);
    answerProposals(actions.proposals);
    answerReads(actions.reads);
    if (actions.roleChange)
        onRoleChange(*actions.roleChange);
    for (auto const& refused : actions.refused)
        dependencies_.events.write(Telemetry::EventId::PeerUnreachable,
            { { "peer", refused.from.value }, { "reason", Consensus::toString(refused.reason) } });
    if (actions.transfer && transferCallback_)
        std::exchange(transferCallback_, nullptr)();
    if (actions.isSnapshotDue)
        takeSnapshot();
    followLeadership();
    if (!actions.committed.empty() && leader_.isLeading())
        stepLeader(Control::StateApplied {});
}

void ControlNode::send(std::vector<Consensus::Message> const& messages)
{
    for (auto const& message : messages) {
        auto const peer = peers_.find(message.to);
        if (peer == peers_.end())
            continue;
        auto request = dependencies_.connections.host(peer->second).deliverRequest();
        auto const bytes = Consensus::encodeMessage(message);
        request.setMessage(kj::arrayPtr(reinterpret_cast<kj::byte const*>(bytes.data()), bytes.size()));
        auto const endpoint = peer->second;
        // An unanswered message closes the connection: the next one is sent over a new one.
        auto sent
            = Rpc::withTimeout(dependencies_.loop, settings_.timing.electionTimeoutMax, request.send().ignoreResult());
        dependencies_.loop.detach(
            sent.then([] {}, [this, endpoint](kj::Exception&&) { dependencies_.connections.drop(endpoint); }));
    }
}

void ControlNode::restore(Consensus::Snapshot const& snapshot)
{
    // The data was checked by its checksum; a snapshot that cannot be read comes from an incompatible version.
    if (state_.restore(toBytes(*snapshot.data)).isError()) {
        dependencies_.events.write(Telemetry::EventId::LogCorrupted, { { "snapshot", snapshot.metadata.index.value } });
        std::abort();
    }
    dependencies_.events.write(Telemetry::EventId::SnapshotInstalled, { { "index", snapshot.metadata.index.value } });
}

void ControlNode::apply(std::vector<Consensus::LogEntry> const& entries)
{
    for (auto const& entry : entries) {
        auto const* content = std::get_if<Consensus::Command>(&entry.content);
        if (!content)
            continue;
        auto const command = Control::decodeCommand(toBytes(content->payload.view()));
        // All hosts must apply the same commands, so one that this version cannot read ends the process.
        if (command.isError()) {
            dependencies_.events.write(Telemetry::EventId::LogCorrupted, { { "index", entry.index.value } });
            std::abort();
        }
        auto outcome = state_.apply(entry.index.value, command.value());
        if (!proposals_.empty())
            outcomes_.insert_or_assign(entry.index.value, std::move(outcome));
    }
}

void ControlNode::answerProposals(std::vector<Consensus::ProposalAnswer> const& answers)
{
    for (auto const& answer : answers) {
        auto const found = proposals_.find(answer.token.value);
        if (found == proposals_.end())
            continue;
        auto const callback = std::move(found->second);
        proposals_.erase(found);
        if (auto const* committed = std::get_if<Consensus::Committed>(&answer.outcome)) {
            auto const outcome = outcomes_.find(committed->index.value);
            if (outcome == outcomes_.end()) {
                callback(SubmitError(Unresolved {}));
                continue;
            }
            auto const value = std::move(outcome->second);
            outcomes_.erase(outcome);
            callback(value);
        } else if (std::holds_alternative<Consensus::Unresolved>(answer.outcome)) {
            callback(SubmitError(Unresolved {}));
        } else {
            callback(SubmitError(notLeader()));
        }
    }
    if (proposals_.empty())
        outcomes_.clear();
}

void ControlNode::answerReads(std::vector<Consensus::ReadAnswer> const& answers)
{
    for (auto const& answer : answers) {
        auto const found = reads_.find(answer.token.value);
        if (found == reads_.end())
            continue;
        auto const callback = std::move(found->second);
        reads_.erase(found);
        if (std::holds_alternative<Consensus::ReadReady>(answer.outcome))
            callback(Core::Void {});
        else
            callback(notLeader());
    }
}

void ControlNode::onRoleChange(Consensus::RoleChange const& change)
{
    using Telemetry::EventId;
    auto const leader = change.leader ? change.leader->value : std::string();
    if (change.role == Consensus::Role::Leader) {
        dependencies_.metrics.countElection();
        dependencies_.events.write(EventId::LeaderElected, { { "term", change.term.value } });
    } else if (leader_.isLeading()) {
        dependencies_.events.write(EventId::LeadershipLost, { { "term", change.term.value }, { "leader", leader } });
    }
}

void ControlNode::takeSnapshot()
{
    auto const index = state_.appliedIndex();
    auto data = std::make_shared<std::string const>(toPayload(state_.snapshot()));
    dependencies_.events.write(Telemetry::EventId::SnapshotWritten, { { "index", index }, { "bytes", data->size() } });
    step(Consensus::SnapshotTaken { { index }, std::move(data) });
}

void ControlNode::followLeadership()
{
    auto const isLeader = node_.role() == Consensus::Role::Leader;
    if (!isLeader && leader_.isLeading())
        stepLeader(Control::LostLeadership {});
    if (isLeader && !leader_.isLeading() && !transferCallback_ && node_.status().isLeaderReady)
        stepLeader(Control::BecameLeader { node_.term().value });
    auto const authority = node_.authorityUntil();
    if (leader_.isLeading() && authority && authority != reportedContact_) {
        reportedContact_ = authority;
        stepLeader(Control::QuorumContact { *authority - settings_.timing.electionTimeoutMin });
    }
}

void ControlNode::stepLeader(Control::Event const& event)
{
    for (auto& action : leader_.step(Core::BootClock::now(), event)) {
        if (auto* propose = std::get_if<Control::Propose>(&action))
            submit(propose->command, [](auto const&) {});
    }
}

void ControlNode::scheduleFlush()
{
    if (std::exchange(isFlushScheduled_, true))
        return;
    // Commands of the same turn of the loop share one write.
    dependencies_.loop.detach(kj::evalLater([this] { flush(); }));
}

void ControlNode::flush()
{
    isFlushScheduled_ = false;
    if (!queuedProposals_.empty())
        step(Consensus::Propose { std::exchange(queuedProposals_, {}) });
    if (!queuedReads_.empty())
        step(Consensus::RequestRead { std::exchange(queuedReads_, {}) });
}

void ControlNode::tick()
{
    auto const now = Core::BootClock::now();
    if (now >= wakeAt_)
        step(Consensus::Tick {});
    if (leader_.isLeading())
        stepLeader(Control::Tick {});
    if (now - lastPublished_ < metricsInterval)
        return;
    lastPublished_ = now;
    auto const status = node_.status();
    auto const isLeader = status.role == Consensus::Role::Leader;
    auto const hasQuorum = isLeader ? node_.authorityUntil().has_value() : status.leader.has_value();
    dependencies_.metrics.setStorageSound(node_.isStorageSound());
    dependencies_.metrics.setRaft(status.term.value, status.commitIndex.value, isLeader, hasQuorum);
    dependencies_.metrics.setOrderLedger(state_.ledger().size(), settings_.orders.maxEntries);
    if (hasQuorum != std::exchange(hadQuorum_, hasQuorum))
        dependencies_.events.write(hasQuorum ? Telemetry::EventId::QuorumRestored : Telemetry::EventId::QuorumLost, {});
}

void ControlNode::onPersisted(
    Core::Result<Consensus::PersistSequence, Storage::StoreError> const& result, Core::Duration took)
{
    dependencies_.metrics.observeSync(took);
    auto const wasSound = node_.isStorageSound();
    if (result.isError()) {
        if (wasSound)
            dependencies_.events.write(
                Telemetry::EventId::StorageFailed, { { "error", Storage::describe(result.error()) } });
        step(Consensus::StorageFailed {});
        return;
    }
    step(Consensus::Persisted { result.value() });
    if (!wasSound && node_.isStorageSound())
        dependencies_.events.write(Telemetry::EventId::StorageRestored);
}

} // namespace Daemon
