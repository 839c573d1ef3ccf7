#pragma once

#include <LibCore/Hash.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibRouting/View.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The replicated control state, and the leader's volatile leases.
namespace Control {

/// Registers a backend server, or records its new incarnation, address, capacity or cold state. `server.state` and
/// `server.coldSince` are ignored.
struct RegisterServer {
    Routing::BackendServer server;
    /// The server reports that its caches are empty.
    bool cold { false };

    bool operator==(RegisterServer const&) const = default;
};

/// The server's grant has expired by the leader's clock. Its slots become unassigned.
struct ServerLost {
    Core::ServerName server;
    Core::Incarnation incarnation;

    bool operator==(ServerLost const&) const = default;
};

/// Measured work of a pool, in units of concurrently busy backend server slots.
struct PoolDemand {
    Core::PoolName pool;
    double busySlots { 0 };

    bool operator==(PoolDemand const&) const = default;
};

/// Operators and the server itself drain independently: the server takes work again when both have ended.
enum class DrainCause : std::uint8_t { Operator, Announced };

/// Takes a server out of service once its slots have been handed over.
struct DrainServer {
    Core::ServerName server;
    DrainCause cause { DrainCause::Operator };
    /// Drains although the remaining servers cannot carry the load.
    bool force { false };
    /// From `Leader::measuredDemand()`.
    std::vector<PoolDemand> demand;

    bool operator==(DrainServer const&) const = default;
};

struct ReturnServer {
    Core::ServerName server;
    DrainCause cause { DrainCause::Operator };

    bool operator==(ReturnServer const&) const = default;
};

/// Drains each server of a failure domain, also those that register later.
struct DrainDomain {
    Core::FailureDomain domain;
    bool force { false };
    std::vector<PoolDemand> demand;

    bool operator==(DrainDomain const&) const = default;
};

struct ReturnDomain {
    Core::FailureDomain domain;

    bool operator==(ReturnDomain const&) const = default;
};

/// Adds an entry host to the view. `host.joinedAt` is ignored.
struct JoinEntryHost {
    Routing::EntryHost host;

    bool operator==(JoinEntryHost const&) const = default;
};

/// The entry host's view lease has expired by the leader's clock. Its claimed orders become unknown.
struct RemoveEntryHost {
    Core::HostName host;
    Core::Incarnation incarnation;
    /// The join that this removal ends.
    Core::ViewVersion joinedAt;

    bool operator==(RemoveEntryHost const&) const = default;
};

struct SlotRelease {
    Core::SlotNumber slot;
    /// The epoch that the proposer saw.
    Core::Epoch epoch;
    Core::ServerName from;
    Core::ServerName to;

    bool operator==(SlotRelease const&) const = default;
};

/// First phase of a planned change of owner: entry hosts hold new work for the slots.
struct BeginRelease {
    Core::PoolName pool;
    std::vector<SlotRelease> slots;

    bool operator==(BeginRelease const&) const = default;
};

/// Why the previous owner can no longer serve a slot.
enum class ReleaseBasis : std::uint8_t {
    /// Nothing shows that the previous owner stopped. Valid only for a slot that never had an owner.
    None,
    /// The previous owner confirmed the release.
    Confirmed,
    /// The previous owner's grant expired by the leader's clock.
    GrantExpired,
};

struct SlotAssign {
    Core::SlotNumber slot;
    /// The epoch before this change of owner.
    Core::Epoch epoch;
    Core::ServerName to;
    ReleaseBasis basis { ReleaseBasis::None };

    bool operator==(SlotAssign const&) const = default;
};

/// Gives slots a new owner. The epoch of each rises by one.
struct AssignSlots {
    Core::PoolName pool;
    std::vector<SlotAssign> slots;
    /// The version that was in effect at all entry hosts. Required for slots whose previous owner does not check
    /// fencing tokens: entry hosts must have stopped sending to it.
    Core::ViewVersion acknowledged;

    bool operator==(AssignSlots const&) const = default;
};

struct PutPool {
    Routing::PoolDefinition pool;
    /// An existing pool is replaced only when set; otherwise the edit is invalid.
    bool replace { false };

    bool operator==(PutPool const&) const = default;
};
struct RemovePool {
    Core::PoolName pool;

    bool operator==(RemovePool const&) const = default;
};
struct PutRoute {
    Routing::RouteDefinition route;
    bool replace { false };

    bool operator==(PutRoute const&) const = default;
};
struct RemoveRoute {
    Core::RouteName route;

    bool operator==(RemoveRoute const&) const = default;
};
using EditOperation = std::variant<PutPool, RemovePool, PutRoute, RemoveRoute>;

/// Replaces both tables.
struct CompleteTables {
    std::vector<Routing::PoolDefinition> pools;
    std::vector<Routing::RouteDefinition> routes;

    bool operator==(CompleteTables const&) const = default;
};
using EditContent = std::variant<CompleteTables, std::vector<EditOperation>>;

struct SubmitEdit {
    Core::EditId id;
    Core::Revision baseRevision;
    std::string author;
    /// When the author submitted it, for the history. Never used for decisions.
    std::int64_t wallClockMilliseconds { 0 };
    EditContent content;

    bool operator==(SubmitEdit const&) const = default;
};

/// Identifies a non-idempotent request over resends by its caller.
struct OrderKey {
    Core::RouteName route;
    Core::CallerName caller;
    std::string idempotencyKey;

    auto operator<=>(OrderKey const&) const = default;
};

/// The answer kept for resends.
struct KeptAnswer {
    std::uint16_t status { 0 };
    std::string contentType;
    std::string body;

    bool operator==(KeptAnswer const&) const = default;
};

inline constexpr std::size_t maxKeptAnswerBytes = 8UL * 1024;

/// Must be committed before the first byte of the order is sent.
struct ClaimOrder {
    OrderKey key;
    Core::Digest fingerprint;
    Core::RequestId requestId;
    Core::HostName host;
    Core::Incarnation incarnation;

    bool operator==(ClaimOrder const&) const = default;
};
struct CompleteOrder {
    OrderKey key;
    Core::RequestId requestId;
    std::optional<KeptAnswer> answer;

    bool operator==(CompleteOrder const&) const = default;
};
/// The order was certainly not run; a resend may run.
struct AbandonOrder {
    OrderKey key;
    Core::RequestId requestId;

    bool operator==(AbandonOrder const&) const = default;
};
struct MarkOrderUnknown {
    OrderKey key;
    Core::RequestId requestId;

    bool operator==(MarkOrderUnknown const&) const = default;
};

struct AddQuarantine {
    Routing::QuarantinedRequest request;

    bool operator==(AddQuarantine const&) const = default;
};
struct LiftQuarantine {
    Core::Digest fingerprint;

    bool operator==(LiftQuarantine const&) const = default;
};

/// Advances the state's own clock by time that the leader measured, and drops records past their retention. Wall-clock
/// time is not used: a control host whose wall clock jumps ahead would drop ledger records that are still needed.
struct ExpireRecords {
    Core::Duration elapsed { 0 };

    bool operator==(ExpireRecords const&) const = default;
};

using Command = std::variant<RegisterServer, ServerLost, DrainServer, ReturnServer, DrainDomain, ReturnDomain,
    JoinEntryHost, RemoveEntryHost, BeginRelease, AssignSlots, SubmitEdit, ClaimOrder, CompleteOrder, AbandonOrder,
    MarkOrderUnknown, AddQuarantine, LiftQuarantine, ExpireRecords>;

} // namespace Control
