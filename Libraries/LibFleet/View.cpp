#include <LibFleet/View.h>

#include <algorithm>
#include <cmath>

namespace Fleet {

namespace {

    /// The number of entry hosts that is assumed until the leader sends their names.
    constexpr std::uint32_t assumedEntryHosts = 16;

    template <typename Item>
    void mergeItems(std::map<std::string, VersionedItem<Item>>& items, std::span<ItemRow<Item> const> rows)
    {
        for (auto const& row : rows) {
            auto& held = items[row.name];
            if (row.held.version > held.version)
                held = row.held;
        }
    }

    template <typename Item>
    void addItem(std::map<std::string, VersionedItem<Item>> const& items, std::string const& name,
        std::vector<ItemRow<Item>>& rows)
    {
        auto const found = items.find(name);
        if (found != items.end())
            rows.push_back({ name, found->second });
    }

    template <typename Item>
    void addItemsAfter(std::map<std::string, VersionedItem<Item>> const& items, std::uint64_t revision,
        std::vector<ItemRow<Item>>& rows)
    {
        for (auto const& [name, held] : items) {
            if (revision == 0 || held.revision > revision)
                rows.push_back({ name, held });
        }
    }

    constexpr double thousand = 1000;
    /// The count of numbers for each row in the encoding of ranges.
    constexpr std::size_t rangeFields = 5;
    /// The length of the encoding of a removed item, which consists of its name and version.
    constexpr std::size_t removedItemFields = 2;
    /// The encoding of an unknown cold time. Entry hosts of earlier versions take it for none.
    constexpr std::int64_t unknownColdMs = -1;
    /// The number of fields of a server that every row has.
    constexpr std::size_t serverFields = 8;
    /// The number of fields of a route before its shares.
    constexpr std::size_t routeFields = 9;
    /// The number of fields of a workspace before its API keys.
    constexpr std::size_t workspaceFields = 5;

} // namespace

void to_json(nlohmann::json& out, ServerRow const& row)
{
    auto const& server = row.server;
    out = nlohmann::json::array({ server.number, server.name, server.address, server.pool, server.domain, server.slots,
        server.isDraining, row.coldMs.value_or(unknownColdMs) });
    // Entry hosts of earlier versions ignore it.
    if (server.firstNumber != 0)
        out.push_back(server.firstNumber);
}

void from_json(nlohmann::json const& in, ServerRow& row)
{
    auto& server = row.server;
    in.at(0).get_to(server.number);
    in.at(1).get_to(server.name);
    in.at(2).get_to(server.address);
    in.at(3).get_to(server.pool);
    in.at(4).get_to(server.domain);
    in.at(5).get_to(server.slots);
    in.at(6).get_to(server.isDraining);
    auto const coldMs = in.at(7).get<std::int64_t>();
    row.coldMs = coldMs == unknownColdMs ? std::nullopt : std::optional(coldMs);
    server.firstNumber = in.size() > serverFields ? in.at(serverFields).get<ServerNumber>() : 0;
}

void to_json(nlohmann::json& out, RouteRow const& row)
{
    out = nlohmann::json::array({ row.name, row.held.version });
    if (!row.held.item)
        return;
    auto const& route = *row.held.item;
    for (nlohmann::json field : { nlohmann::json(route.host), nlohmann::json(route.prefix),
             nlohmann::json(static_cast<int>(route.kind)), nlohmann::json(route.timeoutMs),
             nlohmann::json(route.targetLatencyMs), nlohmann::json(route.priority), nlohmann::json(route.maxAttempts) })
        out.push_back(std::move(field));
    for (auto const& share : route.shares) {
        out.push_back(share.pool);
        out.push_back(share.weight);
    }
    // An odd number of fields after the fixed ones. Entry hosts of earlier versions ignore the last one.
    if (route.isPublic)
        out.push_back(true);
}

void from_json(nlohmann::json const& in, RouteRow& row)
{
    in.at(0).get_to(row.name);
    in.at(1).get_to(row.held.version);
    row.held.item.reset();
    if (in.size() == removedItemFields)
        return;
    auto& route = row.held.item.emplace();
    route.name = { row.name };
    route.version = row.held.version;
    in.at(2).get_to(route.host);
    in.at(3).get_to(route.prefix);
    route.kind = static_cast<RequestKind>(in.at(4).get<int>());
    in.at(5).get_to(route.timeoutMs);
    in.at(6).get_to(route.targetLatencyMs);
    in.at(7).get_to(route.priority);
    in.at(8).get_to(route.maxAttempts);
    route.isPublic = (in.size() - routeFields) % 2 == 1;
    for (std::size_t i = routeFields; i + 1 < in.size(); i += 2)
        route.shares.push_back({ in.at(i).get<Core::PoolName>(), in.at(i + 1).get<double>() });
}

void to_json(nlohmann::json& out, PoolRow const& row)
{
    out = nlohmann::json::array({ row.name, row.held.version });
    if (!row.held.item)
        return;
    auto const& pool = *row.held.item;
    for (nlohmann::json field : { nlohmann::json(pool.maxConnections), nlohmann::json(pool.warmupMs),
             nlohmann::json(pool.warmupPerSecond), nlohmann::json(pool.isKeyDivided) })
        out.push_back(std::move(field));
}

void from_json(nlohmann::json const& in, PoolRow& row)
{
    in.at(0).get_to(row.name);
    in.at(1).get_to(row.held.version);
    row.held.item.reset();
    if (in.size() == removedItemFields)
        return;
    auto& pool = row.held.item.emplace();
    pool.name = { row.name };
    pool.version = row.held.version;
    in.at(2).get_to(pool.maxConnections);
    in.at(3).get_to(pool.warmupMs);
    in.at(4).get_to(pool.warmupPerSecond);
    in.at(5).get_to(pool.isKeyDivided);
}

void to_json(nlohmann::json& out, WorkspaceRow const& row)
{
    out = nlohmann::json::array({ row.name, row.held.version });
    if (!row.held.item)
        return;
    auto const& workspace = *row.held.item;
    for (nlohmann::json field : { nlohmann::json(workspace.priority), nlohmann::json(workspace.ratePerSecond),
             nlohmann::json(workspace.burst) })
        out.push_back(std::move(field));
    std::ranges::copy(workspace.apiKeys, std::back_inserter(out));
}

void from_json(nlohmann::json const& in, WorkspaceRow& row)
{
    in.at(0).get_to(row.name);
    in.at(1).get_to(row.held.version);
    row.held.item.reset();
    if (in.size() == removedItemFields)
        return;
    auto& workspace = row.held.item.emplace();
    workspace.name = { row.name };
    workspace.version = row.held.version;
    workspace.priority = in.at(2).get<std::optional<std::int32_t>>();
    in.at(3).get_to(workspace.ratePerSecond);
    in.at(4).get_to(workspace.burst);
    for (std::size_t i = workspaceFields; i < in.size(); ++i)
        workspace.apiKeys.push_back(in.at(i).get<std::string>());
}

void to_json(nlohmann::json& out, RangeRows const& ranges)
{
    std::map<std::string, std::vector<std::int64_t>> lists;
    std::map<std::string, std::int64_t> next;
    for (auto const& row : ranges.rows) {
        auto& list = lists[row.pool.value];
        auto& expected = next[row.pool.value];
        auto const refused = std::llround((1 - row.admittedFraction) * thousand);
        list.insert(list.end(), { row.first - expected, row.last - row.first + 1, row.owner, row.waitMs, refused });
        expected = row.last + 1;
    }
    out = std::move(lists);
}

void from_json(nlohmann::json const& in, RangeRows& ranges)
{
    ranges.rows.clear();
    for (auto const& [pool, list] : in.items()) {
        std::int64_t next = 0;
        for (std::size_t i = 0; i + rangeFields <= list.size(); i += rangeFields) {
            auto const first = next + list[i].get<std::int64_t>();
            next = first + list[i + 1].get<std::int64_t>();
            ranges.rows.push_back({ { pool }, static_cast<std::uint32_t>(first), static_cast<std::uint32_t>(next - 1),
                list[i + 2].get<ServerNumber>(), list[i + 3].get<std::int64_t>(),
                1 - list[i + 4].get<double>() / thousand });
        }
    }
}

namespace {

