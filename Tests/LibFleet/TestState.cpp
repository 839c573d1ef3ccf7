#include "Builders.h"

#include <LibCore/Random.h>

#include <boost/test/unit_test.hpp>

using namespace TestFleet;
using namespace Fleet;

namespace {

Command routeChange(RouteItem route)
{
    Command command;
    command.items.emplace();
    command.items->routes.push_back(std::move(route));
    return command;
}

Command routeRemoval(std::string const& name, std::uint64_t version)
{
    Command command;
    command.items.emplace();
    command.items->removedRoutes.push_back({ name, version });
    return command;
}

Command poolRemoval(std::string const& name, std::uint64_t version)
{
    Command command;
    command.items.emplace();
    command.items->removedPools.push_back({ name, version });
    return command;
}

Command join(ServerRecord server)
{
    Command command;
    command.servers.joined.push_back(std::move(server));
    return command;
}

Command assign(std::uint32_t first, std::uint32_t last, ServerNumber owner)
{
    Command command;
    command.assignments.push_back({ lettersPool, first, last, owner, {} });
    return command;
}

WorkspaceItem makeWorkspace(std::string const& name, std::uint64_t version, std::vector<std::string> keys)
{
    WorkspaceItem item;
    item.name = { name };
    item.version = version;
    item.apiKeys = std::move(keys);
    item.document = "{\"Name\":\"" + name + "\"}";
    return item;
}

Command workspaceChange(std::vector<WorkspaceItem> workspaces)
{
    Command command;
    command.items.emplace();
    command.items->workspaces = std::move(workspaces);
    return command;
}

std::uint64_t versionOf(State const& state, std::string const& route) { return state.routes().at(route).version; }

} // namespace

BOOST_AUTO_TEST_SUITE(Items)

BOOST_AUTO_TEST_CASE(TheHighestVersionWinsInAnyOrder)
{
    State state;
    state.apply(configure());
    state.apply(routeChange(makeRoute("route", 9)));
    auto const late = state.apply(routeChange(makeRoute("route", 7)));
    BOOST_TEST(!late.error.has_value());
    BOOST_TEST(!late.hasChangedItems);
    BOOST_TEST(versionOf(state, "route") == 9);
}

BOOST_AUTO_TEST_CASE(OtherContentUnderTheSameVersionHasNoEffect)
{
    State state;
    state.apply(configure());
    auto other = makeRoute("route", 1, "/other/");
    state.apply(routeChange(other));
    BOOST_TEST(state.routes().at("route").item->prefix == "/a/");
}

BOOST_AUTO_TEST_CASE(ARemovedItemStaysRemovedForOlderVersions)
{
    State state;
    state.apply(configure());
    state.apply(routeRemoval("route", 5));
    state.apply(routeChange(makeRoute("route", 4)));
    BOOST_TEST(!state.routes().at("route").item.has_value());
    state.apply(routeChange(makeRoute("route", 6)));
    BOOST_TEST(state.routes().at("route").item.has_value());
}

BOOST_AUTO_TEST_CASE(ARemovalOfAnOlderVersionHasNoEffect)
{
    State state;
    state.apply(configure());
    state.apply(routeChange(makeRoute("route", 8)));
    state.apply(routeRemoval("route", 3));
    BOOST_TEST(state.routes().at("route").item.has_value());
}

BOOST_AUTO_TEST_CASE(AChangeWithAnUnknownPoolIsRejectedAsAWhole)
{
    State state;
    state.apply(configure());
    auto command = routeChange(makeRoute("good", 2));
    auto bad = makeRoute("bad", 2);
    bad.shares = { { { "nowhere" }, 1 } };
    command.items->routes.push_back(bad);
    BOOST_TEST(state.apply(command).error.has_value());
    BOOST_TEST(!state.routes().contains("good"));
}

// A removal leaves a record of the pool's version, which was taken for the pool: a route to a pool that never existed,
// or no longer does, was acknowledged.
BOOST_AUTO_TEST_CASE(ARouteToARemovedPoolIsRejected)
{
    State state;
    state.apply(configure());
    state.apply(poolRemoval("nowhere", 3));
    auto route = makeRoute("bad", 2);
    route.shares = { { { "nowhere" }, 1 } };
    BOOST_TEST(state.apply(routeChange(route)).error.has_value());
    state.apply(routeRemoval("route", 4));
    BOOST_TEST(!state.apply(poolRemoval(lettersPool.value, 4)).error.has_value());
    BOOST_TEST(state.apply(routeChange(makeRoute("bad", 2))).error.has_value());
    BOOST_TEST(!state.routes().contains("bad"));
}

