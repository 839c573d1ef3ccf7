#pragma once

#include <LibFleet/Model.h>

#include <span>
#include <variant>

namespace Fleet {

/// A route names a pool that was never configured.
struct UnknownPool {
    Core::RouteName route;
    Core::PoolName pool;
};
using ChangeError = std::variant<UnknownPool>;

/// What a command changed, for the subscribers of the state.
struct Applied {
    bool hasChangedItems { false };
    std::vector<Core::RouteName> routes;
    std::vector<Core::PoolName> pools;
    std::vector<ServerNumber> joined;
    std::vector<ServerNumber> changedServers;
    std::vector<ServerNumber> removedServers;
    /// Of the removed servers, in the same order.
    std::vector<Core::ServerName> removedNames;
    std::vector<Assignment> assignments;
    /// Set when the command was refused as a whole.
    std::optional<ChangeError> error;
};

/// The replicated state. Deterministic: the same commands give the same state on every host.
class State {
public:
    Applied apply(Command const&);

    std::string snapshot() const;
    /// False, and unchanged, for bytes that are no snapshot.
    bool restore(std::string_view);

    std::map<std::string, VersionedItem<RouteItem>> const& routes() const { return routes_; }
    std::map<std::string, VersionedItem<PoolItem>> const& pools() const { return pools_; }
    LimitsItem const& limits() const { return limits_; }
    /// Counts the commands that changed items. The same on every host that has applied the same commands, so an entry
    /// host that was told everything up to a revision needs only newer items from whichever host leads.
    std::uint64_t itemRevision() const { return itemRevision_; }
    std::set<std::string> const& evacuated() const { return evacuated_; }
    std::map<ServerNumber, ServerRecord> const& servers() const { return servers_; }
    ServerRecord const* findServer(ServerNumber) const;
    ServerRecord const* findServer(Core::ServerName const&) const;
    bool hasDeparted(Core::ServerName const&, std::int64_t bornMs) const;
    PoolItem const* findPool(Core::PoolName const&) const;
    /// Covers all keys without gaps. Empty for a pool whose keys were never assigned.
    std::span<KeyRange const> keys(Core::PoolName const&) const;

private:
    std::optional<ChangeError> check(ItemChange const&) const;
    void apply(ItemChange const&, Applied&);
    void apply(ServerChange const&, Applied&);
    void apply(Assignment const&);
    void join(ServerRecord, Applied&);
    void remove(ServerNumber, Applied&);
    void disown(ServerNumber);

    friend void to_json(nlohmann::json&, State const&);
    friend void from_json(nlohmann::json const&, State&);

    std::map<std::string, VersionedItem<RouteItem>> routes_;
    std::map<std::string, VersionedItem<PoolItem>> pools_;
    LimitsItem limits_;
    std::uint64_t itemRevision_ { 0 };
    std::set<std::string> evacuated_;
    std::map<ServerNumber, ServerRecord> servers_;
    /// Of the newest life by the server's name. Made from `servers_`.
    std::map<Core::ServerName, ServerNumber> numbers_;
    ServerNumber nextServer_ { 1 };
    std::vector<Departed> departed_;
    std::map<std::string, std::vector<KeyRange>> keys_;
    std::uint64_t nextFence_ { 1 };
};

} // namespace Fleet