    template <typename T> void putUnlessEmpty(nlohmann::json& out, char const* key, std::vector<T> const& values)
    {
        if (!values.empty())
            out[key] = values;
    }

    template <typename T> void putIfSet(nlohmann::json& out, char const* key, std::optional<T> const& value)
    {
        if (value)
            out[key] = *value;
    }

    /// Reads a value if the key is present, and leaves it unchanged otherwise.
    template <typename T> void readIfPresent(nlohmann::json const& in, char const* key, T& value)
    {
        auto const found = in.find(key);
        if (found != in.end())
            found->get_to(value);
    }

    template <typename T> void readOptionalIfPresent(nlohmann::json const& in, char const* key, std::optional<T>& value)
    {
        auto const found = in.find(key);
        if (found != in.end())
            value = found->get<T>();
    }

} // namespace

void to_json(nlohmann::json& out, ViewUpdate const& update)
{
    out = nlohmann::json::object();
    if (update.isWhole)
        out["isWhole"] = true;
    if (update.itemRevision > 0)
        out["itemRevision"] = update.itemRevision;
    putUnlessEmpty(out, "routes", update.routes);
    putUnlessEmpty(out, "pools", update.pools);
    putUnlessEmpty(out, "workspaces", update.workspaces);
    putIfSet(out, "limits", update.limits);
    putIfSet(out, "evacuated", update.evacuated);
    putUnlessEmpty(out, "servers", update.servers);
    putUnlessEmpty(out, "removedServers", update.removedServers);
    if (!update.ranges.rows.empty())
        out["ranges"] = update.ranges;
    if (!update.occupancies.rows.empty())
        out["occupancies"] = update.occupancies;
    putUnlessEmpty(out, "requestLimits", update.requestLimits);
    putIfSet(out, "quarantined", update.quarantined);
    putIfSet(out, "suspects", update.suspects);
    putIfSet(out, "entryHosts", update.entryHosts);
}

void from_json(nlohmann::json const& in, ViewUpdate& update)
{
    if (!in.is_object())
        throw nlohmann::json::type_error::create(302, "a view update is an object", &in);
    readIfPresent(in, "isWhole", update.isWhole);
    readIfPresent(in, "itemRevision", update.itemRevision);
    readIfPresent(in, "routes", update.routes);
    readIfPresent(in, "pools", update.pools);
    readIfPresent(in, "workspaces", update.workspaces);
    readOptionalIfPresent(in, "limits", update.limits);
    readOptionalIfPresent(in, "evacuated", update.evacuated);
    readIfPresent(in, "servers", update.servers);
    readIfPresent(in, "removedServers", update.removedServers);
    readIfPresent(in, "ranges", update.ranges);
    readIfPresent(in, "occupancies", update.occupancies);
    readIfPresent(in, "requestLimits", update.requestLimits);
    readOptionalIfPresent(in, "quarantined", update.quarantined);
    readOptionalIfPresent(in, "suspects", update.suspects);
    readOptionalIfPresent(in, "entryHosts", update.entryHosts);
}

bool ViewUpdate::isEmpty() const
{
    return !isWhole && itemRevision == 0 && routes.empty() && pools.empty() && workspaces.empty() && !limits
        && !evacuated && servers.empty() && removedServers.empty() && ranges.rows.empty() && occupancies.rows.empty()
        && requestLimits.empty() && !quarantined && !suspects && !entryHosts;
}

void addServer(
    ViewUpdate& update, State const& state, Coordinator const& coordinator, ServerNumber number, Core::TimePoint now)
{
    auto const* const server = state.findServer(number);
    if (!server)
        return;
    auto const coldTime = coordinator.remainingColdTime(number, now);
    update.servers.push_back({ *server, coldTime ? std::optional(Core::toMilliseconds(*coldTime)) : std::nullopt });
}

ViewUpdate makeFullUpdate(
    State const& state, Coordinator const& coordinator, std::uint64_t knownRevision, Core::TimePoint now)
{
    ViewUpdate update;
    update.isWhole = true;
    update.itemRevision = state.itemRevision();
    auto const known = knownRevision <= state.itemRevision() ? knownRevision : 0;
    addItemsAfter(state.routes(), known, update.routes);
    addItemsAfter(state.pools(), known, update.pools);
    addItemsAfter(state.workspaces(), known, update.workspaces);
    if (state.limits().version > 0)
        update.limits = state.limits();
    update.evacuated = state.evacuated();
    for (auto const& [number, server] : state.servers())
        addServer(update, state, coordinator, number, now);
    update.ranges.rows = coordinator.allRows();
    update.occupancies.rows = coordinator.allOccupancies();
    update.requestLimits = coordinator.allRequestLimits(now);
    update.quarantined = coordinator.crashSuspects().quarantined();
    update.suspects = coordinator.crashSuspects().suspects();
    return update;
}

void addChanges(ViewUpdate& update, State const& state, Coordinator const& coordinator, Command const& command,
    ApplyResult const& applied, Core::TimePoint now)
{
    for (auto const& name : applied.routes)
        addItem(state.routes(), name.value, update.routes);
    for (auto const& name : applied.pools)
        addItem(state.pools(), name.value, update.pools);
    for (auto const& name : applied.workspaces)
        addItem(state.workspaces(), name.value, update.workspaces);
    if (applied.hasChangedItems)
        update.itemRevision = state.itemRevision();
    if (command.items && command.items->limits)
        update.limits = state.limits();
    if (command.domain)
        update.evacuated = state.evacuated();
    for (auto const number : applied.joined)
        addServer(update, state, coordinator, number, now);
    for (auto const number : applied.changedServers)
        addServer(update, state, coordinator, number, now);
    std::ranges::copy(applied.removedServers, std::back_inserter(update.removedServers));
}

std::vector<ServerNumber> View::apply(ViewUpdate const& update, Core::TimePoint now)
{
    std::vector<ServerNumber> removed = update.removedServers;
    mergeItems<RouteItem>(routes_, update.routes);
    mergeItems<PoolItem>(pools_, update.pools);
    mergeItems<WorkspaceItem>(workspaces_, update.workspaces);
    if (!update.workspaces.empty())
        apiKeys_.rebuild(workspaces_);
    itemRevision_ = update.isWhole ? update.itemRevision : std::max(itemRevision_, update.itemRevision);
    if (update.limits && update.limits->version > limits_.version)
        limits_ = *update.limits;
    if (!update.routes.empty()) {
        isConfigured_ = true;
        indexRoutes();
    }
    if (update.evacuated)
        applyEvacuations(*update.evacuated, now);
    if (update.isWhole) {
        std::set<ServerNumber> present;
        for (auto const& row : update.servers)
            present.insert(row.server.number);
        for (auto const& [number, server] : servers_) {
            if (!present.contains(number))
                removed.push_back(number);
        }
        ranges_.clear();
    }
    applyServers(update, now);
    if (update.isWhole)
        std::erase_if(servers_, [&](auto const& entry) { return std::ranges::count(removed, entry.first) > 0; });
    for (auto const number : update.removedServers)
        servers_.erase(number);
    for (auto const& row : update.ranges.rows)
        ranges_[row.pool][row.first]
            = { row.last, { row.owner, now + std::chrono::milliseconds(row.waitMs), row.admittedFraction } };
    if (update.quarantined)
        quarantined_ = { update.quarantined->begin(), update.quarantined->end() };
    if (update.suspects)
        suspects_ = { update.suspects->begin(), update.suspects->end() };
    if (update.entryHosts)
        entryHosts_ = *update.entryHosts;
    return removed;
}

void View::applyEvacuations(std::set<std::string> const& domains, Core::TimePoint now)
{
    std::erase_if(evacuated_, [&](auto const& entry) { return !domains.contains(entry.first); });
    for (auto const& domain : domains)
        evacuated_.try_emplace(domain, now);
}

void View::applyServers(ViewUpdate const& update, Core::TimePoint now)
{
    for (auto const& row : update.servers) {
        auto const isNew = !servers_.contains(row.server.number);
        auto& server = servers_[row.server.number];
        server.record = row.server;
        // A leader that knows nothing of the server yet does not take back what an earlier one said.
        if (row.coldMs)
            server.coldUntil = now + std::chrono::milliseconds(*row.coldMs);
        else if (isNew)
            server.coldUntil = now + assumedColdTimeOf(row.server.pool);
        if (row.server.isDraining && !server.drainingSince)
            server.drainingSince = isNew || update.isWhole ? now - drainGrace : now;
    }
}

Core::Duration View::assumedColdTimeOf(Core::PoolName const& name) const
{
    auto const* const pool = findPool(name);
    return pool ? std::min(assumedColdTime, Core::Duration(std::chrono::milliseconds(pool->warmupMs)))
                : assumedColdTime;
}

void View::indexRoutes()
{
    routesByHost_.clear();
    for (auto const& [name, held] : routes_) {
        if (held.item)
            routesByHost_[held.item->host].push_back(&*held.item);
    }
    for (auto& [host, routes] : routesByHost_)
        std::ranges::sort(routes, std::greater {}, [](auto const* route) { return route->prefix.size(); });
}

RouteItem const* View::findRoute(std::string_view host, std::string_view path) const
{
    auto const routes = routesByHost_.find(host);
    if (routes == routesByHost_.end())
        return nullptr;
    auto const found
        = std::ranges::find_if(routes->second, [&](auto const* route) { return path.starts_with(route->prefix); });
    return found == routes->second.end() ? nullptr : *found;
}

PoolItem const* View::findPool(Core::PoolName const& name) const
{
    auto const found = pools_.find(name.value);
    return found == pools_.end() || !found->second.item ? nullptr : &*found->second.item;
}

WorkspaceItem const* View::findWorkspace(std::string_view apiKey) const { return apiKeys_.find(apiKey); }

WorkspaceItem const* View::findWorkspace(Core::WorkspaceName const& name) const
{
    auto const found = workspaces_.find(name.value);
    return found == workspaces_.end() || !found->second.item ? nullptr : &*found->second.item;
}

ViewServer const* View::findServer(ServerNumber number) const
{
    auto const found = servers_.find(number);
    return found == servers_.end() ? nullptr : &found->second;
}

bool View::mayServe(ServerRecord const& server) const
{
    return !server.isDraining && !evacuated_.contains(server.domain.value);
}

std::uint32_t View::entryHostCount() const
{
    return entryHosts_.empty() ? assumedEntryHosts : static_cast<std::uint32_t>(entryHosts_.size());
}

std::optional<std::uint32_t> View::rankOf(std::string const& entryHost) const
{
    auto const found = std::ranges::lower_bound(entryHosts_, entryHost);
    if (found == entryHosts_.end() || *found != entryHost)
        return std::nullopt;
    return static_cast<std::uint32_t>(found - entryHosts_.begin());
}

bool View::mayServeKeys(ViewServer const& server, Core::TimePoint now) const
{
    if (server.drainingSince && now - *server.drainingSince >= drainGrace)
        return false;
    auto const evacuated = evacuated_.find(server.record.domain.value);
    return evacuated == evacuated_.end() || now - evacuated->second < evacuationGrace;
}

KeyOwner const* View::findOwner(Core::PoolName const& pool, std::uint32_t key) const
{
    auto const ranges = ranges_.find(pool);
    if (ranges == ranges_.end() || ranges->second.empty())
        return nullptr;
    auto const next = ranges->second.upper_bound(key);
    if (next == ranges->second.begin())
        return nullptr;
    auto const& [last, owner] = std::prev(next)->second;
    return key <= last ? &owner : nullptr;
}

} // namespace Fleet
