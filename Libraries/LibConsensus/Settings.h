#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>

namespace Consensus {

/// Settings of a node. The defaults suit hosts with a network latency of a few milliseconds.
struct Settings {
    Core::ClusterId clusterId;
    Core::HostName host;
    /// Range of the randomized election timeout. A follower that does not hear from a leader for this time starts a
    /// pre-vote. A leader steps down if it has no acknowledgment from a quorum for the minimum of this range.
    Core::Duration electionTimeoutMin { std::chrono::milliseconds(400) };
    Core::Duration electionTimeoutMax { std::chrono::milliseconds(800) };
    Core::Duration heartbeatInterval { std::chrono::milliseconds(100) };
    /// Maximum size of the entries in one append message; a single larger entry is sent alone.
    std::size_t maxBytesPerAppend { std::size_t { 1 } << 20 };
    /// Limits per peer on the appends that were sent and not yet acknowledged as durable.
    std::size_t maxAppendsInFlight { 64 };
    std::size_t maxBytesInFlight { std::size_t { 8 } << 20 };
    /// Limit on the uncommitted bytes in the leader's log; proposals that would exceed it are rejected. Must be less
    /// than half of `maxEncodedBytes`, because a single entry may be as large as this limit.
    std::size_t maxUncommittedBytes { std::size_t { 24 } << 20 };
    /// Maximum number of heartbeat rounds that wait for a quorum before new reads are batched into a later round.
    std::uint64_t maxReadRounds { 8 };
    /// Time from a failure of the store until the whole state is written anew.
    Core::Duration storageRetryInterval { std::chrono::milliseconds(500) };
    std::size_t snapshotChunkBytes { std::size_t { 256 } << 10 };
    /// Maximum snapshot size; a receiver rejects larger snapshots.
    std::uint64_t maxSnapshotBytes { std::uint64_t { 1 } << 30 };
    /// Number of committed entries after which a snapshot is due. Each host adds a random amount of up to a quarter, so
    /// that the hosts do not all pause at the same time.
    std::uint64_t snapshotInterval { 50'000 };
    /// Size of the committed entries after which a snapshot is due, whatever their number. Each host adds a random
    /// amount of up to a quarter. If the last snapshot is larger, a snapshot is due after as many bytes as it has.
    std::uint64_t snapshotIntervalBytes { std::uint64_t { 64 } << 20 };
    /// Number of entries before the snapshot index that stay in memory, so that followers that lag slightly do not need
    /// a snapshot, and the limit on their size.
    std::uint64_t retainedEntries { 5'000 };
    std::uint64_t retainedBytes { std::uint64_t { 16 } << 20 };
    /// Limit on the size of the log in memory. A leader rejects proposals that would exceed it, until a snapshot is
    /// durable and the log can be compacted. Must exceed the sum of the other limits on the log.
    std::uint64_t maxLogBytes { std::uint64_t { 256 } << 20 };
    /// Maximum number of entries by which a learner may lag and still be promoted.
    std::uint64_t maxPromotionLag { 64 };
};

} // namespace Consensus
