#pragma once

#include <LibConsensus/Node.h>
#include <LibFleet/State.h>
#include <LibNet/EventLoop.h>
#include <LibStorage/StorageThread.h>
#include <LibTelemetry/EventLog.h>

#include <unordered_map>

/// A control host of a fleet. It replicates the state; as the leader, it decides about backend servers and sends the
/// view to entry hosts.
namespace ControlHost {

/// The error when this host is not the leader.
struct NotLeading { };
/// The error when it is unknown whether the command will be committed.
struct OutcomeUnknown { };
using SubmitError = std::variant<NotLeading, OutcomeUnknown>;
using SubmitResult = Core::Result<Fleet::ApplyResult, SubmitError>;

/// Receives the messages and events of a replica.
class ReplicaObserver {
public:
    virtual ~ReplicaObserver() = default;
    virtual void send(Consensus::Message const&) = 0;
    /// Called after a command was applied, on every host and in the same order.
    virtual void onApplied(Fleet::Command const&, Fleet::ApplyResult const&) = 0;
    /// Called when the host became the leader, after it has applied all committed commands, and when it ceased to be
    /// the leader.
    virtual void onLeading(bool isLeading) = 0;
};

/// Drives consensus and storage, and applies committed commands to the fleet's state. It must be used on the thread of
/// the event loop.
class Replica {
public:
    Replica(
        Net::EventLoop&, Telemetry::EventLog&, ReplicaObserver&, Consensus::Settings const&, Storage::Store::Opened);
    ~Replica();
    Replica(Replica const&) = delete;
    Replica& operator=(Replica const&) = delete;

    void deliver(Consensus::Message);
    /// Proposes a command and calls back exactly once. Commands of one iteration of the event loop share a write.
    void submit(Fleet::Command const&, std::function<void(SubmitResult)>);
    /// Calls back with true after a quorum has confirmed the leadership of this host since this call, or with false.
    void confirmLeadership(std::function<void(bool)>);
    void requestChange(Consensus::ConfigurationChange const&);
    /// Transfers the leadership to another host before a planned stop.
    void transferLeadership();

    bool isLeading() const { return isLeading_; }
    /// Whether this host leads and no other host can have become the leader yet.
    bool hasAuthority();
    Consensus::Status status() const { return node_.status(); }
    bool isStorageSound() const { return node_.isStorageSound(); }
    Fleet::State const& state() const { return state_; }
    /// The size of the commands that were submitted and have no outcome.
    std::size_t bytesInProgress() const { return bytesInProgress_; }

private:
    void step(Consensus::Event);
    void perform(Consensus::Actions);
    void restore(Consensus::Snapshot const&);
    void apply(std::vector<Consensus::LogEntry> const&);
    void answerProposals(std::vector<Consensus::ProposalAnswer> const&);
    void answerReads(std::vector<Consensus::ReadAnswer> const&);
    void logRoleChange(Consensus::RoleChange const&);
    void updateLeadership();
    void takeSnapshot();
    void flush();
    void scheduleFlush();
    void scheduleTick();
    /// Runs the function on the thread of the event loop, unless this object has been destroyed by then.
    void post(std::function<void()>);
    void onPersisted(Core::Result<Consensus::PersistSequence, Storage::StoreError> const&);

    Net::EventLoop& loop_;
    std::shared_ptr<int> const lifetime_ { std::make_shared<int>(0) };
    Telemetry::EventLog& events_;
    ReplicaObserver& observer_;
    Fleet::State state_;
    std::uint64_t appliedIndex_ { 0 };
    Consensus::Node node_;
    bool isLeading_ { false };
    bool isTransferring_ { false };

    std::uint64_t nextToken_ { 1 };
    bool isFlushScheduled_ { false };
    std::vector<Consensus::Proposal> queuedProposals_;
    std::vector<Consensus::ReadToken> queuedReads_;
    struct PendingProposal {
        std::function<void(SubmitResult)> callback;
        std::size_t bytes { 0 };
    };
    std::unordered_map<std::uint64_t, PendingProposal> proposals_;
    std::size_t bytesInProgress_ { 0 };
    std::unordered_map<std::uint64_t, std::function<void(bool)>> reads_;
    /// The results of applied commands by log index, kept until their proposals are answered.
    std::unordered_map<std::uint64_t, Fleet::ApplyResult> outcomes_;
    Core::TimePoint wakeAt_;
    Net::EventLoop::TimerId timer_;
    /// Declared last, so that it is destroyed first: its thread posts to the event loop on behalf of this object.
    std::unique_ptr<Storage::StorageThread> storage_;
};

} // namespace ControlHost
