#pragma once

#include <LibConsensus/Actions.h>

#include <deque>

namespace Consensus {

/// The pending reads of a leader. A read is answered only after a quorum has acknowledged a heartbeat round that
/// started after the read was requested.
class ReadQueue {
public:
    void add(std::vector<ReadToken> const&);
    bool hasWaiting() const { return !waiting_.empty(); }

    /// Assigns the waiting reads to a round that starts now.
    void assignToRound(Round, LogIndex commitIndex);
    /// Completes the reads of all rounds up to this one.
    void confirm(Round, std::vector<ReadAnswer>&);
    void refuseAll(NotLeader const&, std::vector<ReadAnswer>&);

private:
    struct Batch {
        Round round;
        LogIndex index;
        std::vector<ReadToken> tokens;
    };

    std::vector<ReadToken> waiting_;
    std::deque<Batch> assigned_;
};

} // namespace Consensus
