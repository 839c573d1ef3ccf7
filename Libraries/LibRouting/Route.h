#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Routing {

inline constexpr Core::Duration defaultDeadline = std::chrono::seconds(30);
inline constexpr std::uint64_t defaultMaxBodyBytes = 64ULL * 1024 * 1024;
/// Longer keys are refused: a key is hashed and logged for each request.
inline constexpr std::size_t maxKeyBytes = 1024;

/// Higher priorities are dispatched first.
enum class Priority : std::uint8_t { Bulk, Normal, Interactive };

/// Whether running a request twice is harmless.
enum class RequestClass : std::uint8_t { Idempotent, NonIdempotent };

/// Takes the key from the path segment with this index, counted from 0.
struct KeyFromPathSegment {
    std::uint32_t index { 0 };
    bool operator==(KeyFromPathSegment const&) const = default;
};
/// Takes the key from the query parameter with this name.
struct KeyFromQuery {
    std::string parameter;
    bool operator==(KeyFromQuery const&) const = default;
};
/// Takes the key from the header with this name.
struct KeyFromHeader {
    std::string header;
    bool operator==(KeyFromHeader const&) const = default;
};
/// For any-server pools.
struct NoKey {
    bool operator==(NoKey const&) const = default;
};
using KeySource = std::variant<NoKey, KeyFromPathSegment, KeyFromQuery, KeyFromHeader>;

/// A header that a request must carry to match a route. An empty value matches any value.
struct HeaderCondition {
    std::string name;
    std::string value;
    bool operator==(HeaderCondition const&) const = default;
};

/// Points one kind of request at a pool by its name.
struct RouteDefinition {
    Core::RouteName name;
    Core::PoolName pool;
    /// Empty matches any host.
    std::string host;
    /// Empty matches any method.
    std::vector<std::string> methods;
    /// Matches whole path segments: `/letters` matches `/letters` and `/letters/7`, not `/letters2`.
    std::string pathPrefix { "/" };
    std::optional<HeaderCondition> header;
    KeySource key;
    RequestClass requestClass { RequestClass::NonIdempotent };
    Priority priority { Priority::Normal };
    Core::Duration deadline { defaultDeadline };
    std::uint64_t maxBodyBytes { defaultMaxBodyBytes };

    bool operator==(RouteDefinition const&) const = default;
};

} // namespace Routing
