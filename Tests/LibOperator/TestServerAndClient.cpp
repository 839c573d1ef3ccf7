#include "FakeService.h"

#include <LibOperator/OperatorClient.h>
#include <LibOperator/OperatorServer.h>

#include <boost/test/unit_test.hpp>
#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>

using namespace Operator;
using namespace std::chrono_literals;

namespace {

std::unique_ptr<OperatorServer> serve(OperatorService& service, std::uint32_t threads = 4)
{
    auto server
        = OperatorServer::start({ .listen = { "127.0.0.1", 0 }, .threads = threads, .forwardTimeout = 1s }, service);
    BOOST_REQUIRE(!server.isError());
    return std::move(server).value();
}

/// The defaults are generous, since sanitizer builds on a busy machine are slow.
OperatorClient clientOf(
    std::vector<Core::Endpoint> entryPoints, Core::Duration total = 20s, Core::Duration response = 10s)
{
    return OperatorClient({ .entryPoints = std::move(entryPoints),
        .connectTimeout = 5s,
        .responseTimeout = response,
        .totalTimeout = total,
        .retryDelay = 10ms });
}

EditRequest edit(std::string id, std::uint64_t base)
{
    return { { std::move(id) }, { base }, "ann", "", { { { "a" } } }, { { { "r" }, { "a" } } } };
}

template <typename E, typename R> bool failsWith(R const& result)
{
    return result.isError() && std::holds_alternative<E>(result.error());
}

/// Takes connections and never answers, as a host that hangs.
class SilentListener {
public:
    SilentListener()
    {
        socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        BOOST_REQUIRE(::bind(socket_, reinterpret_cast<sockaddr*>(&address), length) == 0);
        BOOST_REQUIRE(::listen(socket_, 16) == 0);
        BOOST_REQUIRE(::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length) == 0);
        endpoint = { "127.0.0.1", ntohs(address.sin_port) };
    }
    ~SilentListener()
    {
        ::close(socket_);
        std::ranges::for_each(connections_, ::close);
    }
    SilentListener(SilentListener const&) = delete;
    SilentListener& operator=(SilentListener const&) = delete;

    Core::Endpoint endpoint;

    /// Connections made so far.
    std::size_t connections()
    {
        for (auto connection = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC); connection >= 0;
             connection = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC))
            connections_.push_back(connection);
        return connections_.size();
    }

private:
    int socket_ { -1 };
    std::vector<int> connections_;
};

/// Port 1 refuses connections on loopback.
Core::Endpoint const refusing { "127.0.0.1", 1 };

} // namespace

BOOST_AUTO_TEST_SUITE(ServerAndClient)

BOOST_AUTO_TEST_CASE(RequestsReachTheService)
{
    FakeService service;
    auto const server = serve(service);
    auto client = clientOf({ server->endpoint() });
    BOOST_TEST(client.status().value().cluster.value == "letters");
    BOOST_TEST(client.pools().value().pools.size() == 1U);
    BOOST_TEST(client.routes().value().revision.value == 5U);
    BOOST_TEST(!client.backends({}).isError());
    BOOST_TEST(client.domains().value().domains.at(0).name.value == "fd1");
    BOOST_TEST(client.owners({ { "a" }, "k&=%+ /\xc3\xa9" }).value().pool.value == "a");
    BOOST_TEST(*service.lastOwners.key == "k&=%+ /\xc3\xa9");
    BOOST_TEST(client.usage({ 1, 2, Telemetry::UsageGrouping::Caller }).value().rows.at(0).counters.answered == 3U);
    BOOST_TEST((service.lastUsage().to == 2 && service.lastUsage().grouping == Telemetry::UsageGrouping::Caller));
    BOOST_TEST(!client.history({}).isError());
    BOOST_TEST(client.tables({}).value().revision.value == 5U);
    BOOST_TEST(client.diff({ { 1 }, { 2 } }).value().to.value == 2U);
    BOOST_TEST(client.submitEdit(edit("e-1", 5)).value().revision.value == 6U);
    BOOST_TEST(client.drain({ { "d-1" }, Core::FailureDomain { "fd1" }, "ann", "" }).value().servers.size() == 1U);
    BOOST_TEST((service.lastDrain == ServiceTarget(Core::FailureDomain { "fd1" })));
    BOOST_TEST(!client.returnToService({ { "d-2" }, Core::ServerName { "s1" }, "ann", "" }).isError());
    BOOST_TEST(client.waitUntilInEffect({ { 6 }, 1s }).value().inEffectEverywhere.value == 6U);
    BOOST_TEST(failsWith<Timeout>(client.waitUntilInEffect({ { 7 }, 20ms })));
}

