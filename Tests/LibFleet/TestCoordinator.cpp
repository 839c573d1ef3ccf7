#include "Builders.h"

#include <LibCore/Random.h>

#include <boost/test/unit_test.hpp>

#include <ctime>

using namespace TestFleet;
using namespace Fleet;

namespace {

/// A leader whose commands are committed at once, and backend servers that obey its grants.
class Leader {
public:
    Leader()
    {
        state_.apply(configure());
        restart();
    }

    void restart() { coordinator_ = std::make_unique<Coordinator>(state_, settings_, now_); }

    void advance(Core::Duration time)
    {
        auto const until = now_ + time;
        while (now_ < until) {
            now_ += 50ms;
            coordinator_->tick(now_);
            commitDecisions();
        }
    }

    std::optional<Grant> beat(Heartbeat const& beat)
    {
        if (auto const command = coordinator_->admit(beat))
            commit(*command);
        auto grant = coordinator_->answer(now_, now_, beat);
        commitDecisions();
        return grant;
    }

    void commit(Command const& command)
    {
        auto const applied = state_.apply(command);
        coordinator_->onApplied(now_, command, applied);
    }

    Core::TimePoint now() const { return now_; }
    State const& state() const { return state_; }
    Coordinator& coordinator() { return *coordinator_; }
    CoordinatorSettings const& settings() const { return settings_; }

private:
    void commitDecisions()
    {
        while (auto const command = coordinator_->takeCommand())
            commit(*command);
    }

    CoordinatorSettings settings_;
    State state_;
    Core::TimePoint now_ { 1000s };
    std::unique_ptr<Coordinator> coordinator_;
};

/// A backend server as seen by the leader.
struct Server {
    explicit Server(ServerRecord const& serverRecord)
        : record(serverRecord)
    {
    }

    Heartbeat makeBeat()
    {
        Heartbeat beat;
        beat.server = record;
        beat.sequence = ++sequence;
        beat.isDraining = isDraining;
        beat.holds = holds;
        beat.released = std::exchange(released, {});
        return beat;
    }

    /// Takes what it is granted and gives up the rest, with a handover text.
    void obey(std::optional<Grant> const& grant)
    {
        if (!grant)
            return;
        std::vector<HeldKeys> next;
        for (auto const& range : grant->ranges)
            next.push_back({ range.first, range.last, range.fence });
        for (auto const& held : holds) {
            if (std::ranges::none_of(next, [&](auto const& kept) { return kept.first == held.first; }))
                released.push_back({ held.first, held.last, "handover-" + std::to_string(held.first) });
        }
        holds = std::move(next);
    }

    ServerRecord record;
    std::uint64_t sequence { 0 };
    bool isDraining { false };
    std::vector<HeldKeys> holds;
    std::vector<ReleasedKeys> released;
};

void beat(Leader& leader, Server& server) { server.obey(leader.beat(server.makeBeat())); }

/// Servers that beat every second for a while.
void run(Leader& leader, std::vector<Server*> const& servers, int seconds)
{
    for (int i = 0; i < seconds; ++i) {
        for (auto* const server : servers)
            beat(leader, *server);
        leader.advance(1s);
    }
}

std::uint32_t heldKeyCount(Server const& server)
{
    std::uint32_t count = 0;
    for (auto const& held : server.holds)
        count += held.last - held.first + 1;
    return count;
}

ServerNumber publishedOwner(Coordinator const& coordinator, std::uint32_t key)
{
    for (auto const& row : coordinator.allRows()) {
        if (row.first <= key && key <= row.last)
            return row.owner;
    }
    return 0;
}

} // namespace

BOOST_AUTO_TEST_CASE(ServersThatAnnouncedThemselvesShareAllKeys)
{
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    run(leader, { &a, &b }, 4);
    BOOST_TEST(heldKeyCount(a) + heldKeyCount(b) == keyCount);
    BOOST_TEST(heldKeyCount(a) > keyCount / 3);
    BOOST_TEST(heldKeyCount(b) > keyCount / 3);
}

