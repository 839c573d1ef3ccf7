#pragma once

#include <LibCore/Time.h>
#include <LibFleet/ApiKeyIndex.h>
#include <LibFleet/Coordinator.h>

#include <span>
#include <unordered_map>

namespace Fleet {

/// A backend server in an update of the view of entry hosts.
struct ServerRow {
    ServerRecord server;
    /// The remaining time in milliseconds for which the server is cold. Empty if the leader has not heard from the
    /// server yet.
    std::optional<std::int64_t> coldMs { 0 };
};
/// Encodes the row as an array without field names, and omits the start time and software version of the server, since
/// a full update is sent to every entry host over a link of a few megabits per second.
void to_json(nlohmann::json&, ServerRow const&);
void from_json(nlohmann::json const&, ServerRow&);

/// Key ranges of any number of pools. They are encoded as one flat list of numbers for each pool, with five numbers for
/// each row: the keys skipped since the previous row, the keys of the row, the owner, the wait in milliseconds, and the
/// rejected requests per thousand.
struct RangeRows {
    std::vector<RangeRow> rows;
};
void to_json(nlohmann::json&, RangeRows const&);
void from_json(nlohmann::json const&, RangeRows&);

/// A configuration item in the view of entry hosts, without the operator's document. It is encoded as an array without
/// field names, since a fleet may have thousands of routes and each entry host gets them over a link of low bandwidth.
template <typename Item> struct ItemRow {
    std::string name;
    VersionedItem<Item> held;
};
using RouteRow = ItemRow<RouteItem>;
using PoolRow = ItemRow<PoolItem>;
using WorkspaceRow = ItemRow<WorkspaceItem>;
void to_json(nlohmann::json&, RouteRow const&);
void from_json(nlohmann::json const&, RouteRow&);
void to_json(nlohmann::json&, PoolRow const&);
void from_json(nlohmann::json const&, PoolRow&);
void to_json(nlohmann::json&, WorkspaceRow const&);
void from_json(nlohmann::json const&, WorkspaceRow&);

/// An update that the control leader sends to an entry host: a full update at first, then the changes.
struct ViewUpdate {
    /// Whether this is a full update, which replaces all servers and ranges. Items are merged by their versions.
    bool isWhole { false };
    /// The item revision that the receiver has after it applied this update; zero for no change.
    std::uint64_t itemRevision { 0 };
    std::vector<RouteRow> routes;
    std::vector<PoolRow> pools;
    std::vector<WorkspaceRow> workspaces;
    std::optional<LimitsItem> limits;
    std::optional<std::set<std::string>> evacuated;
    std::vector<ServerRow> servers;
    std::vector<ServerNumber> removedServers;
    RangeRows ranges;
    ServerOccupancies occupancies;
    std::vector<RequestLimitRow> requestLimits;
    /// The requests that are refused, and those that the receiver reports if a server answers them.
    std::optional<std::vector<std::string>> quarantined;
    std::optional<std::vector<std::string>> suspects;
    /// The sorted names of the entry hosts that share the limits of the fleet.
    std::optional<std::vector<std::string>> entryHosts;

    bool isEmpty() const;
};
/// Omits empty fields: most updates contain a few ranges and are sent to every entry host many times a second.
void to_json(nlohmann::json&, ViewUpdate const&);
void from_json(nlohmann::json const&, ViewUpdate&);

/// Returns a full update without the items up to `knownRevision`, which the receiver has. A revision higher than that
/// of the state belongs to a different log history and is treated as zero.
ViewUpdate makeFullUpdate(State const&, Coordinator const&, std::uint64_t knownRevision, Core::TimePoint now);
/// Adds the changes that a command made to an update.
void addChanges(ViewUpdate&, State const&, Coordinator const&, Command const&, ApplyResult const&, Core::TimePoint now);
void addServer(ViewUpdate&, State const&, Coordinator const&, ServerNumber, Core::TimePoint now);

/// A backend server in the view of an entry host.
struct ViewServer {
    ServerRecord record;
    Core::TimePoint coldUntil;
    /// When this host learned that the server is draining. If the host did not see the drain begin, the time is in the
    /// past by at least `View::drainGrace`.
    std::optional<Core::TimePoint> drainingSince;
};

/// The owner of a key.
struct KeyOwner {
    ServerNumber server { 0 };
    /// The time at which an owner is expected, if there is none.
    Core::TimePoint expectedAt;
    /// The fraction of the requests that the owner has capacity for.
    double admittedFraction { 1 };
};

/// The routing state of an entry host. The version of an item never decreases.
class View {
public:
    /// `apiKeySeed` is a secret of the process, see `ApiKeyIndex`.
    explicit View(std::uint64_t apiKeySeed = 0)
        : apiKeys_(apiKeySeed)
    {
    }
    View(View const&) = delete;
    View& operator=(View const&) = delete;

