#pragma once

#include <LibFleet/Model.h>

#include <string_view>
#include <unordered_map>

namespace Fleet {

/// Finds the workspace that has an API key.
///
/// The time of a lookup does not reveal how much of a guessed key is right: entries are found by a hash with a seed
/// that callers do not know, and compared in a time that depends on the length of the key only.
class ApiKeyIndex {
public:
    explicit ApiKeyIndex(std::uint64_t seed)
        : seed_(seed)
    {
    }

    /// Replaces all entries. The index refers to the items of the map until the next call.
    void rebuild(std::map<std::string, VersionedItem<WorkspaceItem>> const&);
    /// Returns null if no workspace has the key.
    WorkspaceItem const* find(std::string_view apiKey) const;
    /// Whether there are no workspaces. A workspace without keys counts.
    bool isEmpty() const { return workspaceCount_ == 0; }

private:
    struct Entry {
        std::string_view apiKey;
        WorkspaceItem const* workspace { nullptr };
    };

    std::uint64_t seed_;
    std::size_t workspaceCount_ { 0 };
    std::unordered_multimap<std::uint64_t, Entry> entries_;
};

} // namespace Fleet
