#include <LibConsensus/SnapshotReceiver.h>
#include <LibCore/Hash.h>
#include <LibCore/Memory.h>

#include <utility>

namespace Consensus {

std::uint64_t SnapshotReceiver::add(SnapshotChunk const& chunk)
{
    if (metadata_ != chunk.metadata) {
        clear();
        if (chunk.metadata.size > maxBytes_)
            return 0;
        metadata_ = chunk.metadata;
        data_.reserve(metadata_->size);
    }
    auto const fits = chunk.data.size() <= metadata_->size - data_.size();
    if (chunk.offset == data_.size() && fits)
        data_ += chunk.data;
    return data_.size();
}

std::optional<Snapshot> SnapshotReceiver::takeComplete()
{
    if (!metadata_ || data_.size() != metadata_->size)
        return std::nullopt;
    auto const isChecksumValid = Core::hash64(data_) == metadata_->checksum;
    std::optional<Snapshot> snapshot;
    if (isChecksumValid)
        snapshot = Snapshot { *metadata_, std::make_shared<std::string const>(std::move(data_)) };
    clear();
    return snapshot;
}

void SnapshotReceiver::clear()
{
    metadata_.reset();
    Core::releaseMemory(data_);
}

} // namespace Consensus
