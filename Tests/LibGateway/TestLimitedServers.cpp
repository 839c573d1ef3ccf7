#include "GatewayFixture.h"

using namespace TestGateway;

namespace {

/// A control leader that answers each reservation request as the test says, or as the limits allow.
class FakeReservations final : public Gateway::ReservationTransport {
public:
    FakeReservations(Net::EventLoop& loop, Gateway::Gateway& gateway)
        : loop_(loop)
        , gateway_(gateway)
    {
    }

    bool send(Fleet::ReservationRequest const& request) override
    {
        requests.push_back(request);
        if (isKeepingLimits)
            loop_.post([=, this] { answerWithinLimits(request); });
        else if (isAnswering)
            loop_.post([this] { answer(isGranting); });
        return isConnected;
    }

    /// Answers the latest request.
    void answer(bool isGranted) { gateway_.onReservation({ requests.back().id, isGranted, wait.count() }); }

    std::vector<Fleet::ReservationRequest> requests;
    bool isConnected { true };
    bool isAnswering { false };
    bool isKeepingLimits { false };
    bool isGranting { true };
    std::chrono::milliseconds wait { 0 };

private:
    void answerWithinLimits(Fleet::ReservationRequest const& request)
    {
        auto const now = loop_.now();
        auto const server = request.limit.server;
        limits_.update(server, Fleet::toStatement(request.limit, now), now);
        auto const reservation = limits_.reserve(server, std::chrono::milliseconds(request.patienceMs), now);
        gateway_.onReservation({ request.id, reservation.isGranted, Core::toMilliseconds(reservation.wait) });
    }

    Net::EventLoop& loop_;
    Gateway::Gateway& gateway_;
    Fleet::RequestLimits limits_;
};

/// A key-divided pool of one server, which names a limit, and a pool without keys of two servers.
struct LimitFixture : GatewayFixture {
    LimitFixture()
        : owner(loop, answering("200 OK", "done", "Limit: 5\r\n"))
        , limited(loop, answering("200 OK", "limited", "Limit: 0\r\n"))
        , unlimited(loop, answering("200 OK", "unlimited"))
        , leader(loop, gateway)
    {
        gateway.setReservationTransport(leader);
        auto update = routesAndPools();
        update.servers = { server(1, owner, keyed), server(2, limited, unkeyed), server(3, unlimited, unkeyed) };
        update.ranges.rows.push_back({ keyed, 0, Fleet::keyCount - 1, 1, 0 });
        gateway.apply(update);
    }

