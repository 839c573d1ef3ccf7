#include <LibConsensus/Log.h>

#include <algorithm>
#include <iterator>

namespace Consensus {

Log::Log(LogIndex baseIndex, Term baseTerm, std::vector<LogEntry> entries)
    : baseIndex_(baseIndex)
    , baseTerm_(baseTerm)
{
    for (auto& entry : entries)
        append(std::move(entry));
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

void Log::append(LogEntry entry)
{
    bytesUpTo_.push_back(bytesUpTo(lastIndex()) + flowControlBytes(entry));
    entries_.push_back(std::move(entry));
}

void Log::truncateFrom(LogIndex index)
{
    while (lastIndex() >= index && !entries_.empty()) {
        entries_.pop_back();
        bytesUpTo_.pop_back();
    }
}

void Log::compactTo(LogIndex index)
{
    while (baseIndex_ < index && !entries_.empty()) {
        baseIndex_ = entries_.front().index;
        baseTerm_ = entries_.front().term;
        baseBytes_ = bytesUpTo_.front();
        entries_.pop_front();
        bytesUpTo_.pop_front();
    }
}

void Log::reset(LogIndex baseIndex, Term baseTerm)
{
    entries_.clear();
    bytesUpTo_.clear();
    baseIndex_ = baseIndex;
    baseTerm_ = baseTerm;
}

std::uint64_t Log::bytesUpTo(LogIndex index) const
{
    return index <= baseIndex_ ? baseBytes_ : bytesUpTo_.at(index.value - baseIndex_.value - 1);
}

std::uint64_t Log::bytesBetween(LogIndex first, LogIndex last) const
{
    auto const begin = std::clamp(first, baseIndex_, lastIndex());
    auto const end = std::clamp(last, begin, lastIndex());
    return bytesUpTo(end) - bytesUpTo(begin);
}

LogIndex Log::firstWithin(std::uint64_t maxBytes, LogIndex last) const
{
    auto const end = bytesUpTo(std::min(last, lastIndex()));
    if (end - baseBytes_ <= maxBytes)
        return baseIndex_;
    auto const found = std::ranges::lower_bound(bytesUpTo_, end - maxBytes);
    return { baseIndex_.value + static_cast<std::uint64_t>(std::distance(bytesUpTo_.begin(), found)) + 1 };
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
