#pragma once

#include <LibConsensus/Types.h>

namespace Consensus {

/// Asks for a vote, or with `isPreVote` whether a vote would be granted. A pre-vote changes nothing at the receiver.
struct VoteRequest {
    /// The term of the election. For a pre-vote one above the term of the message.
    Term electionTerm;
    LogIndex lastIndex;
    Term lastTerm;
    bool isPreVote { false };
    /// The leader asked for this election, so the receiver may vote although it hears from the leader.
    bool isTransfer { false };

    bool operator==(VoteRequest const&) const = default;
};

struct VoteResponse {
    Term electionTerm;
    bool isGranted { false };
    bool isPreVote { false };

    bool operator==(VoteResponse const&) const = default;
};

/// Sent every heartbeat interval and when a read needs a quorum. Never carries entries, so it is not slowed by a disk.
struct Heartbeat {
    Round round;
    /// Never beyond what the receiver has acknowledged.
    LogIndex commitIndex;
    /// The role of the receiver in the leader's configuration. A host without any data refuses to act as a voter, since
    /// it may have voted and acknowledged entries before it lost its disk.
    bool isReceiverVoter { false };

    bool operator==(Heartbeat const&) const = default;
};

struct HeartbeatResponse {
    Round round;
    /// Entries that match the leader's log: durable ones, and those that were received.
    LogIndex matchIndex;
    LogIndex receivedIndex;

    bool operator==(HeartbeatResponse const&) const = default;
};

struct AppendRequest {
    Round round;
    LogIndex previousIndex;
    Term previousTerm;
    LogIndex commitIndex;
    bool isReceiverVoter { false };
    std::vector<LogEntry> entries;

    bool operator==(AppendRequest const&) const = default;
};

enum class AppendOutcome : std::uint8_t {
    Accepted,
    /// The receiver has no entry with the previous index and term.
    Mismatch,
    /// A voter without any data. It must be removed and added again as a learner.
    DataLost,
};

struct AppendResponse {
    Round round;
    AppendOutcome outcome { AppendOutcome::Accepted };
    LogIndex matchIndex;
    LogIndex receivedIndex;
    /// For a mismatch: the previous index of the request, and where the logs may still agree.
    LogIndex rejectedIndex;
    LogIndex hintIndex;
    Term hintTerm;

    bool operator==(AppendResponse const&) const = default;
};

struct SnapshotChunk {
    Round round;
    SnapshotMetadata metadata;
    bool isReceiverVoter { false };
    std::uint64_t offset { 0 };
    std::string data;

    bool operator==(SnapshotChunk const&) const = default;
};

struct SnapshotResponse {
    Round round;
    LogIndex snapshotIndex;
    /// The number of bytes that the receiver holds. The next chunk must start there.
    std::uint64_t nextOffset { 0 };

    bool operator==(SnapshotResponse const&) const = default;
};

/// Asks the receiver to start an election at once.
struct TimeoutNow {
    bool operator==(TimeoutNow const&) const = default;
};

using MessageBody = std::variant<VoteRequest, VoteResponse, Heartbeat, HeartbeatResponse, AppendRequest, AppendResponse,
    SnapshotChunk, SnapshotResponse, TimeoutNow>;

/// May be lost, delayed, duplicated and reordered without harm to safety.
struct Message {
    Core::ClusterId clusterId;
    Core::HostName from;
    Core::HostName to;
    /// The current term of the sender.
    Term term;
    MessageBody body;

    bool operator==(Message const&) const = default;
};

} // namespace Consensus