BOOST_AUTO_TEST_CASE(ARouteToAPoolThatTheSameChangeDoesNotLeaveInPlaceIsRejected)
{
    State state;
    state.apply(configure());
    auto removing = routeChange(makeRoute("bad", 2));
    removing.items->removedPools.push_back({ lettersPool.value, 5 });
    BOOST_TEST(state.apply(removing).error.has_value());
    BOOST_TEST(state.findPool(lettersPool) != nullptr);
    state.apply(routeRemoval("route", 4));
    BOOST_TEST(!state.apply(poolRemoval(lettersPool.value, 5)).error.has_value());
    auto outdated = routeChange(makeRoute("bad", 2));
    outdated.items->pools.push_back(makePool(4));
    BOOST_TEST(state.apply(outdated).error.has_value());
    outdated.items->pools.front().version = 6;
    BOOST_TEST(!state.apply(outdated).error.has_value());
}

// An operator whose acknowledgement was lost sends the change again, whatever was changed since.
BOOST_AUTO_TEST_CASE(AnAcceptedChangeIsNeverRejectedWhenItComesAgain)
{
    State state;
    auto const first = configure();
    BOOST_TEST(!state.apply(first).error.has_value());
    auto const second = routeChange(makeRoute("route", 7));
    BOOST_TEST(!state.apply(second).error.has_value());
    auto third = poolRemoval(lettersPool.value, 9);
    third.items->removedRoutes.push_back({ "route", 8 });
    BOOST_TEST(!state.apply(third).error.has_value());
    for (Command const* const command : { &first, &second, &std::as_const(third) })
        BOOST_TEST(!state.apply(*command).error.has_value());
    BOOST_TEST(state.findPool(lettersPool) == nullptr);
}

// CONFIG of issue 42: the removal of a pool left routes that name an unknown one, and was acknowledged.
// Guards against calls that change nothing and take room in the log.
BOOST_AUTO_TEST_CASE(AChangeIsInEffectOnceEachOfItsItemsIs)
{
    State state;
    auto const change = *configure().items;
    BOOST_TEST(!state.isInEffect(change));
    state.apply(configure());
    BOOST_TEST(state.isInEffect(change));
    auto newer = change;
    newer.routes.push_back(makeRoute("other", 1));
    BOOST_TEST(!state.isInEffect(newer));
    auto withRemoval = change;
    withRemoval.removedRoutes.push_back({ "route", 1 });
    BOOST_TEST(state.isInEffect(withRemoval));
    withRemoval.removedRoutes.front().version = 2;
    BOOST_TEST(!state.isInEffect(withRemoval));
    auto withLimits = change;
    withLimits.limits.emplace().version = 1;
    BOOST_TEST(!state.isInEffect(withLimits));
}

// An invalid change must be rejected each time, also when it would change nothing.
BOOST_AUTO_TEST_CASE(AnInvalidChangeIsNeverInEffect)
{
    State state;
    state.apply(configure());
    auto change = *configure().items;
    change.routes.front().shares = { { { "unknown" }, 1 } };
    BOOST_TEST(!state.isInEffect(change));
    BOOST_TEST(state.apply({ .items = change }).error.has_value());
}

BOOST_AUTO_TEST_CASE(TheMemoryOfItemsFollowsTheirTexts)
{
    constexpr std::size_t documentBytes = 10'000;
    State state;
    state.apply(configure());
    auto const before = state.itemBytes();
    ItemChange change;
    change.routes.push_back(makeRoute("route", 2));
    change.routes.front().document = std::string(documentBytes, 'd');
    auto const after = state.itemBytesAfter(change);
    BOOST_TEST(after > before + documentBytes / 2);
    state.apply({ .items = change });
    BOOST_TEST(state.itemBytes() == after);
    // What is in effect takes nothing more.
    BOOST_TEST(state.itemBytesAfter(change) == after);
    state.apply(routeRemoval("route", 3));
    BOOST_TEST(state.itemBytes() <= before + documentBytes / 10);
}

