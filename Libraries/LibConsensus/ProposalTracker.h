#pragma once

#include <LibConsensus/Actions.h>

#include <map>

namespace Consensus {

/// Proposals that this host appended as leader and whose fate is open. A later leader may still commit them, so only
/// a committed entry at their index decides.
class ProposalTracker {
public:
    void add(LogIndex, Term, ProposalToken);
    /// An entry was committed: answers the proposal at its index.
    void resolve(LogEntry const&, std::vector<ProposalAnswer>&);
    /// The log up to the index was replaced by a snapshot.
    void giveUpTo(LogIndex, std::vector<ProposalAnswer>&);

private:
    struct Pending {
        Term term;
        ProposalToken token;
    };

    /// Several proposals at one index: appended as leader, replaced by another leader, and appended as leader again.
    std::multimap<LogIndex, Pending> pending_;
};

} // namespace Consensus
