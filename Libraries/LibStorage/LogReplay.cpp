#include <LibConsensus/Codec.h>
#include <LibStorage/LogReplay.h>

#include <algorithm>

namespace Storage {

namespace {

    std::optional<LogPosition> decodePosition(std::string_view bytes)
    {
        ByteReader reader(bytes);
        auto const index = reader.integer<std::uint64_t>();
        auto const term = reader.integer<std::uint64_t>();
        if (!term || !reader.rest().empty())
            return std::nullopt;
        return LogPosition { { *index }, { *term } };
    }

} // namespace

std::string encodePosition(LogPosition position)
{
    std::string bytes;
    putInteger(bytes, position.index.value);
    putInteger(bytes, position.term.value);
    return bytes;
}

LogPosition LogReplay::end() const
{
    if (entries.empty())
        return base_.value_or(LogPosition {});
    return { entries.back().index, entries.back().term };
}

Core::Result<Core::Void, StoreError> LogReplay::apply(Record const& record, std::string const& file)
{
    Corruption const undecodable { CorruptionKind::UndecodableRecord, file, record.offset };
    Corruption const missing { CorruptionKind::MissingEntries, file, record.offset };
    switch (record.type) {
    case RecordType::HardState: {
        auto state = Consensus::decodeHardState(record.payload);
        if (state.isError())
            return StoreError { undecodable };
        hardState = std::move(state).value();
        return Core::Void {};
    }
    case RecordType::Entry: {
        auto entry = Consensus::decodeEntry(record.payload);
        if (entry.isError())
            return StoreError { undecodable };
        return applyEntry(std::move(entry).value(), missing);
    }
    case RecordType::Reset:
    case RecordType::Continue: {
        auto const position = decodePosition(record.payload);
        if (!position)
            return StoreError { undecodable };
        return applyPosition(record.type, *position, missing);
    }
    case RecordType::Durable:
        return Core::Void {};
    }
    return StoreError { undecodable };
}

Core::Result<Core::Void, StoreError> LogReplay::applyEntry(Consensus::LogEntry entry, Corruption const& missing)
{
    if (!base_ || entry.index > end().index.next())
        return StoreError { missing };
    if (entry.index <= base_->index) {
        // Files below were removed after a snapshot that covers this entry; `startFrom` checks that.
        entries.clear();
        base_ = LogPosition { { entry.index.value - 1 }, {} };
    }
    entries.resize(entry.index.value - base_->index.value - 1);
    entries.push_back(std::move(entry));
    return Core::Void {};
}

Core::Result<Core::Void, StoreError> LogReplay::applyPosition(
    RecordType type, LogPosition position, Corruption const& missing)
{
    if (type == RecordType::Reset || !base_) {
        entries.clear();
        base_ = position;
        return Core::Void {};
    }
    if (position.index != end().index || position.term != end().term)
        return StoreError { missing };
    return Core::Void {};
}

Core::Result<bool, StoreError> LogReplay::startFrom(LogPosition snapshot, std::string const& firstFile)
{
    auto const base = base_.value_or(LogPosition {});
    if (base.index > snapshot.index)
        return StoreError { Corruption { CorruptionKind::MissingEntries, firstFile, 0 } };
    auto const covered = snapshot.index.value - base.index.value;
    // A base without a known term was covered by an earlier snapshot.
    auto const term = covered == 0  ? base.term
        : covered <= entries.size() ? entries[covered - 1].term
                                    : Consensus::Term {};
    auto const isPart = covered == 0 || (covered <= entries.size() && term == snapshot.term);
    if (!isPart) {
        entries.clear();
        base_ = snapshot;
        return true;
    }
    entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(covered));
    base_ = snapshot;
    return false;
}

} // namespace Storage
