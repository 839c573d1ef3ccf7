#pragma once

#include <LibCore/Hash.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibRouting/View.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The replicated control state, and the leader with its leases, which are not replicated.
namespace Control {

/// Registers a backend server, or records a new incarnation, address, capacity or cold state of a known one.
/// `server.state` and `server.coldSince` are ignored.
struct RegisterServer {
    Routing::BackendServer server;
    /// The server reports that its caches are empty.
    bool cold { false };

    bool operator==(RegisterServer const&) const = default;
};

/// Marks a server as lost after its grant expired by the leader's clock. Its slots become unassigned.
struct ServerLost {
    Core::ServerName server;
    Core::Incarnation incarnation;

    bool operator==(ServerLost const&) const = default;
};

/// Measured load of a pool, as the number of concurrently busy request slots of its backend servers.
struct PoolDemand {
    Core::PoolName pool;
    double busySlots { 0 };

    bool operator==(PoolDemand const&) const = default;
};

/// Who requested a drain. The two causes are independent: the server returns to service when neither applies.
enum class DrainCause : std::uint8_t { Operator, Announced };

/// Drains a server: it leaves service once its slots have been handed over.
struct DrainServer {
    Core::ServerName server;
    DrainCause cause { DrainCause::Operator };
    /// Drains the server even if the remaining servers cannot carry the load.
    bool force { false };
    /// Demand of the pools as measured by `Leader::measuredDemand()`.
    std::vector<PoolDemand> demand;

    bool operator==(DrainServer const&) const = default;
};

/// Ends a drain with this cause.
struct ReturnServer {
    Core::ServerName server;
    DrainCause cause { DrainCause::Operator };

    bool operator==(ReturnServer const&) const = default;
};

/// Drains all servers of a failure domain, including servers that register later.
struct DrainDomain {
    Core::FailureDomain domain;
    bool force { false };
    std::vector<PoolDemand> demand;

    bool operator==(DrainDomain const&) const = default;
};

/// Ends the drain of a failure domain.
struct ReturnDomain {
    Core::FailureDomain domain;

    bool operator==(ReturnDomain const&) const = default;
};

/// Adds an entry host to the view. `host.joinedAt` is ignored.
struct JoinEntryHost {
    Routing::EntryHost host;

    bool operator==(JoinEntryHost const&) const = default;
};

/// Removes an entry host whose view lease expired by the leader's clock. The outcome of its claimed orders becomes
/// unknown.
struct RemoveEntryHost {
    Core::HostName host;
    Core::Incarnation incarnation;
    /// View version of the join that this removal refers to.
    Core::ViewVersion joinedAt;

    bool operator==(RemoveEntryHost const&) const = default;
};

/// Planned move of one slot from its owner to another server.
struct SlotRelease {
    Core::SlotNumber slot;
    /// The slot's epoch when the release was proposed.
    Core::Epoch epoch;
    Core::ServerName from;
    Core::ServerName to;

    bool operator==(SlotRelease const&) const = default;
};

/// First phase of a planned change of owner: entry hosts queue new requests for the slots.
struct BeginRelease {
    Core::PoolName pool;
    std::vector<SlotRelease> slots;

    bool operator==(BeginRelease const&) const = default;
};

/// Evidence that the previous owner no longer serves a slot.
enum class ReleaseBasis : std::uint8_t {
    /// There is no evidence that a previous owner stopped. Valid only for a slot that never had an owner.
    None,
    /// The previous owner confirmed the release.
    Confirmed,
    /// The previous owner's grant expired by the leader's clock.
    GrantExpired,
};

/// Assignment of one slot to a server.
struct SlotAssign {
    Core::SlotNumber slot;
    /// The slot's epoch before this assignment.
    Core::Epoch epoch;
    Core::ServerName to;
    ReleaseBasis basis { ReleaseBasis::None };

    bool operator==(SlotAssign const&) const = default;
};

/// Assigns slots to new owners. The epoch of each slot is incremented.
struct AssignSlots {
    Core::PoolName pool;
    std::vector<SlotAssign> slots;
    /// View version that all entry hosts have applied. Needed for slots whose previous owner does not check fencing
    /// tokens: entry hosts must have stopped sending requests to that owner.
    Core::ViewVersion acknowledged;

