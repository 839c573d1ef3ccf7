#include "Builders.h"

#include <LibFleet/View.h>

#include <boost/test/unit_test.hpp>

using namespace TestFleet;
using namespace Fleet;

namespace {

ViewUpdate routeUpdate(RouteItem const& route)
{
    ViewUpdate update;
    update.routes.push_back({ route.name.value, { route.version, route } });
    return update;
}

Core::TimePoint const start { 1000s };

} // namespace

BOOST_AUTO_TEST_CASE(TheLongestPrefixSelectsTheRoute)
{
    View view;
    view.apply(routeUpdate(makeRoute("short", 1, "/a/")), start);
    view.apply(routeUpdate(makeRoute("long", 1, "/a/b/")), start);
    BOOST_TEST(view.findRoute("host.example", "/a/b/c")->name.value == "long");
    BOOST_TEST(view.findRoute("host.example", "/a/c")->name.value == "short");
    BOOST_TEST(view.findRoute("host.example", "/a") == nullptr);
    BOOST_TEST(view.findRoute("other.example", "/a/") == nullptr);
}

BOOST_AUTO_TEST_CASE(AnItemIsNeverReplacedByAnOlderVersion)
{
    View view;
    view.apply(routeUpdate(makeRoute("route", 5, "/new/")), start);
    auto old = routeUpdate(makeRoute("route", 4, "/old/"));
    old.isWhole = true;
    view.apply(old, start);
    BOOST_TEST(view.findRoute("host.example", "/old/x") == nullptr);
    BOOST_TEST(view.findRoute("host.example", "/new/x") != nullptr);
}

BOOST_AUTO_TEST_CASE(ARowSaysThatAServerHasReturned)
{
    ViewUpdate update;
    for (ServerNumber const first : { 0U, 3U }) {
        auto server = makeServer(1);
        server.number = 7;
        server.firstNumber = first;
        update.servers = { { server, 250 } };
        auto const decoded = decode<ViewUpdate>(encode(update));
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST(decoded->servers.front().server.process() == (first == 0 ? 7U : first));
        BOOST_TEST(decoded->servers.front().coldMs.value() == 250);
    }
}

// FAILBACK: a new leader told entry hosts that no server is cold, and cold ones got more than they bear.
BOOST_AUTO_TEST_CASE(ALeaderThatKnowsNothingOfAServerDoesNotTakeBackThatItIsCold)
{
    auto const rowOf = [](ServerNumber number, std::optional<std::int64_t> coldMs) {
        auto server = makeServer(static_cast<int>(number));
        server.number = number;
        return ServerRow { server, coldMs };
    };
    View view;
    ViewUpdate first;
    first.servers = { rowOf(1, 3000), rowOf(2, 0) };
    view.apply(first, start);
    ViewUpdate whole;
    whole.isWhole = true;
    whole.servers = { rowOf(1, std::nullopt), rowOf(2, std::nullopt), rowOf(3, std::nullopt) };
    auto const decoded = decode<ViewUpdate>(encode(whole));
    BOOST_REQUIRE(decoded.has_value());
    view.apply(*decoded, start + 1s);
    BOOST_TEST((view.findServer(1)->coldUntil == start + 3s));
    BOOST_TEST((view.findServer(2)->coldUntil <= start + 1s));
    // This host has just started, so that it cannot know either.
    BOOST_TEST((view.findServer(3)->coldUntil == start + 1s + View::assumedColdTime));
    // No server of a pool without a warm-up time is ever cold.
    ViewUpdate warm;
    PoolItem pool;
    pool.name = lettersPool;
    pool.version = 1;
    warm.pools = { { lettersPool.value, { 1, pool } } };
    warm.servers = { rowOf(4, std::nullopt) };
    view.apply(warm, start + 1s);
    BOOST_TEST((view.findServer(4)->coldUntil == start + 1s));
    ViewUpdate told;
    told.servers = { rowOf(3, 0) };
    view.apply(told, start + 2s);
    BOOST_TEST((view.findServer(3)->coldUntil <= start + 2s));
}

BOOST_AUTO_TEST_CASE(AFullUpdateRemovesServersAndRangesThatItLacks)
{
    View view;
    ViewUpdate first;
    auto server = makeServer(1);
    server.number = 1;
    first.servers.push_back({ server, 0 });
    first.ranges.rows.push_back({ lettersPool, 0, keyCount - 1, 1, 0 });
    view.apply(first, start);
    BOOST_TEST(view.findOwner(lettersPool, 77)->server == 1);
    ViewUpdate whole;
    whole.isWhole = true;
    auto const removed = view.apply(whole, start);
    BOOST_TEST(removed == std::vector<ServerNumber> { 1 }, boost::test_tools::per_element());
    BOOST_TEST(view.findServer(1) == nullptr);
    BOOST_TEST(view.findOwner(lettersPool, 77) == nullptr);
}

