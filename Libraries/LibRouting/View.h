#pragma once

#include <LibCore/Hash.h>
#include <LibRouting/RoutingTable.h>

#include <memory>

namespace Routing {

enum class ServerState : std::uint8_t {
    /// Takes new work.
    InService,
    /// Finishes what it has and takes no new work.
    Draining,
    /// Silent past its time to live, or drained.
    OutOfService,
};

/// A backend server as it announced itself.
struct BackendServer {
    Core::ServerName name;
    Core::PoolName pool;
    Core::Endpoint endpoint;
    Core::FailureDomain failureDomain;
    Core::Incarnation incarnation;
    std::uint32_t slots { 1 };
    std::uint32_t connections { 1 };
    bool checksFencing { false };
    ServerState state { ServerState::InService };
    /// The view version at which the server last started, returned or turned cold. Dispatchers start its slow start
    /// again when it rises.
    Core::ViewVersion coldSince;

    bool operator==(BackendServer const&) const = default;
};

enum class SlotPhase : std::uint8_t {
    /// Nobody may serve the slot.
    Unassigned,
    Owned,
    /// The owner finishes what it has; new work waits for the next owner.
    Releasing,
};

struct SlotAssignment {
    SlotPhase phase { SlotPhase::Unassigned };
    Core::Epoch epoch;
    /// Index into `View::servers`. Meaningless for an unassigned slot.
    std::uint32_t server { 0 };

    bool operator==(SlotAssignment const&) const = default;
};

struct EntryHost {
    Core::HostName name;
    Core::Endpoint rpcEndpoint;
    Core::FailureDomain failureDomain;
    Core::Incarnation incarnation;
    /// The view version at which this incarnation joined.
    Core::ViewVersion joinedAt;

    bool operator==(EntryHost const&) const = default;
};

/// Identifies a request that is stopped because it crashed backend servers.
struct QuarantinedRequest {
    Core::Digest fingerprint;
    Core::RouteName route;

    bool operator==(QuarantinedRequest const&) const = default;
};

/// What the control leader tells entry hosts. Immutable once published; versions only rise.
struct View {
    Core::ViewVersion version;
    /// Revision of the pools and routes.
    Core::Revision revision;
    std::shared_ptr<RoutingTable const> table;
    /// Sorted by name.
    std::vector<BackendServer> servers;
    /// Slots by pool name, for key-partitioned pools only. Index is the slot number.
    std::map<Core::PoolName, std::vector<SlotAssignment>> slots;
    /// Live entry hosts, sorted by name.
    std::vector<EntryHost> entryHosts;
    std::vector<QuarantinedRequest> quarantine;

    BackendServer const* findServer(Core::ServerName const&) const;
    SlotAssignment const* findSlot(Core::PoolName const&, Core::SlotNumber) const;
    /// The entry host that dispatches a group: highest rendezvous hash of pool and group. Null without entry hosts.
    EntryHost const* dispatcherOf(Core::PoolName const&, std::uint32_t group) const;
};

} // namespace Routing
