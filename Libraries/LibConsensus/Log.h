#pragma once

#include <LibConsensus/Types.h>

#include <deque>

namespace Consensus {

/// The in-memory part of the log: all entries after the base, which is the last compacted entry.
class Log {
public:
    Log(LogIndex baseIndex, Term baseTerm, std::vector<LogEntry> entries);

    LogIndex baseIndex() const { return baseIndex_; }
    LogIndex lastIndex() const { return { baseIndex_.value + entries_.size() }; }
    Term lastTerm() const { return entries_.empty() ? baseTerm_ : entries_.back().term; }

    /// Returns the term of the entry or of the base, or nothing for an index before the base or after the last entry.
    std::optional<Term> termAt(LogIndex) const;
    /// Returns the entry at an index, which must be after the base and not after the last entry.
    LogEntry const& at(LogIndex) const;

    /// Appends an entry, whose index must directly follow the last one.
    void append(LogEntry);
    void truncateFrom(LogIndex);
    /// Removes all entries up to this index, whose entry must be present and becomes the base.
    void compactTo(LogIndex);
    /// Returns the flow-control size of the entries after `first` up to `last`. Both are limited to what the log holds.
    std::uint64_t bytesBetween(LogIndex first, LogIndex last) const;
    /// Returns the lowest index for which the entries after it up to `last` have at most `maxBytes`.
    LogIndex firstWithin(std::uint64_t maxBytes, LogIndex last) const;

    /// Removes all entries and sets a new base.
    void reset(LogIndex baseIndex, Term baseTerm);

    /// Returns entries from `first` onward with at most `maxBytes` in total, but at least one entry if there is one.
    std::vector<LogEntry> slice(LogIndex first, std::size_t maxBytes) const;

    /// Returns the highest index up to `index` whose entry has a term of at most `term`, or the base index. If another
    /// log has an entry of `term` at `index`, the two logs cannot match at any index after the returned one up to
    /// `index`.
    LogIndex lastIndexWithTermUpTo(LogIndex index, Term term) const;

private:
    /// Returns the number of bytes ever appended up to this entry, relative to an arbitrary start.
    std::uint64_t bytesUpTo(LogIndex) const;

    LogIndex baseIndex_;
    Term baseTerm_;
    std::deque<LogEntry> entries_;
    /// The value of `bytesUpTo` of the base, and of each entry.
    std::uint64_t baseBytes_ { 0 };
    std::deque<std::uint64_t> bytesUpTo_;
};

} // namespace Consensus
