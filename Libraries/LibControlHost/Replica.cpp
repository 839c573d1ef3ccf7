#include <LibControlHost/Replica.h>
#include <LibCore/Random.h>

#include <cstdlib>

namespace ControlHost {

using Telemetry::EventId;

Replica::Replica(Net::EventLoop& loop, Telemetry::EventLog& events, ReplicaObserver& observer,
    Consensus::Settings const& settings, Storage::Store::Opened opened)
    : loop_(loop)
    , events_(events)
    , observer_(observer)
    , node_(settings, std::move(opened.state), Core::Random::fromSystemEntropy().next(), loop.now())
    , storage_(std::make_unique<Storage::StorageThread>(
          [this](std::function<void()> function) { post(std::move(function)); }, std::move(opened.store),
          [this](auto const& result, Core::Duration) { onPersisted(result); }))
{
    if (opened.report.failure)
        events_.write(EventId::StorageFailed, { { "error", Storage::describe(*opened.report.failure) } });
    post([this] { step(Consensus::Tick {}); });
}

Replica::~Replica() { loop_.cancel(timer_); }

void Replica::post(std::function<void()> function)
{
    loop_.post([lifetime = std::weak_ptr<int>(lifetime_), function = std::move(function)] {
        if (!lifetime.expired())
            function();
    });
}

void Replica::deliver(Consensus::Message message) { step(Consensus::MessageReceived { std::move(message) }); }

void Replica::submit(Fleet::Command const& command, std::function<void(SubmitResult)> callback)
{
    auto const token = nextToken_++;
    auto payload = Fleet::encode(command);
    bytesInProgress_ += payload.size();
    proposals_.emplace(token, PendingProposal { std::move(callback), payload.size() });
    queuedProposals_.push_back({ { token }, std::move(payload) });
    scheduleFlush();
}

void Replica::confirmLeadership(std::function<void(bool)> callback)
{
    auto const token = nextToken_++;
    reads_.emplace(token, std::move(callback));
    queuedReads_.push_back({ token });
    scheduleFlush();
}

void Replica::requestChange(Consensus::ConfigurationChange const& change)
{
    step(Consensus::RequestChange { { nextToken_++ }, change });
}

void Replica::transferLeadership()
{
    if (node_.role() != Consensus::Role::Leader)
        return;
    isTransferring_ = true;
    updateLeadership();
    step(Consensus::RequestTransfer {});
}

bool Replica::hasAuthority()
{
    // The tick also runs the timers, so that a host that was suspended first notices that its authority has expired.
    step(Consensus::Tick {});
    auto const until = node_.authorityUntil();
    return isLeading_ && until && Core::BootClock::now() < *until;
}

void Replica::step(Consensus::Event event) { perform(node_.step(Core::BootClock::now(), std::move(event))); }

void Replica::perform(Consensus::Actions actions)
{
    wakeAt_ = actions.wakeAt;
    if (!actions.persist.empty())
        storage_->persist(std::move(actions.persist));
    for (auto const& message : actions.messages)
        observer_.send(message);
    if (actions.restore)
        restore(*actions.restore);
    apply(actions.committed);
    answerProposals(actions.proposals);
    answerReads(actions.reads);
    if (actions.roleChange)
        logRoleChange(*actions.roleChange);
    if (actions.configuration)
        events_.write(EventId::MembershipChanged,
            { { "voters", actions.configuration->voters.size() },
                { "learners", actions.configuration->learners.size() } });
    for (auto const& refused : actions.refused)
        events_.write(EventId::PeerUnreachable,
            { { "peer", refused.from.value }, { "reason", Consensus::toString(refused.reason) } });
    updateLeadership();
    if (actions.isSnapshotDue)
        takeSnapshot();
    scheduleTick();
}

void Replica::scheduleTick()
{
    if (timer_.number != 0 && timer_.due <= wakeAt_)
        return;
    loop_.cancel(timer_);
    timer_ = loop_.after(wakeAt_ - loop_.now(), [this] {
        timer_ = {};
        step(Consensus::Tick {});
    });
}

void Replica::restore(Consensus::Snapshot const& snapshot)
{
    // The checksum was verified, so a snapshot that cannot be decoded comes from an incompatible version.
    if (!state_.restore(*snapshot.data)) {
        events_.write(EventId::LogCorrupted, { { "snapshot", snapshot.metadata.index.value } });
        std::abort();
    }
    appliedIndex_ = snapshot.metadata.index.value;
    events_.write(EventId::SnapshotInstalled, { { "index", appliedIndex_ } });
}

void Replica::apply(std::vector<Consensus::LogEntry> const& entries)
{
    for (auto const& entry : entries) {
        appliedIndex_ = entry.index.value;
        auto const* const content = std::get_if<Consensus::Command>(&entry.content);
        if (!content)
            continue;
        auto const command = Fleet::decode<Fleet::Command>(content->payload.view());
        // Every host must apply the same commands, so a command that this version cannot decode ends the process.
        if (!command) {
            events_.write(EventId::LogCorrupted, { { "index", appliedIndex_ } });
            std::abort();
        }
        auto applied = state_.apply(*command);
        observer_.onApplied(*command, applied);
        if (!proposals_.empty())
            outcomes_.insert_or_assign(appliedIndex_, std::move(applied));
    }
}

void Replica::answerProposals(std::vector<Consensus::ProposalAnswer> const& answers)
{
    for (auto const& answer : answers) {
        auto node = proposals_.extract(answer.token.value);
        if (node.empty())
            continue;
        auto const& callback = node.mapped().callback;
        bytesInProgress_ -= node.mapped().bytes;
        auto const* const committed = std::get_if<Consensus::Committed>(&answer.outcome);
        if (!committed) {
            auto const isUnknown = std::holds_alternative<Consensus::Unresolved>(answer.outcome);
            callback(isUnknown ? SubmitError(OutcomeUnknown {}) : SubmitError(NotLeading {}));
            continue;
        }
        auto outcome = outcomes_.extract(committed->index.value);
        if (outcome.empty())
            callback(SubmitError(OutcomeUnknown {}));
        else
            callback(std::move(outcome.mapped()));
    }
    if (proposals_.empty())
        outcomes_.clear();
}

void Replica::answerReads(std::vector<Consensus::ReadAnswer> const& answers)
{
    for (auto const& answer : answers) {
        auto node = reads_.extract(answer.token.value);
        if (!node.empty())
            node.mapped()(std::holds_alternative<Consensus::ReadReady>(answer.outcome));
    }
}

void Replica::logRoleChange(Consensus::RoleChange const& change)
{
    auto const leader = change.leader ? change.leader->value : std::string();
    if (change.role == Consensus::Role::Leader)
        events_.write(EventId::LeaderElected, { { "term", change.term.value } });
    else if (isLeading_)
        events_.write(EventId::LeadershipLost, { { "term", change.term.value }, { "leader", leader } });
}

void Replica::updateLeadership()
{
    auto const isLeader = node_.role() == Consensus::Role::Leader;
    if (!isLeader)
        isTransferring_ = false;
    auto const leads = isLeader && !isTransferring_ && (isLeading_ || node_.status().isLeaderReady);
    if (leads == isLeading_)
        return;
    isLeading_ = leads;
    observer_.onLeading(leads);
}

void Replica::takeSnapshot()
{
    auto data = std::make_shared<std::string const>(state_.snapshot());
    events_.write(EventId::SnapshotWritten,
        { { "index", appliedIndex_ }, { "bytes", data->size() }, { "logBytes", node_.status().logBytes } });
    step(Consensus::SnapshotTaken { { appliedIndex_ }, std::move(data) });
}

void Replica::scheduleFlush()
{
    if (std::exchange(isFlushScheduled_, true))
        return;
    post([this] { flush(); });
}

void Replica::flush()
{
    isFlushScheduled_ = false;
    if (!queuedProposals_.empty())
        step(Consensus::Propose { std::exchange(queuedProposals_, {}) });
    if (!queuedReads_.empty())
        step(Consensus::RequestRead { std::exchange(queuedReads_, {}) });
}

void Replica::onPersisted(Core::Result<Consensus::PersistSequence, Storage::StoreError> const& result)
{
    auto const wasSound = node_.isStorageSound();
    if (result.isError()) {
        if (wasSound)
            events_.write(EventId::StorageFailed, { { "error", Storage::describe(result.error()) } });
        step(Consensus::StorageFailed {});
        return;
    }
    step(Consensus::Persisted { result.value() });
    if (!wasSound && node_.isStorageSound())
        events_.write(EventId::StorageRestored);
}

} // namespace ControlHost
