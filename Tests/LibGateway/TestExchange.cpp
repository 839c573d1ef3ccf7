#include "../Support/EndlessServer.h"
#include "../Support/TemporaryFolder.h"
#include "FakeServers.h"

#include <LibGateway/Exchange.h>

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <thread>

using namespace TestGateway;
using Then = FakeServer::Reaction::Then;

namespace {

/// A request with four seconds left that is refused within this time was refused immediately. Allows for sanitizers and
/// machine load.
constexpr Core::Duration promptRefusalLimit = 1s;

/// The time for which a started host sends nothing to cold servers, and some more.
constexpr Core::Duration firstColdWindow = 1200ms;

/// The deadline of requests whose answers are endless. Longer than any test waits, so that no answer ends by it.
constexpr int endlessDeadlineMs = 30'000;

Core::PoolName const keyed { "keyed" };
Core::PoolName const unkeyed { "unkeyed" };

/// An entry host with a key-divided pool of one server and a pool without keys of two servers.
struct Fixture {
    explicit Fixture(Gateway::MemorySettings const& memory = {})
        : events(Telemetry::EventLog::open({ .file = folder.file("event.log") }, clock).value())
        , a(loop, [](auto const& request) { return FakeServer::Reaction { answerTo(request, "200 OK", "from-a") }; })
        , b(loop, [](auto const& request) { return FakeServer::Reaction { answerTo(request, "200 OK", "from-b") }; })
        , gateway(loop, *events, metrics, codec, settings(memory))
    {
        address = { "127.0.0.1", freePort() };
        BOOST_REQUIRE(gateway.listen(address));
    }

    static Gateway::GatewaySettings settings(Gateway::MemorySettings const& memory)
    {
        Gateway::GatewaySettings result;
        result.name = "entry";
        result.retries = { 20, 0, 10s };
        result.warmupSlack = 0.3;
        result.memory = memory;
        return result;
    }

    void add(Fleet::ViewUpdate& update, Fleet::RouteItem const& item)
    {
        update.routes.push_back({ item.name.value, { item.version, item } });
    }

    void configure()
    {
        Fleet::ViewUpdate update;
        add(update, route("safe", "/safe/", Fleet::RequestKind::Safe, keyed));
        add(update, route("unsafe", "/unsafe/", Fleet::RequestKind::Unsafe, keyed));
        add(update, route("any", "/any/", Fleet::RequestKind::Unsafe, unkeyed));
        add(update, route("anySafe", "/any-safe/", Fleet::RequestKind::Safe, unkeyed));
        update.pools = { { keyed.value, { 1, pool(keyed, true) } }, { unkeyed.value, { 1, pool(unkeyed, false) } } };
        update.servers = { server(1, a, keyed), server(2, a, unkeyed), server(3, b, unkeyed) };
        update.ranges.rows.push_back({ keyed, 0, Fleet::keyCount - 1, 1, 0 });
        update.entryHosts = { "entry" };
        gateway.apply(update);
    }

    std::unique_ptr<Caller> connect() { return std::make_unique<Caller>(loop, address); }

    /// Returns the socket of a caller that never reads.
    int connectSilentCaller() const
    {
        auto const fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        to.sin_port = htons(address.port);
        BOOST_REQUIRE(::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
        return fd;
    }

    std::unique_ptr<Caller> ask(std::string const& request)
    {
        auto caller = connect();
        caller->send(request);
        caller->waitForAnswer();
        return caller;
    }

    /// Adds servers whose answers have endless bodies, each with its own pool and route.
    std::vector<std::unique_ptr<EndlessServer>> addEndlessServers(std::size_t count)
    {
        std::vector<std::unique_ptr<EndlessServer>> servers;
        Fleet::ViewUpdate update;
        for (std::size_t i = 0; i < count; ++i) {
            servers.push_back(std::make_unique<EndlessServer>(loop, "HTTP/1.1 200 OK\r\nAttempt: {id}\r\n\r\n", "x"));
            Core::PoolName const name { "endless-" + std::to_string(i) };
            auto row = server(static_cast<Fleet::ServerNumber>(10 + i), b, name);
            row.server.address = servers.back()->address;
            update.servers.push_back(row);
            update.pools.push_back({ name.value, { 1, pool(name, false) } });
            auto item = route(name.value, "/" + name.value + "/", Fleet::RequestKind::Unsafe, name);
            item.timeoutMs = endlessDeadlineMs;
            add(update, item);
        }
        gateway.apply(update);
        return servers;
    }

    std::vector<std::unique_ptr<Caller>> askEndlessServers(std::size_t count)
    {
        std::vector<std::unique_ptr<Caller>> callers;
        for (std::size_t i = 0; i < count; ++i) {
            callers.push_back(connect());
            callers.back()->send(
                request("/endless-" + std::to_string(i) + "/x", "e" + std::to_string(i), {}, endlessDeadlineMs));
        }
        return callers;
    }

    Net::EventLoop loop;
    Core::SystemClock clock;
    TemporaryFolder folder;
    std::unique_ptr<Telemetry::EventLog> events;
    Telemetry::Metrics metrics;
    TestCodec codec;
    FakeServer a;
    FakeServer b;
    Gateway::Gateway gateway;
    Core::Endpoint address;
};

/// An entry host whose memory limit is reached with few bytes.
struct SmallMemoryFixture : Fixture {
    static constexpr std::size_t maxHeldBytes = 16UL << 20;

