#include <LibFleet/State.h>

#include <algorithm>
#include <iterator>
#include <numeric>

namespace Fleet {

namespace {

    /// The number of removed server incarnations that are recorded. At the design size, 1,200 hosts are replaced a day.
    constexpr std::size_t maxDeparted = 4096;

    template <typename Item>
    bool setItem(std::map<std::string, VersionedItem<Item>>& items, std::string const& name, Item const& item,
        std::uint64_t revision)
    {
        auto& held = items[name];
        if (item.version <= held.version)
            return false;
        held = { item.version, item, revision };
        return true;
    }

    template <typename Item>
    bool removeItem(std::map<std::string, VersionedItem<Item>>& items, Removal const& removal, std::uint64_t revision)
    {
        auto& held = items[removal.name];
        if (removal.version <= held.version)
            return false;
        held = { removal.version, std::nullopt, revision };
        return true;
    }

    /// Splits the range that contains `key` so that a range begins there, and returns the index of that range.
    std::size_t splitAt(std::vector<KeyRange>& ranges, std::uint32_t key)
    {
        auto const found = std::ranges::lower_bound(ranges, key, {}, &KeyRange::last);
        auto const index = static_cast<std::size_t>(std::distance(ranges.begin(), found));
        if (found == ranges.end() || found->first == key)
            return index;
        auto tail = *found;
        found->last = key - 1;
        tail.first = key;
        ranges.insert(ranges.begin() + static_cast<std::ptrdiff_t>(index) + 1, std::move(tail));
        return index + 1;
    }

    using Workspaces = std::map<std::string, VersionedItem<WorkspaceItem>>;

    /// Applies the part of the change that concerns workspaces. Returns whether any workspace was set.
    bool applyTo(Workspaces& workspaces, ItemChange const& change)
    {
        auto isSet = false;
        for (auto const& workspace : change.workspaces)
            isSet = setItem(workspaces, workspace.name.value, workspace, 0) || isSet;
        for (auto const& removal : change.removedWorkspaces)
            removeItem(workspaces, removal, 0);
        return isSet;
    }

    /// Whether each of the items or removals has at most the version that is held under its name.
    template <typename Item, typename Change, typename Name>
    bool areHeld(std::map<std::string, VersionedItem<Item>> const& items, std::vector<Change> const& changes, Name name)
    {
        return std::ranges::all_of(changes, [&](auto const& change) {
            auto const held = items.find(name(change));
            return change.version <= (held == items.end() ? 0 : held->second.version);
        });
    }

    std::string const& nameOf(Removal const& removal) { return removal.name; }
    template <typename Item> std::string const& nameOf(Item const& item) { return item.name.value; }

    /// The memory of an item besides its texts.
    constexpr std::size_t itemOverheadBytes = 256;

    std::size_t bytesOf(RouteItem const& route)
    {
        auto const shares = std::accumulate(route.shares.begin(), route.shares.end(), std::size_t { 0 },
            [](auto sum, auto const& share) { return sum + sizeof(PoolShare) + share.pool.value.size(); });
        return itemOverheadBytes + route.name.value.size() + route.host.size() + route.prefix.size()
            + route.document.size() + shares;
    }

    std::size_t bytesOf(PoolItem const& pool)
    {
        return itemOverheadBytes + pool.name.value.size() + pool.document.size();
    }

    std::size_t bytesOf(WorkspaceItem const& workspace)
    {
        auto const keys = std::accumulate(workspace.apiKeys.begin(), workspace.apiKeys.end(), std::size_t { 0 },
            [](auto sum, auto const& key) { return sum + sizeof(std::string) + key.size(); });
        return itemOverheadBytes + workspace.name.value.size() + workspace.document.size() + keys;
    }

    template <typename Item> std::size_t bytesOf(VersionedItem<Item> const& held)
    {
        return held.item ? bytesOf(*held.item) : itemOverheadBytes;
    }

    template <typename Item> std::size_t sumOf(std::map<std::string, VersionedItem<Item>> const& items)
    {
        return std::accumulate(items.begin(), items.end(), std::size_t { 0 },
            [](auto sum, auto const& entry) { return sum + bytesOf(entry.second); });
    }

    /// How much more memory the items take once those of a change have replaced the held ones of lower versions.
    template <typename Item>
    std::ptrdiff_t growthOf(std::map<std::string, VersionedItem<Item>> const& items, std::vector<Item> const& changes)
    {
        std::ptrdiff_t growth = 0;
        for (auto const& change : changes) {
            auto const held = items.find(change.name.value);
            if (held != items.end() && change.version <= held->second.version)
                continue;
            auto const before = held == items.end() ? 0 : bytesOf(held->second);
            growth += static_cast<std::ptrdiff_t>(bytesOf(change)) - static_cast<std::ptrdiff_t>(before);
        }
        return growth;
    }

