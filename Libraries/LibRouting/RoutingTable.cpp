#include <LibRouting/RoutingTable.h>

#include <algorithm>
#include <charconv>

namespace Routing {

namespace {

    bool equalsIgnoringCase(std::string_view left, std::string_view right)
    {
        auto const toLower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
        return std::ranges::equal(left, right, {}, toLower, toLower);
    }

    std::string toLowerCase(std::string_view text)
    {
        std::string lower(text);
        std::ranges::transform(
            lower, lower.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
        return lower;
    }

    std::string_view withoutPort(std::string_view host)
    {
        auto const bracket = host.rfind(']');
        auto const colon = host.rfind(':');
        auto const hasPort = colon != std::string_view::npos && (bracket == std::string_view::npos || colon > bracket);
        return hasPort ? host.substr(0, colon) : host;
    }

    std::string_view withoutTrailingSlash(std::string_view path)
    {
        while (!path.empty() && path.back() == '/')
            path.remove_suffix(1);
        return path;
    }

    std::string prefixKey(std::string_view host, std::string_view prefix)
    {
        std::string key = toLowerCase(host);
        key += ' ';
        key += prefix;
        return key;
    }

    bool headerMatches(HeaderCondition const& condition, RequestHead const& head)
    {
        auto const value = head.header(condition.name);
        return value && (condition.value.empty() || *value == condition.value);
    }

    bool matchesBesidesPath(RouteDefinition const& route, RequestHead const& head)
    {
        if (!route.methods.empty() && std::ranges::find(route.methods, head.method) == route.methods.end())
            return false;
        return !route.header || headerMatches(*route.header, head);
    }

    bool methodsOverlap(RouteDefinition const& left, RouteDefinition const& right)
    {
        if (left.methods.empty() || right.methods.empty())
            return left.methods.empty() && right.methods.empty();
        return std::ranges::any_of(left.methods,
            [&](auto const& method) { return std::ranges::find(right.methods, method) != right.methods.end(); });
    }

    bool headersOverlap(RouteDefinition const& left, RouteDefinition const& right)
    {
        if (!left.header || !right.header)
            return !left.header && !right.header;
        if (!equalsIgnoringCase(left.header->name, right.header->name))
            return false;
        return left.header->value.empty() == right.header->value.empty() && left.header->value == right.header->value;
    }

    int precedence(RouteDefinition const& route)
    {
        auto const headerRank = !route.header ? 0 : (route.header->value.empty() ? 1 : 2);
        return 2 * headerRank + (route.methods.empty() ? 0 : 1);
    }

    std::optional<char> decodeHexPair(std::string_view pair)
    {
        unsigned value = 0;
        auto const [end, error] = std::from_chars(pair.data(), pair.data() + pair.size(), value, 16);
        if (error != std::errc {} || end != pair.data() + pair.size() || pair.size() != 2)
            return std::nullopt;
        return static_cast<char>(value);
    }

    std::string percentDecode(std::string_view text)
    {
        std::string decoded;
        decoded.reserve(text.size());
        for (std::size_t position = 0; position < text.size(); ++position) {
            auto const pair = text[position] == '%' ? decodeHexPair(text.substr(position + 1, 2)) : std::nullopt;
            decoded += pair.value_or(text[position]);
            position += pair ? 2 : 0;
        }
        return decoded;
    }

    std::optional<std::string_view> pathSegment(std::string_view path, std::uint32_t index)
    {
        if (path.starts_with('/'))
            path.remove_prefix(1);
        for (; index > 0; --index) {
            auto const slash = path.find('/');
            if (slash == std::string_view::npos)
                return std::nullopt;
            path.remove_prefix(slash + 1);
        }
        return path.substr(0, path.find('/'));
    }

    std::optional<std::string_view> queryParameter(std::string_view query, std::string_view name)
    {
        while (!query.empty()) {
            auto const part = query.substr(0, query.find('&'));
            auto const equals = part.find('=');
            if (part.substr(0, equals) == name)
                return equals == std::string_view::npos ? std::string_view {} : part.substr(equals + 1);
            query.remove_prefix(std::min(query.size(), part.size() + 1));
        }
        return std::nullopt;
    }

    std::optional<std::string> rawKey(KeySource const& source, RequestHead const& head)
    {
        auto const decode = [](std::optional<std::string_view> text) {
            return text ? std::optional(percentDecode(*text)) : std::nullopt;
        };
        if (auto const* segment = std::get_if<KeyFromPathSegment>(&source))
            return decode(pathSegment(head.path, segment->index));
        if (auto const* query = std::get_if<KeyFromQuery>(&source))
            return decode(queryParameter(head.query, query->parameter));
        if (auto const* header = std::get_if<KeyFromHeader>(&source)) {
            auto const value = head.header(header->header);
            return value ? std::optional(std::string(*value)) : std::nullopt;
        }
        return std::nullopt;
    }

    void checkPools(std::span<PoolDefinition const> pools, std::vector<TableError>& errors)
    {
        for (auto pool = pools.begin(); pool != pools.end(); ++pool) {
            if (std::ranges::any_of(pools.begin(), pool, [&](auto const& other) { return other.name == pool->name; }))
                errors.emplace_back(DuplicatePool { pool->name });
            if (pool->kind == PoolKind::KeyPartitioned && (pool->slotCount == 0 || pool->slotCount > maxSlotCount))
                errors.emplace_back(SlotCountOutOfRange { pool->name, pool->slotCount });
        }
    }

} // namespace

std::string describe(TableError const& error)
{
    return std::visit(
        Core::Overloaded {
            [](RouteToMissingPool const& e) {
                return "route '" + e.route.value + "' points at pool '" + e.pool.value + "', which does not exist";
            },
            [](DuplicatePool const& e) { return "pool '" + e.pool.value + "' is defined twice"; },
            [](DuplicateRoute const& e) { return "route '" + e.route.value + "' is defined twice"; },
            [](OverlappingRoutes const& e) {
                return "routes '" + e.first.value + "' and '" + e.second.value + "' match the same requests";
            },
            [](KeySourceMismatch const& e) {
                return "route '" + e.route.value + "' must name a key exactly when pool '" + e.pool.value
                    + "' is key-partitioned";
            },
            [](SlotCountOutOfRange const& e) {
                return "pool '" + e.pool.value + "' has " + std::to_string(e.slotCount) + " slots, allowed are 1 to "
                    + std::to_string(maxSlotCount);
            },
            [](InvalidPathPrefix const& e) {
                return "route '" + e.route.value + "' has the path prefix '" + e.prefix
                    + "', which must begin with '/'";
            },
        },
        error);
}

Core::Result<std::string, KeyError> extractKey(KeySource const& source, RequestHead const& head)
{
    if (std::holds_alternative<NoKey>(source))
        return std::string();
    auto key = rawKey(source, head);
    if (!key || key->empty())
        return KeyError(KeyMissing {});
    if (key->size() > maxKeyBytes)
        return KeyError(KeyTooLong { key->size() });
    return std::move(*key);
}

Core::Result<RoutingTable, std::vector<TableError>> RoutingTable::build(
    std::vector<PoolDefinition> pools, std::vector<RouteDefinition> routes)
{
    RoutingTable table;
    std::vector<TableError> errors;
    checkPools(pools, errors);
    table.pools_ = std::move(pools);
    table.routes_ = std::move(routes);
    table.indexRoutes();

    for (auto const& route : table.routes_) {
        if (!route.pathPrefix.starts_with('/'))
            errors.emplace_back(InvalidPathPrefix { route.name, route.pathPrefix });
        auto const* pool = table.findPool(route.pool);
        if (!pool)
            errors.emplace_back(RouteToMissingPool { route.name, route.pool });
        else if ((pool->kind == PoolKind::KeyPartitioned) == std::holds_alternative<NoKey>(route.key))
            errors.emplace_back(KeySourceMismatch { route.name, route.pool });
        if (&route != table.findRoute(route.name))
            errors.emplace_back(DuplicateRoute { route.name });
    }
    for (auto const& [key, indexes] : table.routesByPrefix_) {
        for (auto first = indexes.begin(); first != indexes.end(); ++first) {
            for (auto second = std::next(first); second != indexes.end(); ++second) {
                auto const& left = table.routes_[*first];
                auto const& right = table.routes_[*second];
                if (precedence(left) == precedence(right) && methodsOverlap(left, right) && headersOverlap(left, right))
                    errors.emplace_back(OverlappingRoutes { left.name, right.name });
            }
        }
    }
    if (!errors.empty())
        return errors;
    return table;
}

void RoutingTable::indexRoutes()
{
    for (std::size_t index = 0; index < pools_.size(); ++index)
        poolIndex_.emplace(pools_[index].name.value, index);
    for (std::size_t index = 0; index < routes_.size(); ++index) {
        auto const& route = routes_[index];
        routeIndex_.emplace(route.name.value, index);
        routesByPrefix_[prefixKey(route.host, withoutTrailingSlash(route.pathPrefix))].push_back(index);
    }
    for (auto& [key, indexes] : routesByPrefix_)
        std::ranges::stable_sort(indexes, std::greater {}, [&](auto index) { return precedence(routes_[index]); });
}

RouteDefinition const* RoutingTable::match(RequestHead const& head) const
{
    auto const host = withoutPort(head.host);
    if (auto const* route = host.empty() ? nullptr : matchUnderHost(host, head))
        return route;
    return matchUnderHost({}, head);
}

RouteDefinition const* RoutingTable::matchUnderHost(std::string_view host, RequestHead const& head) const
{
    auto prefix = withoutTrailingSlash(head.path);
    while (true) {
        auto const found = routesByPrefix_.find(prefixKey(host, prefix));
        if (found != routesByPrefix_.end()) {
            auto const match = std::ranges::find_if(
                found->second, [&](auto index) { return matchesBesidesPath(routes_[index], head); });
            if (match != found->second.end())
                return &routes_[*match];
        }
        if (prefix.empty())
            return nullptr;
        prefix = prefix.substr(0, prefix.rfind('/') == std::string_view::npos ? 0 : prefix.rfind('/'));
    }
}

PoolDefinition const* RoutingTable::findPool(Core::PoolName const& name) const
{
    auto const found = poolIndex_.find(name.value);
    return found == poolIndex_.end() ? nullptr : &pools_[found->second];
}

RouteDefinition const* RoutingTable::findRoute(Core::RouteName const& name) const
{
    auto const found = routeIndex_.find(name.value);
    return found == routeIndex_.end() ? nullptr : &routes_[found->second];
}

} // namespace Routing
