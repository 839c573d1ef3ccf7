#include "Builders.h"

#include <LibCore/Random.h>

#include <boost/test/unit_test.hpp>

#include <ctime>

using namespace TestFleet;
using namespace Fleet;

namespace {

/// A control leader whose commands are committed immediately.
class Leader {
public:
    Leader()
    {
        state_.apply(configure());
        restart();
    }

    /// Replaces the leader by a new one, which knows only the replicated state.
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

    std::optional<Grant> sendHeartbeat(Heartbeat const& heartbeat)
    {
        if (auto const admission = coordinator_->admit(now_, heartbeat); admission.command)
            commit(*admission.command);
        auto grant = coordinator_->answer(now_, now_, heartbeat);
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

/// A backend server that sends heartbeats and follows the leader's grants.
struct Server {
    explicit Server(ServerRecord const& serverRecord)
        : record(serverRecord)
    {
    }

    Heartbeat makeHeartbeat()
    {
        Heartbeat heartbeat;
        heartbeat.server = record;
        heartbeat.sequence = ++sequence;
        heartbeat.isDraining = isDraining;
        heartbeat.holds = holds;
        heartbeat.released = std::exchange(released, {});
        return heartbeat;
    }

    /// Holds the ranges of the grant and releases all others, each with a handover text.
    void applyGrant(std::optional<Grant> const& grant)
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

void sendHeartbeat(Leader& leader, Server& server) { server.applyGrant(leader.sendHeartbeat(server.makeHeartbeat())); }

/// Sends a heartbeat of each server every second, for the given number of seconds.
void run(Leader& leader, std::vector<Server*> const& servers, int seconds)
{
    for (int i = 0; i < seconds; ++i) {
        for (auto* const server : servers)
            sendHeartbeat(leader, *server);
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

BOOST_AUTO_TEST_CASE(RegisteredServersShareAllKeys)
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
    sendHeartbeat(leader, a);
    BOOST_TEST(a.holds.empty());
    BOOST_TEST(publishedOwner(leader.coordinator(), moving.first) == 0);
    sendHeartbeat(leader, a);
    auto const grant = leader.sendHeartbeat(b.makeHeartbeat());
    auto const moved = std::ranges::find(grant->ranges, moving.first, &KeyRange::first);
    BOOST_REQUIRE(moved != grant->ranges.end());
    BOOST_TEST(moved->handover == "handover-" + std::to_string(moving.first));
    BOOST_TEST(moved->fence > oldFence);
}

// DRAIN of issue 42: only heartbeats could say that a server leaves.
BOOST_AUTO_TEST_CASE(KeysOfAServerThatEntryHostsReportAsLeavingMove)
{
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    run(leader, { &a, &b }, 4);
    auto const number = leader.state().findServer(a.record.name)->number;
    LoadReport report;
    report.leaving = { number };
    // Several entry hosts notice it.
    leader.coordinator().onLoadReport(leader.now(), report);
    leader.coordinator().onLoadReport(leader.now(), report);
    leader.advance(100ms);
    BOOST_TEST(leader.state().findServer(number)->isDraining);
    // Its heartbeats still say that it is ready.
    run(leader, { &a, &b }, 2);
    BOOST_TEST(a.holds.empty());
    BOOST_TEST(heldKeyCount(b) == keyCount);
    // The next leader knows it from the replicated state.
    leader.restart();
    run(leader, { &a, &b }, 8);
    BOOST_TEST(a.holds.empty());
    // A new process of the same server is another one.
    Server restarted(makeServer(1, 2000));
    run(leader, { &restarted, &b }, 12);
    BOOST_TEST(heldKeyCount(restarted) > 0);
    report.leaving = { number, 999 };
    leader.coordinator().onLoadReport(leader.now(), report);
    leader.advance(100ms);
    BOOST_TEST(!leader.state().findServer(restarted.record.name)->isDraining);
}

BOOST_AUTO_TEST_CASE(KeysOfASilentServerAreNotMovedBeforeItsLeaseExpires)
{
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    run(leader, { &a, &b }, 4);
    auto const lost = a.holds.front().first;
    sendHeartbeat(leader, a);
    leader.advance(leader.settings().leaseDuration - 200ms);
    sendHeartbeat(leader, b);
    BOOST_TEST(std::ranges::count(b.holds, lost, &HeldKeys::first) == 0);
    leader.advance(600ms);
    sendHeartbeat(leader, b);
    BOOST_TEST(std::ranges::count(b.holds, lost, &HeldKeys::first) == 1);
}

BOOST_AUTO_TEST_CASE(ANewLeaderWaitsForLeasesOfTheOldLeaderToExpire)
{
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    run(leader, { &a, &b }, 4);
    auto const lost = a.holds.front().first;
    leader.restart();
    // The server's lease dates from the old leader's last answer, which the new leader does not know.
    leader.advance(leader.settings().leaseDuration - 200ms);
    sendHeartbeat(leader, b);
    leader.advance(100ms);
    sendHeartbeat(leader, b);
    BOOST_TEST(std::ranges::count(b.holds, lost, &HeldKeys::first) == 0);
}

BOOST_AUTO_TEST_CASE(ANewLeaderRenewsLeasesImmediately)
{
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    run(leader, { &a, &b }, 4);
    auto const before = heldKeyCount(a);
    leader.restart();
    sendHeartbeat(leader, a);
    BOOST_TEST(heldKeyCount(a) == before);
}

BOOST_AUTO_TEST_CASE(KeysOfARestartedServerAreFreeImmediately)
{
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    run(leader, { &a, &b }, 4);
    auto const lost = a.holds.front().first;
    Server restarted(makeServer(1, 5000));
    sendHeartbeat(leader, restarted);
    leader.advance(100ms);
    sendHeartbeat(leader, b);
    sendHeartbeat(leader, restarted);
    auto const holderCount = std::ranges::count(b.holds, lost, &HeldKeys::first)
        + std::ranges::count(restarted.holds, lost, &HeldKeys::first);
    BOOST_TEST(holderCount == 1);
}

BOOST_AUTO_TEST_CASE(StaleAndForeignHeartbeatsRenewNoLease)
{
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    auto const late = a.makeHeartbeat();
    run(leader, { &a, &b }, 4);
    BOOST_TEST(!leader.sendHeartbeat(late).has_value());
    auto other = a.makeHeartbeat();
    other.server.address = { "10.9.9.9", 80 };
    BOOST_TEST(!leader.sendHeartbeat(other).has_value());
    Server former(makeServer(1, 500));
    BOOST_TEST(!leader.sendHeartbeat(former.makeHeartbeat()).has_value());
    BOOST_TEST(leader.state().servers().size() == 2);
}

BOOST_AUTO_TEST_CASE(AColdServerGetsNoKeysWhileWarmServersExist)
{
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    run(leader, { &a, &b }, 4);
    Server cold(makeServer(3));
    for (int i = 0; i < 3; ++i) {
        auto coldHeartbeat = cold.makeHeartbeat();
        coldHeartbeat.warmupLeft = 2s;
        cold.applyGrant(leader.sendHeartbeat(coldHeartbeat));
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
    // The maximum delay of a move is about two seconds; then each server needs a heartbeat.
    run(leader, { &odd, &even }, 4);
    BOOST_TEST(odd.holds.empty());
    BOOST_TEST(heldKeyCount(even) == keyCount);
    evacuation.domain->isEvacuated = false;
    leader.commit(evacuation);
    auto const* const server = leader.state().findServer(odd.record.name);
    BOOST_TEST((leader.coordinator().remainingColdTime(server->number, leader.now()).value() > 0s));
}

BOOST_AUTO_TEST_CASE(ANewLeaderDoesNotKnowWhetherAServerIsCold)
{
    Leader leader;
    Server server(makeServer(1));
    run(leader, { &server }, 2);
    auto const number = leader.state().findServer(server.record.name)->number;
    auto const coldTime = [&] { return leader.coordinator().remainingColdTime(number, leader.now()); };
    BOOST_TEST((coldTime() == Core::Duration::zero()));
    leader.restart();
    BOOST_TEST(!coldTime().has_value());
    BOOST_TEST(leader.coordinator().takeColdChanges().empty());
    auto heartbeat = server.makeHeartbeat();
    heartbeat.warmupLeft = 2s;
    leader.sendHeartbeat(heartbeat);
    BOOST_TEST((coldTime() == 2s));
    BOOST_TEST(leader.coordinator().takeColdChanges() == std::vector<ServerNumber> { number });
}

BOOST_AUTO_TEST_CASE(AnAnswerFitsIntoFourKibibytes)
{
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    run(leader, { &a, &b }, 4);
    a.isDraining = true;
    sendHeartbeat(leader, a);
    for (auto& released : a.released)
        released.handover = std::string(16, 'f');
    sendHeartbeat(leader, a);
    auto const grant = leader.sendHeartbeat(b.makeHeartbeat());
    std::size_t bytes = 0;
    std::set<std::uint32_t> granted;
    for (auto const& range : grant->ranges) {
        bytes += 26 + range.handover.size();
        granted.insert(range.first);
    }
    BOOST_TEST(bytes < 4000);
    // Entry hosts send requests to the server only for the ranges that were granted to it.
    for (auto const& row : leader.coordinator().allRows())
        BOOST_TEST((row.owner == 0 || granted.contains(row.first)));
    run(leader, { &b }, 3);
    BOOST_TEST(heldKeyCount(b) == keyCount);
}

BOOST_AUTO_TEST_CASE(RefusedConnectionsDoNotFreeKeysWithAnUnexpiredLease)
{
    // A failure domain is partitioned by connection resets: its servers run, hold their keys and serve callers in their
    // own domain, while connections from other domains are refused and no heartbeats reach the leader.
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    run(leader, { &a, &b }, 4);
    auto const lost = a.holds.front().first;
    auto const number = leader.state().findServer(a.record.name)->number;
    LoadReport report;
    report.contacts.push_back({ number, 0, 2 });
    sendHeartbeat(leader, a);
    auto const mayHoldUntil = leader.now() + leader.settings().leaseDuration;
    while (leader.now() + 300ms < mayHoldUntil) {
        leader.coordinator().onLoadReport(leader.now(), report);
        leader.advance(300ms);
        sendHeartbeat(leader, b);
        BOOST_TEST(std::ranges::count(b.holds, lost, &HeldKeys::first) == 0);
    }
    leader.advance(600ms);
    sendHeartbeat(leader, b);
    BOOST_TEST(std::ranges::count(b.holds, lost, &HeldKeys::first) == 1);
}

BOOST_AUTO_TEST_CASE(AServerThatIsPresumedDownGetsNoFurtherKeys)
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
        leader.coordinator().onLoadReport(leader.now(), report);
        leader.advance(300ms);
    }
    c.isDraining = true;
    sendHeartbeat(leader, c);
    sendHeartbeat(leader, c);
    leader.advance(100ms);
    sendHeartbeat(leader, b);
    BOOST_TEST(heldKeyCount(b) == keyCount - keys);
}

BOOST_AUTO_TEST_CASE(AServerThatAnswersAnyEntryHostKeepsItsKeys)
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
        leader.coordinator().onLoadReport(leader.now(), refused);
        leader.advance(500ms);
        leader.coordinator().onLoadReport(leader.now(), answered);
    }
    sendHeartbeat(leader, b);
    BOOST_TEST(std::ranges::count(b.holds, lost, &HeldKeys::first) == 0);
}

// Load pattern: 60 adjacent keys, which belong to one or two ranges, get most of the traffic.
BOOST_AUTO_TEST_CASE(AHotRangeIsSplitAndDistributed)
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
        leader.coordinator().onLoadReport(leader.now(), report);
        leader.advance(500ms);
        for (auto* const server : all)
            sendHeartbeat(leader, *server);
    }
    run(leader, all, 4);
    std::map<ServerNumber, int> hotKeys;
    for (std::uint32_t key = 30000; key < 30060; ++key)
        ++hotKeys[publishedOwner(leader.coordinator(), key)];
    auto const most = std::ranges::max_element(hotKeys, {}, [](auto const& entry) { return entry.second; })->second;
    BOOST_TEST(hotKeys.size() >= 5);
    BOOST_TEST(most <= 20);
}

