#pragma once

#include <LibCore/Time.h>
#include <LibFleet/Coordinator.h>

#include <span>
#include <unordered_map>

namespace Fleet {

/// A backend server as entry hosts need to know it.
struct ServerRow {
    ServerRecord server;
    /// How much longer it stays cold.
    std::int64_t coldMs { 0 };
};
/// An array without names; when the server was born and what software it runs are left out. A whole view goes to every
/// entry host over a link of a few megabits a second.
void to_json(nlohmann::json&, ServerRow const&);
void from_json(nlohmann::json const&, ServerRow&);

/// Rows of any pools. Encoded as one flat list of numbers for each pool: keys skipped since the last row, keys of the
/// row, owner, wait, refused requests of a thousand.
struct RangeRows {
    std::vector<RangeRow> rows;
};
void to_json(nlohmann::json&, RangeRows const&);
void from_json(nlohmann::json const&, RangeRows&);

/// A configuration item in the view of entry hosts, without the operator's text. Encoded as an array without names,
/// since a fleet may have thousands of routes and each entry host gets them over a small link.
template <typename Item> struct ItemRow {
    std::string name;
    VersionedItem<Item> held;
};
using RouteRow = ItemRow<RouteItem>;
using PoolRow = ItemRow<PoolItem>;
void to_json(nlohmann::json&, RouteRow const&);
void from_json(nlohmann::json const&, RouteRow&);
void to_json(nlohmann::json&, PoolRow const&);
void from_json(nlohmann::json const&, PoolRow&);

/// What the control leader tells an entry host: everything at first, then what has changed.
struct ViewUpdate {
    /// Takes the place of all servers and ranges; items are merged by their versions.
    bool isWhole { false };
    /// Of the state whose items the receiver has once it applied this update.
    std::uint64_t itemRevision { 0 };
    std::vector<RouteRow> routes;
    std::vector<PoolRow> pools;
    std::optional<LimitsItem> limits;
    std::optional<std::set<std::string>> evacuated;
    std::vector<ServerRow> servers;
    std::vector<ServerNumber> removedServers;
    RangeRows ranges;
    std::optional<std::vector<std::string>> quarantined;
    /// Names, in order, of the entry hosts that share the bounds of the fleet.
    std::optional<std::vector<std::string>> entryHosts;

    bool isEmpty() const;
};
/// Leaves out what is empty: most updates are a few ranges, and go to every entry host many times a second.
void to_json(nlohmann::json&, ViewUpdate const&);
void from_json(nlohmann::json const&, ViewUpdate&);

/// Everything but the items up to `knownRevision`, which the receiver has. A revision beyond the state's own belongs to
/// another history, and counts as none.
ViewUpdate wholeView(State const&, Coordinator const&, std::uint64_t knownRevision, Core::TimePoint now);
/// Adds what a command changed.
void addChanges(ViewUpdate&, State const&, Coordinator const&, Command const&, Applied const&, Core::TimePoint now);
void addServer(ViewUpdate&, State const&, Coordinator const&, ServerNumber, Core::TimePoint now);

/// A backend server in the view of an entry host.
struct ViewServer {
    ServerRecord record;
    Core::TimePoint coldUntil;
    /// When this host learned that the server drains. Long past if it did not see the drain begin.
    std::optional<Core::TimePoint> drainingSince;
};

/// The owner of a key.
struct KeyOwner {
    ServerNumber server { 0 };
    /// When an owner is expected, if there is none.
    Core::TimePoint expectedAt;
    /// The part of the requests that it can do.
    double admittedFraction { 1 };
};

/// The routing state of an entry host. Versions of items never go back.
class View {
public:
    /// Returns the servers that are no longer part of the view.
    std::vector<ServerNumber> apply(ViewUpdate const&, Core::TimePoint now);

    /// Whether any configuration has arrived.
    bool isConfigured() const { return isConfigured_; }
    /// Of the items that have arrived.
    std::uint64_t itemRevision() const { return itemRevision_; }
    /// The route with the longest prefix that begins the path. Null when none does.
    RouteItem const* findRoute(std::string_view host, std::string_view path) const;
    PoolItem const* findPool(Core::PoolName const&) const;
    LimitsItem const& limits() const { return limits_; }
    ViewServer const* findServer(ServerNumber) const;
    std::map<ServerNumber, ViewServer> const& servers() const { return servers_; }
    /// Neither draining nor in a failure domain that is out of service.
    bool mayServe(ServerRecord const&) const;
    /// The owner of a key is served by for a while longer, until its keys have moved.
    bool mayServeKeys(ViewServer const&, Core::TimePoint now) const;

    /// How long a draining owner is still sent requests. Within the two seconds that a server's drain may take, with
    /// time for the news to reach every entry host.
    static constexpr Core::Duration drainGrace = std::chrono::milliseconds(1000);
    /// The same for an owner whose failure domain was taken out of service, which may take five seconds.
    static constexpr Core::Duration evacuationGrace = std::chrono::milliseconds(3000);

    /// Null while the pool's keys were never assigned.
    KeyOwner const* findOwner(Core::PoolName const&, std::uint32_t key) const;
    bool isQuarantined(std::string const& fingerprint) const { return quarantined_.contains(fingerprint); }
    /// How many entry hosts share the bounds of the fleet. At least one.
    std::uint32_t entryHostCount() const;
    /// The place of an entry host among them. Empty for one that is not counted yet.
    std::optional<std::uint32_t> rankOf(std::string const& entryHost) const;

private:
    void indexRoutes();
    void applyEvacuations(std::set<std::string> const&, Core::TimePoint now);
    void applyServers(ViewUpdate const&, Core::TimePoint now);

    bool isConfigured_ { false };
    std::uint64_t itemRevision_ { 0 };
    std::map<std::string, VersionedItem<RouteItem>> routes_;
    std::map<std::string, VersionedItem<PoolItem>> pools_;
    /// Routes of each host, the longest prefix first.
    std::map<std::string, std::vector<RouteItem const*>, std::less<>> routesByHost_;
    LimitsItem limits_;
    /// When this host learned of each failure domain that is out of service.
    std::map<std::string, Core::TimePoint> evacuated_;
    std::map<ServerNumber, ViewServer> servers_;
    /// By the first key of the range.
    std::map<Core::PoolName, std::map<std::uint32_t, std::pair<std::uint32_t, KeyOwner>>> ranges_;
    std::set<std::string> quarantined_;
    std::vector<std::string> entryHosts_;
};

} // namespace Fleet
