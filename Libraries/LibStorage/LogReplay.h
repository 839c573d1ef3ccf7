#pragma once

#include <LibConsensus/Types.h>
#include <LibStorage/Record.h>
#include <LibStorage/StoreError.h>

namespace Storage {

/// Index and term of an entry as stored in `Reset` and `Continue` records.
struct LogPosition {
    Consensus::LogIndex index;
    Consensus::Term term;
};

std::string encodePosition(LogPosition);

/// Rebuilds hard state and entries from the records of the log, in order.
class LogReplay {
public:
    /// The file is named in errors.
    Core::Result<Core::Void, StoreError> apply(Record const&, std::string const& file);

    /// The position before the first record of a file.
    LogPosition end() const;

    /// Drops what the snapshot contains. True when nothing remains that fits behind the snapshot, so that the log has
    /// to be started anew.
    Core::Result<bool, StoreError> startFrom(LogPosition snapshot, std::string const& firstFile);

    Consensus::HardState hardState;
    std::vector<Consensus::LogEntry> entries;

private:
    Core::Result<Core::Void, StoreError> applyEntry(Consensus::LogEntry, Corruption const&);
    Core::Result<Core::Void, StoreError> applyPosition(RecordType, LogPosition, Corruption const&);

    /// The entry before the first one. Empty before the first record.
    std::optional<LogPosition> base_;
};

} // namespace Storage