    SmallMemoryFixture()
        : Fixture({ .maxHeldBytes = maxHeldBytes })
    {
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Exchanges, Fixture)

BOOST_AUTO_TEST_CASE(RequestsWithoutAConfigurationAreRefusedWithRetryAfter)
{
    auto const caller = ask(request("/safe/x", "1"));
    BOOST_TEST(caller->status() == "503");
    BOOST_TEST(!headerOf(caller->received(), "Retry-After").empty());
}

BOOST_AUTO_TEST_CASE(ARequestReachesItsOwnerUnchangedAndItsAnswerComesBackUnchanged)
{
    configure();
    a.setScript(answering("201 Made", "body-of-a", "Seal: abc\r\nKeep-Alive: timeout=9\r\n"));
    auto const caller = ask(request("/unsafe/x?q=%20", "id-1", "payload"));
    BOOST_REQUIRE_EQUAL(a.requests().size(), 1);
    auto const& sent = a.requests().front();
    BOOST_TEST(sent.starts_with("POST /unsafe/x?q=%20 HTTP/1.1\r\n"));
    BOOST_TEST(sent.ends_with("\r\n\r\npayload"));
    BOOST_TEST(headerOf(sent, "Attempt") == "id-1");
    BOOST_TEST(headerOf(sent, "Target") == "life-1");
    BOOST_TEST(std::stoi(headerOf(sent, "Left-Ms")) <= 4000);
    BOOST_TEST(caller->received().starts_with("HTTP/1.1 201 Made\r\n"));
    BOOST_TEST(headerOf(caller->received(), "Seal") == "abc");
    BOOST_TEST(headerOf(caller->received(), "Keep-Alive").empty());
    BOOST_TEST(caller->received().ends_with("\r\n\r\nbody-of-a"));
}

BOOST_AUTO_TEST_CASE(AChunkedBodyArrivesWhole)
{
    configure();
    ask("POST /unsafe/x HTTP/1.1\r\nHost: host.example\r\nAttempt: 1\r\nKey: 7\r\nTransfer-Encoding: "
        "chunked\r\n\r\n3\r\nabc\r\n"
        "4\r\ndefg\r\n0\r\n\r\n");
    BOOST_REQUIRE_EQUAL(a.requests().size(), 1);
    BOOST_TEST(a.requests().front().ends_with("\r\n\r\nabcdefg"));
}

BOOST_AUTO_TEST_CASE(UnknownPathsAreNotFound)
{
    configure();
    BOOST_TEST(ask(request("/none/x", "1"))->status() == "404");
    BOOST_TEST(a.requests().empty());
}

BOOST_AUTO_TEST_CASE(AnUnsafeRequestWhoseAnswerIsLostIsNeitherRetriedNorReportedAsNotRun)
{
    configure();
    a.setScript([](auto const&) { return FakeServer::Reaction { {}, Then::Reset }; });
    BOOST_TEST(ask(request("/unsafe/x", "1", "b"))->status() == "502");
    BOOST_TEST(a.requests().size() == 1);
}

BOOST_AUTO_TEST_CASE(ASafeRequestWhoseAnswerIsLostIsRetried)
{
    configure();
    a.setScript([this](auto const& request) {
        if (a.requests().size() == 1)
            return FakeServer::Reaction { {}, Then::Reset };
        return FakeServer::Reaction { answerTo(request, "200 OK", "again") };
    });
    BOOST_TEST(ask(request("/safe/x", "1"))->status() == "200");
    BOOST_TEST(a.requests().size() == 2);
}

BOOST_AUTO_TEST_CASE(ATruncatedAnswerIsNotRelayedAsComplete)
{
    configure();
    a.setScript([](auto const& request) {
        auto bytes = answerTo(request, "200 OK", "0123456789");
        bytes.resize(bytes.size() - 4);
        return FakeServer::Reaction { bytes, Then::Close };
    });
    BOOST_TEST(ask(request("/unsafe/x", "1", "b"))->status() == "502");
}

BOOST_AUTO_TEST_CASE(AnAnswerWithoutLengthEndsWithItsConnectionButNotWithAReset)
{
    configure();
    auto const unframed = [](auto const& request) {
        return "HTTP/1.1 200 OK\r\nAttempt: " + headerOf(request, "Attempt") + "\r\n\r\nuntil-the-end";
    };
    a.setScript([&](auto const& request) { return FakeServer::Reaction { unframed(request), Then::Close }; });
    auto const caller = ask(request("/unsafe/x", "1", "b"));
    BOOST_TEST(caller->received().ends_with("until-the-end"));
    a.setScript([&](auto const& request) { return FakeServer::Reaction { unframed(request), Then::Reset }; });
    BOOST_TEST(ask(request("/unsafe/x", "2", "b"))->status() == "502");
}

BOOST_AUTO_TEST_CASE(AnAnswerToAnotherRequestIsSkipped)
{
    configure();
    a.setScript([](auto const& request) {
        auto const stale = answerTo("\r\nAttempt: other\r\n", "200 OK", "not-yours");
        return FakeServer::Reaction { stale + answerTo(request, "200 OK", "yours") };
    });
    auto const caller = ask(request("/unsafe/x", "1", "b"));
    BOOST_TEST(caller->received().ends_with("yours"));
    BOOST_TEST(caller->received().find("not-yours") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(BytesAfterAnAnswerAreDiscarded)
{
    configure();
    a.setScript([](auto const& request) {
        return FakeServer::Reaction { answerTo(request, "200 OK", "one") + answerTo(request, "200 OK", "extra") };
    });
    auto const caller = ask(request("/unsafe/x", "1", "b"));
    runFor(loop, 30ms);
    BOOST_TEST(caller->received().ends_with("one"));
    a.setScript(answering("200 OK", "two"));
    caller->clearReceived();
    caller->send(request("/unsafe/x", "2", "b"));
    caller->waitForAnswer();
    BOOST_TEST(caller->received().ends_with("two"));
}

BOOST_AUTO_TEST_CASE(ARequestThatAServerRefusesIsSentToAnotherOneOrRefusedAsNotRun)
{
    configure();
    a.setScript(answering("503 Full", "", "Not-Run: 1\r\n"));
    b.setScript(answering("200 OK", "b"));
    BOOST_TEST(ask(request("/any/x", "1", "b"))->status() == "200");
    b.setScript(answering("503 Full", "", "Not-Run: 1\r\n"));
    auto const caller = ask(request("/any/x", "2", "b"));
    BOOST_TEST(caller->status() == "503");
    BOOST_TEST(!headerOf(caller->received(), "Retry-After").empty());
}

BOOST_AUTO_TEST_CASE(AServersOwnFailureIsRelayed)
{
    configure();
    a.setScript(answering("500 Broken", "why", "Seal: s\r\n"));
    auto const caller = ask(request("/unsafe/x", "1", "b"));
    BOOST_TEST(caller->status() == "500");
    BOOST_TEST(headerOf(caller->received(), "Seal") == "s");
}

BOOST_AUTO_TEST_CASE(ARequestRunsAtNoMoreServersThanItsRouteAllows)
{
    configure();
    auto const lose = [](auto const&) { return FakeServer::Reaction { {}, Then::Reset }; };
    a.setScript(lose);
    b.setScript(lose);
    FakeServer c(loop, lose);
    Fleet::ViewUpdate update;
    update.servers = { server(4, c, unkeyed) };
    gateway.apply(update);
    BOOST_TEST(ask(request("/any-safe/x", "1"))->status() == "502");
    BOOST_TEST(a.requests().size() + b.requests().size() + c.requests().size() == 2);
}

BOOST_AUTO_TEST_CASE(AKeyThatMovesAfterEachLossRunsAtNoMoreServersThanItsRouteAllows)
{
    configure();
    FakeServer c(loop, [](auto const& request) { return FakeServer::Reaction { answerTo(request, "200 OK", "c") }; });
    Fleet::ViewUpdate update;
    update.servers = { server(5, b, keyed), server(6, c, keyed) };
    gateway.apply(update);
    auto const loseAndMoveTo = [this](Fleet::ServerNumber next) {
        return [this, next](auto const&) {
            Fleet::ViewUpdate move;
            move.ranges.rows.push_back({ keyed, 0, Fleet::keyCount - 1, next, 0 });
            gateway.apply(move);
            return FakeServer::Reaction { {}, Then::Reset };
        };
    };
    a.setScript(loseAndMoveTo(5));
    b.setScript(loseAndMoveTo(6));
    BOOST_TEST(ask(request("/safe/x", "1"))->status() == "502");
    BOOST_TEST(c.requests().empty());
}

// The address of a server that has exited now belongs to another server. Each request used to be sent there three
// times.
BOOST_AUTO_TEST_CASE(ARequestIsNotRetriedAtAServerThatIsNotTheAddressedOne)
{
    configure();
    a.setScript(answering("421 Misdirected", "", "Not-Run: 1\r\n"));
    BOOST_TEST(ask(request("/safe/x", "1"))->status() == "503");
    BOOST_TEST(a.requests().size() == 1);
    ask(request("/safe/x", "2"));
    ask(request("/safe/x", "3"));
    BOOST_TEST(ask(request("/safe/x", "4"))->status() == "503");
    BOOST_TEST(a.requests().size() == 3);
}

BOOST_AUTO_TEST_CASE(AMisdirectedRequestIsSentToTheNewOwner)
{
    configure();
    a.setScript(answering("421 Misdirected", "", "Not-Run: 1\r\n"));
    auto const caller = connect();
    caller->send(request("/unsafe/x", "1", "b"));
    BOOST_REQUIRE(runUntil(loop, [this] { return !a.requests().empty(); }));
    runFor(loop, 20ms);
    Fleet::ViewUpdate update;
    update.servers = { server(5, b, keyed) };
    update.ranges.rows.push_back({ keyed, 0, Fleet::keyCount - 1, 5, 0 });
    gateway.apply(update);
    caller->waitForAnswer();
    BOOST_TEST(caller->status() == "200");
}

BOOST_AUTO_TEST_CASE(ARequestForAnUnreachableOwnerIsRefusedImmediately)
{
    configure();
    Fleet::ViewUpdate update;
    auto row = server(1, a, keyed);
    row.server.address.port = freePort();
    update.servers = { row };
    gateway.apply(update);
    auto const began = Core::BootClock::now();
    BOOST_TEST(ask(request("/unsafe/x", "1", "b"))->status() == "503");
    BOOST_TEST((Core::BootClock::now() - began < promptRefusalLimit));
}

BOOST_AUTO_TEST_CASE(ARequestWhoseServerResetsNewConnectionsIsRefusedWithRetryAfter)
{
    // A server with a long queue resets new connections immediately. The request was not sent, so its caller may retry
    // it.
    configure();
    a.resetNewConnections();
    auto const caller = ask(request("/unsafe/x", "1", "b"));
    BOOST_TEST(caller->status() == "503");
    BOOST_TEST(!headerOf(caller->received(), "Retry-After").empty());
    BOOST_TEST(a.resetConnectionCount() == 1U);
    BOOST_TEST(a.requests().empty());
}

BOOST_AUTO_TEST_CASE(ARequestWaitsForAnOwnerThatIsExpectedInTime)
{
    configure();
    Fleet::ViewUpdate update;
    update.ranges.rows.push_back({ keyed, 0, Fleet::keyCount - 1, 0, 200 });
    gateway.apply(update);
    auto const caller = connect();
    caller->send(request("/safe/x", "1"));
    runFor(loop, 100ms);
    BOOST_TEST(caller->received().empty());
    update.ranges.rows = { { keyed, 0, Fleet::keyCount - 1, 1, 0 } };
    gateway.apply(update);
    caller->waitForAnswer();
    BOOST_TEST(caller->status() == "200");
}

BOOST_AUTO_TEST_CASE(ARequestIsRefusedImmediatelyIfItsOwnerIsExpectedTooLate)
{
    configure();
    Fleet::ViewUpdate update;
    update.ranges.rows.push_back({ keyed, 0, Fleet::keyCount - 1, 0, 60000 });
    gateway.apply(update);
    auto const began = Core::BootClock::now();
    BOOST_TEST(ask(request("/safe/x", "1"))->status() == "503");
    BOOST_TEST((Core::BootClock::now() - began < promptRefusalLimit));
}

BOOST_AUTO_TEST_CASE(ARequestAtASilentServerEndsWithATimeoutAndNotAsNotRun)
{
    configure();
    a.setScript([](auto const&) { return FakeServer::Reaction {}; });
    BOOST_TEST(ask(request("/unsafe/x", "1", "b", 150))->status() == "504");
}

// The timer of a request whose deadline had expired on arrival used to fire after the request had ended.
BOOST_AUTO_TEST_CASE(ARequestWithoutTimeLeftIsRefusedAndRemoved)
{
    configure();
    BOOST_TEST(ask(request("/safe/x", "1", {}, 0))->status() == "503");
    runFor(loop, 150ms);
    BOOST_TEST(gateway.requestCount() == 0);
}

BOOST_AUTO_TEST_CASE(TheServerConnectionIsClosedWhenTheCallerDisconnects)
{
    configure();
    a.setScript([](auto const&) { return FakeServer::Reaction {}; });
    auto const caller = connect();
    caller->send(request("/safe/x", "1"));
    BOOST_REQUIRE(runUntil(loop, [this] { return !a.requests().empty(); }));
    caller->close();
    BOOST_TEST(runUntil(loop, [this] { return a.closedByPeer() == 1; }));
    BOOST_TEST(gateway.requestCount() == 0);
}

BOOST_AUTO_TEST_CASE(AColdServerReceivesNoMoreThanItsRequestRateLimit)
{
    configure();
    Fleet::ViewUpdate update;
    auto row = server(1, a, keyed);
    row.coldMs = 5000;
    update.servers = { row };
    gateway.apply(update);
    runFor(loop, firstColdWindow);
    for (int i = 0; i < 6; ++i)
        ask(request("/safe/x", std::to_string(i)));
    BOOST_TEST(a.requests().size() == 1);
}

// FAILBACK: the process that a host replaces may have used its share of the limit within the same second, and hosts
// that do not list it the whole limit.
BOOST_AUTO_TEST_CASE(AStartedHostSendsNothingToAColdServerAtFirst)
{
    configure();
    Fleet::ViewUpdate update;
    auto row = server(1, a, keyed);
    row.coldMs = 5000;
    update.servers = { row };
    update.entryHosts = { "other" };
    gateway.apply(update);
    BOOST_TEST(ask(request("/safe/x", "1"))->status() == "503");
    runFor(loop, firstColdWindow);
    BOOST_TEST(ask(request("/safe/x", "2"))->status() == "503");
    BOOST_TEST(a.requests().empty());
    Fleet::ViewUpdate listed;
    listed.entryHosts = { "entry" };
    gateway.apply(listed);
    ask(request("/safe/x", "3"));
    BOOST_TEST(a.requests().size() == 1);
}

BOOST_AUTO_TEST_CASE(AQuarantinedRequestReachesNoServer)
{
    configure();
    a.setScript([](auto const&) { return FakeServer::Reaction { {}, Then::Reset }; });
    ask(request("/unsafe/x", "1", "poison"));
    auto const report = gateway.takeReport();
    BOOST_REQUIRE_EQUAL(report.suspicions.size(), 1);
    Fleet::ViewUpdate update;
    update.quarantined = { report.suspicions.front().fingerprint };
    gateway.apply(update);
    BOOST_TEST(ask(request("/unsafe/x", "2", "poison"))->status() == "503");
    BOOST_TEST(ask(request("/unsafe/x", "3", "harmless"))->status() == "502");
    BOOST_TEST(a.requests().size() == 2);
}

// Guards against the refusal of a request that crashed no server: this host has seen a server answer it, before it was
// suspected or after.
BOOST_AUTO_TEST_CASE(AnAnswerToASuspectedRequestIsReported)
{
    configure();
    ask(request("/safe/before", "1"));
    a.setScript([](auto const&) { return FakeServer::Reaction { {}, Then::Reset }; });
    ask(request("/unsafe/x", "2", "poison"));
    ask(request("/unsafe/x", "3", "later"));
    ask(request("/safe/before", "4"));
    auto const lost = gateway.takeReport();
    BOOST_TEST(lost.harmless.empty());
    BOOST_REQUIRE(lost.suspicions.size() >= 3U);
    Fleet::ViewUpdate update;
    update.suspects.emplace();
    for (auto const& suspicion : lost.suspicions)
        update.suspects->push_back(suspicion.fingerprint);
    gateway.apply(update);
    auto const before = gateway.takeReport();
    BOOST_TEST(before.harmless == std::vector<std::string> { lost.suspicions.back().fingerprint },
        boost::test_tools::per_element());
    a.setScript([](auto const& request) { return FakeServer::Reaction { answerTo(request, "200 OK", "from-a") }; });
    BOOST_TEST(ask(request("/unsafe/x", "5", "later"))->status() == "200");
    auto const after = gateway.takeReport();
    BOOST_TEST(after.harmless == std::vector<std::string> { lost.suspicions.at(1).fingerprint },
        boost::test_tools::per_element());
    BOOST_TEST(gateway.takeReport().harmless.empty());
}

BOOST_AUTO_TEST_CASE(ADrainingHostAnswersAndClosesItsConnections)
{
    configure();
    gateway.startDraining(loop.now() + 6s);
    auto const caller = ask(request("/safe/x", "1"));
    BOOST_TEST(caller->status() == "200");
    BOOST_TEST(headerOf(caller->received(), "Connection") == "close");
}

// A load balancer without another ready host kept sending connections to a stopping one, whose last requests were cut
// off.
BOOST_AUTO_TEST_CASE(AStoppingHostAcceptsNoMoreRequests)
{
    configure();
    auto const open = ask(request("/safe/x", "1"));
    open->clearReceived();
    gateway.startDraining(loop.now() + 6s);
    gateway.refuseRequests();
    gateway.stopListening();
    auto const late = connect();
    BOOST_TEST(runUntil(loop, [&] { return late->isEnded(); }));
    // This connection got no Connection: close, since its last answer was sent before the drain.
    open->send(request("/safe/x", "2"));
    open->waitForAnswer();
    BOOST_TEST(open->status() == "503");
    BOOST_TEST(a.requests().size() == 1);
}

BOOST_AUTO_TEST_CASE(TheTimeLeftForAServerEndsWithTheDrainDeadline)
{
    configure();
    gateway.startDraining(loop.now() + 2s);
    ask(request("/unsafe/x", "1", {}, 4000));
    BOOST_REQUIRE(a.requests().size() == 1);
    BOOST_TEST(std::stoi(headerOf(a.requests().front(), "Left-Ms")) <= 2000);
}

BOOST_AUTO_TEST_CASE(AStoppingHostImmediatelyRefusesARequestWhoseOwnerIsExpectedAfterItsDeadline)
{
    configure();
    Fleet::ViewUpdate update;
    update.ranges.rows.push_back({ keyed, 0, Fleet::keyCount - 1, 0, 3000 });
    gateway.apply(update);
    auto const caller = connect();
    caller->send(request("/safe/x", "1"));
    runFor(loop, 100ms);
    BOOST_REQUIRE(gateway.requestCount() == 1);
    auto const began = Core::BootClock::now();
    gateway.startDraining(loop.now() + 2s);
    caller->waitForAnswer();
    BOOST_TEST(caller->status() == "503");
    BOOST_TEST((Core::BootClock::now() - began < promptRefusalLimit));
}

// Endless bodies from a dozen servers exhausted the memory of a host, and its process was killed.
BOOST_AUTO_TEST_CASE(EndlessBodiesLeaveMemoryForOtherAnswers)
{
    constexpr std::size_t endlessServers = 12;
    constexpr std::size_t maxHeldBytes = 24UL << 20;
    configure();
    auto const servers = addEndlessServers(endlessServers);
    auto const callers = askEndlessServers(endlessServers);
    std::string const body(500'000, 'b');
    a.setScript(answering("200 OK", body));
    auto const valid = connect();
    std::size_t held = 0;
    bool isValidSent = false;
    auto const allEnded = [&] {
        held = std::max(held, gateway.heldAnswerBytes());
        if (!isValidSent && held > maxHeldBytes / 2) {
            valid->send(request("/safe/x", "sound"));
            isValidSent = true;
        }
        return std::ranges::all_of(callers, [](auto const& caller) { return caller->status() == "502"; });
    };
    BOOST_TEST(runUntil(loop, allEnded, 10s));
    BOOST_TEST(held <= maxHeldBytes);
    BOOST_TEST(runUntil(loop, [&] { return valid->received().ends_with(body); }));
}

// A valid answer announces its length. An endless body announces none, or is rejected by its head. The answer dropped
// at the memory limit must be an endless one even if the valid one is larger.
BOOST_AUTO_TEST_CASE(EndlessBodiesDoNotEvictALargeValidAnswer)
{
    constexpr std::size_t endlessServers = 12;
    constexpr std::size_t firstPart = 4UL << 20;
    configure();
    auto const servers = addEndlessServers(endlessServers);
    // Most of a valid answer arrives before the endless bodies reach the memory limit; its end is outstanding.
    std::string const rest(1000, 'b');
    a.setScript([&](auto const& request) {
        auto bytes = answerTo(request, "200 OK", std::string(firstPart, 'b') + rest);
        bytes.resize(bytes.size() - rest.size());
        return FakeServer::Reaction { bytes };
    });
    auto const valid = connect();
    valid->send(request("/unsafe/x", "sound"));
    BOOST_REQUIRE(runUntil(loop, [&] { return gateway.heldAnswerBytes() == firstPart; }));
    auto const callers = askEndlessServers(endlessServers);
    BOOST_REQUIRE(runUntil(loop,
        [&] { return std::ranges::any_of(callers, [](auto const& caller) { return caller->status() == "502"; }); }));
    // The valid answer was not dropped: its caller has received no error.
    BOOST_TEST(valid->received().empty());
}

// The budget for answers covers them only until they are complete; answers waiting to be sent to callers were not
// counted.
BOOST_AUTO_TEST_CASE(AnswersNotYetSentToCallersCountAsHeld)
{
    constexpr std::size_t answerBytes = 12UL << 20;
    // So few that no stream reaches its silence timeout of 3 s before the last caller has its answer.
    constexpr std::size_t callerCount = 3;
    // Upper bound for the part of each answer in kernel buffers.
    constexpr std::size_t kernelBytes = 6UL << 20;
    configure();
    auto const body = std::string(answerBytes, 'b');
    a.setScript([&](auto const& request) { return FakeServer::Reaction { answerTo(request, "200 OK", body) }; });
    std::vector<int> callers;
    for (std::size_t i = 0; i < callerCount; ++i) {
        callers.push_back(connectSilentCaller());
        auto const text = request("/unsafe/x", std::to_string(i));
        BOOST_REQUIRE(::send(callers.back(), text.data(), text.size(), 0) > 0);
        BOOST_REQUIRE(runUntil(loop, [&] { return a.requests().size() == i + 1 && gateway.requestCount() == 0; }));
    }
    BOOST_TEST(gateway.heldAnswerBytes() >= callerCount * (answerBytes - kernelBytes));
    for (auto const fd : callers)
        ::close(fd);
}

// Report of issue 42: requests that were accepted while there was memory all kept their answers, however many there
// were.
BOOST_AUTO_TEST_CASE(AnswersThatCallersDoNotTakeAreBoundedTogether)
{
    constexpr std::size_t answerBytes = 15UL << 20;
    constexpr int callerCount = 16;
    constexpr std::size_t maxHeldBytes = 96UL << 20;
    configure();
    auto const body = std::string(answerBytes, 'b');
    // One answer after the other, so that each is read whole.
    auto delay = 0ms;
    a.setScript([&](auto const& request) {
        delay += 60ms;
        return FakeServer::Reaction { answerTo(request, "200 OK", body), FakeServer::Reaction::Then::Keep, delay };
    });
    std::vector<int> callers;
    for (int i = 0; i < callerCount; ++i) {
        callers.push_back(connectSilentCaller());
        auto const text = request("/safe/x", std::to_string(i));
        BOOST_REQUIRE(::send(callers.back(), text.data(), text.size(), 0) > 0);
    }
    BOOST_REQUIRE(runUntil(loop, [&] { return gateway.requestCount() > 0; }));
    std::size_t held = 0;
    BOOST_TEST(runUntil(
        loop,
        [&] {
            held = std::max(held, gateway.heldAnswerBytes());
            return gateway.requestCount() == 0;
        },
        10s));
    BOOST_TEST(held <= maxHeldBytes);
    // Once callers are gone, requests are answered again.
    for (auto const fd : callers)
        ::close(fd);
    a.setScript(answering("200 OK", "done"));
    BOOST_TEST(runUntil(loop, [&] { return gateway.heldAnswerBytes() == 0; }));
    BOOST_TEST(ask(request("/safe/x", "after"))->status() == "200");
}

// Case 8 of the review: answers that waited for that of an earlier request took the memory of the host.
BOOST_FIXTURE_TEST_CASE(AnswersThatWaitForAnEarlierOneAreBoundedTogether, SmallMemoryFixture)
{
    constexpr std::size_t answerBytes = 512UL << 10;
    constexpr std::size_t callerCount = 4;
    constexpr std::size_t requestCount = 16;
    // Half of the part for answers that have been read, which is three quarters of all.
    constexpr auto maxWaitingBytes = maxHeldBytes * 3 / 8;
    configure();
    auto const body = std::string(answerBytes, 'b');
    a.setScript([&](auto const& request) {
        auto const isSlow = request.starts_with("GET /safe/slow");
        return FakeServer::Reaction { answerTo(request, "200 OK", isSlow ? std::string() : body),
            FakeServer::Reaction::Then::Keep, isSlow ? 3000ms : 0ms };
    });
    std::vector<std::unique_ptr<Caller>> callers;
    for (std::size_t i = 0; i < callerCount; ++i) {
        std::string requests;
        for (std::size_t j = 0; j < requestCount; ++j)
            requests += request(j == 0 ? "/safe/slow" : "/safe/x", std::to_string(i * requestCount + j));
        callers.push_back(connect());
        callers.back()->send(requests);
    }
    auto const hasFilledMemory = [&] { return gateway.heldAnswerBytes() > maxWaitingBytes - 2 * answerBytes; };
    BOOST_TEST(runUntil(loop, hasFilledMemory, 2s));
    // The answers that are being read arrive whole, and some have no room.
    runFor(loop, 400ms);
    BOOST_REQUIRE(callers.front()->received().empty());
    BOOST_TEST(hasFilledMemory());
    BOOST_TEST(gateway.heldAnswerBytes() <= maxWaitingBytes);
    BOOST_TEST(runUntil(loop, [&] { return gateway.requestCount() == 0 && gateway.heldAnswerBytes() == 0; }));
    // What the kernel has taken arrives now.
    runFor(loop, 200ms);
    for (auto const& caller : callers) {
        std::size_t answers = 0;
        for (auto at = caller->received().find("HTTP/1.1 "); at != std::string::npos;
             at = caller->received().find("HTTP/1.1 ", at + 1))
            ++answers;
        BOOST_TEST(answers == requestCount);
    }
}

// The connection was established late, and the deadline and the settle time expired in the same iteration of a loaded
// event loop: the request was refused as not sent, and was then sent.
BOOST_AUTO_TEST_CASE(ARequestThatWasRefusedAtItsDeadlineIsNotSentInTheSameLoopIteration)
{
    constexpr int attempts = 10;
    constexpr int leftMs = 120;
    // The time after which the deadline timer fires.
    constexpr auto deadline = 180ms;
    constexpr auto nextIteration = 1us;
    auto const sleepUntil = [](Core::TimePoint time) {
        std::this_thread::sleep_for(std::max(time - Core::BootClock::now(), Core::Duration::zero()));
    };
    configure();
    a.setScript([](auto const&) { return FakeServer::Reaction {}; });
    for (int i = 0; i < attempts; ++i) {
        auto const before = a.requests().size();
        auto const caller = connect();
        caller->send(request("/unsafe/x", std::to_string(i), {}, leftMs));
        std::function<void()> const poll = [&] {
            if (gateway.requestCount() == 0) {
                loop.after(nextIteration, poll);
                return;
            }
            auto const began = loop.now();
            // The next iteration sees the connection just before the deadline.
            sleepUntil(began + deadline - 1500us);
            loop.after(nextIteration, [=] { sleepUntil(began + deadline + 20ms); });
        };
        poll();
        caller->waitForAnswer();
        runFor(loop, 20ms);
        if (caller->status() == "503")
            BOOST_TEST(a.requests().size() == before);
    }
}

BOOST_AUTO_TEST_CASE(AnUnfinishedRequestIsLogged)
{
    configure();
    a.setScript([](auto const&) { return FakeServer::Reaction {}; });
    auto const caller = connect();
    caller->send(request("/unsafe/x", "cut-off"));
    BOOST_REQUIRE(runUntil(loop, [&] { return a.requests().size() == 1; }));
    gateway.closeAll();
    std::ifstream log(folder.file("event.log"));
    std::string const text { std::istreambuf_iterator<char>(log), {} };
    BOOST_TEST(text.find("RequestUnfinished") != std::string::npos);
    BOOST_TEST(text.find("\"request\":\"cut-off\"") != std::string::npos);
    BOOST_TEST(text.find("\"waitsFor\":\"server\"") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
