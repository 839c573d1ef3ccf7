#include <LibConsensus/ReadQueue.h>

#include <utility>

namespace Consensus {

void ReadQueue::add(std::vector<ReadToken> const& tokens)
{
    waiting_.insert(waiting_.end(), tokens.begin(), tokens.end());
}

void ReadQueue::assignToRound(Round round, LogIndex commitIndex)
{
    assigned_.push_back({ round, commitIndex, std::exchange(waiting_, {}) });
}

void ReadQueue::confirm(Round round, std::vector<ReadAnswer>& answers)
{
    while (!assigned_.empty() && assigned_.front().round <= round) {
        for (auto const token : assigned_.front().tokens)
            answers.push_back({ token, ReadReady { assigned_.front().index } });
        assigned_.pop_front();
    }
}

void ReadQueue::refuseAll(NotLeader const& refusal, std::vector<ReadAnswer>& answers)
{
    for (auto const& batch : std::exchange(assigned_, {})) {
        for (auto const token : batch.tokens)
            answers.push_back({ token, refusal });
    }
    for (auto const token : std::exchange(waiting_, {}))
        answers.push_back({ token, refusal });
}

} // namespace Consensus
