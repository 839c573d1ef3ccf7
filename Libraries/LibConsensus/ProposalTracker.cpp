#include <LibConsensus/ProposalTracker.h>

namespace Consensus {

void ProposalTracker::add(LogIndex index, Term term, ProposalToken token)
{
    pending_.emplace(index, Pending { term, token });
}

void ProposalTracker::resolve(LogEntry const& entry, std::vector<ProposalAnswer>& answers)
{
    auto const [first, last] = pending_.equal_range(entry.index);
    for (auto it = first; it != last; ++it) {
        auto const& [term, token] = it->second;
        if (term == entry.term)
            answers.push_back({ token, Committed { entry.index, entry.term } });
        else
            answers.push_back({ token, Superseded {} });
    }
    pending_.erase(first, last);
}

void ProposalTracker::markUnresolvedUpTo(LogIndex index, std::vector<ProposalAnswer>& answers)
{
    auto const last = pending_.upper_bound(index);
    for (auto it = pending_.begin(); it != last; ++it)
        answers.push_back({ it->second.token, Unresolved {} });
    pending_.erase(pending_.begin(), last);
}

} // namespace Consensus
