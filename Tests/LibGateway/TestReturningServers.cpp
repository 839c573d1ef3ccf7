#include "GatewayFixture.h"

#include <LibGateway/KnownServers.h>

using namespace TestGateway;

namespace {

/// A control leader that counts the reservations that it is asked for.
class UnansweredReservations final : public Gateway::ReservationTransport {
public:
    bool send(Fleet::ReservationRequest const&) override
    {
        ++count;
        return true;
    }

    int count { 0 };
};

/// A key-divided pool whose first server owns all keys, and a pool without keys. The servers leave the view and return
/// to it under other numbers.
struct ReturningFixture : GatewayFixture {
    ReturningFixture()
        : owner(loop, answering("200 OK", "done"))
        , heir(loop, answering("200 OK", "heir"))
        , plain(loop, answering("200 OK", "plain"))
        , other(loop, answering("200 OK", "other"))
    {
        gateway.apply(view());
    }

    Fleet::ViewUpdate view() const
    {
        auto update = routesAndPools();
        update.servers
            = { server(1, owner, keyed), server(2, heir, keyed), server(3, plain, unkeyed), server(4, other, unkeyed) };
        update.ranges.rows.push_back({ keyed, 0, Fleet::keyCount - 1, 1, 0 });
        return update;
    }
    /// The first server of each pool is removed.
    void remove()
    {
        Fleet::ViewUpdate update;
        update.removedServers = { 1, 3 };
        update.ranges.rows.push_back({ keyed, 0, Fleet::keyCount - 1, 0, 0 });
        gateway.apply(update);
    }
    Fleet::ServerRow returned(Fleet::ServerNumber number, Fleet::ServerNumber firstNumber, FakeServer const& fake,
        Core::PoolName const& pool) const
    {
        auto row = server(number, fake, pool);
        row.server.name = server(firstNumber, fake, pool).server.name;
        row.server.firstNumber = firstNumber;
        return row;
    }
    /// The servers that were removed are registered again, and own what they owned.
    void returnServers(bool isWhole = false)
    {
        auto update = isWhole ? routesAndPools() : Fleet::ViewUpdate {};
        update.isWhole = isWhole;
        if (isWhole)
            update.servers = { server(2, heir, keyed), server(4, other, unkeyed) };
        update.servers.push_back(returned(11, 1, owner, keyed));
        update.servers.push_back(returned(13, 3, plain, unkeyed));
        update.ranges.rows.push_back({ keyed, 0, Fleet::keyCount - 1, 11, 0 });
        gateway.apply(update);
    }
    /// Sends requests until this server without keys has answered one.
    void findPlain()
    {
        // Slower than a server is assumed to be that has not answered yet.
        other.setScript([](auto const& request) {
            return FakeServer::Reaction { answerTo(request, "200 OK", "slow"), FakeServer::Reaction::Then::Keep,
                150ms };
        });
        for (int i = 0; i < 40 && plain.requests().empty(); ++i)
            ask("/any/x", "find-" + std::to_string(i));
        BOOST_REQUIRE(plain.requests().size() == 1);
        other.setScript(answering("200 OK", "other"));
    }