BOOST_AUTO_TEST_CASE(ADrainingServersKeysMoveWithTheirHandoverAndAHigherFence)
{
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    run(leader, { &a, &b }, 4);
    auto const oldFence = std::ranges::max(a.holds, {}, &HeldKeys::fence).fence;
    auto const moving = a.holds.front();
    a.isDraining = true;
    beat(leader, a);
    BOOST_TEST(a.holds.empty());
    BOOST_TEST(publishedOwner(leader.coordinator(), moving.first) == 0);
    beat(leader, a);
    auto const grant = leader.beat(b.makeBeat());
    auto const moved = std::ranges::find(grant->ranges, moving.first, &KeyRange::first);
    BOOST_REQUIRE(moved != grant->ranges.end());
    BOOST_TEST(moved->handover == "handover-" + std::to_string(moving.first));
    BOOST_TEST(moved->fence > oldFence);
}

BOOST_AUTO_TEST_CASE(KeysOfASilentServerStayUntilItsHoldHasRunOut)
{
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    run(leader, { &a, &b }, 4);
    auto const lost = a.holds.front().first;
    beat(leader, a);
    leader.advance(leader.settings().leaseDuration - 200ms);
    beat(leader, b);
    BOOST_TEST(std::ranges::count(b.holds, lost, &HeldKeys::first) == 0);
    leader.advance(600ms);
    beat(leader, b);
    BOOST_TEST(std::ranges::count(b.holds, lost, &HeldKeys::first) == 1);
}

BOOST_AUTO_TEST_CASE(ANewLeaderWaitsOutWhatTheOldOneMayHaveGranted)
{
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    run(leader, { &a, &b }, 4);
    auto const lost = a.holds.front().first;
    leader.restart();
    // The server holds its keys since the old leader's last answer, of which the new one knows nothing.
    leader.advance(leader.settings().leaseDuration - 200ms);
    beat(leader, b);
    leader.advance(100ms);
    beat(leader, b);
    BOOST_TEST(std::ranges::count(b.holds, lost, &HeldKeys::first) == 0);
}

BOOST_AUTO_TEST_CASE(ANewLeaderRenewsHoldsAtOnce)
{
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    run(leader, { &a, &b }, 4);
    auto const before = heldKeyCount(a);
    leader.restart();
    beat(leader, a);
    BOOST_TEST(heldKeyCount(a) == before);
}

BOOST_AUTO_TEST_CASE(KeysOfAServerThatStartedAnewAreFreeAtOnce)
{
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    run(leader, { &a, &b }, 4);
    auto const lost = a.holds.front().first;
    Server again(makeServer(1, 5000));
    beat(leader, again);
    leader.advance(100ms);
    beat(leader, b);
    beat(leader, again);
    auto const isHeldAgain
        = std::ranges::count(b.holds, lost, &HeldKeys::first) + std::ranges::count(again.holds, lost, &HeldKeys::first);
    BOOST_TEST(isHeldAgain == 1);
}

BOOST_AUTO_TEST_CASE(LateAndForeignHeartbeatsRenewNothing)
{
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    auto const late = a.makeBeat();
    run(leader, { &a, &b }, 4);
    BOOST_TEST(!leader.beat(late).has_value());
    auto other = a.makeBeat();
    other.server.address = { "10.9.9.9", 80 };
    BOOST_TEST(!leader.beat(other).has_value());
    Server former(makeServer(1, 500));
    BOOST_TEST(!leader.beat(former.makeBeat()).has_value());
    BOOST_TEST(leader.state().servers().size() == 2);
}

BOOST_AUTO_TEST_CASE(AColdServerGetsNoKeysWhileWarmOnesAreThere)
{
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    run(leader, { &a, &b }, 4);
    Server cold(makeServer(3));
    for (int i = 0; i < 3; ++i) {
        auto beatOfCold = cold.makeBeat();
        beatOfCold.warmupLeft = 2s;
        cold.obey(leader.beat(beatOfCold));
        run(leader, { &a, &b }, 1);
    }
    BOOST_TEST(cold.holds.empty());
    run(leader, { &a, &b, &cold }, 6);
    BOOST_TEST(heldKeyCount(cold) > keyCount / 8);
}

