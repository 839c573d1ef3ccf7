#pragma once

#include <LibConsensus/Message.h>

namespace Consensus {

/// Puts the chunks of one snapshot together.
class SnapshotReceiver {
public:
    explicit SnapshotReceiver(std::uint64_t maxBytes)
        : maxBytes_(maxBytes)
    {
    }

    /// Takes a chunk and returns the number of bytes held. A chunk of another snapshot starts over; one that does not
    /// start where the last one ended is dropped.
    std::uint64_t add(SnapshotChunk const&);
    /// The whole snapshot, once. A wrong checksum drops everything, so that the leader starts over.
    std::optional<Snapshot> takeComplete();
    void clear();

private:
    std::uint64_t maxBytes_;
    std::optional<SnapshotMetadata> metadata_;
    std::string data_;
};

} // namespace Consensus
