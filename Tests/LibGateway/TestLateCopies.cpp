#include "../Support/TemporaryFolder.h"
#include "FakeServers.h"

#include <LibCore/Random.h>
#include <LibGateway/Gateway.h>

#include <boost/test/unit_test.hpp>

#include <charconv>
#include <cstdlib>

using namespace TestGateway;

namespace {

/// Number of seeds of a CI run. The environment variable PRIMROSESHIFT_SEEDS overrides it.
constexpr std::uint64_t defaultSeeds = 8;
constexpr std::size_t requestsPerSeed = 60;
/// Longest pause between two requests. About as long as the delay before a resend, so that a resend often is the next
/// request on the connection of its rejection.
constexpr std::uint64_t maxPauseMs = 60;
constexpr int leftMs = 1500;

Core::PoolName const letters { "letters" };
Core::PoolName const scans { "scans" };

std::uint64_t seedCount()
{
    auto const* const sent = std::getenv("PRIMROSESHIFT_SEEDS"); // NOLINT(concurrency-mt-unsafe): one thread
    std::uint64_t count = defaultSeeds;
    if (sent)
        std::from_chars(sent, sent + std::string_view(sent).size(), count);
    return count;
}

/// A server that runs or rejects requests, and sends some of its answers a second time where the next answer is
/// expected.
class CopyingServer {
public:
    /// How the server treats its requests. The probabilities are between 0 and 1.
    struct Faults {
        double rejected { 0.4 };
        double copied { 0.5 };
        /// Whether a copy goes to whichever connection carries the next request, rather than to the same one.
        bool mixesConnections { false };
        std::string rejection { "503 Full" };
    };

    CopyingServer(Net::EventLoop& loop, std::uint64_t seed, Faults const& faults)
        : random_(seed)
        , faults_(faults)
        , fake_(loop, [this](auto const& request) { return react(request); })
    {
    }

    FakeServer const& fake() const { return fake_; }
    std::map<std::string, int> const& runs() const { return runs_; }
    std::size_t copies() const { return copies_; }
    void setFaults(Faults const& faults) { faults_ = faults; }

private:
    FakeServer::Reaction react(std::string const& request)
    {
        auto const connection = faults_.mixesConnections ? 0 : fake_.latestConnection();
        FakeServer::Reaction reaction;
        reaction.first = std::exchange(pendingCopies_[connection], {});
        copies_ += reaction.first.empty() ? 0 : 1;
        auto const isRejected = random_.unit() < faults_.rejected;
        if (!isRejected)
            ++runs_[headerOf(request, "Attempt")];
        reaction.bytes = isRejected ? answerTo(request, faults_.rejection, "", "Not-Run: 1\r\n")
                                    : answerTo(request, "200 OK", headerOf(request, "Attempt"));
        reaction.after = isRejected ? 1ms : 1ms + std::chrono::milliseconds(random_.below(30));
        if (random_.unit() < faults_.copied)
            pendingCopies_[connection] = reaction.bytes;
        return reaction;
    }

    Core::Random random_;
    Faults faults_;
    std::map<std::size_t, std::string> pendingCopies_;
    std::map<std::string, int> runs_;
    std::size_t copies_ { 0 };
    FakeServer fake_;
};

/// An entry host with a key-divided pool of two servers and a pool without keys of the same two.
struct Fixture {
    explicit Fixture(std::uint64_t seed = 1, CopyingServer::Faults const& faults = {})
        : events(Telemetry::EventLog::open({ .file = folder.file("event.log") }, clock).value())
        , a(loop, 2 * seed, faults)
        , b(loop, 2 * seed + 1, faults)
        , gateway(loop, *events, metrics, codec, settings())
    {
        address = { "127.0.0.1", freePort() };
        BOOST_REQUIRE(gateway.listen(address));
        Fleet::ViewUpdate update;
        add(update, route("safe", "/safe/", Fleet::RequestKind::Safe, letters));
        add(update, route("unsafe", "/unsafe/", Fleet::RequestKind::Unsafe, letters));
        add(update, route("any", "/any/", Fleet::RequestKind::Unsafe, scans));
        update.pools = { { letters.value, { 1, pool(letters, true) } }, { scans.value, { 1, pool(scans, false) } } };
        update.servers = { server(1, a.fake(), letters), server(2, b.fake(), letters), server(3, a.fake(), scans),
            server(4, b.fake(), scans) };
        update.ranges.rows = { { letters, 0, Fleet::keyCount - 1, 1, 0 } };
        update.entryHosts = { "entry" };
        gateway.apply(update);
    }

    static Gateway::GatewaySettings settings()
    {
        Gateway::GatewaySettings result;
        result.name = "entry";
        result.retries = { 20, 0, 10s };
        return result;
    }

    static void add(Fleet::ViewUpdate& update, Fleet::RouteItem const& item)
    {
        update.routes.push_back({ item.name.value, { item.version, item } });
    }

    std::unique_ptr<Caller> send(std::string const& text)
    {
        auto caller = std::make_unique<Caller>(loop, address);
        caller->send(text);
        return caller;
    }

    std::string ask(std::string const& text)
    {
        auto const caller = send(text);
        caller->waitForAnswer();
        return caller->status();
    }

