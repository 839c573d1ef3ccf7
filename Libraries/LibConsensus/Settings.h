#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>

namespace Consensus {

/// The defaults fit hosts that are a few milliseconds apart.
struct Settings {
    Core::ClusterId clusterId;
    Core::HostName host;
    /// A follower that hears nothing for a random time in this range asks for an election. A leader whose quorum has
    /// not answered for the minimum steps down.
    Core::Duration electionTimeoutMin { std::chrono::milliseconds(400) };
    Core::Duration electionTimeoutMax { std::chrono::milliseconds(800) };
    Core::Duration heartbeatInterval { std::chrono::milliseconds(100) };
    /// Bounds one append message; a single larger entry is sent alone.
    std::size_t maxBytesPerAppend { std::size_t { 1 } << 20 };
    /// Bounds for each peer on what was sent and is not yet acknowledged as durable.
    std::size_t maxAppendsInFlight { 64 };
    std::size_t maxBytesInFlight { std::size_t { 8 } << 20 };
    /// New proposals are refused beyond this. Must be below half of `maxEncodedBytes`, since one entry may be as large.
    std::size_t maxUncommittedBytes { std::size_t { 24 } << 20 };
    /// Reads share a heartbeat round when this many rounds wait for their quorum.
    std::uint64_t maxReadRounds { 8 };
    std::size_t snapshotChunkBytes { std::size_t { 256 } << 10 };
    /// A larger snapshot is refused by its receiver.
    std::uint64_t maxSnapshotBytes { std::uint64_t { 1 } << 30 };
    /// A snapshot is due after this many entries, plus up to a quarter so that hosts do not all pause at once.
    std::uint64_t snapshotInterval { 50'000 };
    /// Entries kept in memory below a snapshot for followers that lag a little.
    std::uint64_t retainedEntries { 5'000 };
    /// A learner that lags by more entries is not promoted.
    std::uint64_t maxPromotionLag { 64 };
};

} // namespace Consensus