    FakeServer owner;
    FakeServer heir;
    FakeServer plain;
    FakeServer other;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReturningServers, ReturningFixture)

// DRAIN of issue 54: a server that leaves got requests again once it was registered again.
BOOST_AUTO_TEST_CASE(AServerThatSaidItLeavesGetsNoRequestAfterItsReturn)
{
    for (auto const isWhole : { false, true }) {
        owner.setScript(answering("200 OK", "done", "Leaving: yes\r\n"));
        plain.setScript(answering("200 OK", "plain", "Leaving: yes\r\n"));
        if (!isWhole) {
            ask("/safe/x", "1");
            findPlain();
        }
        runFor(loop, leavingGrace + 100ms);
        auto const count = owner.requests().size();
        remove();
        returnServers(isWhole);
        BOOST_TEST(ask("/safe/x", "2")->status() == "503");
        for (int i = 0; i < 20; ++i)
            BOOST_TEST(ask("/any/x", std::to_string(i))->status() == "200");
        BOOST_TEST(owner.requests().size() == count);
        BOOST_TEST(plain.requests().size() == 1);
    }
    BOOST_TEST(closeLog().find("ServerReturned") != std::string::npos);
}

// The leader knows nothing of it under its new number.
BOOST_AUTO_TEST_CASE(TheLeaderIsToldAgainUnderTheNewNumber)
{
    owner.setScript(answering("200 OK", "done", "Leaving: yes\r\nLimit: 5\r\n"));
    ask("/safe/x", "1");
    remove();
    // Nothing is reported of a server that the leader does not have.
    BOOST_TEST(gateway.takeReport().leaving.empty());
    returnServers();
    auto const report = gateway.takeReport();
    BOOST_TEST(report.leaving == std::vector<Fleet::ServerNumber> { 11 });
    BOOST_REQUIRE(report.requestLimits.size() == 1);
    BOOST_TEST(report.requestLimits.front().server == 11U);
    BOOST_TEST(report.requestLimits.front().perSecond.value_or(0) == 5);
}

BOOST_AUTO_TEST_CASE(AServerThatWantsSilenceGetsNoRequestAfterItsReturn)
{
    auto const silent = answering("503 Service Unavailable", "", "Not-Run: 1\r\nSilence-Ms: 60000\r\n");
    owner.setScript(silent);
    ask("/safe/x", "1");
    auto const count = owner.requests().size();
    owner.setScript(answering("200 OK", "done"));
    remove();
    returnServers();
    BOOST_TEST(ask("/safe/x", "2")->status() == "503");
    BOOST_TEST(owner.requests().size() == count);
}

BOOST_AUTO_TEST_CASE(AServerThatNamedALimitHasItAfterItsReturn)
{
    owner.setScript(answering("200 OK", "done", "Limit: 5\r\n"));
    ask("/safe/x", "1");
    remove();
    returnServers();
    UnansweredReservations leader;
    gateway.setReservationTransport(leader);
    auto const caller = connect("/safe/x", "2");
    BOOST_TEST(runUntil(loop, [&] { return leader.count == 1; }));
    BOOST_TEST(owner.requests().size() == 1);
}

// An answer that arrived while its server was not in the view was not read.
BOOST_AUTO_TEST_CASE(AnAnswerThatArrivesAfterTheRemovalIsRead)
{
    owner.setScript([](auto const& request) {
        return FakeServer::Reaction { answerTo(request, "200 OK", "done", "Leaving: yes\r\n"),
            FakeServer::Reaction::Then::Keep, 100ms };
    });
    auto const caller = connect("/safe/x", "1");
    BOOST_REQUIRE(runUntil(loop, [&] { return owner.requests().size() == 1; }));
    remove();
    caller->waitForAnswer();
    BOOST_TEST(caller->status() == "200");
    runFor(loop, leavingGrace + 100ms);
    returnServers();
    BOOST_TEST(ask("/safe/x", "2")->status() == "503");
    BOOST_TEST(owner.requests().size() == 1);
}

// A second rejection could be a late copy of the first one.
BOOST_AUTO_TEST_CASE(ARequestThatAServerHasRejectedIsNotSentToItAfterItsReturn)
{
    owner.setScript([](auto const& request) {
        return FakeServer::Reaction { answerTo(request, "421 Misdirected Request", "", "Not-Run: 1\r\n") };
    });
    auto const caller = connect("/unsafe/x", "1");
    BOOST_REQUIRE(runUntil(loop, [&] { return owner.requests().size() == 1; }));
    runFor(loop, 20ms);
    remove();
    returnServers();
    caller->waitForAnswer();
    BOOST_TEST(caller->status() == "503");
    BOOST_TEST(owner.requests().size() == 1);
}

// Changes are collected into updates, so one may add a server and remove it.
BOOST_AUTO_TEST_CASE(AServerThatAnUpdateAddsAndRemovesIsNotInTheView)
{
    owner.setScript(answering("200 OK", "done", "Leaving: yes\r\n"));
    ask("/safe/x", "1");
    remove();
    Fleet::ViewUpdate update;
    update.servers = { returned(11, 1, owner, keyed) };
    update.removedServers = { 11 };
    gateway.apply(update);
    BOOST_TEST(gateway.takeReport().leaving.empty());
}

BOOST_AUTO_TEST_CASE(ANewProcessUnderTheSameNameIsNotTakenForTheOldOne)
{
    owner.setScript(answering("200 OK", "done", "Leaving: yes\r\n"));
    ask("/safe/x", "1");
    runFor(loop, leavingGrace + 100ms);
    remove();
    owner.setScript(answering("200 OK", "done"));
    Fleet::ViewUpdate update;
    update.servers = { returned(11, 0, owner, keyed) };
    update.ranges.rows.push_back({ keyed, 0, Fleet::keyCount - 1, 11, 0 });
    gateway.apply(update);
    BOOST_TEST(ask("/safe/x", "2")->status() == "200");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(KnownServerTests)

BOOST_AUTO_TEST_CASE(ProcessesAreForgottenLongAfterTheyHaveLeftTheView)
{
    Core::TimePoint const start { 1000s };
    Gateway::KnownServers known;
    Fleet::ServerRecord record;
    for (Fleet::ServerNumber number = 1; number <= 3; ++number) {
        record.number = number;
        known.at(record);
    }
    known.onRemoved(1, start);
    known.onRemoved(2, start);
    record.number = 7;
    record.firstNumber = 2;
    BOOST_TEST(known.onRecord(record) != nullptr);
    BOOST_TEST(known.onRecord(record) == nullptr);
    known.onRemoved(100, start + 599s);
    BOOST_TEST(known.find(1) != nullptr);
    known.onRemoved(100, start + 600s);
    BOOST_TEST(known.find(1) == nullptr);
    // It has returned.
    BOOST_TEST(known.find(2) != nullptr);
    BOOST_TEST(known.find(3) != nullptr);
    std::set<Fleet::ServerNumber> inView;
    known.forEachInView([&](auto const& server) { inView.insert(server.record.number); });
    BOOST_TEST(inView == (std::set<Fleet::ServerNumber> { 3, 7 }), boost::test_tools::per_element());
}

// Guards against a server that is hardly used after its return, since it was slow before.
BOOST_AUTO_TEST_CASE(AServerIsMeasuredAnewAfterItsReturn)
{
    Core::TimePoint const start { 1000s };
    Gateway::KnownServers known;
    Fleet::ServerRecord record;
    record.number = 1;
    auto& load = known.at(record).load;
    auto const fresh = load.serviceTime();
    load.onSent();
    load.onServiceTime(5s);
    load.onReport({ 4, 9, 4, 3 }, start);
    BOOST_TEST(load.occupancy(start) > 10);
    known.onRemoved(1, start);
    record.firstNumber = std::exchange(record.number, 2);
    BOOST_REQUIRE(known.onRecord(record));
    BOOST_TEST((load.serviceTime() == fresh));
    BOOST_TEST(load.currentSlowness(start) == 1);
    // The request in flight.
    BOOST_TEST(load.occupancy(start) == 1);
}

BOOST_AUTO_TEST_CASE(TheNumberOfRememberedProcessesIsBounded)
{
    constexpr Fleet::ServerNumber count = 10'000;
    Gateway::KnownServers known;
    Fleet::ServerRecord record;
    for (Fleet::ServerNumber number = 1; number <= count; ++number) {
        record.number = number;
        known.at(record);
        known.onRemoved(number, Core::TimePoint { 1000s });
    }
    Fleet::ServerNumber remembered = 0;
    for (Fleet::ServerNumber number = 1; number <= count; ++number)
        remembered += known.find(number) ? 1 : 0;
    BOOST_TEST(remembered == 4096U);
    BOOST_TEST(known.find(count) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
