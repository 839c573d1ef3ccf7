#pragma once

#include <LibConsensus/Message.h>

namespace Consensus {

/// Time went by. Due at `Actions::wakeAt` at the latest.
struct Tick { };

struct MessageReceived {
    Message message;
};

struct Proposal {
    ProposalToken token;
    std::string payload;
};
/// Each proposal is answered exactly once, in this step or a later one. One event with many proposals costs one write.
struct Propose {
    std::vector<Proposal> proposals;
};

/// Answered once a heartbeat round that started after this event was acknowledged by a quorum.
struct RequestRead {
    std::vector<ReadToken> tokens;
};

/// Answered like a proposal.
struct RequestChange {
    ProposalToken token;
    ConfigurationChange change;
};

/// Hands the leadership to another voter, for a planned stop. Without a target: to the most advanced voter.
struct RequestTransfer {
    std::optional<Core::HostName> target;
};

/// Every persist request up to this sequence is durable.
struct Persisted {
    PersistSequence sequence;
};

/// The store has failed for good. The node stops acting as a voter until the process ends.
struct StorageFailed { };

/// The application made a snapshot of its state after this entry, which must have been given to it as committed.
struct SnapshotTaken {
    LogIndex index;
    std::shared_ptr<std::string const> data;
};

using Event = std::variant<Tick, MessageReceived, Propose, RequestRead, RequestChange, RequestTransfer, Persisted,
    StorageFailed, SnapshotTaken>;

} // namespace Consensus
