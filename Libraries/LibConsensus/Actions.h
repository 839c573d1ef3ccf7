#pragma once

#include <LibConsensus/Message.h>
#include <LibCore/Time.h>

namespace Consensus {

/// One write. Must be carried out in the order of the sequences; several may share one fsync. Within a request the
/// snapshot comes first, then the hard state, then the entries.
struct PersistRequest {
    PersistSequence sequence;
    std::optional<Snapshot> snapshot;
    /// The snapshot came from the leader and takes the place of the whole log.
    bool discardsLog { false };
    std::optional<HardState> hardState;
    /// Contiguous. Stored entries from the index of the first one on are replaced.
    std::vector<LogEntry> entries;
};

/// The entry is committed, and is part of `Actions::committed` of this step or an earlier one.
struct Committed {
    LogIndex index;
    Term term;
};
/// Nothing was appended, so the proposal has certainly no effect.
struct NotLeader {
    /// Whom to ask instead. May be out of date; empty when unknown.
    Core::HostName leader;
};
/// Another entry was committed in its place, so the proposal has certainly no effect.
struct Superseded { };
/// A snapshot from the leader took the place of the log, or the store failed: the proposal may or may not have effect.
struct Unresolved { };
/// Nothing was appended: too many bytes are waiting to be committed.
struct Overloaded { };
/// Nothing was appended: the change is not allowed now.
struct ChangeRefused {
    ChangeRefusal reason { ChangeRefusal::ChangeInProgress };
};
using ProposalOutcome = std::variant<Committed, NotLeader, Superseded, Unresolved, Overloaded, ChangeRefused>;

struct ProposalAnswer {
    ProposalToken token;
    ProposalOutcome outcome;
};

/// The host was leader after the read was requested. All entries up to the index are in `committed` of this step or an
/// earlier one.
struct ReadReady {
    LogIndex index;
};
using ReadOutcome = std::variant<ReadReady, NotLeader>;

struct ReadAnswer {
    ReadToken token;
    ReadOutcome outcome;
};

enum class TransferOutcome : std::uint8_t {
    /// This host is no longer the leader.
    Completed,
    /// The target did not catch up within the election timeout. This host is still the leader.
    TimedOut,
    NotLeader,
    /// No such voter, or the only voter.
    NoTarget,
};

enum class Role : std::uint8_t {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    /// The store failed, or a committed entry was contradicted. Takes part in nothing until the process ends.
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
    /// Addressed to another host.
    WrongReceiver,
    /// Fields that contradict each other.
    Malformed,
    /// A voter reports that it has no data. An operator must remove it and add it again as a learner.
    VoterLostData,
};

std::string_view toString(MessageRefusal);

struct RefusedMessage {
    Core::HostName from;
    MessageRefusal reason { MessageRefusal::Malformed };
};

/// What the caller has to do after a step. The order of the fields is the order in which to do it, except that writing
/// need not be finished before the rest: the node holds back by itself what depends on a write.
struct Actions {
    std::vector<PersistRequest> persist;
    std::vector<Message> messages;
    /// The application state is to be replaced by this snapshot before `committed` is applied. Set when the leader sent
    /// a snapshot, and in the first step when the recovered state has one.
    std::optional<Snapshot> restore;
    /// To be applied in this order. Indexes are contiguous over all steps, starting after the snapshot.
    std::vector<LogEntry> committed;
    std::vector<ProposalAnswer> proposals;
    std::vector<ReadAnswer> reads;
    std::optional<TransferOutcome> transfer;
    /// Set when role, term or known leader changed.
    std::optional<RoleChange> roleChange;
    /// Set when the configuration in effect changed. Connections follow it.
    std::optional<Configuration> configuration;
    std::vector<RefusedMessage> refused;
    /// Enough entries were committed since the last snapshot. Repeated until a `SnapshotTaken` arrives, but not set in
    /// the step that handles one.
    bool isSnapshotDue { false };
    /// When the next `Tick` is due, unless another event comes first.
    Core::TimePoint wakeAt;
};

} // namespace Consensus
