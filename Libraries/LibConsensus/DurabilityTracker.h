#pragma once

#include <LibConsensus/Types.h>

#include <deque>

namespace Consensus {

/// Tracks which part of the in-memory log is durable. Writes become durable in order, and later writes may replace
/// their entries before that.
class DurabilityTracker {
public:
    explicit DurabilityTracker(LogIndex durableIndex)
        : durableIndex_(durableIndex)
    {
    }

    /// Allocates the sequence number of a new write.
    PersistSequence begin();
    /// Records a write after which the log ends at `lastIndex`.
    void recordWrite(PersistSequence, LogIndex lastIndex);
    /// Records that the entries from this index onward are no longer part of the log.
    void truncateFrom(LogIndex);

    /// Records that all writes up to this one are durable. Returns false if no write with this sequence number was
    /// begun.
    bool confirm(PersistSequence);

    bool isDurable(PersistSequence sequence) const { return sequence <= confirmedSequence_; }
    LogIndex durableIndex() const { return durableIndex_; }

private:
    struct Write {
        PersistSequence sequence;
        LogIndex lastIndex;
    };

    PersistSequence lastBegunSequence_;
    PersistSequence confirmedSequence_;
    LogIndex durableIndex_;
    std::deque<Write> writes_;
};

} // namespace Consensus