BOOST_AUTO_TEST_CASE(TheRemovalOfAPoolThatARouteNamesIsRejected)
{
    State state;
    state.apply(configure());
    BOOST_TEST(state.apply(poolRemoval(lettersPool.value, 5)).error.has_value());
    BOOST_TEST(state.findPool(lettersPool) != nullptr);
    // A removal of the route that has no effect does not help.
    auto together = poolRemoval(lettersPool.value, 5);
    together.items->removedRoutes.push_back({ "route", 1 });
    BOOST_TEST(state.apply(together).error.has_value());
    // One that moves the route to another pool does.
    auto moving = poolRemoval(lettersPool.value, 5);
    moving.items->pools.push_back(makePool());
    moving.items->pools.front().name = { "parcels" };
    moving.items->routes.push_back(makeRoute("route", 2));
    moving.items->routes.front().shares = { { { "parcels" }, 1 } };
    BOOST_TEST(!state.apply(moving).error.has_value());
    BOOST_TEST(state.findPool(lettersPool) == nullptr);
    // It is accepted again when it comes again, as is the removal of what never existed.
    BOOST_TEST(!state.apply(moving).error.has_value());
    BOOST_TEST(!state.apply(poolRemoval("nowhere", 5)).error.has_value());
}

BOOST_AUTO_TEST_CASE(TheRemovalOfAPoolThatARouteNamesInAnOlderLogKeepsItsEffect)
{
    State state;
    state.apply(configure());
    nlohmann::json encoded = poolRemoval(lettersPool.value, 3);
    encoded["items"].erase("rejectsUsedPools");
    auto const logged = decode<Command>(encode(encoded));
    BOOST_REQUIRE(logged.has_value());
    BOOST_TEST(!state.apply(*logged).error.has_value());
    BOOST_TEST(state.findPool(lettersPool) == nullptr);
}

BOOST_AUTO_TEST_CASE(AnOutdatedRouteToAPoolThatNeverExistedIsRejected)
{
    State state;
    state.apply(configure());
    auto route = makeRoute("route", 1);
    route.shares = { { { "nowhere" }, 1 } };
    BOOST_TEST(state.apply(routeChange(route)).error.has_value());
}

// A log that an earlier software version wrote gives the state that was acknowledged then.
BOOST_AUTO_TEST_CASE(ARouteToARemovedPoolInAnOlderLogKeepsItsEffect)
{
    State state;
    state.apply(configure());
    state.apply(routeRemoval("route", 3));
    state.apply(poolRemoval(lettersPool.value, 3));
    nlohmann::json encoded = routeChange(makeRoute("old", 2));
    encoded["items"].erase("rejectsRemovedPools");
    auto const logged = decode<Command>(encode(encoded));
    BOOST_REQUIRE(logged.has_value());
    BOOST_TEST(!state.apply(*logged).error.has_value());
    BOOST_TEST(state.routes().contains("old"));
}

// CONFIG of issue 42: workspaces were acknowledged and not kept.
BOOST_AUTO_TEST_CASE(WorkspacesAreItemsWithVersions)
{
    State state;
    auto const first = workspaceChange({ makeWorkspace("a", 5, { "k1", "k1" }), makeWorkspace("b", 5, {}) });
    BOOST_TEST(state.apply(first).workspaces.size() == 2);
    BOOST_TEST(state.itemRevision() == 1);
    BOOST_TEST(state.apply(workspaceChange({ makeWorkspace("a", 5, { "k2" }) })).workspaces.empty());
    BOOST_TEST(state.workspaces().at("a").item->apiKeys.front() == "k1");
    Command removal;
    removal.items.emplace();
    removal.items->removedWorkspaces.push_back({ "a", 7 });
    BOOST_TEST(state.apply(removal).hasChangedItems);
    state.apply(workspaceChange({ makeWorkspace("a", 6, { "k3" }) }));
    BOOST_TEST(!state.workspaces().at("a").item.has_value());
    State restored;
    BOOST_REQUIRE(restored.restore(state.snapshot()));
    BOOST_TEST(restored.workspaces().at("a").version == 7);
    BOOST_TEST(restored.workspaces().at("b").item.has_value());
}