    /// Applies an update and returns the servers that are no longer part of the view.
    std::vector<ServerNumber> apply(ViewUpdate const&, Core::TimePoint now);

    /// Whether any configuration has arrived.
    bool isConfigured() const { return isConfigured_; }
    /// The revision of the items that have arrived.
    std::uint64_t itemRevision() const { return itemRevision_; }
    /// Returns the route of the host with the longest matching path prefix. Null if none matches.
    RouteItem const* findRoute(std::string_view host, std::string_view path) const;
    PoolItem const* findPool(Core::PoolName const&) const;
    LimitsItem const& limits() const { return limits_; }
    /// Whether the configuration has workspaces, so that requests need an API key.
    bool hasWorkspaces() const { return !apiKeys_.isEmpty(); }
    /// Returns the workspace that has the API key. Null if none has.
    WorkspaceItem const* findWorkspace(std::string_view apiKey) const;
    WorkspaceItem const* findWorkspace(Core::WorkspaceName const&) const;
    ViewServer const* findServer(ServerNumber) const;
    std::map<ServerNumber, ViewServer> const& servers() const { return servers_; }
    /// Whether a server may get requests: it is neither draining nor in a failure domain that is out of service.
    bool mayServe(ServerRecord const&) const;
    /// Whether a server may get requests for the keys that it owns. An owner that drains or is out of service continues
    /// to serve them for a grace period, until its keys have moved.
    bool mayServeKeys(ViewServer const&, Core::TimePoint now) const;

    /// The longest time for which a server counts as cold if neither the leader nor this host knows whether it is. A
    /// server sends a heartbeat about once a second, and finds a new leader within another one.
    static constexpr Core::Duration assumedColdTime = std::chrono::milliseconds(2000);
    /// The time for which a draining owner still gets requests. It is shorter than the two seconds that the drain of a
    /// server may take, so that the change can reach every entry host.
    static constexpr Core::Duration drainGrace = std::chrono::milliseconds(1000);
    /// The time for which an owner in a failure domain that was taken out of service still gets requests. Taking a
    /// domain out of service may take five seconds.
    static constexpr Core::Duration evacuationGrace = std::chrono::milliseconds(3000);

    /// Returns the owner of a key. Null if the keys of the pool were never assigned.
    KeyOwner const* findOwner(Core::PoolName const&, std::uint32_t key) const;
    std::set<std::string> const& quarantined() const { return quarantined_; }
    /// The requests of which it is to be known whether servers answer them.
    std::set<std::string> const& suspects() const { return suspects_; }
    /// The number of entry hosts that share the limits of the fleet; at least one.
    std::uint32_t entryHostCount() const;
    /// The index of an entry host in the sorted list of entry hosts. Empty if the host is not in the list yet.
    std::optional<std::uint32_t> rankOf(std::string const& entryHost) const;

private:
    void indexRoutes();
    void applyEvacuations(std::set<std::string> const&, Core::TimePoint now);
    void applyServers(ViewUpdate const&, Core::TimePoint now);
    /// The time for which a server of the pool counts as cold if nobody knows. No server is cold for longer than the
    /// pool's warm-up time.
    Core::Duration assumedColdTimeOf(Core::PoolName const&) const;

    bool isConfigured_ { false };
    std::uint64_t itemRevision_ { 0 };
    std::map<std::string, VersionedItem<RouteItem>> routes_;
    std::map<std::string, VersionedItem<PoolItem>> pools_;
    std::map<std::string, VersionedItem<WorkspaceItem>> workspaces_;
    ApiKeyIndex apiKeys_;
    /// The routes of each host, sorted by descending length of the prefix.
    std::map<std::string, std::vector<RouteItem const*>, std::less<>> routesByHost_;
    LimitsItem limits_;
    /// When this host learned of each failure domain that is out of service.
    std::map<std::string, Core::TimePoint> evacuated_;
    std::map<ServerNumber, ViewServer> servers_;
    /// For each pool, the last key and the owner of each range by the first key of the range.
    std::map<Core::PoolName, std::map<std::uint32_t, std::pair<std::uint32_t, KeyOwner>>> ranges_;
    std::set<std::string> quarantined_;
    std::set<std::string> suspects_;
    std::vector<std::string> entryHosts_;
};

} // namespace Fleet
