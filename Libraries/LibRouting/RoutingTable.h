#pragma once

#include <LibCore/Result.h>
#include <LibRouting/Pool.h>
#include <LibRouting/Route.h>

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <unordered_map>

namespace Routing {

/// What a route is matched against. `header` returns the value of a header, or nothing; names compare without case.
struct RequestHead {
    std::string_view host;
    std::string_view method;
    /// Path without the query.
    std::string_view path;
    /// Query without the question mark.
    std::string_view query;
    std::function<std::optional<std::string_view>(std::string_view name)> header;
};

struct RouteToMissingPool {
    Core::RouteName route;
    Core::PoolName pool;
};
struct DuplicatePool {
    Core::PoolName pool;
};
struct DuplicateRoute {
    Core::RouteName route;
};
/// Two routes match the same requests with the same precedence.
struct OverlappingRoutes {
    Core::RouteName first;
    Core::RouteName second;
};
/// A key-partitioned pool needs a key source, an any-server pool must have none.
struct KeySourceMismatch {
    Core::RouteName route;
    Core::PoolName pool;
};
struct SlotCountOutOfRange {
    Core::PoolName pool;
    std::uint32_t slotCount { 0 };
};
struct InvalidPathPrefix {
    Core::RouteName route;
    std::string prefix;
};
using TableError = std::variant<RouteToMissingPool, DuplicatePool, DuplicateRoute, OverlappingRoutes, KeySourceMismatch,
    SlotCountOutOfRange, InvalidPathPrefix>;

/// A sentence for people. Programs use the type.
std::string describe(TableError const&);

struct KeyMissing { };
struct KeyTooLong {
    std::size_t bytes { 0 };
};
using KeyError = std::variant<KeyMissing, KeyTooLong>;

/// The key of a request, percent-decoded. Empty for routes without a key source.
Core::Result<std::string, KeyError> extractKey(KeySource const&, RequestHead const&);

/// The checked tables of pools and routes. Immutable.
///
/// Precedence of routes: exact host before any host, longer path prefix before shorter, header condition before none,
/// method list before any method. The cost of a match grows with the depth of the path, not with the number of routes.
class RoutingTable {
public:
    static Core::Result<RoutingTable, std::vector<TableError>> build(
        std::vector<PoolDefinition>, std::vector<RouteDefinition>);

    /// The route with the highest precedence that matches, or null.
    RouteDefinition const* match(RequestHead const&) const;
    PoolDefinition const* findPool(Core::PoolName const&) const;
    RouteDefinition const* findRoute(Core::RouteName const&) const;

    std::span<PoolDefinition const> pools() const { return pools_; }
    std::span<RouteDefinition const> routes() const { return routes_; }

private:
    RouteDefinition const* matchUnderHost(std::string_view host, RequestHead const&) const;
    void indexRoutes();

    std::vector<PoolDefinition> pools_;
    std::vector<RouteDefinition> routes_;
    std::unordered_map<std::string, std::size_t> poolIndex_;
    std::unordered_map<std::string, std::size_t> routeIndex_;
    /// Host and normalized path prefix, separated by a space, to the routes in order of precedence.
    std::unordered_map<std::string, std::vector<std::size_t>> routesByPrefix_;
};

} // namespace Routing
