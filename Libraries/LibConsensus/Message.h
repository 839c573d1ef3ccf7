#pragma once

#include <LibConsensus/Types.h>

namespace Consensus {

/// Requests a vote or, with `isPreVote`, asks whether a vote would be granted. A pre-vote does not change the state of
/// the receiver.
struct VoteRequest {
    /// The term of the election. For a pre-vote, this is one higher than the term of the message.
    Term electionTerm;
    LogIndex lastIndex;
    Term lastTerm;
    bool isPreVote { false };
    /// Whether the leader requested this election to transfer leadership. If so, the receiver may grant its vote
    /// although it has heard from the leader recently.
    bool isTransfer { false };

    bool operator==(VoteRequest const&) const = default;
};

struct VoteResponse {
    Term electionTerm;
    bool isGranted { false };
    bool isPreVote { false };

    bool operator==(VoteResponse const&) const = default;
};

/// Sent once per heartbeat interval and when a read needs confirmation by a quorum. Never carries entries, so the
/// response does not wait for a disk write.
struct Heartbeat {
    Round round;
    /// The commit index of the leader, limited to the entries that the receiver has acknowledged.
    LogIndex commitIndex;
    /// Whether the receiver is a voter in the leader's configuration. A host without any data refuses to act as a
    /// voter, because it may have voted and acknowledged entries before it lost its disk.
    bool isReceiverVoter { false };

    bool operator==(Heartbeat const&) const = default;
};

struct HeartbeatResponse {
    Round round;
    /// The last entries that match the leader's log: `matchIndex` is durable at the receiver, `receivedIndex` may not
    /// be.
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
    /// The receiver is a voter without any data. It must be removed and added again as a learner.
    DataLost,
};

struct AppendResponse {
    Round round;
    AppendOutcome outcome { AppendOutcome::Accepted };
    LogIndex matchIndex;
    LogIndex receivedIndex;
    /// Set for a mismatch: `rejectedIndex` is the previous index of the request; `hintIndex` and `hintTerm` identify
    /// the highest entry at which the logs may still match.
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
    /// The number of bytes that the receiver has stored so far, which is the offset of the next chunk.
    std::uint64_t nextOffset { 0 };

    bool operator==(SnapshotResponse const&) const = default;
};

/// Asks the receiver to start an election immediately.
struct TimeoutNow {
    bool operator==(TimeoutNow const&) const = default;
};

using MessageBody = std::variant<VoteRequest, VoteResponse, Heartbeat, HeartbeatResponse, AppendRequest, AppendResponse,
    SnapshotChunk, SnapshotResponse, TimeoutNow>;

/// A message between two members. Safety does not depend on delivery: messages may be lost, delayed, duplicated and
/// reordered.
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