BOOST_AUTO_TEST_CASE(ADomainOutOfServiceLosesItsKeysAndItsServersCountAsColdAfterwards)
{
    Leader leader;
    Server odd(makeServer(1));
    Server even(makeServer(2));
    run(leader, { &odd, &even }, 4);
    Command evacuation;
    evacuation.domain = DomainChange { { "odd" }, true };
    leader.commit(evacuation);
    // Two seconds until a move has waited long enough, then a heartbeat of each server.
    run(leader, { &odd, &even }, 4);
    BOOST_TEST(odd.holds.empty());
    BOOST_TEST(heldKeyCount(even) == keyCount);
    evacuation.domain->isEvacuated = false;
    leader.commit(evacuation);
    auto const* const server = leader.state().findServer(odd.record.name);
    BOOST_TEST((leader.coordinator().coldLeft(server->number, leader.now()) > 0s));
}

BOOST_AUTO_TEST_CASE(AnAnswerFitsIntoFourKibibytes)
{
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    run(leader, { &a, &b }, 4);
    a.isDraining = true;
    beat(leader, a);
    for (auto& released : a.released)
        released.handover = std::string(16, 'f');
    beat(leader, a);
    auto const grant = leader.beat(b.makeBeat());
    std::size_t bytes = 0;
    std::set<std::uint32_t> granted;
    for (auto const& range : grant->ranges) {
        bytes += 26 + range.handover.size();
        granted.insert(range.first);
    }
    BOOST_TEST(bytes < 4000);
    // Entry hosts are sent to the server only for what it was granted.
    for (auto const& row : leader.coordinator().allRows())
        BOOST_TEST((row.owner == 0 || granted.contains(row.first)));
    run(leader, { &b }, 3);
    BOOST_TEST(heldKeyCount(b) == keyCount);
}

BOOST_AUTO_TEST_CASE(RefusedConnectionsDoNotFreeKeysThatAServerMayStillHold)
{
    // A failure domain is cut off by resets: its servers are alive, hold their keys and serve callers of their own
    // domain, while everybody else finds their connections refused and the leader hears nothing.
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    run(leader, { &a, &b }, 4);
    auto const lost = a.holds.front().first;
    auto const number = leader.state().findServer(a.record.name)->number;
    LoadReport report;
    report.contacts.push_back({ number, 0, 2 });
    beat(leader, a);
    auto const mayHoldUntil = leader.now() + leader.settings().leaseDuration;
    while (leader.now() + 300ms < mayHoldUntil) {
        leader.coordinator().onReport(leader.now(), report);
        leader.advance(300ms);
        beat(leader, b);
        BOOST_TEST(std::ranges::count(b.holds, lost, &HeldKeys::first) == 0);
    }
    leader.advance(600ms);
    beat(leader, b);
    BOOST_TEST(std::ranges::count(b.holds, lost, &HeldKeys::first) == 1);
}

BOOST_AUTO_TEST_CASE(AServerThatIsProbablyGoneGetsNoFurtherKeys)
{
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    Server c(makeServer(3));
    run(leader, { &a, &b, &c }, 4);
    auto const keys = heldKeyCount(a);
    LoadReport report;
    report.contacts.push_back({ leader.state().findServer(a.record.name)->number, 0, 2 });
    for (int i = 0; i < 5; ++i) {
        leader.coordinator().onReport(leader.now(), report);
        leader.advance(300ms);
    }
    c.isDraining = true;
    beat(leader, c);
    beat(leader, c);
    leader.advance(100ms);
    beat(leader, b);
    BOOST_TEST(heldKeyCount(b) == keyCount - keys);
}

