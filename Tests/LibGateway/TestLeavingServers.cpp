#include "GatewayFixture.h"

using namespace TestGateway;

namespace {

/// A key-divided pool of two servers, of which the first owns all keys, and a pool without keys of two servers. The
/// first server of each pool says that it leaves.
struct LeavingFixture : GatewayFixture {
    explicit LeavingFixture(double linkBytesPerSecond = 0)
        : GatewayFixture(linkBytesPerSecond)
        , owner(loop, answering("200 OK", "done", "Leaving: yes\r\n"))
        , heir(loop, answering("200 OK", "heir"))
        , leaving(loop, answering("200 OK", "leaving", "Leaving: yes\r\n"))
        , staying(loop, answering("200 OK", "staying"))
    {
        gateway.apply(view());
    }

    Fleet::ViewUpdate view() const
    {
        auto update = routesAndPools();
        update.servers = { server(1, owner, keyed), server(2, heir, keyed), server(3, leaving, unkeyed),
            server(4, staying, unkeyed) };
        update.ranges.rows.push_back({ keyed, 0, Fleet::keyCount - 1, 1, 0 });
        return update;
    }
    /// Sends requests until the server without keys that leaves has answered one.
    void findLeaving()
    {
        // Slower than a server is assumed to be that has not answered yet.
        staying.setScript([](auto const& request) {
            return FakeServer::Reaction { answerTo(request, "200 OK", "slow"), FakeServer::Reaction::Then::Keep,
                150ms };
        });
        for (int i = 0; i < 40 && leaving.requests().empty(); ++i)
            ask("/any/x", "find-" + std::to_string(i));
        BOOST_REQUIRE(leaving.requests().size() == 1);
        staying.setScript(answering("200 OK", "staying"));
    }
    /// The grace of an owner that leaves has passed.
    void passGrace() { runFor(loop, leavingGrace + 100ms); }
    std::unique_ptr<Caller> upload(std::string const& path, std::string const& id, std::size_t bytes)
    {
        auto caller = std::make_unique<Caller>(loop, address);
        caller->send(request(path, id, std::string(bytes, 'b'), 8000));
        runFor(loop, 50ms);
        return caller;
    }

