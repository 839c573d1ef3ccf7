#include "Builders.h"

#include <LibFleet/View.h>

#include <boost/test/unit_test.hpp>

using namespace TestFleet;
using namespace Fleet;

namespace {

Core::TimePoint const start { 1000s };

ViewUpdate workspaceUpdate(std::string const& name, std::uint64_t version, std::vector<std::string> keys)
{
    WorkspaceItem item;
    item.name = { name };
    item.version = version;
    item.apiKeys = std::move(keys);
    ViewUpdate update;
    update.workspaces.push_back({ name, { version, item } });
    return update;
}

ViewUpdate workspaceRemoval(std::string const& name, std::uint64_t version)
{
    ViewUpdate update;
    update.workspaces.push_back({ name, { version, std::nullopt } });
    return update;
}

std::string holderOf(View const& view, std::string_view key)
{
    auto const* const workspace = view.findWorkspace(key);
    return workspace ? workspace->name.value : std::string();
}

} // namespace

// Guards against keys that stay in use after a new version of their workspace without them.
BOOST_AUTO_TEST_CASE(KeysAreAddedMovedAndRemovedByNewVersions)
{
    View view(7);
    BOOST_TEST(!view.hasWorkspaces());
    view.apply(workspaceUpdate("a", 1, { "k1", "k2" }), start);
    BOOST_TEST(view.hasWorkspaces());
    BOOST_TEST(holderOf(view, "k1") == "a");
    BOOST_TEST(holderOf(view, "k") == "");
    BOOST_TEST(holderOf(view, "") == "");
    view.apply(workspaceUpdate("a", 2, { "k2" }), start);
    view.apply(workspaceUpdate("b", 1, { "k1" }), start);
    BOOST_TEST(holderOf(view, "k1") == "b");
    BOOST_TEST(holderOf(view, "k2") == "a");
    // An older version has no effect.
    view.apply(workspaceUpdate("a", 1, { "k1", "k2" }), start);
    BOOST_TEST(holderOf(view, "k1") == "b");
    view.apply(workspaceRemoval("b", 2), start);
    BOOST_TEST(holderOf(view, "k1") == "");
    // A workspace whose keys were all removed does not open the routes to callers without a key.
    view.apply(workspaceUpdate("a", 3, {}), start);
    BOOST_TEST(holderOf(view, "k2") == "");
    BOOST_TEST(view.hasWorkspaces());
}

// Guards against a field of a workspace or a route that is lost on its way from the control leader.
BOOST_AUTO_TEST_CASE(WorkspacesAndPublicRoutesArriveAtEntryHosts)
{
    State state;
    Command command;
    auto& items = command.items.emplace();
    WorkspaceItem workspace;
    workspace.name = { "a" };
    workspace.version = 3;
    workspace.apiKeys = { "k1", "k2" };
    workspace.priority = 0;
    workspace.ratePerSecond = 12.5;
    workspace.burst = 4;
    items.workspaces.push_back(workspace);
    items.pools.push_back(makePool());
    for (auto const isPublic : { false, true }) {
        auto route = makeRoute(isPublic ? "open" : "closed", 1, isPublic ? "/open/" : "/closed/");
        route.isPublic = isPublic;
        items.routes.push_back(route);
    }
    auto const applied = state.apply(command);
    BOOST_REQUIRE(!applied.error);
    Coordinator const coordinator(state, {}, start);
    ViewUpdate update;
    addChanges(update, state, coordinator, command, applied, start);
    for (auto const& sent : { update, makeFullUpdate(state, coordinator, 0, start) }) {
        View view(1);
        view.apply(decode<ViewUpdate>(encode(sent)).value(), start);
        auto const* const found = view.findWorkspace("k2");
        BOOST_REQUIRE(found);
        BOOST_TEST(found->priority.value_or(9) == 0);
        BOOST_TEST(found->ratePerSecond == 12.5);
        BOOST_TEST(found->burst == 4);
        BOOST_TEST(view.findRoute("host.example", "/open/x")->isPublic);
        BOOST_TEST(!view.findRoute("host.example", "/closed/x")->isPublic);
        BOOST_TEST(view.findRoute("host.example", "/open/x")->shares.size() == 1);
    }
    // What an entry host has is not sent again.
    BOOST_TEST(makeFullUpdate(state, coordinator, state.itemRevision(), start).workspaces.empty());
}

// Guards against logs of earlier versions that cannot be read, which would end a control host at its start.
BOOST_AUTO_TEST_CASE(ItemsOfEarlierVersionsAreRead)
{
    WorkspaceItem workspace;
    workspace.name = { "a" };
    workspace.apiKeys = { "k" };
    nlohmann::json encoded = workspace;
    for (auto const* const field : { "priority", "ratePerSecond", "burst" })
        encoded.erase(field);
    auto const read = encoded.get<WorkspaceItem>();
    BOOST_TEST(read.apiKeys.size() == 1);
    BOOST_TEST(!read.priority.has_value());
    BOOST_TEST(read.ratePerSecond == 0);
    nlohmann::json route = makeRoute("r", 1, "/r/");
    route.erase("isPublic");
    BOOST_TEST(!route.get<RouteItem>().isPublic);
}