BOOST_AUTO_TEST_CASE(AServerThatStillAnswersAnybodyKeepsItsKeys)
{
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    run(leader, { &a, &b }, 4);
    auto const lost = a.holds.front().first;
    auto const number = leader.state().findServer(a.record.name)->number;
    for (int i = 0; i < 4; ++i) {
        LoadReport refused;
        refused.contacts.push_back({ number, 0, 5 });
        LoadReport answered;
        answered.contacts.push_back({ number, 1, 0 });
        leader.coordinator().onReport(leader.now(), refused);
        leader.advance(500ms);
        leader.coordinator().onReport(leader.now(), answered);
    }
    beat(leader, b);
    BOOST_TEST(std::ranges::count(b.holds, lost, &HeldKeys::first) == 0);
}

// Load pattern: 60 adjacent keys get most of the traffic, all of them on one or two ranges.
BOOST_AUTO_TEST_CASE(AHotRangeIsSplitAndSpread)
{
    Leader leader;
    std::vector<Server> servers;
    for (int i = 1; i <= 10; ++i)
        servers.emplace_back(makeServer(i));
    std::vector<Server*> all;
    all.reserve(servers.size());
    for (auto& server : servers)
        all.push_back(&server);
    run(leader, all, 4);
    for (int round = 0; round < 8; ++round) {
        LoadReport report;
        report.arrivals.push_back({ lettersPool, {} });
        for (std::uint32_t key = 30000; key < 30060; ++key)
            report.arrivals.back().keys.emplace_back(key, 1);
        leader.coordinator().onReport(leader.now(), report);
        leader.advance(500ms);
        for (auto* const server : all)
            beat(leader, *server);
    }
    run(leader, all, 4);
    std::map<ServerNumber, int> hotKeys;
    for (std::uint32_t key = 30000; key < 30060; ++key)
        ++hotKeys[publishedOwner(leader.coordinator(), key)];
    auto const most = std::ranges::max_element(hotKeys, {}, [](auto const& entry) { return entry.second; })->second;
    BOOST_TEST(hotKeys.size() >= 5);
    BOOST_TEST(most <= 20);
}

