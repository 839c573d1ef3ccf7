#include "Command.h"
#include "Table.h"

#include <LibConfig/TableText.h>
#include <LibConfig/TablesDocument.h>
#include <LibConfig/Units.h>
#include <LibTelemetry/EventLine.h>

#include <array>
#include <charconv>

namespace Ctl {

namespace {

    template <typename T> std::string toText(T number) { return std::to_string(number); }
    template <typename Tag> std::string toText(Core::Number<Tag> const& number) { return std::to_string(number.value); }
    std::string toText(bool flag) { return flag ? "yes" : "no"; }

    std::string toText(Routing::ServerState state)
    {
        constexpr std::array words { "in-service", "draining", "out-of-service" };
        return words.at(static_cast<std::size_t>(state));
    }
    std::string toText(Routing::SlotPhase phase)
    {
        constexpr std::array words { "unassigned", "owned", "releasing" };
        return words.at(static_cast<std::size_t>(phase));
    }
    std::string toText(Operator::DomainState state)
    {
        constexpr std::array words { "in-service", "draining", "out-of-service", "returning" };
        return words.at(static_cast<std::size_t>(state));
    }
    std::string toText(Operator::ChangeKind kind)
    {
        constexpr std::array words { "added", "removed", "changed" };
        return words.at(static_cast<std::size_t>(kind));
    }

    ExitCode runStatus(Context const& context)
    {
        context.expectNoArguments();
        return show(context, context.client().status(), [](Operator::StatusResponse const& status) {
            std::cout << "cluster " << status.cluster.value << ", answered by " << status.host.value << "\n"
                      << "leader " << (status.leader ? status.leader->value : "not known") << ", term " << status.term
                      << ", quorum " << toText(status.hasQuorum) << "\n"
                      << "revision " << status.revision.value << ", in effect everywhere "
                      << status.inEffectEverywhere.value << "\n\n";
            Table control({ "CONTROL HOST", "DOMAIN", "LEADER", "VOTER", "REACHABLE", "LAG" });
            for (auto const& host : status.controlHosts)
                control.add({ host.name.value, host.failureDomain.value, toText(host.isLeader), toText(host.isVoter),
                    toText(host.isReachable), toText(host.lag) });
            control.print(std::cout);
            std::cout << "\n";
            Table entry({ "ENTRY HOST", "DOMAIN", "APPLIED", "LEASE" });
            for (auto const& host : status.entryHosts)
                entry.add(
                    { host.name.value, host.failureDomain.value, toText(host.appliedRevision), toText(host.hasLease) });
            entry.print(std::cout);
        });
    }

    ExitCode runPools(Context const& context)
    {
        context.expectNoArguments();
        return show(context, context.client().pools(), [](Operator::PoolsResponse const& response) {
            Table table(
                { "POOL", "KIND", "SLOTS", "OWNED", "RELEASING", "UNASSIGNED", "IN SERVICE", "DRAINING", "OUT" });
            for (auto const& pool : response.pools) {
                auto const isKeyed = pool.definition.kind == Routing::PoolKind::KeyPartitioned;
                table.add({ pool.definition.name.value, isKeyed ? "key-partitioned" : "any-server",
                    isKeyed ? toText(pool.definition.slotCount) : "", toText(pool.slotsOwned),
                    toText(pool.slotsReleasing), toText(pool.slotsUnassigned), toText(pool.serversInService),
                    toText(pool.serversDraining), toText(pool.serversOutOfService) });
            }
            table.print(std::cout);
        });
    }

    ExitCode runRoutes(Context const& context)
    {
        context.expectNoArguments();
        return show(context, context.client().routes(), [](Operator::RoutesResponse const& response) {
            Table table({ "ROUTE", "POOL", "HOST", "METHODS", "PATH", "KEY", "CLASS", "DEADLINE" });
            for (auto const& route : response.routes) {
                table.add({ route.name.value, route.pool.value, route.host, Config::formatMethods(route.methods),
                    route.pathPrefix, Config::formatKeySource(route.key),
                    std::string(Config::requestClassWords.at(static_cast<std::size_t>(route.requestClass))),
                    Config::formatDuration(route.deadline) });
            }
            table.print(std::cout);
        });
    }

    ExitCode runBackends(Context const& context)
    {
        context.expectNoArguments();
        Operator::BackendsRequest request;
        if (auto pool = context.text("pool"))
            request.pool = Core::PoolName { std::move(*pool) };
        return show(context, context.client().backends(request), [](Operator::BackendsResponse const& response) {
            Table table({ "SERVER", "POOL", "ADDRESS", "DOMAIN", "STATE", "SLOTS OWNED", "IN FLIGHT", "LIMIT",
                "EJECTED", "SILENT" });
            for (auto const& [server, owned, inFlight, limit, isEjected, silence] : response.backends)
                table.add({ server.name.value, server.pool.value, server.endpoint.toString(),
                    server.failureDomain.value, toText(server.state), toText(owned), toText(inFlight), toText(limit),
                    toText(isEjected), toText(Core::toMilliseconds(silence)) + "ms" });
            table.print(std::cout);
        });
    }

