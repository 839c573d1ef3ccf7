#pragma once

#include <LibFleet/Model.h>

#include <span>
#include <variant>

namespace Fleet {

/// The error for a route that refers to a pool that was never configured, or was removed.
struct UnknownPool {
    Core::RouteName route;
    Core::PoolName pool;
};
/// The error for two workspaces with the same API key.
struct SharedApiKey {
    Core::WorkspaceName first;
    Core::WorkspaceName second;
};
/// The error for the removal of a pool that a route still refers to.
struct PoolInUse {
    Core::RouteName route;
    Core::PoolName pool;
};
/// The error for a change after which the configuration items would take more memory than they may, in bytes.
struct TooManyItemBytes {
    std::size_t bytes { 0 };
    std::size_t limit { 0 };
};
using ChangeError = std::variant<UnknownPool, PoolInUse, SharedApiKey, TooManyItemBytes>;
/// A text for the log and the operator, without secrets.
std::string describe(ChangeError const&);

/// The changes that a command made to the state.
struct ApplyResult {
    bool hasChangedItems { false };
    std::vector<Core::RouteName> routes;
    std::vector<Core::PoolName> pools;
    std::vector<Core::WorkspaceName> workspaces;
    std::vector<ServerNumber> joined;
    std::vector<ServerNumber> changedServers;
    std::vector<ServerNumber> removedServers;
    /// The names of the servers in `removedServers`, in the same order.
    std::vector<Core::ServerName> removedNames;
    std::vector<Assignment> assignments;
    /// The reason why the whole command was rejected, if it was.
    std::optional<ChangeError> error;
};

/// The replicated state machine. It is deterministic: the same commands give the same state on every host.
class State {
public:
    ApplyResult apply(Command const&);

    std::string snapshot() const;
    /// Replaces the state by a snapshot. Returns false, without a change, if the bytes are not a valid snapshot.
    bool restore(std::string_view);

    std::map<std::string, VersionedItem<RouteItem>> const& routes() const { return routes_; }
    std::map<std::string, VersionedItem<PoolItem>> const& pools() const { return pools_; }
    std::map<std::string, VersionedItem<WorkspaceItem>> const& workspaces() const { return workspaces_; }
    LimitsItem const& limits() const { return limits_; }
    /// The number of commands that changed items. It is the same on every host that has applied the same commands, so
    /// an entry host that has all items up to a revision needs only newer items from any leader.
    std::uint64_t itemRevision() const { return itemRevision_; }
    /// Whether the change is valid and changes nothing, since each item is at its version or a higher one.
    bool isInEffect(ItemChange const&) const;
    /// The approximate memory of all configuration items, and after a change, in bytes.
    std::size_t itemBytes() const;
    std::size_t itemBytesAfter(ItemChange const&) const;
    std::set<std::string> const& evacuated() const { return evacuated_; }
    std::map<ServerNumber, ServerRecord> const& servers() const { return servers_; }
    ServerRecord const* findServer(ServerNumber) const;
    ServerRecord const* findServer(Core::ServerName const&) const;
    /// The latest removal of exactly this incarnation. Null if there was none.
    Departed const* findDeparted(Core::ServerName const&, std::int64_t bornMs) const;
    /// Whether this incarnation of the server, or a later one, was removed.
    bool hasDeparted(Core::ServerName const&, std::int64_t bornMs) const;
    /// Whether the process of this incarnation, or of a later one that was removed, is known to have ended.
    bool isSuperseded(Core::ServerName const&, std::int64_t bornMs) const;
    PoolItem const* findPool(Core::PoolName const&) const;
    /// Returns the ranges of a pool, which cover all keys without gaps. Empty if its keys were never assigned.
    std::span<KeyRange const> keyRanges(Core::PoolName const&) const;

private:
    std::optional<ChangeError> check(ItemChange const&) const;
    std::optional<SharedApiKey> findSharedApiKey(ItemChange const&) const;
    std::optional<PoolInUse> findRemovedPoolInUse(ItemChange const&) const;
    bool hasPoolAfter(ItemChange const&, Core::PoolName const&) const;
    bool isPoolNamed(ItemChange const&, Core::PoolName const&) const;
    void apply(ItemChange const&, ApplyResult&);
    void apply(ServerChange const&, ApplyResult&);
    void apply(Assignment const&);
    void join(ServerRecord, ApplyResult&);
    void remove(ServerNumber, bool isSuperseded, ApplyResult&);
    void clearOwner(ServerNumber);

    friend void to_json(nlohmann::json&, State const&);
    friend void from_json(nlohmann::json const&, State&);

    std::map<std::string, VersionedItem<RouteItem>> routes_;
    std::map<std::string, VersionedItem<PoolItem>> pools_;
    std::map<std::string, VersionedItem<WorkspaceItem>> workspaces_;
    LimitsItem limits_;
    std::uint64_t itemRevision_ { 0 };
    std::set<std::string> evacuated_;
    std::map<ServerNumber, ServerRecord> servers_;
    /// The number of the latest incarnation by server name, derived from `servers_`.
    std::map<Core::ServerName, ServerNumber> numbers_;
    ServerNumber nextServer_ { 1 };
    std::vector<Departed> departed_;
    std::map<std::string, std::vector<KeyRange>> keys_;
    std::uint64_t nextFence_ { 1 };
};

} // namespace Fleet
