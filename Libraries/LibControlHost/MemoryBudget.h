#pragma once

#include <LibConsensus/Settings.h>

namespace ControlHost {

/// How a control host divides its memory among the holders of what operators and servers send, in bytes. The sum leaves
/// room for the copies that exist while one change is decoded, encoded or written; docs/design/control-memory.md lists
/// the holders.
struct MemoryBudget {
    /// The body of one change.
    std::uint64_t change { 0 };
    /// Bodies that are being read, and changes that are not committed.
    std::uint64_t requests { 0 };
    /// Answers that operators have not taken.
    std::uint64_t answers { 0 };
    /// The configuration items of the state. The state exists several times while a snapshot is made and written.
    std::uint64_t items { 0 };
    /// Entries of the log that are not committed.
    std::uint64_t uncommitted { 0 };
    /// Committed entries after which a snapshot is due.
    std::uint64_t snapshotInterval { 0 };
    /// Entries that are kept before a snapshot for hosts that lag.
    std::uint64_t retained { 0 };
    /// The whole log in memory.
    std::uint64_t log { 0 };
    /// Messages that one other control host has not taken.
    std::uint64_t peerMessages { 0 };
    /// Updates of the view that all entry hosts together have not taken.
    std::uint64_t viewUpdates { 0 };
};

/// The memory that is assumed if the settings name none.
inline constexpr std::uint64_t defaultMemoryBytes = std::uint64_t { 256 } << 20;

MemoryBudget divideMemory(std::uint64_t memoryBytes);

/// The settings of consensus for a log within the budget.
Consensus::Settings consensusSettings(Core::HostName const& identity, MemoryBudget const&);

} // namespace ControlHost