BOOST_AUTO_TEST_CASE(TwoWorkspacesWithOneKeyAreRejectedAsAWhole)
{
    State state;
    BOOST_TEST(state.apply(workspaceChange({ makeWorkspace("a", 1, { "k" }), makeWorkspace("b", 1, { "k" }) }))
                   .error.has_value());
    BOOST_TEST(state.workspaces().empty());
    BOOST_TEST(!state.apply(workspaceChange({ makeWorkspace("a", 2, { "k" }) })).error.has_value());
    BOOST_TEST(state.apply(workspaceChange({ makeWorkspace("b", 3, { "other", "k" }) })).error.has_value());
    // A key may move in one change, and after its first holder has given it up or is removed.
    auto const moving = workspaceChange({ makeWorkspace("a", 4, {}), makeWorkspace("b", 4, { "k" }) });
    BOOST_TEST(!state.apply(moving).error.has_value());
    auto removing = workspaceChange({ makeWorkspace("c", 5, { "k" }) });
    BOOST_TEST(state.apply(removing).error.has_value());
    removing.items->removedWorkspaces.push_back({ "b", 5 });
    BOOST_TEST(!state.apply(removing).error.has_value());
    // What was accepted is accepted when it comes again, whoever has the key now.
    BOOST_TEST(!state.apply(workspaceChange({ makeWorkspace("a", 2, { "k" }) })).error.has_value());
    BOOST_TEST(!state.apply(moving).error.has_value());
    BOOST_TEST(state.workspaces().at("c").item->apiKeys.front() == "k");
}

BOOST_AUTO_TEST_CASE(ALogOfAnEarlierVersionHasNoWorkspaces)
{
    nlohmann::json encoded = configure();
    encoded["items"].erase("workspaces");
    encoded["items"].erase("removedWorkspaces");
    auto const logged = decode<Command>(encode(encoded));
    BOOST_REQUIRE(logged.has_value());
    State state;
    BOOST_TEST(!state.apply(*logged).error.has_value());
    nlohmann::json snapshot = state;
    snapshot.erase("workspaces");
    BOOST_TEST(state.restore(encode(snapshot)));
}

BOOST_AUTO_TEST_CASE(SnapshotsHoldEverything)
{
    State state;
    state.apply(configure());
    state.apply(routeRemoval("gone", 4));
    state.apply(join(makeServer(1)));
    state.apply(assign(0, 99, 1));
    Command evacuation;
    evacuation.domain = DomainChange { { "odd" }, true };
    state.apply(evacuation);
    State copy;
    BOOST_TEST(copy.restore(state.snapshot()));
    BOOST_TEST(copy.snapshot() == state.snapshot());
    BOOST_TEST(copy.routes().at("gone").version == 4);
    BOOST_TEST(copy.evacuated().contains("odd"));
}

BOOST_AUTO_TEST_CASE(AnInvalidSnapshotHasNoEffect)
{
    State state;
    state.apply(configure());
    auto const before = state.snapshot();
    BOOST_TEST(!state.restore("not a snapshot"));
    BOOST_TEST(state.snapshot() == before);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Servers)

BOOST_AUTO_TEST_CASE(ANewerIncarnationAtTheAddressReplacesTheOlderOneAndFreesItsKeys)
{
    State state;
    state.apply(configure());
    state.apply(join(makeServer(1, 1000)));
    state.apply(assign(0, keyCount - 1, 1));
    auto const applied = state.apply(join(makeServer(1, 2000)));
    BOOST_TEST(applied.removedServers == std::vector<ServerNumber> { 1 }, boost::test_tools::per_element());
    BOOST_TEST(state.servers().size() == 1);
    BOOST_TEST(state.keyRanges(lettersPool).front().owner == 0);
}

BOOST_AUTO_TEST_CASE(ADelayedRegistrationOfAnEndedIncarnationIsIgnored)
{
    State state;
    state.apply(configure());
    state.apply(join(makeServer(1, 2000)));
    auto const applied = state.apply(join(makeServer(1, 1000)));
    BOOST_TEST(applied.joined.empty());
    BOOST_TEST(state.servers().begin()->second.bornMs == 2000);
}

BOOST_AUTO_TEST_CASE(ARemovedServerIsRecordedAndKeepsItsRangesUntilTheyAreMoved)
{
    State state;
    state.apply(configure());
    auto const server = makeServer(1);
    state.apply(join(server));
    state.apply(assign(0, 9, 1));
    Command leave;
    leave.servers.removed.push_back(1);
    state.apply(leave);
    BOOST_TEST(state.hasDeparted(server.name, server.bornMs));
    BOOST_TEST(!state.hasDeparted(server.name, server.bornMs + 1));
    // The lease of the server may not have expired, so the range must not appear unowned.
    BOOST_TEST(state.keyRanges(lettersPool).front().owner == 1);
}