    bool waitForRequests(std::size_t count)
    {
        return runUntil(loop, [&] { return leader.requests.size() == count; });
    }
    void tellLimits(std::vector<Fleet::RequestLimitRow> const& rows, bool isWhole = false)
    {
        Fleet::ViewUpdate update;
        update.requestLimits = rows;
        if (isWhole) {
            update.isWhole = true;
            update.servers = { server(1, owner, keyed), server(2, limited, unkeyed), server(3, unlimited, unkeyed) };
            update.ranges.rows.push_back({ keyed, 0, Fleet::keyCount - 1, 1, 0 });
        }
        gateway.apply(update);
    }
    FakeServer owner;
    FakeServer limited;
    FakeServer unlimited;
    FakeReservations leader;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LimitedServers, LimitFixture)

BOOST_AUTO_TEST_CASE(ARequestForALimitedOwnerIsSentOnceItIsReserved)
{
    BOOST_TEST(ask("/safe/x", "1")->status() == "200");
    BOOST_TEST(leader.requests.empty());
    auto caller = connect("/safe/x", "2");
    BOOST_REQUIRE(waitForRequests(1));
    BOOST_TEST(leader.requests.back().limit.server == 1);
    BOOST_TEST(*leader.requests.back().limit.perSecond == 5.0);
    BOOST_TEST(leader.requests.back().patienceMs > 0);
    BOOST_TEST(owner.requests().size() == 1);
    leader.answer(true);
    caller->waitForAnswer();
    BOOST_TEST(caller->status() == "200");
    BOOST_TEST(owner.requests().size() == 2);
    auto const report = gateway.takeReport();
    BOOST_REQUIRE(report.requestLimits.size() == 1);
    // Each request for the key counts once.
    BOOST_TEST(report.arrivals.front().keys.front().second == 2);
}

BOOST_AUTO_TEST_CASE(AReservedRequestIsSentAtItsTime)
{
    ask("/safe/x", "1");
    leader.isAnswering = true;
    leader.wait = 150ms;
    auto const sentAt = Core::BootClock::now();
    BOOST_TEST(ask("/safe/x", "2")->status() == "200");
    BOOST_TEST((Core::BootClock::now() - sentAt >= 150ms));
}

BOOST_AUTO_TEST_CASE(ARequestBeyondTheLimitIsRefusedAtOnceAsNotRun)
{
    ask("/unsafe/x", "1");
    leader.isAnswering = true;
    leader.isGranting = false;
    leader.wait = 900ms;
    for (auto const* const id : { "2", "3" }) {
        auto const caller = ask("/unsafe/x", id);
        BOOST_TEST(caller->status() == "503");
        // From when the server may get another request, spread over a time.
        auto const retryAfter = std::stod(headerOf(caller->received(), "Retry-After"));
        BOOST_TEST(retryAfter >= 0.45);
        BOOST_TEST(retryAfter <= 2);
    }
    BOOST_TEST(owner.requests().size() == 1);
    // The second one was refused without another message.
    BOOST_TEST(leader.requests.size() == 1);
    BOOST_TEST(closeLog().find("owner-limited") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ACallerThatLeavesBeforeItsReservationIsNotSent)
{
    ask("/safe/x", "1");
    auto caller = connect("/safe/x", "2");
    BOOST_REQUIRE(waitForRequests(1));
    caller->close();
    runFor(loop, 50ms);
    leader.answer(true);
    runFor(loop, 50ms);
    BOOST_TEST(owner.requests().size() == 1);
}

// Two entry hosts share half of the limit of 5 a second: 10 in four seconds, of which this host may send half.
BOOST_AUTO_TEST_CASE(WithoutALeaderTheHostUsesItsShareOnly)
{
    ask("/safe/x", "1");
    leader.isConnected = false;
    for (int i = 2; i < 20; ++i)
        ask("/safe/x", std::to_string(i));
    BOOST_TEST(owner.requests().size() == 1 + 5);
}

BOOST_AUTO_TEST_CASE(ALeaderThatDoesNotAnswerIsNotWaitedForLong)
{
    ask("/safe/x", "1");
    auto const sentAt = Core::BootClock::now();
    BOOST_TEST(ask("/safe/x", "2")->status() == "200");
    BOOST_TEST((Core::BootClock::now() - sentAt >= 200ms));
    // A reply after the request was sent is for no one.
    leader.answer(true);
    BOOST_TEST(owner.requests().size() == 2);
}

BOOST_AUTO_TEST_CASE(TheLimitHoldsForAHostThatWasToldByTheLeader)
{
    tellLimits({ { 1, 3.0, 20, 10 } });
    auto caller = connect("/safe/x", "1");
    BOOST_REQUIRE(waitForRequests(1));
    BOOST_TEST(owner.requests().empty());
    // A new leader that does not know the limit yet does not end it, and is told.
    tellLimits({}, true);
    BOOST_TEST(gateway.takeReport().requestLimits.size() == 1);
    leader.answer(true);
    caller->waitForAnswer();
    BOOST_TEST(caller->status() == "200");
    // The end that another host has seen is later than this host's answer.
    runFor(loop, 250ms);
    tellLimits({ { 1, std::nullopt, 10, 5 } });
    ask("/safe/x", "2");
    BOOST_TEST(leader.requests.size() == 1);
}

BOOST_AUTO_TEST_CASE(AnAnswerWithoutTheLimitEndsIt)
{
    ask("/safe/x", "1");
    owner.setScript(answering("200 OK", "done"));
    leader.isAnswering = true;
    ask("/safe/x", "2");
    BOOST_TEST(leader.requests.size() == 1);
    ask("/safe/x", "3");
    BOOST_TEST(leader.requests.size() == 1);
    auto const report = gateway.takeReport();
    BOOST_REQUIRE(report.requestLimits.size() == 1);
    BOOST_TEST(!report.requestLimits.front().perSecond.has_value());
}

BOOST_AUTO_TEST_CASE(AnUnreadableLimitIsIgnoredCountedAndLoggedOnce)
{
    ask("/safe/x", "1");
    owner.setScript(answering("200 OK", "done", "Limit: many\r\n"));
    leader.isAnswering = true;
    // It does not end the limit.
    for (auto const* const id : { "2", "3" })
        BOOST_TEST(ask("/safe/x", id)->status() == "200");
    BOOST_TEST(leader.requests.size() == 2);
    BOOST_TEST(metrics.exposition().find("unreadable_limits_total{pool=\"keyed\"} 2") != std::string::npos);
    auto const log = closeLog();
    auto const first = log.find("RequestLimitUnreadable");
    BOOST_REQUIRE(first != std::string::npos);
    BOOST_TEST(log.find("RequestLimitUnreadable", first + 1) == std::string::npos);
}

// A misdirected answer may come from another server that has got the address.
BOOST_AUTO_TEST_CASE(ALimitInAMisdirectedAnswerIsIgnored)
{
    owner.setScript(answering("421 Misdirected Request", "", "Not-Run: 1\r\nLimit: 1\r\n"));
    ask("/safe/x", "1");
    owner.setScript(answering("200 OK", "done"));
    BOOST_TEST(ask("/safe/x", "2")->status() == "200");
    BOOST_TEST(leader.requests.empty());
}

BOOST_AUTO_TEST_CASE(ALimitOfAServerWithoutKeysSendsItsRequestsToOthers)
{
    tellLimits({ { 2, 0.0, 20, 10 } });
    leader.isAnswering = true;
    for (int i = 0; i < 30; ++i)
        BOOST_TEST(ask("/any/x", std::to_string(i))->status() == "200");
    // The two hosts send three requests in four seconds to find out whether the limit of zero still holds.
    BOOST_TEST(limited.requests().size() <= 2);
    BOOST_TEST(!limited.requests().empty());
    BOOST_TEST(leader.requests.size() == limited.requests().size());
}

// Shares alone let all hosts send at the same moment.
BOOST_AUTO_TEST_CASE(AServerWithoutKeysGetsNothingThatTheLeaderRefuses)
{
    tellLimits({ { 2, 60.0, 20, 10 } });
    leader.isAnswering = true;
    leader.isGranting = false;
    leader.wait = 10s;
    for (int i = 0; i < 30; ++i)
        BOOST_TEST(ask("/any/x", std::to_string(i))->status() == "200");
    BOOST_TEST(limited.requests().empty());
    BOOST_TEST(unlimited.requests().size() == 30);
    // A refusal holds for the requests of its time.
    BOOST_TEST(leader.requests.size() == 1);
    // Nobody waits for a send to a server that another one can replace.
    BOOST_TEST(leader.requests.back().patienceMs == 0);
}

// Two hosts share half of each limit: 20 in four seconds, of which this host may send half. Only the first request
// waits for the leader.
BOOST_AUTO_TEST_CASE(WithoutALeaderServersWithoutKeysGetTheShareOnly)
{
    limited.setScript(answering("200 OK", "limited", "Limit: 10\r\n"));
    unlimited.setScript(answering("200 OK", "limited too", "Limit: 10\r\n"));
    tellLimits({ { 2, 10.0, 20, 10 }, { 3, 10.0, 20, 10 } });
    auto const begin = Core::BootClock::now();
    std::string status;
    for (int i = 0; i < 40; ++i)
        status = ask("/any/x", std::to_string(i))->status();
    BOOST_TEST((Core::BootClock::now() - begin < 900ms));
    BOOST_TEST(status == "503");
    BOOST_TEST(limited.requests().size() == 10);
    BOOST_TEST(unlimited.requests().size() == 10);
    BOOST_TEST(leader.requests.size() == 1);
}

// Then each request counts, and a short wait is better than a refusal.
BOOST_AUTO_TEST_CASE(IfAllServersNameLimitsARequestWaitsForItsSend)
{
    tellLimits({ { 2, 10.0, 20, 10 }, { 3, 10.0, 20, 10 } });
    leader.isAnswering = true;
    leader.wait = 150ms;
    auto const sentAt = Core::BootClock::now();
    BOOST_TEST(ask("/any/x", "1")->status() == "200");
    BOOST_TEST((Core::BootClock::now() - sentAt >= 150ms));
    BOOST_TEST(leader.requests.back().patienceMs > 0);
}

// All servers of the pool are used up.
BOOST_AUTO_TEST_CASE(WithoutAServerThatTakesMoreARequestIsRefused)
{
    unlimited.setScript(answering("200 OK", "limited", "Limit: 0\r\n"));
    leader.isKeepingLimits = true;
    std::string status;
    for (int i = 0; i < 12; ++i)
        status = ask("/any/x", std::to_string(i))->status();
    BOOST_TEST(status == "503");
    BOOST_TEST(limited.requests().size() + unlimited.requests().size() <= 6);
    BOOST_TEST(closeLog().find("servers-limited") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
