#pragma once

#include <LibConsensus/Types.h>

namespace Consensus {

/// The configurations in the log, ordered by the index of their entries. The newest one is in effect, whether it is
/// committed or not.
class ConfigurationHistory {
public:
    ConfigurationHistory() = default;
    /// Creates a history that starts with the configuration of a snapshot.
    ConfigurationHistory(LogIndex, Configuration);

    Configuration const& current() const { return records_.back().configuration; }
    LogIndex currentIndex() const { return records_.back().index; }

    struct Record {
        LogIndex index;
        Configuration configuration;
    };
    /// Returns the configuration that was in effect at an index.
    Record const& at(LogIndex) const;

    void add(LogIndex, Configuration);
    /// Removes the configurations from this index onward, whose entries are replaced. The first record always remains.
    void truncateFrom(LogIndex);
    /// Removes the records that are not needed for lookups from this index onward.
    void compactTo(LogIndex);

private:
    /// Records sorted by index; never empty. For a host without data, the only record is an empty configuration at
    /// index 0.
    std::vector<Record> records_ { Record {} };
};

} // namespace Consensus