    /// Returns two workspaces with the same API key, if there are any.
    std::optional<SharedApiKey> findSharedApiKey(Workspaces const& workspaces)
    {
        std::map<std::string_view, WorkspaceItem const*> holders;
        for (auto const& [name, held] : workspaces) {
            if (!held.item)
                continue;
            for (auto const& key : held.item->apiKeys) {
                auto const [holder, isNew] = holders.try_emplace(key, &*held.item);
                if (!isNew && holder->second->name != held.item->name)
                    return SharedApiKey { holder->second->name, held.item->name };
            }
        }
        return std::nullopt;
    }

} // namespace

std::string describe(ChangeError const& error)
{
    if (auto const* const unknown = std::get_if<UnknownPool>(&error))
        return "route " + unknown->route.value + " names the unknown pool " + unknown->pool.value;
    if (auto const* const used = std::get_if<PoolInUse>(&error))
        return "route " + used->route.value + " still names the pool " + used->pool.value;
    if (auto const* const bytes = std::get_if<TooManyItemBytes>(&error))
        return "the configuration would take " + std::to_string(bytes->bytes) + " bytes of "
            + std::to_string(bytes->limit);
    auto const& shared = std::get<SharedApiKey>(error);
    return "workspaces " + shared.first.value + " and " + shared.second.value + " share an API key";
}

ApplyResult State::apply(Command const& command)
{
    ApplyResult applied;
    if (command.items) {
        applied.error = check(*command.items);
        if (applied.error)
            return applied;
        apply(*command.items, applied);
    }
    if (command.domain) {
        if (command.domain->isEvacuated)
            evacuated_.insert(command.domain->domain.value);
        else
            evacuated_.erase(command.domain->domain.value);
    }
    apply(command.servers, applied);
    for (auto const& split : command.splits) {
        auto const ranges = keys_.find(split.pool.value);
        if (ranges != keys_.end())
            splitAt(ranges->second, split.before);
    }
    for (auto const& assignment : command.assignments) {
        // The owner may have been removed while the command was being committed; the range keeps its previous owner.
        if (assignment.owner != 0 && !servers_.contains(assignment.owner))
            continue;
        apply(assignment);
        applied.assignments.push_back(assignment);
    }
    return applied;
}

std::optional<ChangeError> State::check(ItemChange const& change) const
{
    for (auto const& route : change.routes) {
        auto const held = routes_.find(route.name.value);
        auto const hasEffect = held == routes_.end() || route.version > held->second.version;
        // A change that was accepted before may come again after its pools were removed, and must not be refused then.
        auto const mustExist = hasEffect && change.rejectsRemovedPools;
        for (auto const& share : route.shares) {
            if (mustExist ? !hasPoolAfter(change, share.pool) : !isPoolNamed(change, share.pool))
                return UnknownPool { route.name, share.pool };
        }
    }
    if (auto const used = findRemovedPoolInUse(change); used && change.rejectsUsedPools)
        return *used;
    if (auto const shared = findSharedApiKey(change))
        return *shared;
    return std::nullopt;
}

/// Returns a route that refers, after the change, to a pool that the change removes.
std::optional<PoolInUse> State::findRemovedPoolInUse(ItemChange const& change) const
{
    std::set<Core::PoolName> removed;
    for (auto const& removal : change.removedPools) {
        Core::PoolName const pool { removal.name };
        if (findPool(pool) && !hasPoolAfter(change, pool))
            removed.insert(pool);
    }
    if (removed.empty())
        return std::nullopt;
    auto after = routes_;
    for (auto const& route : change.routes)
        setItem(after, route.name.value, route, 0);
    for (auto const& removal : change.removedRoutes)
        removeItem(after, removal, 0);
    for (auto const& [name, held] : after) {
        if (!held.item)
            continue;
        auto const used
            = std::ranges::find_if(held.item->shares, [&](auto const& share) { return removed.contains(share.pool); });
        if (used != held.item->shares.end())
            return PoolInUse { held.item->name, used->pool };
    }
    return std::nullopt;
}

/// Compares the workspaces of the change with each other and, if any of them takes effect, with all that stand then.
/// What has no effect is not compared with later workspaces: it may have been accepted before, and comes again.
std::optional<SharedApiKey> State::findSharedApiKey(ItemChange const& change) const
{
    if (change.workspaces.empty())
        return std::nullopt;
    Workspaces sent;
    applyTo(sent, change);
    if (auto shared = Fleet::findSharedApiKey(sent))
        return shared;
    auto after = workspaces_;
    return applyTo(after, change) ? Fleet::findSharedApiKey(after) : std::nullopt;
}

/// Whether a pool of this name was ever added or removed, or is added by the change.
bool State::isPoolNamed(ItemChange const& change, Core::PoolName const& name) const
{
    return pools_.contains(name.value)
        || std::ranges::any_of(change.pools, [&](auto const& pool) { return pool.name == name; });
}

/// Whether the pool exists once the change has taken effect. A removed pool leaves a record of its version only.
bool State::hasPoolAfter(ItemChange const& change, Core::PoolName const& name) const
{
    auto const held = pools_.find(name.value);
    auto exists = held != pools_.end() && held->second.item;
    auto version = held == pools_.end() ? 0 : held->second.version;
    for (auto const& pool : change.pools) {
        if (pool.name == name && pool.version > version) {
            exists = true;
            version = pool.version;
        }
    }
    for (auto const& removal : change.removedPools) {
        if (removal.name == name.value && removal.version > version) {
            exists = false;
            version = removal.version;
        }
    }
    return exists;
}

bool State::isInEffect(ItemChange const& change) const
{
    auto const name = [](auto const& item) { return nameOf(item); };
    return areHeld(routes_, change.routes, name) && areHeld(routes_, change.removedRoutes, name)
        && areHeld(pools_, change.pools, name) && areHeld(pools_, change.removedPools, name)
        && areHeld(workspaces_, change.workspaces, name) && areHeld(workspaces_, change.removedWorkspaces, name)
        && (!change.limits || change.limits->version <= limits_.version) && !check(change);
}

std::size_t State::itemBytes() const
{
    return sumOf(routes_) + sumOf(pools_) + sumOf(workspaces_) + limits_.document.size();
}

std::size_t State::itemBytesAfter(ItemChange const& change) const
{
    auto const growth
        = growthOf(routes_, change.routes) + growthOf(pools_, change.pools) + growthOf(workspaces_, change.workspaces);
    auto const limits = change.limits ? change.limits->document.size() : 0;
    return static_cast<std::size_t>(std::max<std::ptrdiff_t>(static_cast<std::ptrdiff_t>(itemBytes()) + growth, 0))
        + limits;
}

void State::apply(ItemChange const& change, ApplyResult& applied)
{
    auto const revision = itemRevision_ + 1;
    for (auto const& pool : change.pools) {
        if (setItem(pools_, pool.name.value, pool, revision))
            applied.pools.push_back(pool.name);
    }
    for (auto const& route : change.routes) {
        if (setItem(routes_, route.name.value, route, revision))
            applied.routes.push_back(route.name);
    }
    for (auto const& workspace : change.workspaces) {
        if (setItem(workspaces_, workspace.name.value, workspace, revision))
            applied.workspaces.push_back(workspace.name);
    }
    for (auto const& removal : change.removedWorkspaces) {
        if (removeItem(workspaces_, removal, revision))
            applied.workspaces.push_back({ removal.name });
    }
    for (auto const& removal : change.removedRoutes) {
        if (removeItem(routes_, removal, revision))
            applied.routes.push_back({ removal.name });
    }
    for (auto const& removal : change.removedPools) {
        if (removeItem(pools_, removal, revision))
            applied.pools.push_back({ removal.name });
    }
    auto const hasNewLimits = change.limits && change.limits->version > limits_.version;
    if (hasNewLimits)
        limits_ = *change.limits;
    applied.hasChangedItems
        = hasNewLimits || !applied.routes.empty() || !applied.pools.empty() || !applied.workspaces.empty();
    if (applied.hasChangedItems)
        itemRevision_ = revision;
}

void State::apply(ServerChange const& change, ApplyResult& applied)
{
    for (auto const& record : change.joined)
        join(record, applied);
    for (auto const number : change.draining) {
        auto const found = servers_.find(number);
        if (found == servers_.end())
            continue;
        found->second.isDraining = true;
        applied.changedServers.push_back(number);
    }
    for (auto const number : change.removed)
        remove(number, false, applied);
}

void State::join(ServerRecord record, ApplyResult& applied)
{
    // A newer incarnation of the server, or another server at its address, proves that the earlier process has ended.
    std::vector<ServerNumber> ended;
    for (auto const& [number, other] : servers_) {
        if (other.name != record.name && other.address != record.address)
            continue;
        if (other.bornMs >= record.bornMs)
            return;
        ended.push_back(number);
    }
    for (auto const number : ended) {
        clearOwner(number);
        remove(number, true, applied);
    }
    record.number = nextServer_++;
    applied.joined.push_back(record.number);
    numbers_[record.name] = record.number;
    servers_.emplace(record.number, std::move(record));
}

void State::remove(ServerNumber number, bool isSuperseded, ApplyResult& applied)
{
    auto const found = servers_.find(number);
    if (found == servers_.end())
        return;
    auto const& server = found->second;
    departed_.push_back({ server.name, server.bornMs, isSuperseded, server.process(), server.isDraining });
    if (departed_.size() > maxDeparted)
        departed_.erase(departed_.begin());
    applied.removedNames.push_back(found->second.name);
    numbers_.erase(found->second.name);
    servers_.erase(found);
    applied.removedServers.push_back(number);
}

void State::clearOwner(ServerNumber number)
{
    for (auto& [pool, ranges] : keys_) {
        for (auto& range : ranges) {
            if (range.owner == number)
                range.owner = 0;
        }
    }
}

void State::apply(Assignment const& assignment)
{
    auto& ranges = keys_[assignment.pool.value];
    if (ranges.empty())
        ranges.push_back({ 0, keyCount - 1, 0, 0, {} });
    auto const begin = splitAt(ranges, assignment.first);
    auto const end = splitAt(ranges, assignment.last + 1);
    if (begin >= end)
        return;
    ranges.erase(
        ranges.begin() + static_cast<std::ptrdiff_t>(begin) + 1, ranges.begin() + static_cast<std::ptrdiff_t>(end));
    ranges[begin] = { assignment.first, assignment.last, assignment.owner, nextFence_++, assignment.handover };
}

ServerRecord const* State::findServer(ServerNumber number) const
{
    auto const found = servers_.find(number);
    return found == servers_.end() ? nullptr : &found->second;
}

ServerRecord const* State::findServer(Core::ServerName const& name) const
{
    auto const found = numbers_.find(name);
    return found == numbers_.end() ? nullptr : findServer(found->second);
}

Departed const* State::findDeparted(Core::ServerName const& name, std::int64_t bornMs) const
{
    auto const found = std::find_if(departed_.rbegin(), departed_.rend(),
        [&](auto const& life) { return life.name == name && life.bornMs == bornMs; });
    return found == departed_.rend() ? nullptr : &*found;
}

bool State::hasDeparted(Core::ServerName const& name, std::int64_t bornMs) const
{
    return std::ranges::any_of(departed_, [&](auto const& life) { return life.name == name && life.bornMs >= bornMs; });
}

bool State::isSuperseded(Core::ServerName const& name, std::int64_t bornMs) const
{
    return std::ranges::any_of(
        departed_, [&](auto const& life) { return life.name == name && life.bornMs >= bornMs && life.isSuperseded; });
}

PoolItem const* State::findPool(Core::PoolName const& name) const
{
    auto const found = pools_.find(name.value);
    return found == pools_.end() || !found->second.item ? nullptr : &*found->second.item;
}

std::span<KeyRange const> State::keyRanges(Core::PoolName const& pool) const
{
    auto const found = keys_.find(pool.value);
    if (found == keys_.end())
        return {};
    return found->second;
}

void to_json(nlohmann::json& out, ServerRecord const& server)
{
    out = nlohmann::json { { "number", server.number }, { "name", server.name }, { "address", server.address },
        { "pool", server.pool }, { "domain", server.domain }, { "softwareVersion", server.softwareVersion },
        { "slots", server.slots }, { "bornMs", server.bornMs }, { "isDraining", server.isDraining },
        { "firstNumber", server.firstNumber } };
}

void from_json(nlohmann::json const& in, ServerRecord& server)
{
    in.at("number").get_to(server.number);
    in.at("name").get_to(server.name);
    in.at("address").get_to(server.address);
    in.at("pool").get_to(server.pool);
    in.at("domain").get_to(server.domain);
    in.at("softwareVersion").get_to(server.softwareVersion);
    in.at("slots").get_to(server.slots);
    in.at("bornMs").get_to(server.bornMs);
    in.at("isDraining").get_to(server.isDraining);
    // Logs and snapshots of earlier software versions lack it.
    server.firstNumber = in.value("firstNumber", ServerNumber { 0 });
}

void to_json(nlohmann::json& out, RouteItem const& route)
{
    out = nlohmann::json { { "name", route.name }, { "version", route.version }, { "host", route.host },
        { "prefix", route.prefix }, { "kind", route.kind }, { "timeoutMs", route.timeoutMs },
        { "targetLatencyMs", route.targetLatencyMs }, { "priority", route.priority },
        { "maxAttempts", route.maxAttempts }, { "isPublic", route.isPublic }, { "shares", route.shares },
        { "document", route.document } };
}

void from_json(nlohmann::json const& in, RouteItem& route)
{
    in.at("name").get_to(route.name);
    in.at("version").get_to(route.version);
    in.at("host").get_to(route.host);
    in.at("prefix").get_to(route.prefix);
    in.at("kind").get_to(route.kind);
    in.at("timeoutMs").get_to(route.timeoutMs);
    in.at("targetLatencyMs").get_to(route.targetLatencyMs);
    in.at("priority").get_to(route.priority);
    in.at("maxAttempts").get_to(route.maxAttempts);
    // Logs and snapshots of earlier software versions have no public routes.
    route.isPublic = in.value("isPublic", false);
    in.at("shares").get_to(route.shares);
    in.at("document").get_to(route.document);
}

void to_json(nlohmann::json& out, WorkspaceItem const& workspace)
{
    out = nlohmann::json { { "name", workspace.name }, { "version", workspace.version },
        { "apiKeys", workspace.apiKeys }, { "priority", workspace.priority },
        { "ratePerSecond", workspace.ratePerSecond }, { "burst", workspace.burst },
        { "document", workspace.document } };
}

void from_json(nlohmann::json const& in, WorkspaceItem& workspace)
{
    in.at("name").get_to(workspace.name);
    in.at("version").get_to(workspace.version);
    in.at("apiKeys").get_to(workspace.apiKeys);
    // Logs and snapshots of earlier software versions lack the priority and the quota.
    workspace.priority = in.value("priority", std::optional<std::int32_t> {});
    workspace.ratePerSecond = in.value("ratePerSecond", 0.0);
    workspace.burst = in.value("burst", 0.0);
    in.at("document").get_to(workspace.document);
}

void to_json(nlohmann::json& out, ItemChange const& change)
{
    out = nlohmann::json { { "routes", change.routes }, { "pools", change.pools }, { "limits", change.limits },
        { "removedRoutes", change.removedRoutes }, { "removedPools", change.removedPools },
        { "workspaces", change.workspaces }, { "removedWorkspaces", change.removedWorkspaces },
        { "rejectsRemovedPools", change.rejectsRemovedPools }, { "rejectsUsedPools", change.rejectsUsedPools } };
}

void from_json(nlohmann::json const& in, ItemChange& change)
{
    in.at("routes").get_to(change.routes);
    in.at("pools").get_to(change.pools);
    in.at("limits").get_to(change.limits);
    in.at("removedRoutes").get_to(change.removedRoutes);
    in.at("removedPools").get_to(change.removedPools);
    // Logs of earlier software versions have no workspaces.
    change.workspaces = in.value("workspaces", std::vector<WorkspaceItem> {});
    change.removedWorkspaces = in.value("removedWorkspaces", std::vector<Removal> {});
    change.rejectsRemovedPools = in.value("rejectsRemovedPools", false);
    change.rejectsUsedPools = in.value("rejectsUsedPools", false);
}

void to_json(nlohmann::json& out, State const& state)
{
    out = nlohmann::json { { "routes", state.routes_ }, { "pools", state.pools_ }, { "workspaces", state.workspaces_ },
        { "limits", state.limits_ }, { "itemRevision", state.itemRevision_ }, { "evacuated", state.evacuated_ },
        { "servers", state.servers_ }, { "nextServer", state.nextServer_ }, { "departed", state.departed_ },
        { "keys", state.keys_ }, { "nextFence", state.nextFence_ } };
}

void from_json(nlohmann::json const& in, State& state)
{
    in.at("routes").get_to(state.routes_);
    in.at("pools").get_to(state.pools_);
    in.at("limits").get_to(state.limits_);
    // Snapshots of earlier software versions lack these fields.
    state.workspaces_ = in.value("workspaces", decltype(state.workspaces_) {});
    state.itemRevision_ = in.value("itemRevision", std::uint64_t { 0 });
    in.at("evacuated").get_to(state.evacuated_);
    in.at("servers").get_to(state.servers_);
    in.at("nextServer").get_to(state.nextServer_);
    in.at("departed").get_to(state.departed_);
    in.at("keys").get_to(state.keys_);
    in.at("nextFence").get_to(state.nextFence_);
    state.numbers_.clear();
    for (auto const& [number, server] : state.servers_)
        state.numbers_[server.name] = number;
}

std::string State::snapshot() const { return encode(*this); }

bool State::restore(std::string_view bytes)
{
    auto decoded = decode<State>(bytes);
    if (!decoded)
        return false;
    *this = std::move(*decoded);
    return true;
}

} // namespace Fleet
