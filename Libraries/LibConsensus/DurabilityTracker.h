#pragma once

#include <LibConsensus/Types.h>

#include <deque>

namespace Consensus {

/// Knows which part of the log in memory is durable, given writes that become durable in order and may be replaced by
/// later ones before they do.
class DurabilityTracker {
public:
    explicit DurabilityTracker(LogIndex durableIndex)
        : durableIndex_(durableIndex)
    {
    }

    /// The sequence of a new write.
    PersistSequence begin();
    /// `lastIndex` is the end of the log with this write.
    void recordWrite(PersistSequence, LogIndex lastIndex);
    /// Entries from the index on are no longer part of the log.
    void truncateFrom(LogIndex);

    /// False when no such write was begun.
    bool confirm(PersistSequence);

    bool isDurable(PersistSequence sequence) const { return sequence <= confirmed_; }
    LogIndex durableIndex() const { return durableIndex_; }

private:
    struct Write {
        PersistSequence sequence;
        LogIndex lastIndex;
    };

    PersistSequence begun_;
    PersistSequence confirmed_;
    LogIndex durableIndex_;
    std::deque<Write> writes_;
};

} // namespace Consensus