    FakeServer owner;
    FakeServer heir;
    FakeServer leaving;
    FakeServer staying;
};

/// Uploads of 60 KB take the link for 300 ms each.
struct NarrowLinkFixture : LeavingFixture {
    NarrowLinkFixture()
        : LeavingFixture(200e3)
    {
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeavingServers, LeavingFixture)

// DRAIN of issue 42: servers without keys got requests for as long as their heartbeats did not say that they drain.
BOOST_AUTO_TEST_CASE(AServerThatSaysItLeavesGetsNoFurtherRequest)
{
    findLeaving();
    for (int i = 0; i < 40; ++i)
        BOOST_TEST(ask("/any/x", std::to_string(i))->status() == "200");
    BOOST_TEST(leaving.requests().size() == 1);
}

// DRAIN of issue 42: the same for the owner of a key.
BOOST_AUTO_TEST_CASE(AnOwnerThatSaysItLeavesGetsNoRequestAfterTheGrace)
{
    ask("/safe/x", "1");
    BOOST_TEST(ask("/safe/x", "2")->status() == "200");
    passGrace();
    auto const caller = ask("/safe/x", "3");
    BOOST_TEST(caller->status() == "503");
    BOOST_TEST(!headerOf(caller->received(), "Retry-After").empty());
    BOOST_TEST(owner.requests().size() == 2);
    // The keys move to another server.
    Fleet::ViewUpdate update;
    update.ranges.rows.push_back({ keyed, 0, Fleet::keyCount - 1, 2, 0 });
    gateway.apply(update);
    BOOST_TEST(ask("/safe/x", "4")->status() == "200");
}

BOOST_AUTO_TEST_CASE(ARejectionCanSayThatTheServerLeaves)
{
    owner.setScript(answering("503 Service Unavailable", "", "Not-Run: 1\r\nLeaving: yes\r\n"));
    ask("/safe/x", "1");
    auto const count = owner.requests().size();
    passGrace();
    BOOST_TEST(ask("/safe/x", "2")->status() == "503");
    BOOST_TEST(owner.requests().size() == count);
}

// A lost leader, a reconnection and later heartbeats of the server bring views in which it is ready.
BOOST_AUTO_TEST_CASE(ALaterViewDoesNotBringALeavingServerBack)
{
    findLeaving();
    ask("/safe/x", "1");
    passGrace();
    gateway.apply(view());
    auto whole = view();
    whole.isWhole = true;
    gateway.apply(whole);
    ask("/safe/x", "2");
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(ask("/any/x", std::to_string(i))->status() == "200");
    BOOST_TEST(owner.requests().size() == 1);
    BOOST_TEST(leaving.requests().size() == 1);
    // Nor does an answer without the word, which may be older.
    owner.setScript(answering("200 OK", "done"));
    BOOST_TEST(ask("/safe/x", "3")->status() == "503");
}

BOOST_AUTO_TEST_CASE(TheLeaderIsToldOnceAndAgainAfterItChanged)
{
    ask("/safe/x", "1");
    ask("/safe/x", "2");
    BOOST_TEST(gateway.takeReport().leaving == std::vector<Fleet::ServerNumber> { 1 });
    BOOST_TEST(gateway.takeReport().leaving.empty());
    auto whole = view();
    whole.isWhole = true;
    gateway.apply(whole);
    BOOST_TEST(gateway.takeReport().leaving == std::vector<Fleet::ServerNumber> { 1 });
}

BOOST_AUTO_TEST_CASE(ANewProcessUnderTheSameNameIsUsed)
{
    ask("/safe/x", "1");
    passGrace();
    Fleet::ViewUpdate update;
    update.removedServers = { 1 };
    update.servers = { server(5, owner, keyed) };
    update.servers.front().server.name = { "life-1" };
    update.ranges.rows.push_back({ keyed, 0, Fleet::keyCount - 1, 5, 0 });
    gateway.apply(update);
    owner.setScript(answering("200 OK", "done"));
    BOOST_TEST(ask("/safe/x", "2")->status() == "200");
}

BOOST_AUTO_TEST_CASE(AllServersOfAPoolMayLeaveAtOnce)
{
    staying.setScript(answering("200 OK", "leaving", "Leaving: yes\r\n"));
    for (int i = 0; i < 4; ++i)
        ask("/any/x", std::to_string(i));
    auto const caller = ask("/any/x", "last");
    BOOST_TEST(caller->status() == "503");
    BOOST_TEST(std::stod(headerOf(caller->received(), "Retry-After")) > 0);
    BOOST_TEST(leaving.requests().size() == 1);
    BOOST_TEST(staying.requests().size() == 1);
}

BOOST_AUTO_TEST_CASE(AnUnreadableWordIsIgnoredAndLoggedOnce)
{
    owner.setScript(answering("200 OK", "done", "Leaving: maybe\r\n"));
    for (auto const* const id : { "1", "2" })
        ask("/safe/x", id);
    passGrace();
    BOOST_TEST(ask("/safe/x", "3")->status() == "200");
    BOOST_TEST(gateway.takeReport().leaving.empty());
    auto const log = closeLog();
    auto const first = log.find("ServerLeavingUnreadable");
    BOOST_REQUIRE(first != std::string::npos);
    BOOST_TEST(log.find("ServerLeavingUnreadable", first + 1) == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

// DRAIN: uploads that wait for the link reached their servers seconds after these had said that they leave.
BOOST_FIXTURE_TEST_SUITE(LeavingServersAndUploads, NarrowLinkFixture)

BOOST_AUTO_TEST_CASE(AnUploadThatWaitsForTheLinkIsNotSentToAServerThatDrains)
{
    auto update = view();
    update.isWhole = true;
    // Only one server is left to choose.
    std::erase_if(update.servers, [](auto const& row) { return row.server.number == 4; });
    gateway.apply(update);
    auto const first = upload("/any/x", "1", 120'000);
    auto const second = upload("/any/x", "2", 30'000);
    Fleet::ViewUpdate change;
    change.servers = { server(3, leaving, unkeyed), server(4, staying, unkeyed) };
    change.servers.front().server.isDraining = true;
    gateway.apply(change);
    BOOST_TEST(first->waitForAnswer());
    BOOST_TEST(second->waitForAnswer());
    BOOST_TEST(first->status() == "200");
    BOOST_TEST(second->status() == "200");
    BOOST_TEST(leaving.requests().size() == 1U);
    BOOST_TEST(staying.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(AnUploadThatWaitsForTheLinkIsNotSentToAFormerOwner)
{
    owner.setScript(answering("200 OK", "owner"));
    auto const first = upload("/unsafe/x", "1", 120'000);
    auto const second = upload("/unsafe/x", "2", 30'000);
    Fleet::ViewUpdate change;
    change.ranges.rows.push_back({ keyed, 0, Fleet::keyCount - 1, 2, 0 });
    gateway.apply(change);
    BOOST_TEST(first->waitForAnswer());
    BOOST_TEST(second->waitForAnswer());
    BOOST_TEST(second->status() == "200");
    BOOST_TEST(owner.requests().size() == 1U);
    BOOST_TEST(heir.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(AnUploadThatWaitsForTheLinkIsNotSentToAServerThatSaysItLeaves)
{
    auto update = view();
    update.isWhole = true;
    std::erase_if(update.servers, [](auto const& row) { return row.server.number == 4; });
    gateway.apply(update);
    leaving.setScript([](auto const& request) {
        return FakeServer::Reaction { answerTo(request, "200 OK", "", "Leaving: yes\r\n"),
            FakeServer::Reaction::Then::Keep, 250ms };
    });
    auto const told = connect("/any/x", "0");
    runFor(loop, 50ms);
    auto const first = upload("/any/x", "1", 120'000);
    auto const second = upload("/any/x", "2", 30'000);
    Fleet::ViewUpdate change;
    change.servers = { server(4, staying, unkeyed) };
    gateway.apply(change);
    BOOST_TEST(second->waitForAnswer());
    BOOST_TEST(second->status() == "200");
    BOOST_TEST(staying.requests().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
