#pragma once

#include <LibConsensus/Types.h>

namespace Consensus {

/// The configurations in the log, by the index of their entries. The newest one is in effect, committed or not.
class ConfigurationHistory {
public:
    ConfigurationHistory() = default;
    /// Starts from the configuration of a snapshot.
    ConfigurationHistory(LogIndex, Configuration);

    Configuration const& current() const { return records_.back().configuration; }
    LogIndex currentIndex() const { return records_.back().index; }

    struct Record {
        LogIndex index;
        Configuration configuration;
    };
    /// The configuration that was in effect at an index.
    Record const& at(LogIndex) const;

    void add(LogIndex, Configuration);
    /// Returns to an earlier configuration when entries are replaced.
    void truncateFrom(LogIndex);
    /// Forgets what is not needed for indexes from this one on.
    void compactTo(LogIndex);

private:
    /// Never empty. The first record of a host without data is an empty configuration at index 0.
    std::vector<Record> records_ { Record {} };
};

} // namespace Consensus