BOOST_AUTO_TEST_CASE(ARemovedProcessAndItsDrainAreKnown)
{
    State state;
    state.apply(configure());
    auto server = makeServer(1);
    state.apply(join(server));
    Command command;
    command.servers.draining.push_back(1);
    state.apply(command);
    command = {};
    command.servers.removed.push_back(1);
    state.apply(command);
    State restored;
    BOOST_REQUIRE(restored.restore(state.snapshot()));
    auto const* const departed = restored.findDeparted(server.name, server.bornMs);
    BOOST_REQUIRE(departed);
    BOOST_TEST(departed->process == 1U);
    BOOST_TEST(departed->wasDraining);
    BOOST_TEST(restored.findDeparted(server.name, server.bornMs + 1) == nullptr);
    server.firstNumber = departed->process;
    restored.apply(join(server));
    auto const* const returned = restored.findServer(server.name);
    BOOST_REQUIRE(returned);
    BOOST_TEST(returned->number == 2U);
    BOOST_TEST(returned->process() == 1U);
}

BOOST_AUTO_TEST_CASE(ServersInSnapshotsOfEarlierVersionsHaveNotReturned)
{
    State state;
    state.apply(configure());
    state.apply(join(makeServer(1)));
    nlohmann::json snapshot = state;
    for (auto& entry : snapshot.at("servers"))
        entry.at(1).erase("firstNumber");
    BOOST_REQUIRE(state.restore(encode(snapshot)));
    BOOST_TEST(state.findServer(1)->process() == 1U);
}

BOOST_AUTO_TEST_CASE(AReplacedIncarnationIsKnownToHaveEnded)
{
    State state;
    state.apply(configure());
    auto earlier = makeServer(1, 1000);
    auto later = earlier;
    later.bornMs = 2000;
    state.apply(join(earlier));
    state.apply(join(later));
    BOOST_TEST(state.isSuperseded(earlier.name, earlier.bornMs));
    Command leave;
    leave.servers.removed.push_back(2);
    state.apply(leave);
    BOOST_TEST(state.hasDeparted(later.name, later.bornMs));
    BOOST_TEST(!state.isSuperseded(later.name, later.bornMs));
    State restored;
    BOOST_REQUIRE(restored.restore(state.snapshot()));
    BOOST_TEST(restored.isSuperseded(earlier.name, earlier.bornMs));
    BOOST_TEST(!restored.isSuperseded(later.name, later.bornMs));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(KeyRanges)

BOOST_AUTO_TEST_CASE(RangesAlwaysCoverAllKeysAndFencesRise)
{
    State state;
    state.apply(configure());
    state.apply(join(makeServer(1)));
    state.apply(join(makeServer(2)));
    Core::Random random(7);
    std::uint64_t lastFence = 0;
    for (int i = 0; i < 500; ++i) {
        auto const a = static_cast<std::uint32_t>(random.below(keyCount));
        auto const b = static_cast<std::uint32_t>(random.below(keyCount));
        auto const first = std::min(a, b);
        state.apply(assign(first, std::max(a, b), 1 + static_cast<ServerNumber>(random.below(2))));
        std::uint32_t next = 0;
        for (auto const& range : state.keyRanges(lettersPool)) {
            BOOST_REQUIRE_EQUAL(range.first, next);
            BOOST_REQUIRE_LE(range.first, range.last);
            next = range.last + 1;
            if (range.first == first)
                BOOST_REQUIRE_GT(range.fence, lastFence);
        }
        BOOST_REQUIRE_EQUAL(next, keyCount);
        lastFence = std::ranges::max(state.keyRanges(lettersPool), {}, &KeyRange::fence).fence;
    }
}

BOOST_AUTO_TEST_CASE(AnAssignmentToARemovedServerIsIgnored)
{
    State state;
    state.apply(configure());
    BOOST_TEST(state.apply(assign(0, 5, 12)).assignments.empty());
    BOOST_TEST(state.keyRanges(lettersPool).empty());
}

BOOST_AUTO_TEST_SUITE_END()