// Guards against an edit that silently overwrites a concurrent one.
BOOST_AUTO_TEST_CASE(OfTwoEditsOnOneRevisionOneConflicts)
{
    FakeService service;
    auto const server = serve(service);
    auto client = clientOf({ server->endpoint() });
    BOOST_TEST(!client.submitEdit(edit("e-1", 5)).isError());
    auto const second = client.submitEdit(edit("e-2", 5));
    BOOST_REQUIRE(failsWith<Conflict>(second));
    BOOST_TEST(std::get<Conflict>(second.error()).current.value == 6U);
}

// Guards against definitions that are stored but cannot be shown or edited as a document.
BOOST_AUTO_TEST_CASE(InvalidEditsAndRequestsDoNotReachTheService)
{
    FakeService service;
    auto const server = serve(service);
    auto client = clientOf({ server->endpoint() });
    auto missingPool = edit("e-1", 5);
    missingPool.pools.clear();
    auto const result = client.submitEdit(missingPool);
    BOOST_REQUIRE(failsWith<InvalidEdit>(result));
    BOOST_TEST(std::get<InvalidEdit>(result.error()).reasons.size() == 1U);
    auto badName = edit("e-1", 5);
    badName.pools[0].name.value = badName.routes[0].pool.value = "a]\n[pool b";
    BOOST_TEST(failsWith<InvalidEdit>(client.submitEdit(badName)));
    auto noMethod = edit("e-1", 5);
    noMethod.routes[0].methods = { "GET, PUT" };
    BOOST_TEST(failsWith<InvalidEdit>(client.submitEdit(noMethod)));
    auto noAuthor = edit("e-1", 5);
    noAuthor.author.clear();
    BOOST_TEST(failsWith<BadRequest>(client.submitEdit(noAuthor)));
    BOOST_TEST(failsWith<BadRequest>(client.submitEdit(edit("no spaces", 5))));
    BOOST_TEST(failsWith<BadRequest>(client.owners({ {}, {} })));
    BOOST_TEST(failsWith<BadRequest>(client.usage({ 2, 1 })));
    BOOST_TEST(failsWith<BadRequest>(client.history({ .limit = 0 })));
    BOOST_TEST(failsWith<BadRequest>(client.waitUntilInEffect({ { 1 }, 2min })));
    BOOST_TEST(failsWith<BadRequest>(client.drain({ { "d" }, Core::ServerName {}, "ann", "" })));
    BOOST_TEST(service.edits == 0U);
    BOOST_TEST(!service.lastDrain.has_value());

    httplib::Client raw("127.0.0.1", server->endpoint().port);
    BOOST_TEST(raw.Get("/v1/pools?pool=a")->status == 400);
    BOOST_TEST(raw.Get("/v1/history?limit=1&limit=2")->status == 400);
    BOOST_TEST(raw.Get("/v1/none")->status == 404);
    BOOST_TEST((raw.Get("/v1/none")->body.find("\"not-found\"") != std::string::npos));
    BOOST_TEST(raw.Post("/v1/edits", "{", "application/json")->status == 400);
}

// Guards against an edit that is applied twice or reported as failed because its response was lost.
BOOST_AUTO_TEST_CASE(LostResponseOfAnEditIsRetriedWithTheSameId)
{
    FakeService service;
    std::atomic<int> requests { 0 };
    service.beforeRequest = [&]() -> std::optional<OperatorError> {
        if (requests++ == 0)
            std::this_thread::sleep_for(800ms);
        return std::nullopt;
    };
    auto const server = serve(service);
    auto client = clientOf({ server->endpoint() }, 20s, 500ms);
    auto const result = client.submitEdit(edit("e-1", 5));
    BOOST_REQUIRE(!result.isError());
    BOOST_TEST(result.value().isRepeated);
    BOOST_TEST(result.value().revision.value == 6U);
    BOOST_TEST(service.edits >= 2U);
}

