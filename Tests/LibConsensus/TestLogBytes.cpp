#include "Simulation.h"

#include <boost/test/unit_test.hpp>

using namespace Consensus;
using namespace std::chrono_literals;
using Test::Simulation;

namespace {

/// Limits on entries that no test reaches, so that only the bytes bound the log.
Settings boundedByBytes()
{
    Settings settings;
    settings.snapshotInterval = 1'000'000;
    settings.retainedEntries = 1'000'000;
    settings.snapshotIntervalBytes = 20'000;
    settings.retainedBytes = 5'000;
    return settings;
}

/// The interval with its random part, the retained entries, and what is proposed in one round below.
constexpr std::uint64_t maxHeldBytes = 25'000 + 5'000 + 10'000;

void proposeRounds(Simulation& simulation, int rounds, std::function<void()> const& check)
{
    for (int round = 0; round < rounds; ++round) {
        for (int i = 0; i < 10; ++i)
            simulation.propose(simulation.leader());
        simulation.runFor(20ms);
        check();
    }
}

std::string anyFollower(Simulation const& simulation)
{
    auto const names = simulation.names();
    return *std::ranges::find_if(names, [&](auto const& name) { return name != simulation.leader(); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(LogBytes)

// Guards against a log whose entries are counted but not measured, which grows beyond the memory of all hosts.
BOOST_AUTO_TEST_CASE(TheLogIsBoundedByItsBytesOnAllHosts)
{
    Simulation simulation({ .settings = boundedByBytes() });
    simulation.bootstrap({ "a", "b", "c" });
    BOOST_REQUIRE(simulation.waitForLeader());
    std::uint64_t largest = 0;
    proposeRounds(simulation, 200, [&] {
        for (auto const& name : simulation.names())
            largest = std::max(largest, simulation.status(name).logBytes);
    });
    BOOST_TEST(largest > boundedByBytes().snapshotIntervalBytes);
    BOOST_TEST(largest <= maxHeldBytes);
    BOOST_TEST(simulation.committedCount() > 1500U);
    BOOST_TEST(simulation.recoverAndConverge(), simulation.describe());
    BOOST_TEST(simulation.violation() == "");
}

// Guards against a follower that is never caught up, since the log has been compacted beyond its last entry again each
// time that it has received a snapshot.
BOOST_AUTO_TEST_CASE(AFollowerThatWasAwayCatchesUpWhileTheLogIsCompacted)
{
    auto settings = boundedByBytes();
    settings.snapshotChunkBytes = 2'000;
    Simulation simulation({ .settings = settings });
    simulation.bootstrap({ "a", "b", "c" });
    BOOST_REQUIRE(simulation.waitForLeader());
    auto const away = anyFollower(simulation);
    simulation.isolate(away);
    proposeRounds(simulation, 100, [] {});
    simulation.heal();
    auto hasCaughtUp = false;
    proposeRounds(simulation, 100, [&] {
        hasCaughtUp = hasCaughtUp
            || simulation.status(away).commitIndex.value + 20
                >= simulation.status(simulation.leader()).commitIndex.value;
    });
    BOOST_TEST(hasCaughtUp);
    BOOST_TEST(simulation.snapshotsInstalled(away) >= 1U);
    BOOST_TEST(simulation.status(away).logBytes <= maxHeldBytes);
    BOOST_TEST(simulation.recoverAndConverge(), simulation.describe());
    BOOST_TEST(simulation.violation() == "");
}

// Guards against a leader whose log grows without bound while its disk hangs, as followers go on to commit.
BOOST_AUTO_TEST_CASE(ALeaderThatCannotCompactItsLogRejectsProposals)
{
    auto settings = boundedByBytes();
    settings.maxLogBytes = 60'000;
    Simulation simulation({ .settings = settings });
    simulation.bootstrap({ "a", "b", "c" });
    BOOST_REQUIRE(simulation.waitForLeader());
    auto const leader = simulation.leader();
    simulation.setDiskLatency(leader, 5s, 5s);
    std::uint64_t largest = 0;
    auto rejected = 0;
    for (int i = 0; i < 1500; ++i) {
        auto const token = simulation.propose(leader);
        simulation.runFor(2ms);
        largest = std::max(largest, simulation.status(leader).logBytes);
        auto const outcome = simulation.outcome(token);
        rejected += outcome && std::holds_alternative<Overloaded>(*outcome) ? 1 : 0;
    }
    BOOST_TEST(simulation.leader() == leader);
    BOOST_TEST(rejected > 0);
    BOOST_TEST(largest <= settings.maxLogBytes + 1'000);
    BOOST_TEST(simulation.recoverAndConverge(), simulation.describe());
    BOOST_TEST(simulation.violation() == "");
}

BOOST_AUTO_TEST_CASE(CopiesOfAnEntryShareItsPayload)
{
    LogEntry const entry { { 1 }, { 1 }, Command { std::string(1000, 'p') } };
    std::vector<LogEntry> const copies(2, entry);
    auto const bytesOf = [](LogEntry const& of) { return std::get<Command>(of.content).payload.view(); };
    for (auto const& copy : copies) {
        BOOST_TEST(static_cast<void const*>(bytesOf(copy).data()) == static_cast<void const*>(bytesOf(entry).data()));
        BOOST_TEST((copy == entry));
    }
}

BOOST_AUTO_TEST_SUITE_END()
