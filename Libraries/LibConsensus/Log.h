#pragma once

#include <LibConsensus/Types.h>

#include <deque>

namespace Consensus {

/// The part of the log that is in memory: all entries after the base, which is the last entry that was compacted away.
class Log {
public:
    Log(LogIndex baseIndex, Term baseTerm, std::vector<LogEntry> entries);

    LogIndex baseIndex() const { return baseIndex_; }
    LogIndex lastIndex() const { return { baseIndex_.value + entries_.size() }; }
    Term lastTerm() const { return entries_.empty() ? baseTerm_ : entries_.back().term; }

    /// Empty for an index below the base or beyond the end.
    std::optional<Term> termAt(LogIndex) const;
    /// The index must be after the base and not beyond the end.
    LogEntry const& at(LogIndex) const;

    /// The entry must follow the last one.
    void append(LogEntry);
    void truncateFrom(LogIndex);
    /// Makes an entry that is present the base.
    void compactTo(LogIndex);
    /// Drops all entries.
    void reset(LogIndex baseIndex, Term baseTerm);

    /// Entries from `first` on up to a number of bytes, but at least one if there is one.
    std::vector<LogEntry> slice(LogIndex first, std::size_t maxBytes) const;

    /// The highest index up to `index` whose term is at most `term`, or the base. Two logs cannot agree on an index
    /// between that one and `index` when one of them has `term` there.
    LogIndex lastIndexWithTermUpTo(LogIndex index, Term term) const;

private:
    LogIndex baseIndex_;
    Term baseTerm_;
    std::deque<LogEntry> entries_;
};

} // namespace Consensus
