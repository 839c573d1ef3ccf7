#include "Builders.h"

#include <LibFleet/RangePlacement.h>

#include <boost/test/unit_test.hpp>

using namespace TestFleet;
using namespace Fleet;

namespace {

std::vector<PlacementServer> makeServers(std::size_t count, double capacity = 4)
{
    std::vector<PlacementServer> servers;
    for (std::size_t i = 0; i < count; ++i)
        servers.push_back({ static_cast<ServerNumber>(i + 1), capacity });
    return servers;
}

/// Returns the requests per second at the busiest server if adjacent keys get `hotRate` requests per second, evenly
/// distributed.
double busiestLoad(
    std::vector<Assignment> const& assignments, std::uint32_t hotFirst, std::uint32_t hotCount, double hotRate)
{
    std::map<ServerNumber, double> loads;
    for (auto const& assignment : assignments) {
        auto const first = std::max(assignment.first, hotFirst);
        auto const last = std::min(assignment.last, hotFirst + hotCount - 1);
        if (first <= last)
            loads[assignment.owner] += hotRate * (last - first + 1) / hotCount;
    }
    return std::ranges::max_element(loads, {}, [](auto const& entry) { return entry.second; })->second;
}

} // namespace

// Load pattern: 45 % of 333 requests per second go to 200 adjacent keys. Each of the 21 servers has a capacity of about
// 66 requests per second.
BOOST_AUTO_TEST_CASE(AdjacentHotKeysAreDistributedWithoutAMove)
{
    auto servers = makeServers(21);
    auto const assignments = RangePlacement::makeInitialAssignments(lettersPool, servers);
    for (std::uint32_t at = 0; at + 200 < keyCount; at += 977)
        BOOST_TEST(busiestLoad(assignments, at, 200, 150) < 40);
}

BOOST_AUTO_TEST_CASE(TheFirstAssignmentCoversAllKeysOnceAndFitsAHeartbeat)
{
    for (std::size_t const count : { 1, 6, 21, 30, 302, 396 }) {
        auto servers = makeServers(count);
        auto const assignments = RangePlacement::makeInitialAssignments(lettersPool, servers);
        std::uint32_t next = 0;
        std::map<ServerNumber, std::size_t> ranges;
        for (auto const& assignment : assignments) {
            BOOST_REQUIRE_EQUAL(assignment.first, next);
            next = assignment.last + 1;
            ++ranges[assignment.owner];
        }
        BOOST_TEST(next == keyCount);
        for (auto const& [server, owned] : ranges)
            BOOST_TEST(owned <= RangePlacement::maxRangesPerServer);
    }
}

BOOST_AUTO_TEST_CASE(AnEvenLoadCausesNoMoves)
{
    auto servers = makeServers(4);
    std::vector<PlacementRange> ranges;
    for (std::size_t i = 0; i < 40; ++i) {
        auto& server = servers[i % 4];
        ranges.push_back({ i, server.number, 2 });
        server.load += 2;
        ++server.ranges;
    }
    BOOST_TEST(RangePlacement::balance(servers, ranges, 0.1).empty());
}

BOOST_AUTO_TEST_CASE(AJoinedServerGetsItsShareWithinThreeRounds)
{
    auto servers = makeServers(5);
    std::vector<PlacementRange> ranges;
    for (std::size_t i = 0; i < 80; ++i) {
        auto& server = servers[i % 4];
        ranges.push_back({ i, server.number, 1 });
        server.load += 1;
        ++server.ranges;
    }
    for (int round = 0; round < 3; ++round) {
        for (auto const& move : RangePlacement::balance(servers, ranges, 0.1))
            ranges[move.index].owner = move.to;
    }
    BOOST_TEST(servers[4].load >= 12);
}

// Load pattern: the load of one range exceeds the capacity of any server. Moving the range would only move the
// overload.
BOOST_AUTO_TEST_CASE(ARangeThatExceedsEveryCapacityIsNotMoved)
{
    auto servers = makeServers(2);
    servers[0].load = 100;
    servers[0].ranges = 1;
    servers[1].load = 1;
    servers[1].ranges = 1;
    BOOST_TEST(RangePlacement::balance(servers, { { 0, 1, 100 }, { 1, 2, 1 } }, 0.1).empty());
}

BOOST_AUTO_TEST_CASE(ASlowServerGetsFewerRanges)
{
    auto servers = makeServers(2);
    servers[1].capacity = 2;
    std::size_t slow = 0;
    for (int i = 0; i < 60; ++i)
        slow += RangePlacement::chooseOwner(servers, 1)->number == 2 ? 1 : 0;
    BOOST_TEST(slow >= 18);
    BOOST_TEST(slow <= 22);
}

// Load pattern: a few hot keys belong to a server that names a limit. Their ranges exceed what balances the load, but
// the requests that the server does not take would be refused.
BOOST_AUTO_TEST_CASE(AHotRangeOfALimitedServerMovesToOneWithRoom)
{
    for (auto const isLimited : { false, true }) {
        for (auto const hasRoom : { false, true }) {
            auto servers = makeServers(3);
            servers[0].isLimited = isLimited;
            servers[0].capacity = 0.8;
            servers[0].load = 14;
            std::vector<PlacementRange> const ranges { { 0, servers[0].number, 10 }, { 1, servers[0].number, 4 } };
            for (std::size_t i = 1; i < servers.size(); ++i) {
                servers[i].capacity = 4;
                servers[i].load = 20;
            }
            auto const moves = RangePlacement::balance(servers, ranges, hasRoom ? 0.1 : 0.2);
            BOOST_TEST(std::ranges::count(moves, 0, &PlacementMove::index) == (isLimited && hasRoom ? 1 : 0));
        }
    }
}

// Load pattern: an owner names a limit, and none of its ranges may move, since they have moved a moment ago. Other
// servers are still relieved.
BOOST_AUTO_TEST_CASE(ALimitedServerThatCannotBeRelievedDoesNotHoldUpTheOthers)
{
    auto servers = makeServers(4);
    servers[0].isLimited = true;
    servers[0].capacity = 0.5;
    servers[0].load = 20;
    servers[1].load = 40;
    servers[2].load = 10;
    servers[3].load = 10;
    std::vector<PlacementRange> ranges;
    for (std::size_t i = 0; i < 20; ++i)
        ranges.push_back({ i, servers[1].number, 2 });
    BOOST_TEST(!RangePlacement::balance(servers, ranges, 0.1).empty());
    BOOST_TEST(servers[1].load < 36);
}