BOOST_AUTO_TEST_CASE(ARequestIsQuarantinedOnceItCrashedThreeServers)
{
    Leader leader;
    std::vector<Server> servers;
    for (int i = 1; i <= 4; ++i)
        servers.emplace_back(makeServer(i));
    for (auto& server : servers)
        beat(leader, server);
    for (int i = 0; i < 3; ++i) {
        auto const* const server = leader.state().findServer(servers[static_cast<std::size_t>(i)].record.name);
        LoadReport report;
        report.suspicions.push_back({ "poison", server->number });
        report.suspicions.push_back({ "bystander-" + std::to_string(i), server->number });
        leader.coordinator().onReport(leader.now(), report);
        BOOST_TEST(leader.coordinator().quarantined(leader.now()).empty());
        Server again(makeServer(i + 1, 9000));
        beat(leader, again);
    }
    BOOST_TEST(leader.coordinator().quarantined(leader.now()) == std::vector<std::string> { "poison" },
        boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(AServerFoundSlowGetsFewerOfTheRequests)
{
    // Three servers with the same keys at first; one of them takes twice as long. Answers vary by their own mean.
    constexpr std::uint32_t requestsPerReport = 60;
    Leader leader;
    std::vector<Server> servers;
    for (int i = 1; i <= 3; ++i)
        servers.emplace_back(makeServer(i));
    std::vector<Server*> const all { &servers[0], &servers[1], &servers[2] };
    run(leader, all, 4);
    Core::Random random(5);
    for (int i = 0; i < 40; ++i) {
        LoadReport report;
        report.arrivals.push_back({ lettersPool, {} });
        for (std::uint32_t request = 0; request < requestsPerReport; ++request)
            report.arrivals.back().keys.emplace_back(static_cast<std::uint32_t>(random.below(keyCount)), 1);
        for (ServerNumber number = 1; number <= 3; ++number)
            report.latencies.push_back({ number, 4, 4 * (number == 1 ? 160.0 : 80.0) * (0.5 + random.unit()) });
        leader.coordinator().onReport(leader.now(), report);
        leader.advance(500ms);
        for (auto* const server : all)
            beat(leader, *server);
    }
    BOOST_TEST(heldKeyCount(servers[0]) < 0.8 * heldKeyCount(servers[1]));
    BOOST_TEST(heldKeyCount(servers[0]) < 0.8 * heldKeyCount(servers[2]));
    BOOST_TEST(heldKeyCount(servers[0]) > keyCount / 10);
}

BOOST_AUTO_TEST_CASE(EntryHostsAreToldWhatPartOfAHotKeyItsOwnerCanDo)
{
    // For 4 s one key gets 200 requests a second, which no server can do; then the load is gone.
    constexpr std::uint32_t hotKey = 4242;
    constexpr std::uint32_t arrivals = 100;
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    run(leader, { &a, &b }, 4);
    auto const admittedPart = [&](std::uint32_t key) {
        auto const rows = leader.coordinator().allRows();
        return std::ranges::find_if(rows, [&](auto const& row) {
            return row.first <= key && key <= row.last;
        })->admittedFraction;
    };
    BOOST_TEST(admittedPart(hotKey) == 1.0);
    for (int i = 0; i < 8; ++i) {
        LoadReport report;
        report.arrivals.push_back({ lettersPool, { { hotKey, arrivals }, { hotKey + 20'000, 1 } } });
        leader.coordinator().onReport(leader.now(), report);
        leader.advance(500ms);
        beat(leader, a);
        beat(leader, b);
    }
    // Four slots at the 100 ms that are assumed before any answer do 40 requests a second of 200. Entry hosts are told
    // between that and twice as much, in steps of a fifth.
    BOOST_TEST(admittedPart(hotKey) > 0.2 * 0.8);
    BOOST_TEST(admittedPart(hotKey) < 0.4 * 1.2);
    BOOST_TEST(admittedPart(hotKey + 20'000) == 1.0);
    run(leader, { &a, &b }, 6);
    BOOST_TEST(admittedPart(hotKey) == 1.0);
}

BOOST_AUTO_TEST_CASE(HeartbeatsOfManyLeavingServersLeaveTheLeaderTimeForItsGroup)
{
    // A seventh of 396 servers leave together and send a heartbeat each 100 ms until they have given up their keys. The
    // leader has 0.3 of a core and lost its group while it planned all ranges for each of them.
    constexpr int serverCount = 396;
    constexpr int leavingCount = serverCount / 7;
    constexpr int beatsOfEach = 20;
    constexpr double coreShare = 0.3;
    constexpr double seconds = 2;
    // The share is that of an optimized build.
#if defined(__SANITIZE_THREAD__) || defined(__SANITIZE_ADDRESS__)
    constexpr double sanitizerSlowdown = 5;
#else
    constexpr double sanitizerSlowdown = 1;
#endif
    Leader leader;
    std::vector<Server> servers;
    for (int i = 0; i < serverCount; ++i) {
        servers.emplace_back(makeServer(i));
        servers.back().record.address.port = static_cast<std::uint16_t>(1000 + i);
    }
    for (int round = 0; round < 3; ++round) {
        for (auto& server : servers)
            beat(leader, server);
        leader.advance(1s);
    }
    auto const began = std::clock();
    for (int round = 0; round < beatsOfEach; ++round) {
        for (int i = 0; i < leavingCount; ++i) {
            servers[static_cast<std::size_t>(i)].isDraining = true;
            beat(leader, servers[static_cast<std::size_t>(i)]);
        }
    }
    auto const used = static_cast<double>(std::clock() - began) / CLOCKS_PER_SEC;
    BOOST_TEST(used < coreShare * seconds * sanitizerSlowdown);
    BOOST_TEST(servers.front().holds.empty());
}
