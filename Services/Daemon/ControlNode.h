#pragma once

#include <LibConfig/DaemonSettings.h>
#include <LibConsensus/Node.h>
#include <LibControl/Leader.h>
#include <LibPolicy/CrashTracker.h>
#include <LibRpc/Connections.h>
#include <LibStorage/StorageThread.h>
#include <LibTelemetry/EventLog.h>
#include <LibTelemetry/Metrics.h>

#include <deque>
#include <functional>
#include <unordered_map>

namespace Daemon {

/// This host is not the leader, or has no quorum.
struct NotLeader {
    std::optional<Core::HostName> leader;
};
/// The command may or may not have been committed.
struct Unresolved { };
using SubmitError = std::variant<NotLeader, Unresolved>;
using SubmitResult = Core::Result<Control::Outcome, SubmitError>;

/// What this control host needs besides its settings.
struct ControlDependencies {
    Rpc::EventLoop& loop;
    Rpc::Connections& connections;
    Telemetry::EventLog& events;
    Telemetry::Metrics& metrics;
};

/// The control role of one process: drives the replicated log, the control state and the leader's leases. Used only on
/// the loop's thread.
class ControlNode {
public:
    ControlNode(Config::DaemonSettings const&, ControlDependencies, Storage::Store::Opened);
    ControlNode(ControlNode const&) = delete;
    ControlNode& operator=(ControlNode const&) = delete;

    /// A message of another control host.
    void deliver(Consensus::Message);

    /// Commits a command. Calls back once, on the loop's thread.
    void submit(Control::Command const&, std::function<void(SubmitResult)>);
    /// Calls back with success once a quorum confirmed, after this call, that this host leads, and all entries up to
    /// the commit index of that moment are applied.
    void confirmLeadership(std::function<void(Core::Result<Core::Void, NotLeader>)>);

    Core::Result<Control::HeartbeatAnswer, NotLeader> heartbeat(Control::Heartbeat);
    Core::Result<Core::Void, NotLeader> reportCrash(
        Core::Digest const&, Core::ServerName const&, Core::RouteName const&, bool cleared);
    /// Hands the leadership over before a planned stop. Calls back when it is done or has failed.
    void transferLeadership(std::function<void()>);

    bool isLeading() const { return leader_.isLeading(); }
    NotLeader notLeader() const;
    Control::State const& state() const { return state_; }
    Control::Leader& leader() { return leader_; }
    Consensus::Status consensusStatus() const { return node_.status(); }
    Core::ViewVersion effectiveVersion() const;

private:
    using SubmitCallback = std::function<void(SubmitResult)>;
    using ReadCallback = std::function<void(Core::Result<Core::Void, NotLeader>)>;

    void step(Consensus::Event);
    void perform(Consensus::Actions);
    void send(std::vector<Consensus::Message> const&);
    void restore(Consensus::Snapshot const&);
    void apply(std::vector<Consensus::LogEntry> const&);
    void answerProposals(std::vector<Consensus::ProposalAnswer> const&);
    void answerReads(std::vector<Consensus::ReadAnswer> const&);
    void onRoleChange(Consensus::RoleChange const&);
    void takeSnapshot();
    void followLeadership();
    void stepLeader(Control::Event const&);
    void flush();
    void scheduleFlush();
    void tick();
    void onPersisted(Core::Result<Consensus::PersistSequence, Storage::StoreError> const&, Core::Duration);

    Config::DaemonSettings const& settings_;
    ControlDependencies dependencies_;
    Control::State state_;
    Control::Leader leader_;
    Policy::CrashTracker crashes_;
    Consensus::Node node_;
    std::map<Core::HostName, Core::Endpoint> peers_;

    std::uint64_t nextToken_ { 1 };
    std::vector<Consensus::Proposal> queuedProposals_;
    std::vector<Consensus::ReadToken> queuedReads_;
    bool isFlushScheduled_ { false };
    std::unordered_map<std::uint64_t, SubmitCallback> proposals_;
    std::unordered_map<std::uint64_t, ReadCallback> reads_;
    /// Outcomes of applied commands by log index, kept until their proposals are answered.
    std::unordered_map<std::uint64_t, Control::Outcome> outcomes_;
    std::function<void()> transferCallback_;
    Core::TimePoint wakeAt_;
    Core::TimePoint lastPublished_;
    bool hadQuorum_ { false };
    std::optional<Core::TimePoint> reportedContact_;
    /// Last member: its thread calls back into this object.
    std::unique_ptr<Storage::StorageThread> storage_;
};

} // namespace Daemon
