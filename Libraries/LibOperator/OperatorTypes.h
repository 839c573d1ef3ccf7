#pragma once

#include <LibCore/Hash.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibRouting/View.h>
#include <LibTelemetry/Usage.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The operators' interface: typed requests, their JSON form, the HTTP server and the client.
namespace Operator {

/// This process is not the control leader. 421.
struct NotLeader {
    std::optional<Core::HostName> leader;
    /// Operator API of the leader, when known.
    std::optional<Core::Endpoint> endpoint;

    bool operator==(NotLeader const&) const = default;
};
/// The edit was based on another revision than the current one. 409.
struct Conflict {
    Core::Revision current;

    bool operator==(Conflict const&) const = default;
};
/// The edit id was used before for other content. 409.
struct EditIdReused {
    Core::EditId id;

    bool operator==(EditIdReused const&) const = default;
};
/// The edit is rejected as a whole. 422.
struct InvalidEdit {
    /// Sentences from `Routing::describe`, one for each fault.
    std::vector<std::string> reasons;

    bool operator==(InvalidEdit const&) const = default;
};
enum class Subject : std::uint8_t { Pool, Server, FailureDomain, Revision, Fingerprint, Path };
/// 404.
struct NotFound {
    Subject subject { Subject::Path };
    std::string name;

    bool operator==(NotFound const&) const = default;
};
/// No quorum, no leader, or the process is stopping. The operation may be retried with the same edit id. 503.
struct Unavailable {
    std::string reason;

    bool operator==(Unavailable const&) const = default;
};
/// The outcome is not known yet. An edit may still be accepted; retry with the same edit id. 504.
struct Timeout {
    Core::Duration waited { 0 };

    bool operator==(Timeout const&) const = default;
};
/// The request is malformed. 400.
struct BadRequest {
    std::string field;
    std::string reason;

    bool operator==(BadRequest const&) const = default;
};
using OperatorError
    = std::variant<NotLeader, Conflict, EditIdReused, InvalidEdit, NotFound, Unavailable, Timeout, BadRequest>;

/// The HTTP status of an error, as documented in docs/operator-api.md.
int httpStatusOf(OperatorError const&);
/// A sentence for people.
std::string describe(OperatorError const&);

struct ControlHostStatus {
    Core::HostName name;
    Core::FailureDomain failureDomain;
    bool isLeader { false };
    bool isVoter { true };
    /// Heard of within an election timeout, as seen by the leader.
    bool isReachable { false };
    /// Log entries behind the leader.
    std::uint64_t lag { 0 };

    bool operator==(ControlHostStatus const&) const = default;
};

struct EntryHostStatus {
    Core::HostName name;
    Core::FailureDomain failureDomain;
    Core::Revision appliedRevision;
    bool hasLease { false };

    bool operator==(EntryHostStatus const&) const = default;
};

struct StatusResponse {
    Core::ClusterId cluster;
    /// The process that answered.
    Core::HostName host;
    std::optional<Core::HostName> leader;
    std::uint64_t term { 0 };
    bool hasQuorum { false };
    Core::Revision revision;
    /// The newest revision that every live entry host has applied.
    Core::Revision inEffectEverywhere;
    std::vector<ControlHostStatus> controlHosts;
    std::vector<EntryHostStatus> entryHosts;

    bool operator==(StatusResponse const&) const = default;
};

struct PoolStatus {
    Routing::PoolDefinition definition;
    std::uint32_t serversInService { 0 };
    std::uint32_t serversDraining { 0 };
    std::uint32_t serversOutOfService { 0 };
    std::uint32_t slotsOwned { 0 };
    std::uint32_t slotsReleasing { 0 };
    std::uint32_t slotsUnassigned { 0 };

    bool operator==(PoolStatus const&) const = default;
};
struct PoolsResponse {
    Core::Revision revision;
    std::vector<PoolStatus> pools;

    bool operator==(PoolsResponse const&) const = default;
};

struct RoutesResponse {
    Core::Revision revision;
    std::vector<Routing::RouteDefinition> routes;

    bool operator==(RoutesResponse const&) const = default;
};

struct BackendsRequest {
    /// Empty for all pools.
    std::optional<Core::PoolName> pool;
};
struct BackendStatus {
    Routing::BackendServer server;
    std::uint32_t ownedSlots { 0 };
    std::uint32_t inFlight { 0 };
    /// Requests that the dispatcher allows at a time, at present.
    std::uint32_t limit { 0 };
    bool isEjected { false };
    /// Time since the last announcement.
    Core::Duration silence { 0 };

    bool operator==(BackendStatus const&) const = default;
};
struct BackendsResponse {
    std::vector<BackendStatus> backends;

    bool operator==(BackendsResponse const&) const = default;
};

enum class DomainState : std::uint8_t { InService, Draining, OutOfService, Returning };
struct DomainStatus {
    Core::FailureDomain name;
    DomainState state { DomainState::InService };
    std::uint32_t servers { 0 };
    std::uint32_t serversInService { 0 };
    std::uint32_t inFlight { 0 };

    bool operator==(DomainStatus const&) const = default;
};
struct DomainsResponse {
    std::vector<DomainStatus> domains;

    bool operator==(DomainsResponse const&) const = default;
};

struct OwnersRequest {
    Core::PoolName pool;
    /// Only the slot of this key.
    std::optional<std::string> key;
};
/// Consecutive slots with the same owner, epoch and phase.
struct OwnerRange {
    Core::SlotNumber first;
    Core::SlotNumber last;
    Routing::SlotPhase phase { Routing::SlotPhase::Unassigned };
    Core::Epoch epoch;
    /// Empty for unassigned slots.
    Core::ServerName owner;

