#pragma once

#include <LibConsensus/Message.h>

namespace Consensus {

/// Assembles a snapshot from its chunks.
class SnapshotReceiver {
public:
    explicit SnapshotReceiver(std::uint64_t maxBytes)
        : maxBytes_(maxBytes)
    {
    }

    /// Adds a chunk and returns the number of bytes stored. A chunk of a different snapshot discards the stored data; a
    /// chunk that does not start at the end of the stored data is ignored.
    std::uint64_t add(SnapshotChunk const&);
    /// Returns the snapshot once it is complete, and clears the receiver. If the checksum does not match, the data is
    /// discarded and nothing is returned, so that the leader restarts the transfer.
    std::optional<Snapshot> takeComplete();
    void clear();

private:
    std::uint64_t maxBytes_;
    std::optional<SnapshotMetadata> metadata_;
    std::string data_;
};

} // namespace Consensus
