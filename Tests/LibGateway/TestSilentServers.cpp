#include "GatewayFixture.h"

using namespace TestGateway;

namespace {

std::string const rejection = "503 Service Unavailable";

/// A key-divided pool of one server and a pool without keys of two servers. The first server of each pool rejects all
/// requests and asks for silence.
struct SilentFixture : GatewayFixture {
    SilentFixture()
        : owner(loop, silent(1000))
        , first(loop, silent(1000))
        , second(loop, answering("200 OK", "second"))
    {
        gateway.apply(view());
    }

    static FakeServer::Script silent(int milliseconds)
    {
        return answering(rejection, "", "Not-Run: 1\r\nSilence-Ms: " + std::to_string(milliseconds) + "\r\n");
    }
    Fleet::ViewUpdate view() const
    {
        auto update = routesAndPools();
        update.servers = { server(1, owner, keyed), server(2, first, unkeyed), server(3, second, unkeyed) };
        update.ranges.rows.push_back({ keyed, 0, Fleet::keyCount - 1, 1, 0 });
        return update;
    }
    static double retryAfter(Caller const& caller) { return std::stod(headerOf(caller.received(), "Retry-After")); }

    FakeServer owner;
    FakeServer first;
    FakeServer second;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SilentServers, SilentFixture)

// BUDGET of issue 42: an owner that asked for silence got the same request again after 40 ms, and all that followed.
BOOST_AUTO_TEST_CASE(AnOwnerThatAsksForSilenceGetsNoRequestUntilItsEnd)
{
    auto const begin = Core::BootClock::now();
    auto const rejected = ask("/safe/x", "1");
    BOOST_TEST(rejected->status() == "503");
    BOOST_TEST(retryAfter(*rejected) > 0.9);
    for (int i = 2; i < 10; ++i) {
        auto const caller = ask("/unsafe/x", std::to_string(i));
        BOOST_TEST(caller->status() == "503");
        BOOST_TEST(retryAfter(*caller) >= 1 - std::chrono::duration<double>(Core::BootClock::now() - begin).count());
    }
    BOOST_TEST((Core::BootClock::now() - begin < 500ms));
    BOOST_TEST(owner.requests().size() == 1);
    owner.setScript(answering("200 OK", "done"));
    runFor(loop, 1100ms);
    BOOST_TEST(ask("/safe/x", "10")->status() == "200");
}

// BUDGET of issue 42: the callers of a pool without keys got the rejection although other servers had room.
BOOST_AUTO_TEST_CASE(OtherServersRunTheRequestsOfASilentOne)
{
    second.setScript([](auto const& request) {
        return FakeServer::Reaction { answerTo(request, "200 OK", "slow"), FakeServer::Reaction::Then::Keep, 20ms };
    });
    for (int i = 0; i < 30; ++i)
        BOOST_TEST(ask("/any/x", std::to_string(i))->status() == "200");
    BOOST_TEST(first.requests().size() <= 1);
}

BOOST_AUTO_TEST_CASE(WhileAllServersAreSilentCallersAreRefusedUntilTheFirstReturns)
{
    first.setScript(silent(2000));
    second.setScript(silent(800));
    for (int i = 0; i < 3; ++i)
        ask("/any/x", std::to_string(i));
    auto const caller = ask("/any/x", "last");
    BOOST_TEST(caller->status() == "503");
    BOOST_TEST(retryAfter(*caller) > 0.6);
    BOOST_TEST(retryAfter(*caller) < 1.3);
    BOOST_TEST(first.requests().size() <= 1);
    BOOST_TEST(second.requests().size() <= 1);
    BOOST_TEST(closeLog().find("servers-silent") != std::string::npos);
}

// Found by a process test: keys that moved while all servers were silent kept their callers waiting for an owner that
// would be silent too.
BOOST_AUTO_TEST_CASE(AKeyWithoutAnOwnerIsRefusedAtOnceWhileAllServersAreSilent)
{
    ask("/safe/x", "1");
    Fleet::ViewUpdate update;
    update.ranges.rows.push_back({ keyed, 0, Fleet::keyCount - 1, 0, 400 });
    gateway.apply(update);
    auto const begin = Core::BootClock::now();
    auto const caller = ask("/safe/x", "2");
    BOOST_TEST(caller->status() == "503");
    BOOST_TEST(retryAfter(*caller) > 0.6);
    BOOST_TEST((Core::BootClock::now() - begin < 200ms));
}

// The silence ends before the owner is expected.
BOOST_AUTO_TEST_CASE(AKeyWithoutAnOwnerIsWaitedForIfTheSilenceIsShorter)
{
    owner.setScript(silent(100));
    ask("/safe/x", "1");
    owner.setScript(answering("200 OK", "done"));
    Fleet::ViewUpdate update;
    update.ranges.rows.push_back({ keyed, 0, Fleet::keyCount - 1, 0, 300 });
    gateway.apply(update);
    auto const caller = connect("/safe/x", "2");
    runFor(loop, 200ms);
    update.ranges.rows.front() = { keyed, 0, Fleet::keyCount - 1, 1, 0 };
    gateway.apply(update);
    caller->waitForAnswer();
    BOOST_TEST(caller->status() == "200");
}

BOOST_AUTO_TEST_CASE(TheLongestOfSeveralSilencesHolds)
{
    owner.setScript([](auto const& request) {
        auto const isLong = headerOf(request, "Attempt") == "long";
        return FakeServer::Reaction { answerTo(request, rejection, "",
                                          isLong ? "Not-Run: 1\r\nSilence-Ms: 1500\r\n"
                                                 : "Not-Run: 1\r\nSilence-Ms: 100\r\n"),
            FakeServer::Reaction::Then::Keep, isLong ? 20ms : 40ms };
    });
    auto const longer = connect("/safe/x", "long");
    auto const shorter = connect("/safe/x", "short");
    longer->waitForAnswer();
    shorter->waitForAnswer();
    runFor(loop, 400ms);
    ask("/safe/x", "3");
    BOOST_TEST(owner.requests().size() == 2);
}

// A new leader, a reconnection of the server and new ranges do not change what the server has asked for.
BOOST_AUTO_TEST_CASE(SilenceOutlivesViews)
{
    ask("/safe/x", "1");
    auto whole = view();
    whole.isWhole = true;
    gateway.apply(whole);
    Fleet::ViewUpdate update;
    update.ranges.rows.push_back({ keyed, 0, Fleet::keyCount - 1, 1, 0 });
    gateway.apply(update);
    ask("/safe/x", "2");
    BOOST_TEST(owner.requests().size() == 1);
}

BOOST_AUTO_TEST_CASE(ANewProcessOfTheServerIsNotSilent)
{
    ask("/safe/x", "1");
    Fleet::ViewUpdate update;
    update.removedServers = { 1 };
    update.servers = { server(5, owner, keyed) };
    update.ranges.rows.push_back({ keyed, 0, Fleet::keyCount - 1, 5, 0 });
    gateway.apply(update);
    owner.setScript(answering("200 OK", "done"));
    BOOST_TEST(ask("/safe/x", "2")->status() == "200");
}

// The server does not accept the connection at first. What is not sent yet when it asks for silence is taken back.
BOOST_AUTO_TEST_CASE(RequestsThatWaitForAConnectionAreNotSentToASilentServer)
{
    // The first connection is kept, so that the second request needs a new one.
    owner.setScript([](auto const& request) {
        return FakeServer::Reaction { answerTo(request, rejection, "", "Not-Run: 1\r\nSilence-Ms: 1000\r\n"),
            FakeServer::Reaction::Then::Keep, 50ms };
    });
    auto const sent = connect("/safe/x", "1");
    runFor(loop, 49ms);
    std::vector<std::unique_ptr<Caller>> waiting;
    auto const isAnswered = [&] { return sent->status() == "503"; };
    // Requests follow closely, so that some of them wait for their new connections when the rejection arrives.
    for (int i = 2; i < 60 && !isAnswered(); ++i) {
        waiting.push_back(connect("/safe/x", std::to_string(i)));
        runFor(loop, 1ms);
    }
    sent->waitForAnswer();
    auto const count = owner.requests().size();
    runFor(loop, 300ms);
    BOOST_TEST(owner.requests().size() == count);
    for (auto const& caller : waiting) {
        caller->waitForAnswer();
        BOOST_TEST(caller->status() == "503");
    }
}

BOOST_AUTO_TEST_CASE(AnUnreadableSilenceIsIgnoredAndLoggedOnce)
{
    owner.setScript(answering(rejection, "", "Not-Run: 1\r\nSilence-Ms: many\r\n"));
    for (auto const* const id : { "1", "2" })
        ask("/unsafe/x", id);
    BOOST_TEST(owner.requests().size() == 2);
    auto const log = closeLog();
    auto const begin = log.find("ServerSilenceUnreadable");
    BOOST_REQUIRE(begin != std::string::npos);
    BOOST_TEST(log.find("ServerSilenceUnreadable", begin + 1) == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