/// Reports that requests were in progress at the server as its connections ended.
void suspect(Leader& leader, ServerRecord const& server, std::vector<std::string> const& fingerprints)
{
    auto const number = leader.state().findServer(server.name)->number;
    LoadReport report;
    for (auto const& fingerprint : fingerprints)
        report.suspicions.push_back({ fingerprint, number });
    leader.coordinator().onLoadReport(leader.now(), report);
}

void reportHarmless(Leader& leader, std::string const& fingerprint)
{
    LoadReport report;
    report.harmless.push_back(fingerprint);
    leader.coordinator().onLoadReport(leader.now(), report);
}

std::vector<std::string> quarantined(Leader& leader) { return leader.coordinator().crashSuspects().quarantined(); }

/// Four servers that have registered.
std::vector<Server> startServers(Leader& leader)
{
    std::vector<Server> servers;
    for (int i = 1; i <= 4; ++i)
        servers.emplace_back(makeServer(i));
    for (auto& server : servers)
        sendHeartbeat(leader, server);
    return servers;
}

/// The time from the third crash until the request is refused. The platform allows 3 s.
constexpr Core::Duration maxQuarantineDelay = 1500ms;

BOOST_AUTO_TEST_CASE(ARequestIsQuarantinedOnceItCrashedThreeServers)
{
    Leader leader;
    auto const servers = startServers(leader);
    for (int i = 0; i < 3; ++i) {
        suspect(leader, servers[static_cast<std::size_t>(i)].record, { "poison", "bystander-" + std::to_string(i) });
        BOOST_TEST(quarantined(leader).empty());
        Server restarted(makeServer(i + 1, 9000));
        sendHeartbeat(leader, restarted);
    }
    leader.advance(maxQuarantineDelay);
    BOOST_TEST(quarantined(leader) == std::vector<std::string> { "poison" }, boost::test_tools::per_element());
}