BOOST_AUTO_TEST_CASE(ServersInADomainOutOfServiceGetNoRequests)
{
    View view;
    ViewUpdate update;
    update.evacuated = { "odd" };
    view.apply(update, start);
    BOOST_TEST(!view.mayServe(makeServer(1)));
    BOOST_TEST(view.mayServe(makeServer(2)));
}

BOOST_AUTO_TEST_CASE(ADrainingOwnerServesItsKeysForTheGracePeriod)
{
    View view;
    ViewUpdate update;
    auto server = makeServer(1);
    server.number = 1;
    update.servers.push_back({ server, 0 });
    view.apply(update, start);
    server.isDraining = true;
    update.servers = { { server, 0 } };
    view.apply(update, start + 1s);
    BOOST_TEST(!view.mayServe(view.findServer(1)->record));
    BOOST_TEST(view.mayServeKeys(*view.findServer(1), start + 1s));
    BOOST_TEST(!view.mayServeKeys(*view.findServer(1), start + 1s + View::drainGrace));
    // Another full update that contains the server does not restart the grace period.
    update.isWhole = true;
    view.apply(update, start + 10s);
    BOOST_TEST(!view.mayServeKeys(*view.findServer(1), start + 10s));
    View other;
    other.apply(update, start);
    BOOST_TEST(!other.mayServeKeys(*other.findServer(1), start));
}

BOOST_AUTO_TEST_CASE(AnUpdateIsUnchangedByEncodingAndDecoding)
{
    ViewUpdate update = routeUpdate(makeRoute("route", 3));
    update.limits = LimitsItem { 2, 100, 200, 300, 400, "{}" };
    update.ranges.rows.push_back({ lettersPool, 5, 9, 3, 100 });
    update.ranges.rows.push_back({ lettersPool, 10, 10, 4, 0, 0.25 });
    auto const decoded = decode<ViewUpdate>(encode(update));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(encode(*decoded) == encode(update));
    BOOST_TEST(decoded->ranges.rows.back().admittedFraction == 0.25);
    BOOST_TEST(!decode<ViewUpdate>("damaged").has_value());
}

BOOST_AUTO_TEST_CASE(AReconnectedEntryHostGetsOnlyNewerItems)
{
    State state;
    state.apply(configure());
    Command change;
    change.items.emplace();
    change.items->routes.push_back(makeRoute("second", 2, "/b/"));
    state.apply(change);
    Coordinator const coordinator(state, {}, start);

    View view;
    view.apply(makeFullUpdate(state, coordinator, 0, start), start);
    BOOST_TEST(view.itemRevision() == 2U);
    Command removal;
    removal.items.emplace();
    removal.items->removedRoutes.push_back({ "route", 7 });
    state.apply(removal);

    auto const update = makeFullUpdate(state, coordinator, view.itemRevision(), start);
    BOOST_TEST(update.routes.size() == 1U);
    BOOST_TEST(update.pools.empty());
    view.apply(*decode<ViewUpdate>(encode(update)), start);
    BOOST_TEST(view.findRoute("host.example", "/a/x") == nullptr);
    BOOST_TEST(view.findRoute("host.example", "/b/x") != nullptr);
    BOOST_TEST(view.itemRevision() == 3U);
    // A revision of a different log history: all items are sent.
    BOOST_TEST(makeFullUpdate(state, coordinator, 99, start).routes.size() == 2U);
}

BOOST_AUTO_TEST_CASE(RevisionsAreRestoredFromASnapshot)
{
    State state;
    state.apply(configure());
    State restored;
    BOOST_REQUIRE(restored.restore(state.snapshot()));
    BOOST_TEST(restored.itemRevision() == 1U);
    BOOST_TEST(restored.routes().at("route").revision == 1U);
}

BOOST_AUTO_TEST_CASE(AViewOfThousandsOfRoutesFitsALinkOfLowBandwidth)
{
    // The capacity of a 4.2 Mbit/s link, half of which is used by requests, within the two seconds that a change may
    // take.
    constexpr std::size_t maxBytes = 4'200'000 / 8 * 2 / 2;
    constexpr int routes = 5000;
    ViewUpdate update;
    for (int i = 0; i < routes; ++i) {
        auto const name = "route-" + std::to_string(i);
        update.routes.push_back({ name, { 4711, makeRoute(name, 4711, "/prefix" + std::to_string(i) + "/") } });
    }
    BOOST_TEST(encode(update).size() < maxBytes);
}
