#pragma once

#include <LibConsensus/Configuration.h>
#include <LibConsensus/Payload.h>
#include <LibCore/Identifiers.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// A replicated log based on Raft, implemented as a deterministic state machine without threads, clocks, files or
/// sockets.
namespace Consensus {

/// Raft term, incremented by each election. There is at most one leader per term.
using Term = Core::Number<struct TermTag>;
/// Position of an entry in the log, starting at 1. Zero denotes the position before the first entry.
using LogIndex = Core::Number<struct LogIndexTag>;
/// Identifier of a proposal or configuration change, chosen by the caller and returned with the outcome.
using ProposalToken = Core::Number<struct ProposalTokenTag>;
/// Identifier of a read, chosen by the caller and returned with the outcome.
using ReadToken = Core::Number<struct ReadTokenTag>;
/// Sequence number of a `PersistRequest`, incremented by one for each request of a node.
using PersistSequence = Core::Number<struct PersistSequenceTag>;
/// Number of a heartbeat round, counted per leader and term.
using Round = Core::Number<struct RoundTag>;

/// The entry that each new leader appends first. Committing it also commits the entries of earlier terms.
struct Noop {
    bool operator==(Noop const&) const = default;
};

/// An application command. The payload is opaque to this library.
struct Command {
    Payload payload;

    bool operator==(Command const&) const = default;
};

using EntryContent = std::variant<Noop, Command, Configuration>;

struct LogEntry {
    Term term;
    LogIndex index;
    EntryContent content;

    bool operator==(LogEntry const&) const = default;
};

/// Returns the size of an entry in bytes for flow control: its payload and a fixed allowance for its header.
std::size_t flowControlBytes(LogEntry const&);

/// The state besides the log that a node must persist.
struct HardState {
    Term term;
    std::optional<Core::HostName> votedFor;

    bool operator==(HardState const&) const = default;
};

struct SnapshotMetadata {
    /// The index and term of the last entry that the snapshot includes.
    LogIndex index;
    Term term;
    /// The configuration in effect at `index`, and the index of its entry.
    Configuration configuration;
    LogIndex configurationIndex;
    /// The size of the data in bytes, and its XXH64 hash.
    std::uint64_t size { 0 };
    std::uint64_t checksum { 0 };

    bool operator==(SnapshotMetadata const&) const = default;
};

/// The state of the application after the entry `metadata.index`, as opaque bytes.
struct Snapshot {
    SnapshotMetadata metadata;
    std::shared_ptr<std::string const> data;
};

/// The content of a node's store at startup. Default-constructed for a host that joins an existing cluster.
struct RecoveredState {
    HardState hardState;
    std::optional<Snapshot> snapshot;
    /// Entries with contiguous indexes. The first one directly follows the snapshot, or has index 1 without a snapshot.
    std::vector<LogEntry> entries;
    /// Whether the store has proved that this state is durable. Otherwise the node starts as after `StorageFailed`.
    bool isDurable { true };
};

/// Returns the initial state of a voter of a new cluster. All initial voters must be started with the same
/// configuration.
RecoveredState bootstrapState(Configuration const&);

} // namespace Consensus