    ExitCode runDomains(Context const& context)
    {
        context.expectNoArguments();
        return show(context, context.client().domains(), [](Operator::DomainsResponse const& response) {
            Table table({ "DOMAIN", "STATE", "SERVERS", "IN SERVICE", "IN FLIGHT" });
            for (auto const& domain : response.domains)
                table.add({ domain.name.value, toText(domain.state), toText(domain.servers),
                    toText(domain.serversInService), toText(domain.inFlight) });
            table.print(std::cout);
        });
    }

    ExitCode runOwners(Context const& context)
    {
        Operator::OwnersRequest const request { { context.soleArgument("POOL") }, context.text("key") };
        return show(context, context.client().owners(request), [](Operator::OwnersResponse const& response) {
            Table table({ "SLOTS", "PHASE", "EPOCH", "OWNER" });
            for (auto const& range : response.ranges)
                table.add({ toText(range.first) + "-" + toText(range.last), toText(range.phase), toText(range.epoch),
                    range.owner.value });
            table.print(std::cout);
        });
    }

    ExitCode runHistory(Context const& context)
    {
        context.expectNoArguments();
        Operator::HistoryRequest request;
        auto const limit = context.number("limit").value_or(Operator::defaultHistoryEntries);
        request.limit = static_cast<std::uint32_t>(std::min<std::uint64_t>(limit, Operator::maxHistoryEntries));
        if (auto const before = context.number("before"))
            request.before = Core::Revision { *before };
        return show(context, context.client().history(request), [](Operator::HistoryResponse const& response) {
            Table table({ "REVISION", "TIME", "AUTHOR", "EDIT", "COMMENT" });
            for (auto const& entry : response.entries)
                table.add({ toText(entry.revision), Telemetry::formatUtc(entry.acceptedAt), entry.author,
                    entry.id.value, entry.comment });
            table.print(std::cout);
        });
    }

    void printDefinition(char mark, Config::TablesDocument const& document)
    {
        auto const text = Config::formatTables(document);
        for (std::size_t at = 0; at < text.size();) {
            auto const end = text.find('\n', at);
            std::cout << mark << " " << text.substr(at, end - at) << "\n";
            at = end + 1;
        }
    }

    template <typename Definition>
    void printChanges(char const* kind, std::vector<Operator::Change<Definition>> const& changes)
    {
        auto const document = [](Definition const& definition) {
            if constexpr (std::is_same_v<Definition, Routing::PoolDefinition>)
                return Config::TablesDocument { { definition }, {} };
            else
                return Config::TablesDocument { {}, { definition } };
        };
        for (auto const& change : changes) {
            auto const& named = change.after ? *change.after : *change.before;
            std::cout << kind << " " << named.name.value << " " << toText(change.kind) << "\n";
            if (change.before)
                printDefinition('-', document(*change.before));
            if (change.after)
                printDefinition('+', document(*change.after));
        }
    }

    Core::Revision parseRevision(std::string const& text)
    {
        auto const number = Config::parseNumber(text);
        if (number.error)
            throw UsageError { "'" + text + "' is not a revision" };
        return { number.value };
    }

    ExitCode runDiff(Context const& context)
    {
        auto const arguments = context.arguments();
        if (arguments.size() != 2)
            throw UsageError { "two revisions are needed: FROM TO" };
        Operator::DiffRequest const request { parseRevision(arguments[0]), parseRevision(arguments[1]) };
        return show(context, context.client().diff(request), [](Operator::DiffResponse const& response) {
            printChanges("pool", response.pools);
            printChanges("route", response.routes);
        });
    }

    void addBackendsOptions(cxxopts::Options& options)
    {
        addClientOptions(options);
        options.add_options()("pool", "Only this pool", cxxopts::value<std::string>(), "NAME");
    }

    void addOwnersOptions(cxxopts::Options& options)
    {
        addClientOptions(options);
        options.add_options()("key", "Only the slot of this key", cxxopts::value<std::string>(), "KEY");
    }

    void addHistoryOptions(cxxopts::Options& options)
    {
        addClientOptions(options);
        options.add_options()("limit", "Number of entries, at most 1000", cxxopts::value<std::string>(), "NUMBER")(
            "before", "Only revisions below this one", cxxopts::value<std::string>(), "REVISION");
    }

} // namespace

std::span<Command const> showCommands()
{
    static std::array<Command, 8> const commands { {
        { "status", "", "Show the leader, the control hosts and the entry hosts", addClientOptions, runStatus },
        { "pools", "", "Show pools with their slots and backend servers", addClientOptions, runPools },
        { "routes", "", "Show routes", addClientOptions, runRoutes },
        { "backends", "", "Show backend servers", addBackendsOptions, runBackends },
        { "domains", "", "Show failure domains", addClientOptions, runDomains },
        { "owners", "POOL", "Show the owners of a pool's slots", addOwnersOptions, runOwners },
        { "history", "", "Show accepted edits, newest first", addHistoryOptions, runHistory },
        { "diff", "FROM TO", "Show the changes between two revisions", addClientOptions, runDiff },
    } };
    return commands;
}

} // namespace Ctl