// Guards against a request that crashes one server after the other for as long as crashed servers take to come back.
BOOST_AUTO_TEST_CASE(ACrashCountsBeforeTheServerIsBack)
{
    Leader leader;
    auto const servers = startServers(leader);
    leader.advance(1000ms);
    for (int i = 0; i < 3; ++i) {
        auto const& record = servers[static_cast<std::size_t>(i)].record;
        suspect(leader, record, { "poison" });
        LoadReport refusals;
        refusals.contacts.push_back({ leader.state().findServer(record.name)->number, 0, 3 });
        leader.coordinator().onLoadReport(leader.now(), refusals);
    }
    leader.advance(maxQuarantineDelay + 1000ms);
    BOOST_TEST(quarantined(leader) == std::vector<std::string> { "poison" }, boost::test_tools::per_element());
}

// Guards against the refusal of a common request that was in progress at all servers of a failure domain as they ended.
BOOST_AUTO_TEST_CASE(ARequestThatServersAnswerIsNotQuarantined)
{
    Leader leader;
    auto const servers = startServers(leader);
    for (int i = 0; i < 3; ++i)
        suspect(leader, servers[static_cast<std::size_t>(i)].record, { "common", "poison" });
    for (int i = 0; i < 3; ++i) {
        Server restarted(makeServer(i + 1, 9000));
        sendHeartbeat(leader, restarted);
    }
    leader.advance(100ms);
    // Entry hosts are asked for both, and one of them has an answer to the common one.
    BOOST_TEST(leader.coordinator().crashSuspects().suspects().size() == 2U);
    reportHarmless(leader, "common");
    leader.advance(maxQuarantineDelay);
    BOOST_TEST(quarantined(leader) == std::vector<std::string> { "poison" }, boost::test_tools::per_element());
    // An entry host that had been cut off reports late.
    reportHarmless(leader, "poison");
    BOOST_TEST(quarantined(leader).empty());
}

