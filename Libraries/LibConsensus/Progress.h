#pragma once

#include <LibConsensus/Node.h>
#include <LibConsensus/Settings.h>

#include <deque>

namespace Consensus {

/// What a leader knows of one other member.
class Progress {
public:
    Progress(LogIndex lastIndex, Core::TimePoint now)
        : next_(lastIndex.next())
        , contactAt_(now)
    {
    }

    PeerState state() const { return state_; }
    /// The last entry that is durable at the peer and equal to the leader's.
    LogIndex match() const { return match_; }
    /// The next entry to send.
    LogIndex next() const { return next_; }
    Round ackedRound() const { return ackedRound_; }
    /// The start of the newest acknowledged round; the start of the leadership before there is one.
    Core::TimePoint contactAt() const { return contactAt_; }
    bool hasContact() const { return ackedRound_.value > 0; }
    bool hasLostData() const { return hasLostData_; }
    void markDataLost() { hasLostData_ = true; }

    void recordContact(Round, std::optional<Core::TimePoint> startedAt);
    /// The peer holds the leader's entries up to `received`, up to `match` durably.
    void recordAccepted(LogIndex match, LogIndex received);
    /// The peer has no entry that fits before `rejected`. `candidate` is where to try next.
    void recordMismatch(LogIndex rejected, LogIndex candidate);
    /// A heartbeat that was sent in this round was answered: what was sent before and not received is lost.
    void recordHeartbeat(Round, LogIndex received);

    /// Whether an append may be sent now.
    bool maySend(LogIndex lastIndex, Settings const&) const;
    void recordSent(std::vector<LogEntry> const&, Round);

    struct Transfer {
        Snapshot snapshot;
        std::uint64_t offset { 0 };
        /// The round in which the chunk at the offset was sent.
        std::optional<Round> sentIn;
    };
    void beginSnapshot(Snapshot);
    Transfer& transfer() { return *transfer_; }

private:
    struct InFlight {
        LogIndex lastIndex;
        std::size_t bytes { 0 };
        Round round;
    };

    void enterProbe(LogIndex next);

    PeerState state_ { PeerState::Probe };
    LogIndex match_;
    LogIndex next_;
    Round ackedRound_;
    Core::TimePoint contactAt_;
    bool hasLostData_ { false };
    /// Probe: the round in which the one append was sent.
    std::optional<Round> probeSentIn_;
    /// Replicate: appends that are not acknowledged as durable.
    std::deque<InFlight> inFlight_;
    std::size_t bytesInFlight_ { 0 };
    std::optional<Transfer> transfer_;
};

} // namespace Consensus