    bool operator==(AssignSlots const&) const = default;
};

/// Adds or replaces a pool definition.
struct PutPool {
    Routing::PoolDefinition pool;
    /// True to replace an existing pool, false to add a new one. The edit is invalid when the pool is missing or
    /// already exists, respectively.
    bool replace { false };

    bool operator==(PutPool const&) const = default;
};
struct RemovePool {
    Core::PoolName pool;

    bool operator==(RemovePool const&) const = default;
};
/// Adds or replaces a route definition.
struct PutRoute {
    Routing::RouteDefinition route;
    /// True to replace an existing route, false to add a new one, as for `PutPool`.
    bool replace { false };

    bool operator==(PutRoute const&) const = default;
};
struct RemoveRoute {
    Core::RouteName route;

    bool operator==(RemoveRoute const&) const = default;
};
using EditOperation = std::variant<PutPool, RemovePool, PutRoute, RemoveRoute>;

/// New content of the pool table and the route table, which replaces both.
struct CompleteTables {
    std::vector<Routing::PoolDefinition> pools;
    std::vector<Routing::RouteDefinition> routes;

    bool operator==(CompleteTables const&) const = default;
};
using EditContent = std::variant<CompleteTables, std::vector<EditOperation>>;

/// Edits the tables. Rejected as a conflict unless `baseRevision` is the current revision.
struct SubmitEdit {
    Core::EditId id;
    Core::Revision baseRevision;
    std::string author;
    /// Wall-clock time of the submission since the Unix epoch. Recorded in the history; never used for decisions.
    std::int64_t wallClockMilliseconds { 0 };
    EditContent content;

    bool operator==(SubmitEdit const&) const = default;
};

/// Identifies a non-idempotent request (an order) across resends by its caller.
struct OrderKey {
    Core::RouteName route;
    Core::CallerName caller;
    std::string idempotencyKey;

    auto operator<=>(OrderKey const&) const = default;
};

/// Response to an order, stored so that a resend gets the same response.
struct KeptAnswer {
    std::uint16_t status { 0 };
    std::string contentType;
    std::string body;

    bool operator==(KeptAnswer const&) const = default;
};

/// Maximum body size of a stored response.
inline constexpr std::size_t maxKeptAnswerBytes = 8UL * 1024;

/// Claims the right to run an order. Must be committed before the first byte of the order is sent to a backend server.
struct ClaimOrder {
    OrderKey key;
    Core::Digest fingerprint;
    Core::RequestId requestId;
    Core::HostName host;
    Core::Incarnation incarnation;

    bool operator==(ClaimOrder const&) const = default;
};
/// Records that an order was run.
struct CompleteOrder {
    OrderKey key;
    Core::RequestId requestId;
    /// Response to the order, if it is to be stored.
    std::optional<KeptAnswer> answer;

    bool operator==(CompleteOrder const&) const = default;
};
/// Releases the claim of an order that was certainly not run, so that a resend may run.
struct AbandonOrder {
    OrderKey key;
    Core::RequestId requestId;

    bool operator==(AbandonOrder const&) const = default;
};
/// Records that the outcome of an order is unknown: it may or may not have run.
struct MarkOrderUnknown {
    OrderKey key;
    Core::RequestId requestId;

    bool operator==(MarkOrderUnknown const&) const = default;
};

/// Blocks requests with a fingerprint.
struct AddQuarantine {
    Routing::QuarantinedRequest request;

    bool operator==(AddQuarantine const&) const = default;
};
/// Unblocks requests with a fingerprint.
struct LiftQuarantine {
    Core::Digest fingerprint;

    bool operator==(LiftQuarantine const&) const = default;
};

/// Advances the state's logical clock by the time that the leader measured, and drops records past their retention.
/// Wall-clock time is not used: a control host whose wall clock jumps ahead would drop ledger records that are still
/// needed.
struct ExpireRecords {
    Core::Duration elapsed { 0 };

    bool operator==(ExpireRecords const&) const = default;
};

using Command = std::variant<RegisterServer, ServerLost, DrainServer, ReturnServer, DrainDomain, ReturnDomain,
    JoinEntryHost, RemoveEntryHost, BeginRelease, AssignSlots, SubmitEdit, ClaimOrder, CompleteOrder, AbandonOrder,
    MarkOrderUnknown, AddQuarantine, LiftQuarantine, ExpireRecords>;

} // namespace Control