// Guards against the refusal of requests that were in progress at servers which had said that they end.
BOOST_AUTO_TEST_CASE(APlannedEndIsNoCrash)
{
    Leader leader;
    auto servers = startServers(leader);
    LoadReport leaving;
    leaving.leaving.push_back(leader.state().findServer(servers[0].record.name)->number);
    leader.coordinator().onLoadReport(leader.now(), leaving);
    servers[1].isDraining = true;
    sendHeartbeat(leader, servers[1]);
    for (int i = 0; i < 3; ++i)
        suspect(leader, servers[static_cast<std::size_t>(i)].record, { "common" });
    leader.commit(*leader.coordinator().leave(servers[2].record.name));
    for (int i = 0; i < 2; ++i) {
        Server restarted(makeServer(i + 1, 9000));
        sendHeartbeat(leader, restarted);
    }
    leader.advance(maxQuarantineDelay);
    BOOST_TEST(quarantined(leader).empty());
    BOOST_TEST(leader.coordinator().crashSuspects().suspects().empty());
}

namespace {

/// A new incarnation under the name that the server had.
Server startAgain(Server const& server)
{
    Server again(server.record);
    again.record.bornMs += 1000;
    return again;
}

bool isRegistered(Leader& leader, Server const& server)
{
    auto const* const known = leader.state().findServer(server.record.name);
    return known && known->bornMs == server.record.bornMs;
}

void leave(Leader& leader, Server const& server) { leader.commit(*leader.coordinator().leave(server.record.name)); }

} // namespace

