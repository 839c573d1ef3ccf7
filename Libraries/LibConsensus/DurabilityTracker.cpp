#include <LibConsensus/DurabilityTracker.h>

#include <algorithm>

namespace Consensus {

PersistSequence DurabilityTracker::begin()
{
    lastBegunSequence_ = lastBegunSequence_.next();
    return lastBegunSequence_;
}

void DurabilityTracker::recordWrite(PersistSequence sequence, LogIndex lastIndex)
{
    writes_.push_back({ sequence, lastIndex });
}

void DurabilityTracker::truncateFrom(LogIndex index)
{
    LogIndex const last { index.value - 1 };
    durableIndex_ = std::min(durableIndex_, last);
    for (auto& write : writes_)
        write.lastIndex = std::min(write.lastIndex, last);
}

bool DurabilityTracker::confirm(PersistSequence sequence)
{
    if (sequence > lastBegunSequence_)
        return false;
    confirmedSequence_ = std::max(confirmedSequence_, sequence);
    while (!writes_.empty() && writes_.front().sequence <= confirmedSequence_) {
        durableIndex_ = std::max(durableIndex_, writes_.front().lastIndex);
        writes_.pop_front();
    }
    return true;
}

} // namespace Consensus