    bool operator==(OwnerRange const&) const = default;
};
struct OwnersResponse {
    Core::PoolName pool;
    std::vector<OwnerRange> ranges;

    bool operator==(OwnersResponse const&) const = default;
};

struct UsageRequest {
    /// Milliseconds since the Unix epoch, `from <= time < to`.
    std::int64_t from { 0 };
    std::int64_t to { 0 };
    Telemetry::UsageGrouping grouping { Telemetry::UsageGrouping::All };
};
struct UsageResponse {
    /// Stored records that were left out because their checksum is wrong.
    std::uint64_t corruptRecords { 0 };
    std::vector<Telemetry::UsageRow> rows;

    bool operator==(UsageResponse const&) const = default;
};

inline constexpr std::uint32_t defaultHistoryEntries = 20;
inline constexpr std::uint32_t maxHistoryEntries = 1000;
struct HistoryRequest {
    std::uint32_t limit { defaultHistoryEntries };
    /// Only revisions below this one. Empty begins with the newest.
    std::optional<Core::Revision> before;
};
struct HistoryEntry {
    Core::Revision revision;
    Core::EditId id;
    std::string author;
    std::string comment;
    /// Wall-clock time in milliseconds since the Unix epoch.
    std::int64_t acceptedAt { 0 };

    bool operator==(HistoryEntry const&) const = default;
};
/// Newest first.
struct HistoryResponse {
    std::vector<HistoryEntry> entries;

    bool operator==(HistoryResponse const&) const = default;
};

/// The tables as of a revision, for `diff` and for returning to an older version by a new edit.
struct TablesRequest {
    /// Empty for the current revision.
    std::optional<Core::Revision> revision;
};
struct TablesResponse {
    Core::Revision revision;
    std::vector<Routing::PoolDefinition> pools;
    std::vector<Routing::RouteDefinition> routes;

    bool operator==(TablesResponse const&) const = default;
};

struct DiffRequest {
    Core::Revision from;
    Core::Revision to;
};
enum class ChangeKind : std::uint8_t { Added, Removed, Changed };
template <typename Definition> struct Change {
    ChangeKind kind { ChangeKind::Changed };
    /// Empty for an added definition.
    std::optional<Definition> before;
    /// Empty for a removed definition.
    std::optional<Definition> after;

    bool operator==(Change const&) const = default;
};
struct DiffResponse {
    Core::Revision from;
    Core::Revision to;
    std::vector<Change<Routing::PoolDefinition>> pools;
    std::vector<Change<Routing::RouteDefinition>> routes;

    bool operator==(DiffResponse const&) const = default;
};
/// The changes between two versions of the tables, ordered by name.
DiffResponse compareTables(TablesResponse const& from, TablesResponse const& to);

/// Replaces both tables.
struct EditRequest {
    /// Submitting the same id again returns the first outcome.
    Core::EditId id;
    Core::Revision base;
    std::string author;
    std::string comment;
    std::vector<Routing::PoolDefinition> pools;
    std::vector<Routing::RouteDefinition> routes;

    bool operator==(EditRequest const&) const = default;
};
struct EditResponse {
    /// The revision that the edit created.
    Core::Revision revision;
    /// The outcome of an earlier submission of the same id.
    bool isRepeated { false };

    bool operator==(EditResponse const&) const = default;
};

/// A backend server or a whole failure domain.
using ServiceTarget = std::variant<Core::ServerName, Core::FailureDomain>;
struct DrainRequest {
    Core::EditId id;
    ServiceTarget target;
    std::string author;
    std::string comment;

    bool operator==(DrainRequest const&) const = default;
};
/// Takes a drained backend server or failure domain back into service.
struct ReturnRequest {
    Core::EditId id;
    ServiceTarget target;
    std::string author;
    std::string comment;

    bool operator==(ReturnRequest const&) const = default;
};
struct ServiceResponse {
    /// Backend servers that the operation applies to.
    std::vector<Core::ServerName> servers;

    bool operator==(ServiceResponse const&) const = default;
};

struct QuarantineEntry {
    Core::Digest fingerprint;
    Core::RouteName route;
    std::uint32_t crashes { 0 };
    /// Until the entry expires.
    Core::Duration remaining { 0 };

    bool operator==(QuarantineEntry const&) const = default;
};
struct QuarantineResponse {
    std::vector<QuarantineEntry> entries;

    bool operator==(QuarantineResponse const&) const = default;
};
struct LiftQuarantineRequest {
    Core::Digest fingerprint;
    std::string author;
};
struct LiftQuarantineResponse {
    bool operator==(LiftQuarantineResponse const&) const = default;
};

inline constexpr Core::Duration maxWait = std::chrono::seconds(60);
/// Waits until a revision is in effect everywhere.
struct WaitRequest {
    Core::Revision revision;
    Core::Duration timeout { std::chrono::seconds(10) };
};
struct WaitResponse {
    Core::Revision inEffectEverywhere;

    bool operator==(WaitResponse const&) const = default;
};

template <typename T> using OperatorResult = Core::Result<T, OperatorError>;

/// 32 lower-case hexadecimal digits.
std::string formatDigest(Core::Digest const&);
std::optional<Core::Digest> parseDigest(std::string_view);

} // namespace Operator
