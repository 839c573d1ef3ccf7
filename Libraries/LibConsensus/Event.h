#pragma once

#include <LibConsensus/Message.h>

namespace Consensus {

/// Runs the timers. Must be delivered at `Actions::wakeAt` at the latest.
struct Tick { };

struct MessageReceived {
    Message message;
};

struct Proposal {
    ProposalToken token;
    std::string payload;
};
/// Proposes commands for the log. Each proposal gets exactly one outcome, in this step or a later one. An event with
/// many proposals causes a single write.
struct Propose {
    std::vector<Proposal> proposals;
};

/// Requests linearizable reads. They are answered once a quorum has acknowledged a heartbeat round that started after
/// this event.
struct RequestRead {
    std::vector<ReadToken> tokens;
};

/// Requests a configuration change. Its outcome is reported in `Actions::proposals`, like that of a proposal.
struct RequestChange {
    ProposalToken token;
    ConfigurationChange change;
};

/// Transfers leadership to another voter, for example before a planned shutdown. If no target is given, the leader
/// chooses the reachable voter with the most up-to-date log.
struct RequestTransfer {
    std::optional<Core::HostName> target;
};

/// Reports that every `PersistRequest` up to this sequence number is durable.
struct Persisted {
    PersistSequence sequence;
};

/// Reports that the store failed a `PersistRequest` and ignores all that follow, until one with
/// `PersistRequest::replacesAll` is durable. The node sends such a request at intervals. Until then it follows the
/// leader in memory, and neither votes nor leads.
struct StorageFailed { };

/// Reports a snapshot of the application state after the entry at `index`, which must have been passed to the
/// application as committed.
struct SnapshotTaken {
    LogIndex index;
    std::shared_ptr<std::string const> data;
};

using Event = std::variant<Tick, MessageReceived, Propose, RequestRead, RequestChange, RequestTransfer, Persisted,
    StorageFailed, SnapshotTaken>;

} // namespace Consensus
