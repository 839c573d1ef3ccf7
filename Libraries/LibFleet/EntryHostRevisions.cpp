#include <LibFleet/EntryHostRevisions.h>

#include <algorithm>

namespace Fleet {

void EntryHostRevisions::onChange(std::uint64_t revision, Core::TimePoint now)
{
    changes_.push_back({ revision, now });
    if (changes_.size() > maxChanges)
        changes_.pop_front();
}

void EntryHostRevisions::onJoin(std::string const& entryHost, std::uint64_t revision, Core::TimePoint now)
{
    hosts_[entryHost] = { revision, now };
}

void EntryHostRevisions::onReport(std::string const& entryHost, std::uint64_t revision)
{
    auto const found = hosts_.find(entryHost);
    if (found != hosts_.end() && revision != 0)
        found->second.revision = revision;
}

std::vector<EntryHostRevisions::Behind> EntryHostRevisions::behind(Core::TimePoint now, Core::Duration tolerance) const
{
    std::vector<Behind> result;
    for (auto const& [name, host] : hosts_) {
        auto const missing = std::ranges::upper_bound(changes_, host.revision, {}, &Change::revision);
        if (missing == changes_.end())
            continue;
        auto const time = now - std::max(missing->at, host.joinedAt);
        if (time > tolerance)
            result.push_back({ name, host.revision, time });
    }
    return result;
}

} // namespace Fleet