    void moveKeysTo(Fleet::ServerNumber owner)
    {
        Fleet::ViewUpdate update;
        update.ranges.rows = { { letters, 0, Fleet::keyCount - 1, owner, 0 } };
        gateway.apply(update);
    }

    int runsOf(std::string const& id) const
    {
        auto const at = [&](auto const& runs) { return runs.contains(id) ? runs.at(id) : 0; };
        return at(a.runs()) + at(b.runs());
    }

    Net::EventLoop loop;
    Core::SystemClock clock;
    TemporaryFolder folder;
    std::unique_ptr<Telemetry::EventLog> events;
    Telemetry::Metrics metrics;
    TestCodec codec;
    CopyingServer a;
    CopyingServer b;
    Gateway::Gateway gateway;
    Core::Endpoint address;
};

/// Sends requests of all kinds while keys move, and checks what the servers ran against what the callers were told.
void checkSeed(std::uint64_t seed, bool mixesConnections)
{
    Fixture host(seed, { .mixesConnections = mixesConnections });
    Core::Random random(seed);
    std::map<std::string, std::unique_ptr<Caller>> callers;
    constexpr std::array paths { "/safe/", "/unsafe/", "/any/" };
    for (std::size_t i = 0; i < requestsPerSeed; ++i) {
        auto const* const path = paths.at(random.below(paths.size()));
        auto const id = std::string(path) + std::to_string(i);
        callers[id] = host.send(request(path + std::string("x"), id, "body", leftMs));
        if (random.below(10) == 0)
            host.moveKeysTo(static_cast<Fleet::ServerNumber>(1 + random.below(2)));
        runFor(host.loop, std::chrono::milliseconds(random.below(maxPauseMs)));
    }
    for (auto const& [id, caller] : callers)
        BOOST_TEST(caller->waitForAnswer(), id);
    runFor(host.loop, 50ms);
    BOOST_TEST(host.a.copies() + host.b.copies() > 0);
    for (auto const& [id, caller] : callers) {
        if (id.starts_with("/safe/"))
            continue;
        auto const runs = host.runsOf(id);
        BOOST_TEST(runs <= 1, id << " ran " << runs << " times");
        BOOST_TEST((caller->status() != "503" || runs == 0), id << " was refused as not run, and ran");
        BOOST_TEST((caller->status() != "200" || caller->received().ends_with(id)), id << " has another answer");
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(LateCopies)

// A server repeats its rejection of a request where the answer to the next request is expected. The resend on the same
// connection took the copy for its own answer: unsafe requests ran twice, or ran after a 503.
BOOST_AUTO_TEST_CASE(UnsafeRequestsRunOnceAndRefusalsAreTrueWhenAnswersAreRepeated)
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed) { checkSeed(seed, false); }
    }
}

// The same, but the copy arrives on another connection to the server, for example the new one of the resend.
BOOST_AUTO_TEST_CASE(UnsafeRequestsRunOnceAndRefusalsAreTrueWhenAnswersAreRepeatedOnOtherConnections)
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed) { checkSeed(seed, true); }
    }
}

// The copy of a rejection was taken for the answer to the resend, which cost the request its next resend.
BOOST_FIXTURE_TEST_CASE(TheResendOfASafeRequestDoesNotMeetTheCopyOfItsRejection, Fixture)
{
    a.setFaults({ .rejected = 1, .copied = 1 });
    auto const caller = send(request("/safe/x", "1"));
    BOOST_REQUIRE(runUntil(loop, [this] { return !a.fake().requests().empty(); }));
    a.setFaults({ .rejected = 0, .copied = 0 });
    BOOST_TEST(caller->waitForAnswer());
    BOOST_TEST(caller->status() == "200");
    BOOST_TEST(a.fake().requests().size() == 2);
    BOOST_TEST(a.copies() == 0);
}

// A caller that sends its attempt again under the same ID was told by the copy of the first rejection that it had not
// run.
BOOST_FIXTURE_TEST_CASE(AnAttemptThatItsCallerRepeatsDoesNotMeetTheCopyOfItsRejection, Fixture)
{
    a.setFaults({ .rejected = 1, .copied = 1 });
    BOOST_TEST(ask(request("/unsafe/x", "1", "b")) == "503");
    a.setFaults({ .rejected = 0, .copied = 0 });
    BOOST_TEST(ask(request("/unsafe/x", "1", "b")) == "200");
    BOOST_TEST(runsOf("1") == 1);
}

// A key that returns to a server that had rejected the request must not bring the request back to that server.
BOOST_FIXTURE_TEST_CASE(AnUnsafeRequestIsNotSentAgainToAServerThatRejectedItBefore, Fixture)
{
    CopyingServer::Faults const misdirects { .rejected = 1, .copied = 0, .rejection = "421 Misdirected" };
    a.setFaults(misdirects);
    b.setFaults(misdirects);
    auto const caller = send(request("/unsafe/x", "1", "b"));
    BOOST_REQUIRE(runUntil(loop, [this] { return a.fake().requests().size() == 1; }));
    runFor(loop, 20ms);
    moveKeysTo(2);
    BOOST_REQUIRE(runUntil(loop, [this] { return b.fake().requests().size() == 1; }));
    runFor(loop, 20ms);
    moveKeysTo(1);
    BOOST_TEST(caller->waitForAnswer());
    BOOST_TEST(caller->status() == "503");
    BOOST_TEST(a.fake().requests().size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
