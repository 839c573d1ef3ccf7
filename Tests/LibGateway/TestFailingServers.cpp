#include "GatewayFixture.h"

using namespace TestGateway;

namespace {

/// A pool without keys of three servers, of which the first sends bytes that are no answer.
struct FailingFixture : GatewayFixture {
    FailingFixture()
        : broken(loop, [](auto const&) { return FakeServer::Reaction { "no answer\r\n\r\n" }; })
        , first(loop, answering("200 OK", "first"))
        , second(loop, answering("200 OK", "second"))
    {
        auto update = routesAndPools();
        auto item = route("any-safe", "/any-safe/", Fleet::RequestKind::Safe, unkeyed);
        item.maxAttempts = 2;
        update.routes.push_back({ item.name.value, { item.version, item } });
        update.servers = { server(1, broken, unkeyed), server(2, first, unkeyed), server(3, second, unkeyed) };
        gateway.apply(update);
    }

    /// Sends requests until the broken server has failed twice.
    void findBroken()
    {
        // Slower than a server is assumed to be that has not answered yet.
        for (auto* const sound : { &first, &second }) {
            sound->setScript([](auto const& request) {
                return FakeServer::Reaction { answerTo(request, "200 OK", "slow"), FakeServer::Reaction::Then::Keep,
                    150ms };
            });
        }
        for (int i = 0; i < 40 && broken.requests().size() < 2; ++i)
            ask("/any/x", "find-" + std::to_string(i));
        BOOST_REQUIRE(broken.requests().size() == 2);
    }

    std::size_t failed(std::string const& path, int requests)
    {
        std::size_t count = 0;
        for (int i = 0; i < requests; ++i)
            count += ask(path, std::to_string(next_++))->status() == "200" ? 0 : 1;
        return count;
    }

    FakeServer broken;
    FakeServer first;
    FakeServer second;

private:
    int next_ { 0 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FailingServers, FailingFixture)

// Report of issue 42: a server whose answers cannot be read was asked again and again, since it answers so quickly.
BOOST_AUTO_TEST_CASE(AServerWithUnreadableAnswersIsUsedLast)
{
    findBroken();
    first.setScript(answering("200 OK", "first"));
    second.setScript(answering("200 OK", "second"));
    // Less than the shortest time for which the server is used last.
    BOOST_TEST(failed("/any/x", 10) == 0);
    BOOST_TEST(failed("/any-safe/x", 5) == 0);
    BOOST_TEST(broken.requests().size() == 2);
}

BOOST_AUTO_TEST_CASE(AServerThatRecoversIsUsedAgain)
{
    findBroken();
    broken.setScript(answering("200 OK", "well again"));
    runFor(loop, 500ms);
    for (int i = 0; i < 40 && broken.requests().size() < 3; ++i)
        ask("/any/x", "again-" + std::to_string(i));
    BOOST_TEST(broken.requests().size() > 2);
}

// Nothing is gained by refusing requests if no other server is left.
BOOST_AUTO_TEST_CASE(AFailingServerIsUsedIfItIsTheOnlyOne)
{
    Fleet::ViewUpdate update;
    update.removedServers = { 2, 3 };
    gateway.apply(update);
    failed("/any/x", 4);
    broken.setScript(answering("200 OK", "well again"));
    BOOST_TEST(failed("/any/x", 4) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
