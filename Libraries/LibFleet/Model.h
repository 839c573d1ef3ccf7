#pragma once

#include <LibCore/JsonReader.h>
#include <LibFleet/Json.h>

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// The replicated state of a fleet and the decisions of its control leader. Each configuration item has its own
/// version, and backend servers register themselves by heartbeats.
namespace Fleet {

/// Whether a request whose outcome is unknown may be sent again.
enum class RequestKind : std::uint8_t {
    /// An idempotent request, which may be sent again.
    Safe,
    /// A request that must be executed at most once.
    Unsafe,
    /// A request like `Unsafe` with a large body.
    Upload,
};
NLOHMANN_JSON_SERIALIZE_ENUM(RequestKind,
    { { RequestKind::Safe, "safe" }, { RequestKind::Unsafe, "unsafe" }, { RequestKind::Upload, "upload" } })

struct PoolShare {
    Core::PoolName pool;
    double weight { 1 };
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PoolShare, pool, weight)

struct RouteItem {
    Core::RouteName name;
    std::uint64_t version { 0 };
    std::string host;
    /// The path prefix, which begins and ends with a slash.
    std::string prefix;
    RequestKind kind { RequestKind::Unsafe };
    /// The maximum time that a caller waits for an answer.
    std::int64_t timeoutMs { 0 };
    /// The latency objective of the route: an answer has its full value within this time.
    std::int64_t targetLatencyMs { 0 };
    /// The priority class; zero is the most urgent.
    std::int32_t priority { 0 };
    /// The maximum number of backend servers that one request may be sent to.
    std::uint32_t maxAttempts { 1 };
    /// Whether requests need no API key although workspaces are configured.
    bool isPublic { false };
    std::vector<PoolShare> shares;
    /// The item as the operator sent it, returned when it is read back.
    std::string document;
};
void to_json(nlohmann::json&, RouteItem const&);
void from_json(nlohmann::json const&, RouteItem&);

struct PoolItem {
    Core::PoolName name;
    std::uint64_t version { 0 };
    /// The maximum number of connections that one backend server accepts from all callers together.
    std::uint32_t maxConnections { 0 };
    /// How long a backend server stays cold after its start.
    std::int64_t warmupMs { 0 };
    /// The number of requests per second that a cold backend server can handle.
    double warmupPerSecond { 0 };
    /// Whether the pool is key-partitioned: each key is served only by the backend server that owns it.
    bool isKeyDivided { false };
    std::string document;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    PoolItem, name, version, maxConnections, warmupMs, warmupPerSecond, isKeyDivided, document)

/// Limits on requests from callers. The version is zero while none have been configured.
struct LimitsItem {
    std::uint64_t version { 0 };
    std::uint32_t maxHeaderBytes { 16U * 1024 };
    std::uint64_t maxBodyBytes { 64UL * 1024 * 1024 };
    std::int64_t headerTimeoutMs { 3000 };
    std::int64_t idleTimeoutMs { 15000 };
    std::string document;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    LimitsItem, version, maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs, document)

/// A customer of the operator, whose requests carry one of its API keys.
struct WorkspaceItem {
    Core::WorkspaceName name;
    std::uint64_t version { 0 };
    /// The secrets by which requests show that they are the workspace's. No two workspaces have the same.
    std::vector<std::string> apiKeys;
    /// The priority class of its requests, which replaces that of the route if it is set.
    std::optional<std::int32_t> priority;
    /// The requests per second from all entry hosts together that the workspace may run; zero for no limit.
    double ratePerSecond { 0 };
    /// The requests that the workspace may run at once in addition to its rate.
    double burst { 0 };
    std::string document;
};
void to_json(nlohmann::json&, WorkspaceItem const&);
void from_json(nlohmann::json const&, WorkspaceItem&);

/// Removes the item of this name if `version` is higher than the item's version.
struct Removal {
    std::string name;
    std::uint64_t version { 0 };
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Removal, name, version)

struct ItemChange {
    std::vector<RouteItem> routes;
    std::vector<PoolItem> pools;
    std::optional<LimitsItem> limits;
    std::vector<WorkspaceItem> workspaces;
    std::vector<Removal> removedRoutes;
    std::vector<Removal> removedPools;
    std::vector<Removal> removedWorkspaces;
    /// Whether a route to a removed pool makes the change invalid. False for changes in the logs of earlier software
    /// versions, which accepted such routes: what was acknowledged must not be lost when the log is applied again.
    bool rejectsRemovedPools { true };
    /// Whether the removal of a pool that a route refers to makes the change invalid. False for changes in the logs of
    /// earlier software versions, which accepted it.
    bool rejectsUsedPools { true };
};
void to_json(nlohmann::json&, ItemChange const&);
void from_json(nlohmann::json const&, ItemChange&);

/// Takes a failure domain out of service or back in.
struct DomainChange {
    Core::FailureDomain domain;
    bool isEvacuated { false };
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DomainChange, domain, isEvacuated)

/// Identifies one registration of a backend server. Zero means none.
using ServerNumber = std::uint32_t;

/// One incarnation of a backend server: one run of its process.
struct ServerRecord {
    ServerNumber number { 0 };
    Core::ServerName name;
    Core::Endpoint address;
    Core::PoolName pool;
    Core::FailureDomain domain;
    /// The version of the software that the server runs.
    std::string softwareVersion;
    std::uint32_t slots { 1 };
    /// The start of this incarnation as Unix time in milliseconds.
    std::int64_t bornMs { 0 };
    bool isDraining { false };
    /// The number of the first registration of a process that was removed and has returned; zero if it has not.
    ServerNumber firstNumber { 0 };