BOOST_AUTO_TEST_CASE(LostResponseOfALiftIsNotReportedAsNotFound)
{
    FakeService service;
    service.quarantined = { { { 1, 2 }, { "r" }, 2, 10min } };
    std::atomic<int> requests { 0 };
    service.beforeRequest = [&]() -> std::optional<OperatorError> {
        if (requests++ == 0)
            return OperatorError(Timeout { 1s });
        return std::nullopt;
    };
    auto const server = serve(service);
    auto client = clientOf({ server->endpoint() });
    BOOST_TEST(!client.liftQuarantine({ { 1, 2 }, "ann" }).isError());
    BOOST_TEST(failsWith<NotFound>(client.liftQuarantine({ { 1, 2 }, "ann" })));
    BOOST_TEST(client.quarantine().value().entries.empty());
}

// Guards against a client that gives up while another entry point works.
BOOST_AUTO_TEST_CASE(EntryPointsAreTriedInTurn)
{
    FakeService service;
    auto const server = serve(service);
    SilentListener silent;
    auto client = clientOf({ refusing, silent.endpoint, server->endpoint() }, 20s, 1s);
    BOOST_TEST(client.submitEdit(edit("e-1", 5)).value().revision.value == 6U);
    auto const connections = silent.connections();
    BOOST_TEST(connections >= 1U);
    // The entry point that answered is tried first, so no time is spent on the others.
    BOOST_TEST(!client.status().isError());
    BOOST_TEST(silent.connections() == connections);
}

// Guards against an unknown outcome that is reported as a refusal.
BOOST_AUTO_TEST_CASE(WithoutAnAnswerTheErrorTellsWhetherTheEditMayBeInEffect)
{
    SilentListener const silent;
    BOOST_TEST(failsWith<Unavailable>(clientOf({ refusing }, 100ms).submitEdit(edit("e-1", 5))));
    BOOST_TEST(failsWith<Timeout>(clientOf({ silent.endpoint, refusing }, 700ms, 500ms).submitEdit(edit("e-1", 5))));
    BOOST_TEST(failsWith<Unavailable>(clientOf({}).status()));
}

// Guards against forwarding loops and against operators who must find the leader themselves.
BOOST_AUTO_TEST_CASE(FollowersForwardToTheLeaderOnce)
{
    FakeService leaderService;
    auto const leader = serve(leaderService);
    FakeService followerService;
    auto hint = leader->endpoint();
    followerService.beforeRequest = [&]() -> std::optional<OperatorError> {
        return NotLeader { Core::HostName { "c1" }, hint };
    };
    auto const follower = serve(followerService);
    auto client = clientOf({ follower->endpoint() });
    BOOST_TEST(client.submitEdit(edit("e-1", 5)).value().revision.value == 6U);
    BOOST_TEST(leaderService.edits == 1U);
    BOOST_TEST(*client.owners({ { "a" }, "k+ %" }).value().pool.value.begin() == 'a');
    BOOST_TEST(*leaderService.lastOwners.key == "k+ %");
    BOOST_TEST(failsWith<Conflict>(client.submitEdit(edit("e-2", 5))));

    hint = follower->endpoint();
    httplib::Client raw("127.0.0.1", follower->endpoint().port);
    BOOST_TEST(raw.Get("/v1/status")->status == 421);
    hint = refusing;
    BOOST_TEST(raw.Get("/v1/status")->status == 503);
    SilentListener const silent;
    hint = silent.endpoint;
    BOOST_TEST(raw.Get("/v1/status")->status == 504);
}

// Guards against waiting requests that block edits.
BOOST_AUTO_TEST_CASE(WaitsLeaveThreadsForOtherRequests)
{
    FakeService service;
    auto const server = serve(service, 2);
    std::thread waiting([&] {
        static_cast<void>(clientOf({ server->endpoint() }).waitUntilInEffect({ { 9 }, 1min }));
    });
    while (service.runningWaits == 0)
        std::this_thread::sleep_for(1ms);
    httplib::Client raw("127.0.0.1", server->endpoint().port);
    BOOST_TEST(raw.Get("/v1/wait?revision=9&timeout=10ms")->status == 503);
    BOOST_TEST(!clientOf({ server->endpoint() }).submitEdit(edit("e-1", 5)).isError());
    service.endsWaits = true;
    waiting.join();
}

BOOST_AUTO_TEST_CASE(OccupiedPortIsAnError)
{
    FakeService service;
    SilentListener const silent;
    auto const server = OperatorServer::start({ .listen = silent.endpoint }, service);
    BOOST_REQUIRE(server.isError());
    BOOST_TEST(server.error().errorNumber == EADDRINUSE);
}

BOOST_AUTO_TEST_SUITE_END()