// Guards against a server that never gets a request since its earlier incarnation was said to leave too late.
BOOST_AUTO_TEST_CASE(ALateDepartureOfAnEarlierIncarnationDoesNotBanTheServer)
{
    Leader leader;
    Server earlier(makeServer(1));
    Server other(makeServer(2));
    run(leader, { &earlier, &other }, 4);
    auto server = startAgain(earlier);
    run(leader, { &server, &other }, 2);
    leave(leader, server);
    BOOST_TEST(!isRegistered(leader, server));
    run(leader, { &server, &other }, 6);
    BOOST_TEST(isRegistered(leader, server));
    run(leader, { &server, &other }, 10);
    BOOST_TEST(heldKeyCount(server) > 0U);
    BOOST_TEST(heldKeyCount(server) + heldKeyCount(other) == keyCount);
}

BOOST_AUTO_TEST_CASE(DelayedHeartbeatsDoNotRegisterAServerThatHasLeft)
{
    Leader leader;
    Server server(makeServer(1));
    run(leader, { &server }, 4);
    std::vector<Heartbeat> delayed;
    std::generate_n(std::back_inserter(delayed), 4, [&] { return server.makeHeartbeat(); });
    leave(leader, server);
    leader.advance(3s);
    leader.sendHeartbeat(delayed.front());
    BOOST_TEST(!isRegistered(leader, server));
    // A partition has ended: its kernel sends the others at once.
    for (auto const& heartbeat : delayed)
        leader.sendHeartbeat(heartbeat);
    BOOST_TEST(!isRegistered(leader, server));
    // The same ones may arrive over and over.
    for (int i = 0; i < 10; ++i) {
        leader.advance(1s);
        leader.sendHeartbeat(delayed.back());
    }
    BOOST_TEST(!isRegistered(leader, server));
}

BOOST_AUTO_TEST_CASE(ADrainingServerThatHasLeftDoesNotReturn)
{
    Leader leader;
    Server server(makeServer(1));
    run(leader, { &server }, 4);
    server.isDraining = true;
    run(leader, { &server }, 2);
    leave(leader, server);
    run(leader, { &server }, 10);
    BOOST_TEST(!isRegistered(leader, server));
}

// Guards against a server that never gets a request again since it was silent for long.
BOOST_AUTO_TEST_CASE(AServerWhoseHeartbeatsHadCeasedReturns)
{
    Leader leader;
    Server server(makeServer(1));
    run(leader, { &server }, 4);
    leader.advance(26s);
    BOOST_TEST(!isRegistered(leader, server));
    sendHeartbeat(leader, server);
    BOOST_TEST(!isRegistered(leader, server));
    run(leader, { &server }, 2);
    BOOST_TEST(isRegistered(leader, server));
}

// DRAIN of issue 54: the drain was forgotten with the registration.
BOOST_AUTO_TEST_CASE(AServerThatDrainedDrainsAfterItsReturn)
{
    for (auto const hasNewLeader : { false, true }) {
        Leader leader;
        Server server(makeServer(1));
        run(leader, { &server }, 4);
        auto const number = leader.state().findServer(server.record.name)->number;
        LoadReport report;
        report.leaving = { number };
        leader.coordinator().onLoadReport(leader.now(), report);
        leader.advance(26s);
        BOOST_REQUIRE(!isRegistered(leader, server));
        if (hasNewLeader)
            leader.restart();
        run(leader, { &server }, 6);
        auto const* const returned = leader.state().findServer(server.record.name);
        BOOST_REQUIRE(returned);
        BOOST_TEST(returned->isDraining);
        BOOST_TEST(returned->number != number);
        BOOST_TEST(returned->process() == number);
    }
}

