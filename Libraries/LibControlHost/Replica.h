#pragma once

#include <LibConsensus/Node.h>
#include <LibFleet/State.h>
#include <LibNet/EventLoop.h>
#include <LibStorage/StorageThread.h>
#include <LibTelemetry/EventLog.h>

#include <unordered_map>

/// A control host of a fleet: replicates the state, and as leader decides over backend servers and informs entry hosts.
namespace ControlHost {

/// Another host leads, or none that is known.
struct NotLeading { };
/// The command may or may not take effect later.
struct OutcomeUnknown { };
using SubmitError = std::variant<NotLeading, OutcomeUnknown>;
using SubmitResult = Core::Result<Fleet::Applied, SubmitError>;

/// What follows the replicated state.
class ReplicaObserver {
public:
    virtual ~ReplicaObserver() = default;
    virtual void send(Consensus::Message const&) = 0;
    /// A command took effect. Called on every host, in the same order.
    virtual void onApplied(Fleet::Command const&, Fleet::Applied const&) = 0;
    /// The host began to lead, with everything committed so far applied, or ceased to.
    virtual void onLeading(bool isLeading) = 0;
};

/// Drives consensus and storage, and applies what is committed to the fleet's state. Used on the loop's thread.
class Replica {
public:
    Replica(
        Net::EventLoop&, Telemetry::EventLog&, ReplicaObserver&, Consensus::Settings const&, Storage::Store::Opened);
    ~Replica();
    Replica(Replica const&) = delete;
    Replica& operator=(Replica const&) = delete;

    void deliver(Consensus::Message);
    /// Calls back once. Commands of one turn of the loop share a write.
    void submit(Fleet::Command const&, std::function<void(SubmitResult)>);
    /// Calls back with true once a quorum confirmed after this call that the host leads.
    void confirmLeading(std::function<void(bool)>);
    void requestChange(Consensus::ConfigurationChange const&);
    /// Hands the leadership over before a planned stop.
    void transferLeadership();

    bool isLeading() const { return isLeading_; }
    /// No other host can have become leader yet.
    bool hasAuthority();
    Consensus::Status status() const { return node_.status(); }
    Fleet::State const& state() const { return state_; }

private:
    void step(Consensus::Event);
    void perform(Consensus::Actions);
    void restore(Consensus::Snapshot const&);
    void apply(std::vector<Consensus::LogEntry> const&);
    void answerProposals(std::vector<Consensus::ProposalAnswer> const&);
    void answerReads(std::vector<Consensus::ReadAnswer> const&);
    void noteRoleChange(Consensus::RoleChange const&);
    void followLeadership();
    void takeSnapshot();
    void flush();
    void scheduleFlush();
    void scheduleTick();
    /// Runs the function on the loop's thread unless this object is gone by then.
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
    std::unordered_map<std::uint64_t, std::function<void(SubmitResult)>> proposals_;
    std::unordered_map<std::uint64_t, std::function<void(bool)>> reads_;
    /// What applied commands did, by log index, until their proposals are answered.
    std::unordered_map<std::uint64_t, Fleet::Applied> outcomes_;
    Core::TimePoint wakeAt_;
    Net::EventLoop::TimerId timer_;
    /// Last member: its thread posts to the loop on behalf of this object.
    std::unique_ptr<Storage::StorageThread> storage_;
};

} // namespace ControlHost
