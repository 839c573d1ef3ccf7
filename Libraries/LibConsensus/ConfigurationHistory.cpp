#include <LibConsensus/ConfigurationHistory.h>

#include <algorithm>
#include <iterator>

namespace Consensus {

ConfigurationHistory::ConfigurationHistory(LogIndex index, Configuration configuration)
    : records_ { { index, std::move(configuration) } }
{
}

ConfigurationHistory::Record const& ConfigurationHistory::at(LogIndex index) const
{
    auto const after = std::ranges::upper_bound(records_, index, {}, &Record::index);
    return after == records_.begin() ? records_.front() : *std::prev(after);
}

void ConfigurationHistory::add(LogIndex index, Configuration configuration)
{
    records_.push_back({ index, std::move(configuration) });
}

void ConfigurationHistory::truncateFrom(LogIndex index)
{
    while (records_.size() > 1 && records_.back().index >= index)
        records_.pop_back();
}

void ConfigurationHistory::compactTo(LogIndex index)
{
    auto const after = std::ranges::upper_bound(records_, index, {}, &Record::index);
    if (after != records_.begin())
        records_.erase(records_.begin(), std::prev(after));
}

} // namespace Consensus