BOOST_AUTO_TEST_CASE(AProcessKeepsItsIdentityOverSeveralReturns)
{
    Leader leader;
    Server server(makeServer(1));
    run(leader, { &server }, 4);
    auto const process = leader.state().findServer(server.record.name)->process();
    for (int i = 0; i < 3; ++i) {
        leader.advance(26s);
        run(leader, { &server }, 3);
        auto const* const returned = leader.state().findServer(server.record.name);
        BOOST_REQUIRE(returned);
        BOOST_TEST(returned->process() == process);
        BOOST_TEST(!returned->isDraining);
    }
    auto again = startAgain(server);
    run(leader, { &again }, 2);
    auto const* const restarted = leader.state().findServer(server.record.name);
    BOOST_REQUIRE(restarted);
    BOOST_TEST(restarted->process() == restarted->number);
}

BOOST_AUTO_TEST_CASE(ANewLeaderLetsARemovedServerReturn)
{
    Leader leader;
    Server server(makeServer(1));
    run(leader, { &server }, 4);
    leave(leader, server);
    run(leader, { &server }, 2);
    leader.restart();
    run(leader, { &server }, 6);
    BOOST_TEST(isRegistered(leader, server));
}

// A heartbeat from before the return is as old as it was.
BOOST_AUTO_TEST_CASE(AReturnedServerIgnoresItsOldHeartbeats)
{
    Leader leader;
    Server server(makeServer(1));
    run(leader, { &server }, 4);
    leave(leader, server);
    auto old = server.makeHeartbeat();
    old.isDraining = true;
    run(leader, { &server }, 5);
    BOOST_REQUIRE(isRegistered(leader, server));
    leader.sendHeartbeat(old);
    BOOST_TEST(!leader.state().findServer(server.record.name)->isDraining);
}

BOOST_AUTO_TEST_CASE(AnIncarnationThatANewerOneReplacedNeverReturns)
{
    Leader leader;
    Server earlier(makeServer(1));
    run(leader, { &earlier }, 2);
    auto server = startAgain(earlier);
    run(leader, { &server }, 2);
    leave(leader, server);
    run(leader, { &earlier }, 10);
    BOOST_TEST(!isRegistered(leader, earlier));
    BOOST_TEST(
        (leader.coordinator().admit(leader.now(), earlier.makeHeartbeat()).ignored == IgnoredHeartbeat::Superseded));
}

BOOST_AUTO_TEST_CASE(ASlowServerGetsFewerKeys)
{
    // Three servers start with equal numbers of keys; one of them takes twice as long. Service times vary by a range as
    // large as their mean.
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
        leader.coordinator().onLoadReport(leader.now(), report);
        leader.advance(500ms);
        for (auto* const server : all)
            sendHeartbeat(leader, *server);
    }
    BOOST_TEST(heldKeyCount(servers[0]) < 0.8 * heldKeyCount(servers[1]));
    BOOST_TEST(heldKeyCount(servers[0]) < 0.8 * heldKeyCount(servers[2]));
    BOOST_TEST(heldKeyCount(servers[0]) > keyCount / 10);
}

