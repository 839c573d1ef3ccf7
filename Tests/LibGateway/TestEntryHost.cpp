#include "FakeLeader.h"
#include "FakeServers.h"

#include <LibGateway/EntryHost.h>

#include <boost/test/unit_test.hpp>

using namespace TestGateway;

namespace {

Core::PoolName const scans { "scans" };

/// Reaction of a server that drops a request its queue cannot take: it answers neither this request nor any later one
/// on the connection.
FakeServer::Reaction staySilent(std::string const&) { return {}; }

/// An entry host with one pool that has one server.
struct StopFixture {
    explicit StopFixture(Core::Duration stopGrace = 4s)
        : grace(stopGrace)
        , events(Telemetry::EventLog::open({ .file = "/dev/null" }, clock).value())
        , server(loop, staySilent)
        , leader(loop, 0s)
    {
        auto const item = route("scan", "/scan/", Fleet::RequestKind::Unsafe, scans);
        leader.view.routes = { { item.name.value, { item.version, item } } };
        leader.view.pools = { { scans.value, { 1, pool(scans, false) } } };
        leader.view.servers = { TestGateway::server(1, server, scans) };
        leader.view.entryHosts = { "entry" };
        auto const settings = entryHostSettings(leader, grace, linkBytesPerSecond);
        host = std::make_unique<Gateway::EntryHost>(loop, *events, metrics, codec, settings);
        BOOST_REQUIRE(host->listen());
        BOOST_REQUIRE(runUntil(loop, [&] { return host->isReady(); }));
        address = settings.callers;
    }

    /// Stops the host and runs the loop until the process would exit.
    void stop()
    {
        host->beginStop();
        loop.after(grace, [&] { wasKilled = true; });
        loop.run();
        BOOST_TEST(!wasKilled);
        // Delivers the data that the kernel still sends after a process has exited.
        runFor(loop, 20ms);
    }

    static constexpr double linkBytesPerSecond = 20e3;

    Core::Duration grace;
    Net::EventLoop loop;
    Core::SystemClock clock;
    std::unique_ptr<Telemetry::EventLog> events;
    Telemetry::Metrics metrics;
    TestCodec codec;
    FakeServer server;
    FakeLeader leader;
    std::unique_ptr<Gateway::EntryHost> host;
    Core::Endpoint address;
    bool wasKilled { false };
};

/// The fixture with a shorter grace, since the grace is a setting of the deployment.
struct ShortGraceFixture : StopFixture {
    ShortGraceFixture()
        : StopFixture(3s)
    {
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EntryHosts, StopFixture)

// Incident inc1: the process exited before the deadline of the request, so that its caller received neither an answer
// nor a refusal.
BOOST_AUTO_TEST_CASE(ARequestAtASilentServerIsAnsweredBeforeTheProcessEnds)
{
    Caller caller(loop, address);
    caller.send(request("/scan/x", "1", "image", 8000));
    BOOST_REQUIRE(runUntil(loop, [&] { return server.requests().size() == 1; }));
    stop();
    // The request may have run.
    BOOST_TEST(caller.status() == "504");
}

BOOST_AUTO_TEST_CASE(AnUploadOfWhichNothingWasSentIsRefusedAsNotRun)
{
    // The first upload saturates the host's network link for longer than the stop lasts.
    std::string const body(200'000, 'b');
    Caller first(loop, address);
    first.send(request("/scan/x", "1", body, 8000));
    runFor(loop, 100ms);
    Caller second(loop, address);
    second.send(request("/scan/x", "2", body, 8000));
    runFor(loop, 100ms);
    BOOST_REQUIRE(host->gateway().requestCount() == 2);
    stop();
    BOOST_TEST(server.requests().empty());
    BOOST_TEST(first.status() == "504");
    BOOST_TEST(second.status() == "503");
}

BOOST_AUTO_TEST_CASE(AnUploadWaitsForTheAnswersBeforeIt)
{
    // The answer takes the host's network link for 100 ms, and the first two of the upload's three pieces for 819 ms.
    server.setScript(answering("200 OK", std::string(2000, 'a')));
    Caller caller(loop, address);
    auto const startedAt = loop.now();
    caller.send(request("/scan/x", "1"));
    BOOST_REQUIRE(caller.waitForAnswer());
    caller.clearReceived();
    caller.send(request("/scan/x", "2", std::string(16'300, 'b'), 8000));
    BOOST_REQUIRE(runUntil(loop, [&] { return server.requests().size() == 2; }));
    BOOST_TEST((loop.now() - startedAt >= 910ms));
}

// The request was received in part and sent to no server, so that it can be refused as not run.
BOOST_AUTO_TEST_CASE(AnUploadThatIsStillArrivingIsRefusedBeforeTheProcessEnds)
{
    Caller caller(loop, address);
    auto const text = request("/scan/x", "1", std::string(1000, 'b'), 8000);
    caller.send(text.substr(0, text.size() - 1));
    stop();
    BOOST_TEST(caller.status() == "503");
    BOOST_TEST(server.requests().empty());
}

// A running request may be abandoned only in the last sixth of the grace, here from 2500 ms on. The maximum answer
// margin of 800 ms keeps this rule for a grace of six seconds, but not for a short one.
BOOST_FIXTURE_TEST_CASE(AShortGraceLeavesARunningRequestFiveSixthsOfIt, ShortGraceFixture)
{
    server.setScript([](auto const& text) {
        auto reaction = FakeServer::Reaction { answerTo(text, "200 OK", "done") };
        reaction.after = 2400ms;
        return reaction;
    });
    Caller caller(loop, address);
    caller.send(request("/scan/x", "1", "image", 8000));
    BOOST_REQUIRE(runUntil(loop, [&] { return server.requests().size() == 1; }));
    stop();
    BOOST_TEST(caller.status() == "200");
}

BOOST_AUTO_TEST_SUITE_END()
