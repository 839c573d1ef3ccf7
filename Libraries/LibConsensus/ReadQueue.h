#pragma once

#include <LibConsensus/Actions.h>

#include <deque>

namespace Consensus {

/// Reads of a leader. A read is answered only by a heartbeat round that started after it was requested.
class ReadQueue {
public:
    void add(std::vector<ReadToken> const&);
    bool hasWaiting() const { return !waiting_.empty(); }

    /// Ties the waiting reads to a round that starts now.
    void start(Round, LogIndex commitIndex);
    /// Answers the reads of all rounds up to this one.
    void confirm(Round, std::vector<ReadAnswer>&);
    void refuseAll(NotLeader const&, std::vector<ReadAnswer>&);

private:
    struct Batch {
        Round round;
        LogIndex index;
        std::vector<ReadToken> tokens;
    };

    std::vector<ReadToken> waiting_;
    std::deque<Batch> started_;
};

} // namespace Consensus