BOOST_AUTO_TEST_CASE(EntryHostsGetTheAdmittedFractionOfAHotKey)
{
    // For 4 s, one key gets 200 requests per second, which exceeds the capacity of any server; then the load ends.
    constexpr std::uint32_t hotKey = 4242;
    constexpr std::uint32_t arrivals = 100;
    Leader leader;
    Server a(makeServer(1));
    Server b(makeServer(2));
    run(leader, { &a, &b }, 4);
    auto const admittedFractionOf = [&](std::uint32_t key) {
        auto const rows = leader.coordinator().allRows();
        return std::ranges::find_if(rows, [&](auto const& row) {
            return row.first <= key && key <= row.last;
        })->admittedFraction;
    };
    BOOST_TEST(admittedFractionOf(hotKey) == 1.0);
    for (int i = 0; i < 8; ++i) {
        LoadReport report;
        report.arrivals.push_back({ lettersPool, { { hotKey, arrivals }, { hotKey + 20'000, 1 } } });
        leader.coordinator().onLoadReport(leader.now(), report);
        leader.advance(500ms);
        sendHeartbeat(leader, a);
        sendHeartbeat(leader, b);
    }
    // Four slots at the service time of 100 ms that is assumed before the first answer process 40 of 200 requests per
    // second. The published fraction is between that and twice as much, in steps of a fifth.
    BOOST_TEST(admittedFractionOf(hotKey) > 0.2 * 0.8);
    BOOST_TEST(admittedFractionOf(hotKey) < 0.4 * 1.2);
    BOOST_TEST(admittedFractionOf(hotKey + 20'000) == 1.0);
    run(leader, { &a, &b }, 6);
    BOOST_TEST(admittedFractionOf(hotKey) == 1.0);
}

BOOST_AUTO_TEST_CASE(HeartbeatsOfManyDrainingServersDoNotOverloadTheLeader)
{
    // A seventh of 396 servers drain together, and each sends a heartbeat every 100 ms until it has released its keys.
    // The leader has 0.3 of a core. It lost its leadership because it planned all ranges for each of these heartbeats.
    constexpr int serverCount = 396;
    constexpr int leavingCount = serverCount / 7;
    constexpr int heartbeatsPerServer = 20;
    constexpr double coreShare = 0.3;
    constexpr double seconds = 2;
    // The CPU share applies to an optimized build; sanitizer builds are slower.
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
            sendHeartbeat(leader, server);
        leader.advance(1s);
    }
    auto const start = std::clock();
    for (int round = 0; round < heartbeatsPerServer; ++round) {
        for (int i = 0; i < leavingCount; ++i) {
            servers[static_cast<std::size_t>(i)].isDraining = true;
            sendHeartbeat(leader, servers[static_cast<std::size_t>(i)]);
        }
    }
    auto const cpuSeconds = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    BOOST_TEST(cpuSeconds < coreShare * seconds * sanitizerSlowdown);
    BOOST_TEST(servers.front().holds.empty());
}

// Load pattern: an owner in need names a limit of a quarter of its load. The others have room.
BOOST_AUTO_TEST_CASE(AnOwnerThatNamesALimitKeepsTheRangesWhoseRequestsItTakes)
{
    Leader leader;
    std::vector<Server> servers;
    for (int i = 1; i <= 4; ++i)
        servers.emplace_back(makeServer(i));
    std::vector<Server*> const all { &servers[0], &servers[1], &servers[2], &servers[3] };
    run(leader, all, 4);
    constexpr std::uint32_t busyKeys = 128;
    constexpr double requestsPerSecond = 2.0 * busyKeys;
    auto const numberOf = [&](Server const& server) { return leader.state().findServer(server.record.name)->number; };
    auto const loadOf = [&](Server const& server) {
        double load = 0;
        for (std::uint32_t i = 0; i < busyKeys; ++i)
            load += publishedOwner(leader.coordinator(), i * keyCount / busyKeys) == numberOf(server) ? 2 : 0;
        return load;
    };
    // Each busy key gets a request in each interval of half a second.
    auto const runLoaded = [&](std::optional<double> limit, int seconds) {
        for (int half = 0; half < 2 * seconds; ++half) {
            LoadReport report;
            report.arrivals.push_back({ lettersPool, {} });
            for (std::uint32_t i = 0; i < busyKeys; ++i)
                report.arrivals.back().keys.emplace_back(i * keyCount / busyKeys, 1);
            for (auto const& server : servers)
                report.latencies.push_back({ numberOf(server), 10, 100 });
            report.requestLimits.push_back({ numberOf(servers[0]), limit, 10, 5 });
            leader.coordinator().onLoadReport(leader.now(), report);
            if (half % 2 == 0) {
                for (auto* const server : all)
                    sendHeartbeat(leader, *server);
            }
            leader.advance(500ms);
        }
    };
    runLoaded(std::nullopt, 6);
    BOOST_REQUIRE(loadOf(servers[0]) > requestsPerSecond / 8);
    runLoaded(16, 8);
    BOOST_TEST(loadOf(servers[0]) <= 18);
    BOOST_TEST(loadOf(servers[0]) >= 8);
    BOOST_TEST(loadOf(servers[1]) + loadOf(servers[2]) + loadOf(servers[3]) >= requestsPerSecond - 18);
    // Without the limit it takes its share again.
    runLoaded(std::nullopt, 8);
    BOOST_TEST(loadOf(servers[0]) >= 0.8 * requestsPerSecond / 4);
}