    /// Identifies the process. Unlike the number, it stays the same when a removed process returns.
    ServerNumber process() const { return firstNumber == 0 ? number : firstNumber; }
};
void to_json(nlohmann::json&, ServerRecord const&);
void from_json(nlohmann::json const&, ServerRecord&);

struct ServerChange {
    /// New servers. Their numbers are assigned when the change is applied.
    std::vector<ServerRecord> joined;
    std::vector<ServerNumber> draining;
    std::vector<ServerNumber> removed;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServerChange, joined, draining, removed)

inline constexpr std::uint32_t keyCount = 65536;

/// Assigns the keys from `first` to `last` to a backend server, with a new fencing token.
struct Assignment {
    Core::PoolName pool;
    std::uint32_t first { 0 };
    std::uint32_t last { 0 };
    ServerNumber owner { 0 };
    /// The handover text of the previous owner. Without it, requests for the keys are slow for a while.
    std::string handover;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Assignment, pool, first, last, owner, handover)

/// Splits a range before a key. Both parts keep the owner and the fencing token.
struct RangeSplit {
    Core::PoolName pool;
    std::uint32_t before { 0 };
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RangeSplit, pool, before)

/// The command in one entry of the replicated log. Any part may be empty.
struct Command {
    std::optional<ItemChange> items;
    std::optional<DomainChange> domain;
    ServerChange servers;
    std::vector<RangeSplit> splits;
    std::vector<Assignment> assignments;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Command, items, domain, servers, splits, assignments)

/// A range of consecutive keys with one owner.
struct KeyRange {
    std::uint32_t first { 0 };
    std::uint32_t last { 0 };
    ServerNumber owner { 0 };
    std::uint64_t fence { 0 };
    std::string handover;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyRange, first, last, owner, fence, handover)

/// The content of an item, which is empty after its removal. The version is kept in both cases.
template <typename Item> struct VersionedItem {
    std::uint64_t version { 0 };
    std::optional<Item> item;
    /// The value of `State::itemRevision` when this version took effect.
    std::uint64_t revision { 0 };
};
template <typename Item> void to_json(nlohmann::json& out, VersionedItem<Item> const& held)
{
    out = nlohmann::json { { "version", held.version }, { "item", held.item }, { "revision", held.revision } };
}
template <typename Item> void from_json(nlohmann::json const& in, VersionedItem<Item>& held)
{
    in.at("version").get_to(held.version);
    // Snapshots of earlier software versions lack the revision; such an item is older than every numbered change.
    held.revision = in.value("revision", std::uint64_t { 0 });
    held.item = in.at("item").get<std::optional<Item>>();
}

/// A removed server incarnation, recorded so that a delayed heartbeat does not register it again.
struct Departed {
    Core::ServerName name;
    std::int64_t bornMs { 0 };
    /// Whether a newer incarnation, or another server at its address, proves that its process has ended.
    bool isSuperseded { false };
    /// `ServerRecord::process`; zero in records of earlier software versions.
    ServerNumber process { 0 };
    bool wasDraining { false };
};
// Snapshots of earlier software versions lack the last three.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Departed, name, bornMs, isSuperseded, process, wasDraining)

/// Encodes a value as CBOR.
template <typename T> std::string encode(T const& value)
{
    std::string bytes;
    nlohmann::json::to_cbor(nlohmann::json(value), bytes);
    // Log entries, snapshots and cached frames live for long.
    bytes.shrink_to_fit();
    return bytes;
}

/// Decodes a value from CBOR. Empty if the bytes do not encode a value of this type.
template <typename T> std::optional<T> decode(std::string_view bytes)
{
    // The number of values is bounded by the length of the bytes, which are a frame, a snapshot or a log entry.
    auto const document
        = Core::readJson(bytes, Core::JsonFormat::Cbor, { .maxValues = std::numeric_limits<std::size_t>::max() });
    if (document.isError())
        return std::nullopt;
    // The JSON library reports a wrong type or a missing field only by an exception.
    try {
        return document.value().template get<T>();
    } catch (nlohmann::json::exception const&) {
        return std::nullopt;
    }
}

} // namespace Fleet
