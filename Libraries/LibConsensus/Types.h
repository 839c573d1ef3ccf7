#pragma once

#include <LibConsensus/Configuration.h>
#include <LibCore/Identifiers.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The replicated log: Raft as a deterministic state machine without threads, clocks, files or sockets.
namespace Consensus {

/// Counts elections. At most one leader exists in a term.
using Term = Core::Number<struct TermTag>;
/// Position in the log, counted from 1. Zero stands for "before the first entry".
using LogIndex = Core::Number<struct LogIndexTag>;
/// Chosen by the caller of a proposal or a configuration change, returned with its outcome.
using ProposalToken = Core::Number<struct ProposalTokenTag>;
/// Chosen by the caller of a read, returned with its outcome.
using ReadToken = Core::Number<struct ReadTokenTag>;
/// Orders the writes that a node asks for. Rises by one for each `PersistRequest`.
using PersistSequence = Core::Number<struct PersistSequenceTag>;
/// Counts the heartbeat rounds of one leader in one term.
using Round = Core::Number<struct RoundTag>;

/// The first entry of each leader. It commits the entries of earlier terms.
struct Noop {
    bool operator==(Noop const&) const = default;
};

/// An entry of the application. The payload is opaque to this library.
struct Command {
    std::string payload;

    bool operator==(Command const&) const = default;
};

using EntryContent = std::variant<Noop, Command, Configuration>;

struct LogEntry {
    Term term;
    LogIndex index;
    EntryContent content;

    bool operator==(LogEntry const&) const = default;
};

/// Bytes that an entry counts for in flow limits: the payload and a fixed share for its header.
std::size_t flowBytes(LogEntry const&);

/// What a node must never forget apart from the log.
struct HardState {
    Term term;
    std::optional<Core::HostName> votedFor;

    bool operator==(HardState const&) const = default;
};

struct SnapshotMetadata {
    /// The last entry that the snapshot contains.
    LogIndex index;
    Term term;
    /// The configuration at `index` and the index of its entry.
    Configuration configuration;
    LogIndex configurationIndex;
    /// Size in bytes and XXH64 of the data.
    std::uint64_t size { 0 };
    std::uint64_t checksum { 0 };

    bool operator==(SnapshotMetadata const&) const = default;
};

/// The state of the application after the entry `metadata.index`, as opaque bytes.
struct Snapshot {
    SnapshotMetadata metadata;
    std::shared_ptr<std::string const> data;
};

/// What a node starts from: the content of its store. Default-constructed for a host that joins an existing cluster.
struct RecoveredState {
    HardState hardState;
    std::optional<Snapshot> snapshot;
    /// Contiguous. The first one follows the snapshot, or is entry 1.
    std::vector<LogEntry> entries;
};

/// The state of each of the first voters of a new cluster. Every one of them must be given the same voters.
RecoveredState bootstrapState(Configuration const&);

} // namespace Consensus
