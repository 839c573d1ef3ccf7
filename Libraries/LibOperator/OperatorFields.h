#pragma once

#include <LibOperator/JsonArchive.h>

/// The field names of docs/operator-api.md.
namespace Operator::Archive {

#define PRIMROSESHIFT_FIELDS(type, ...)                                                                                \
    constexpr auto fieldsOf(Tag<type>)                                                                                 \
    {                                                                                                                  \
        using T = type;                                                                                                \
        return std::tuple { __VA_ARGS__ };                                                                             \
    }

constexpr auto wordsOf(Tag<Routing::PoolKind>) { return Config::poolKindWords; }
constexpr auto wordsOf(Tag<Routing::RequestClass>) { return Config::requestClassWords; }
constexpr auto wordsOf(Tag<Routing::Priority>) { return Config::priorityWords; }
constexpr auto wordsOf(Tag<Routing::ServerState>)
{
    return std::array<std::string_view, 3> { "in-service", "draining", "out-of-service" };
}
constexpr auto wordsOf(Tag<Routing::SlotPhase>)
{
    return std::array<std::string_view, 3> { "unassigned", "owned", "releasing" };
}
constexpr auto wordsOf(Tag<DomainState>)
{
    return std::array<std::string_view, 4> { "in-service", "draining", "out-of-service", "returning" };
}
constexpr auto wordsOf(Tag<ChangeKind>) { return std::array<std::string_view, 3> { "added", "removed", "changed" }; }
constexpr auto wordsOf(Tag<Subject>)
{
    return std::array<std::string_view, 6> { "pool", "server", "domain", "revision", "fingerprint", "path" };
}
constexpr auto wordsOf(Tag<Telemetry::UsageGrouping>)
{
    return std::array<std::string_view, 4> { "pool", "route", "caller", "all" };
}

PRIMROSESHIFT_FIELDS(Routing::PoolDefinition, required("name", &T::name), defaulted("kind", &T::kind),
    defaulted("slots", &T::slotCount), defaulted("dispatchGroups", &T::dispatchGroups))
PRIMROSESHIFT_FIELDS(Routing::HeaderCondition, required("name", &T::name), defaulted("value", &T::value))
PRIMROSESHIFT_FIELDS(Routing::RouteDefinition, required("name", &T::name), required("pool", &T::pool),
    defaulted("host", &T::host), defaulted("methods", &T::methods), defaulted("path", &T::pathPrefix),
    defaulted("header", &T::header), defaulted("key", &T::key), defaulted("class", &T::requestClass),
    defaulted("priority", &T::priority), defaulted("deadline", &T::deadline), defaulted("maxBody", &T::maxBodyBytes))
PRIMROSESHIFT_FIELDS(Routing::BackendServer, required("name", &T::name), required("pool", &T::pool),
    required("endpoint", &T::endpoint), required("failureDomain", &T::failureDomain),
    required("incarnation", &T::incarnation), required("slots", &T::slots), required("connections", &T::connections),
    required("checksFencing", &T::checksFencing), required("state", &T::state))

PRIMROSESHIFT_FIELDS(ControlHostStatus, required("name", &T::name), required("failureDomain", &T::failureDomain),
    required("isLeader", &T::isLeader), required("isVoter", &T::isVoter), required("isReachable", &T::isReachable),
    required("lag", &T::lag))
PRIMROSESHIFT_FIELDS(EntryHostStatus, required("name", &T::name), required("failureDomain", &T::failureDomain),
    required("appliedRevision", &T::appliedRevision), required("hasLease", &T::hasLease))
PRIMROSESHIFT_FIELDS(StatusResponse, required("cluster", &T::cluster), required("host", &T::host),
    required("leader", &T::leader), required("term", &T::term), required("hasQuorum", &T::hasQuorum),
    required("revision", &T::revision), required("inEffectEverywhere", &T::inEffectEverywhere),
    required("controlHosts", &T::controlHosts), required("entryHosts", &T::entryHosts))

PRIMROSESHIFT_FIELDS(PoolStatus, required("definition", &T::definition),
    required("serversInService", &T::serversInService), required("serversDraining", &T::serversDraining),
    required("serversOutOfService", &T::serversOutOfService), required("slotsOwned", &T::slotsOwned),
    required("slotsReleasing", &T::slotsReleasing), required("slotsUnassigned", &T::slotsUnassigned))
PRIMROSESHIFT_FIELDS(PoolsResponse, required("revision", &T::revision), required("pools", &T::pools))
PRIMROSESHIFT_FIELDS(RoutesResponse, required("revision", &T::revision), required("routes", &T::routes))

PRIMROSESHIFT_FIELDS(BackendStatus, required("server", &T::server), required("ownedSlots", &T::ownedSlots),
    required("inFlight", &T::inFlight), required("limit", &T::limit), required("isEjected", &T::isEjected),
    required("silence", &T::silence))
PRIMROSESHIFT_FIELDS(BackendsResponse, required("backends", &T::backends))
PRIMROSESHIFT_FIELDS(DomainStatus, required("name", &T::name), required("state", &T::state),
    required("servers", &T::servers), required("serversInService", &T::serversInService),
    required("inFlight", &T::inFlight))
PRIMROSESHIFT_FIELDS(DomainsResponse, required("domains", &T::domains))
PRIMROSESHIFT_FIELDS(OwnerRange, required("first", &T::first), required("last", &T::last), required("phase", &T::phase),
    required("epoch", &T::epoch), required("owner", &T::owner))
PRIMROSESHIFT_FIELDS(OwnersResponse, required("pool", &T::pool), required("ranges", &T::ranges))

PRIMROSESHIFT_FIELDS(
    Telemetry::UsageKey, required("pool", &T::pool), required("route", &T::route), required("caller", &T::caller))
PRIMROSESHIFT_FIELDS(Telemetry::UsageCounters, required("answered", &T::answered), required("notRun", &T::notRun),
    required("unknown", &T::unknown), required("bytesFromCaller", &T::bytesFromCaller),
    required("bytesToCaller", &T::bytesToCaller), required("serverBusyMicroseconds", &T::serverBusyMicroseconds),
    required("retries", &T::retries), required("hedges", &T::hedges))
PRIMROSESHIFT_FIELDS(Telemetry::UsageRow, required("key", &T::key), required("counters", &T::counters))
PRIMROSESHIFT_FIELDS(UsageResponse, required("corruptRecords", &T::corruptRecords), required("rows", &T::rows))

PRIMROSESHIFT_FIELDS(HistoryEntry, required("revision", &T::revision), required("id", &T::id),
    required("author", &T::author), required("comment", &T::comment), required("acceptedAt", &T::acceptedAt))
PRIMROSESHIFT_FIELDS(HistoryResponse, required("entries", &T::entries))
PRIMROSESHIFT_FIELDS(
    TablesResponse, required("revision", &T::revision), required("pools", &T::pools), required("routes", &T::routes))
PRIMROSESHIFT_FIELDS(Change<Routing::PoolDefinition>, required("kind", &T::kind), required("before", &T::before),
    required("after", &T::after))
PRIMROSESHIFT_FIELDS(Change<Routing::RouteDefinition>, required("kind", &T::kind), required("before", &T::before),
    required("after", &T::after))
PRIMROSESHIFT_FIELDS(DiffResponse, required("from", &T::from), required("to", &T::to), required("pools", &T::pools),
    required("routes", &T::routes))

PRIMROSESHIFT_FIELDS(EditRequest, required("id", &T::id), required("base", &T::base), required("author", &T::author),
    defaulted("comment", &T::comment), required("pools", &T::pools), required("routes", &T::routes))
PRIMROSESHIFT_FIELDS(EditResponse, required("revision", &T::revision), required("isRepeated", &T::isRepeated))
PRIMROSESHIFT_FIELDS(ServiceResponse, required("servers", &T::servers))
PRIMROSESHIFT_FIELDS(QuarantineEntry, required("fingerprint", &T::fingerprint), required("route", &T::route),
    required("crashes", &T::crashes), required("remaining", &T::remaining))
PRIMROSESHIFT_FIELDS(QuarantineResponse, required("entries", &T::entries))
PRIMROSESHIFT_FIELDS(LiftQuarantineRequest, required("fingerprint", &T::fingerprint), required("author", &T::author))
constexpr auto fieldsOf(Tag<LiftQuarantineResponse>) { return std::tuple {}; }
PRIMROSESHIFT_FIELDS(WaitResponse, required("inEffectEverywhere", &T::inEffectEverywhere))

/// Drains and returns name their target by one of two fields.
struct ServiceForm {
    Core::EditId id;
    std::optional<Core::ServerName> server;
    std::optional<Core::FailureDomain> domain;
    std::string author;
    std::string comment;
};
PRIMROSESHIFT_FIELDS(ServiceForm, required("id", &T::id), required("server", &T::server),
    required("domain", &T::domain), required("author", &T::author), defaulted("comment", &T::comment))

PRIMROSESHIFT_FIELDS(NotLeader, required("leader", &T::leader), required("endpoint", &T::endpoint))
PRIMROSESHIFT_FIELDS(Conflict, required("current", &T::current))
PRIMROSESHIFT_FIELDS(EditIdReused, required("id", &T::id))
PRIMROSESHIFT_FIELDS(InvalidEdit, required("reasons", &T::reasons))
PRIMROSESHIFT_FIELDS(NotFound, required("subject", &T::subject), required("name", &T::name))
PRIMROSESHIFT_FIELDS(Unavailable, required("reason", &T::reason))
PRIMROSESHIFT_FIELDS(Timeout, required("waited", &T::waited))
PRIMROSESHIFT_FIELDS(BadRequest, required("field", &T::field), required("reason", &T::reason))

#undef PRIMROSESHIFT_FIELDS

} // namespace Operator::Archive
