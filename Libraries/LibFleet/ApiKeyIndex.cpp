#include <LibCore/Hash.h>
#include <LibFleet/ApiKeyIndex.h>

#include <algorithm>

namespace Fleet {

namespace {

    bool equalsInConstantTime(std::string_view a, std::string_view b)
    {
        if (a.size() != b.size())
            return false;
        // Volatile, so that the compiler does not end the loop at the first difference.
        unsigned char volatile difference = 0;
        for (std::size_t i = 0; i < a.size(); ++i)
            difference = static_cast<unsigned char>(difference | static_cast<unsigned char>(a[i] ^ b[i]));
        return difference == 0;
    }

} // namespace

void ApiKeyIndex::rebuild(std::map<std::string, VersionedItem<WorkspaceItem>> const& workspaces)
{
    entries_.clear();
    workspaceCount_ = 0;
    for (auto const& [name, held] : workspaces) {
        if (!held.item)
            continue;
        ++workspaceCount_;
        for (std::string_view const apiKey : held.item->apiKeys)
            entries_.emplace(Core::hash64(apiKey, seed_), Entry { apiKey, &*held.item });
    }
}

WorkspaceItem const* ApiKeyIndex::find(std::string_view apiKey) const
{
    auto const [begin, end] = entries_.equal_range(Core::hash64(apiKey, seed_));
    auto const found = std::find_if(
        begin, end, [&](auto const& entry) { return equalsInConstantTime(entry.second.apiKey, apiKey); });
    return found == end ? nullptr : found->second.workspace;
}

} // namespace Fleet
