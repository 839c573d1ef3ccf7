#pragma once

#include <LibConsensus/Actions.h>

#include <map>

namespace Consensus {

/// The proposals that this host appended as leader and whose outcome is not yet known. A later leader may still commit
/// them, so their outcome is determined only by the entry that is committed at their index.
class ProposalTracker {
public:
    void add(LogIndex, Term, ProposalToken);
    /// Reports the outcome of all proposals at the index of a committed entry.
    void resolve(LogEntry const&, std::vector<ProposalAnswer>&);
    /// Reports all proposals up to this index as `Unresolved`. Called when a snapshot replaces the log up to this index
    /// or when the node halts.
    void markUnresolvedUpTo(LogIndex, std::vector<ProposalAnswer>&);

private:
    struct Pending {
        Term term;
        ProposalToken token;
    };

    /// Pending proposals by index. There can be several at one index if this host appended one as leader, another
    /// leader replaced it, and this host became leader again.
    std::multimap<LogIndex, Pending> pending_;
};

} // namespace Consensus
