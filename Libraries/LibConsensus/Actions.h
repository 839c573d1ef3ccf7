#pragma once

#include <LibConsensus/Message.h>
#include <LibCore/Time.h>

namespace Consensus {

/// One write to stable storage. Requests must be written in the order of their sequence numbers; several may share one
/// fsync. Within a request the snapshot is written first, then the hard state, then the entries.
struct PersistRequest {
    PersistSequence sequence;
    std::optional<Snapshot> snapshot;
    /// Whether the snapshot, received from the leader, replaces the whole log.
    bool discardsLog { false };
    /// Whether the request holds the whole state, as in `RecoveredState`, and replaces everything in the store. Sent
    /// after a failure of the store, so that nothing depends on what was written before.
    bool replacesAll { false };
    std::optional<HardState> hardState;
    /// Log entries with contiguous indexes. They replace all stored entries from the index of the first one onward.
    std::vector<LogEntry> entries;
};

/// The proposed entry is committed, and is part of `Actions::committed` of this step or an earlier one.
struct Committed {
    LogIndex index;
    Term term;
};
/// This host is not the leader. Nothing was appended, so the proposal is guaranteed to have no effect.
struct NotLeader {
    /// The host to send the request to instead. May be out of date; empty when unknown.
    Core::HostName leader;
};
/// Another entry was committed at the index of the proposal, so the proposal is guaranteed to have no effect.
struct Superseded { };
/// The outcome is unknown, because a snapshot from the leader replaced the log or the store failed. The proposal may or
/// may not take effect.
struct Unresolved { };
/// The proposal was rejected without being appended, because it would exceed `Settings::maxUncommittedBytes`.
struct Overloaded { };
/// The configuration change was rejected without being appended, because it is not allowed in the current state.
struct ChangeRefused {
    ChangeRefusal reason { ChangeRefusal::ChangeInProgress };
};
using ProposalOutcome = std::variant<Committed, NotLeader, Superseded, Unresolved, Overloaded, ChangeRefused>;

struct ProposalAnswer {
    ProposalToken token;
    ProposalOutcome outcome;
};

/// The host was confirmed as leader after the read was requested. All entries up to `index` are part of
/// `Actions::committed` of this step or an earlier one.
struct ReadReady {
    LogIndex index;
};
using ReadOutcome = std::variant<ReadReady, NotLeader>;

struct ReadAnswer {
    ReadToken token;
    ReadOutcome outcome;
};

enum class TransferOutcome : std::uint8_t {
    /// The transfer has ended and this host is no longer the leader.
    Completed,
    /// The target did not catch up within `Settings::electionTimeoutMax`. This host is still the leader.
    TimedOut,
    NotLeader,
    /// The requested target is not another voter, or no other voter is reachable.
    NoTarget,
};

enum class Role : std::uint8_t {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    /// The leader sent an entry that conflicts with a committed one. The node ignores all messages until the process
    /// ends.
    Halted,
};

std::string_view toString(Role);

struct RoleChange {
    Role role { Role::Follower };
    Term term;
    std::optional<Core::HostName> leader;
};

enum class MessageRefusal : std::uint8_t {
    WrongCluster,
    /// The message is addressed to another host.
    WrongReceiver,
    /// The fields of the message are inconsistent with each other or with the state of this host.
    Malformed,
    /// A voter reports that it has no data. An operator must remove it and add it again as a learner.
    VoterLostData,
};

std::string_view toString(MessageRefusal);

struct RefusedMessage {
    Core::HostName from;
    MessageRefusal reason { MessageRefusal::Malformed };
};

/// The actions that the caller must perform after a step, in the order of the fields. The writes need not have
/// completed before the other actions are performed: the node itself defers whatever depends on a write.
struct Actions {
    std::vector<PersistRequest> persist;
    std::vector<Message> messages;
    /// Snapshot that must replace the application state before `committed` is applied. Set when a snapshot from the
    /// leader was installed, and in the first step if the recovered state contains a snapshot.
    std::optional<Snapshot> restore;
    /// Newly committed entries, to be applied in this order. Their indexes are contiguous across steps and start after
    /// the snapshot.
    std::vector<LogEntry> committed;
    std::vector<ProposalAnswer> proposals;
    std::vector<ReadAnswer> reads;
    std::optional<TransferOutcome> transfer;
    /// Set when the role, the term or the known leader has changed.
    std::optional<RoleChange> roleChange;
    /// Set when the configuration in effect has changed. The caller must update its connections to match.
    std::optional<Configuration> configuration;
    std::vector<RefusedMessage> refused;
    /// Whether enough entries were committed since the last snapshot to take a new one. Set in every step until a
    /// `SnapshotTaken` event arrives, but not in the step that handles that event.
    bool isSnapshotDue { false };
    /// The time at which the next `Tick` must be delivered, unless another event is handled first.
    Core::TimePoint wakeAt;
};

} // namespace Consensus
