#pragma once

#include <LibConsensus/Node.h>
#include <LibConsensus/Settings.h>

#include <deque>

namespace Consensus {

/// The leader's view of the replication state of one other member.
class Progress {
public:
    Progress(LogIndex lastIndex, Core::TimePoint now)
        : nextIndex_(lastIndex.next())
        , lastContactAt_(now)
    {
    }

    PeerState state() const { return state_; }
    /// The index of the last entry that is durable at the peer and matches the leader's log.
    LogIndex matchIndex() const { return matchIndex_; }
    /// The index of the next entry to send.
    LogIndex nextIndex() const { return nextIndex_; }
    Round ackedRound() const { return ackedRound_; }
    /// The start time of the newest acknowledged round. Before there is one, the time at which this object was created.
    Core::TimePoint lastContactAt() const { return lastContactAt_; }
    bool hasContact() const { return ackedRound_.value > 0; }
    bool hasLostData() const { return hasLostData_; }
    void markDataLost() { hasLostData_ = true; }

    void recordContact(Round, std::optional<Core::TimePoint> startedAt);
    /// Records that the peer has received the leader's entries up to `received`, and that those up to `match` are
    /// durable.
    void recordAccepted(LogIndex match, LogIndex received);
    /// Records that the peer has no entry matching the leader's at `rejected`. `possibleMatch` is the highest index
    /// at which the logs may still match.
    void recordMismatch(LogIndex rejected, LogIndex possibleMatch);
    /// Records the response to the heartbeat of this round. Messages that were sent in earlier rounds and not received
    /// by the peer are considered lost.
    void recordHeartbeat(Round, LogIndex received);

    /// Whether flow control allows another append to be sent now.
    bool canSendAppend(LogIndex lastIndex, Settings const&) const;
    void recordSent(std::vector<LogEntry> const&, Round);

    struct SnapshotTransfer {
        Snapshot snapshot;
        std::uint64_t offset { 0 };
        /// The round in which the chunk at the offset was sent. Empty if that chunk has to be sent.
        std::optional<Round> sentInRound;
    };
    void beginSnapshot(Snapshot);
    SnapshotTransfer& snapshotTransfer() { return *snapshotTransfer_; }

private:
    struct InFlight {
        LogIndex lastIndex;
        std::size_t bytes { 0 };
        Round round;
    };

    void enterProbe(LogIndex next);

    PeerState state_ { PeerState::Probe };
    LogIndex matchIndex_;
    LogIndex nextIndex_;
    Round ackedRound_;
    Core::TimePoint lastContactAt_;
    bool hasLostData_ { false };
    /// In `PeerState::Probe`, the round in which the single outstanding append was sent.
    std::optional<Round> probeSentInRound_;
    /// In `PeerState::Replicate`, the appends that are not yet acknowledged as durable.
    std::deque<InFlight> inFlight_;
    std::size_t bytesInFlight_ { 0 };
    std::optional<SnapshotTransfer> snapshotTransfer_;
};

} // namespace Consensus
