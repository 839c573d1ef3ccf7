#include <LibConsensus/Log.h>

#include <algorithm>
#include <iterator>

namespace Consensus {

Log::Log(LogIndex baseIndex, Term baseTerm, std::vector<LogEntry> entries)
    : baseIndex_(baseIndex)
    , baseTerm_(baseTerm)
    , entries_(std::make_move_iterator(entries.begin()), std::make_move_iterator(entries.end()))
{
}

std::optional<Term> Log::termAt(LogIndex index) const
{
    if (index == baseIndex_)
        return baseTerm_;
    if (index < baseIndex_ || index > lastIndex())
        return std::nullopt;
    return at(index).term;
}

LogEntry const& Log::at(LogIndex index) const { return entries_.at(index.value - baseIndex_.value - 1); }

void Log::append(LogEntry entry) { entries_.push_back(std::move(entry)); }

void Log::truncateFrom(LogIndex index)
{
    while (lastIndex() >= index && !entries_.empty())
        entries_.pop_back();
}

void Log::compactTo(LogIndex index)
{
    while (baseIndex_ < index && !entries_.empty()) {
        baseIndex_ = entries_.front().index;
        baseTerm_ = entries_.front().term;
        entries_.pop_front();
    }
}

void Log::reset(LogIndex baseIndex, Term baseTerm)
{
    entries_.clear();
    baseIndex_ = baseIndex;
    baseTerm_ = baseTerm;
}

std::vector<LogEntry> Log::slice(LogIndex first, std::size_t maxBytes) const
{
    std::vector<LogEntry> entries;
    std::size_t bytes = 0;
    for (auto index = first; index <= lastIndex(); index = index.next()) {
        bytes += flowControlBytes(at(index));
        if (bytes > maxBytes && !entries.empty())
            break;
        entries.push_back(at(index));
    }
    return entries;
}

LogIndex Log::lastIndexWithTermUpTo(LogIndex index, Term term) const
{
    auto const bounded = std::clamp(index, baseIndex_, lastIndex());
    auto const end = entries_.begin() + static_cast<std::ptrdiff_t>(bounded.value - baseIndex_.value);
    // Terms never decrease along a log.
    auto const firstAbove = std::upper_bound(
        entries_.begin(), end, term, [](Term value, LogEntry const& entry) { return value < entry.term; });
    return { baseIndex_.value + static_cast<std::uint64_t>(std::distance(entries_.begin(), firstAbove)) };
}

} // namespace Consensus
