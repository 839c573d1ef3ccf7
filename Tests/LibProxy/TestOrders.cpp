#include "Fixtures.h"

#include <boost/test/unit_test.hpp>

using namespace Test;

BOOST_AUTO_TEST_SUITE(Orders)

namespace {

std::size_t indexOf(std::vector<std::string> const& calls, std::string_view call)
{
    return static_cast<std::size_t>(std::ranges::find(calls, call) - calls.begin());
}

} // namespace

BOOST_AUTO_TEST_CASE(OrderIsClaimedBeforeTheSendAndItsAnswerKept)
{
    FakeBackend backend(FakeBackend::answering("done"));
    Fixture const fixture({ &backend });
    BOOST_TEST(outcomeOf(fixture.request(postOrder)) == "200 answered ");
    BOOST_TEST(eventually([&] { return fixture.control.countCalls("complete") == 1; }));
    auto const calls = fixture.control.calls();
    BOOST_TEST(indexOf(calls, "claim") < indexOf(calls, "attemptBegan"));
    BOOST_REQUIRE(fixture.control.keptAnswer.has_value());
    BOOST_TEST(fixture.control.keptAnswer->body == "done");
}

BOOST_AUTO_TEST_CASE(WorkWithoutAKeyAndIdempotentWorkAreNotClaimed)
{
    FakeBackend backend(FakeBackend::answering("x"));
    Fixture const fixture({ &backend });
    fixture.request(postLetter);
    fixture.request("GET /letters/7 HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\n\r\n");
    BOOST_TEST(fixture.control.countCalls("claim") == 0);
}

BOOST_AUTO_TEST_CASE(ResendOfAnOrderNeverReachesAServer)
{
    using Proxy::ClaimResult;
    std::vector<std::pair<ClaimResult, std::string>> const expected {
        { Proxy::OrderInProgress {}, "409 unknown in-progress" },
        { Proxy::OrderUnknown {}, "409 unknown first-attempt-unknown" },
        { Proxy::OrderCompleted {}, "409 unknown answer-not-kept" },
        { Proxy::OrderMismatch {}, "422 not-run key-reused" },
        { Proxy::OrderCompleted { Proxy::KeptAnswer { 201, "text/plain", "first" } }, "201 answered " },
    };
    FakeBackend backend(FakeBackend::answering("x"));
    Fixture fixture({ &backend });
    for (auto const& [result, outcome] : expected) {
        fixture.control.onClaim = [&result = result] { return result; };
        BOOST_TEST(outcomeOf(fixture.request(postOrder)) == outcome);
    }
    BOOST_TEST(bodyOf(fixture.request(postOrder)) == "first");
    BOOST_TEST(backend.requests().empty());
    for (auto const* call : { "complete", "abandon", "markUnknown", "acquire" })
        BOOST_TEST(fixture.control.countCalls(call) == 0, call);
}

BOOST_AUTO_TEST_CASE(OrderWithoutTheQuorumIsNotRun)
{
    FakeBackend backend(FakeBackend::answering("x"));
    Fixture fixture({ &backend });
    fixture.control.onClaim = [] { return Proxy::OrderGateUnavailable {}; };
    BOOST_TEST(outcomeOf(fixture.request(postOrder)) == "503 not-run not-ready");
    fixture.control.onClaim = nullptr;
    fixture.control.onConfirm = [] { return Proxy::ConfirmError { Proxy::OrderGateUnavailable {} }; };
    BOOST_TEST(outcomeOf(fixture.request(postOrder)) == "503 not-run not-ready");
    BOOST_TEST(backend.requests().empty());
    BOOST_TEST(fixture.control.countCalls("abandon") == 1);
}

BOOST_AUTO_TEST_CASE(OrderThatWasNotSentIsAbandoned)
{
    Fixture fixture({});
    fixture.control.onAcquire = [](auto const&) { return Policy::Refusal { Policy::RefusalReason::Overloaded, 1s }; };
    BOOST_TEST(outcomeOf(fixture.request(postOrder)) == "503 not-run overloaded");
    BOOST_TEST(fixture.control.countCalls("abandon") == 1);
    BOOST_TEST(fixture.control.countCalls("markUnknown") == 0);
}

BOOST_AUTO_TEST_CASE(OrderWithALostResponseIsMarkedUnknown)
{
    FakeBackend backend([](Peer& peer, FakeBackend& self) { self.next(peer); });
    Fixture const fixture({ &backend });
    BOOST_TEST(outcomeOf(fixture.request(postOrder)) == "502 unknown connection-lost");
    BOOST_TEST(fixture.control.countCalls("markUnknown") == 1);
    BOOST_TEST(fixture.control.countCalls("abandon") == 0);
}

BOOST_AUTO_TEST_CASE(OrderWithATruncatedResponseIsMarkedUnknown)
{
    FakeBackend backend([](Peer& peer, FakeBackend& self) {
        self.next(peer);
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + std::string(200'000, 'x'));
    });
    Fixture const fixture({ &backend });
    auto peer = fixture.connect();
    peer.send(postOrder);
    peer.readMessage();
    BOOST_TEST(peer.wasTruncated());
    BOOST_TEST(eventually([&] { return fixture.control.countCalls("markUnknown") == 1; }));
    BOOST_TEST(fixture.control.countCalls("complete") == 0);
}

BOOST_AUTO_TEST_CASE(OrderGoesOnWithoutItsCallerAndKeepsTheAnswer)
{
    std::atomic<bool> mayAnswer { false };
    FakeBackend backend([&](Peer& peer, FakeBackend& self) {
        self.next(peer);
        eventually([&] { return mayAnswer.load(); });
        peer.send(okResponse("kept"));
    });
    Fixture const fixture({ &backend });
    {
        auto peer = fixture.connect();
        peer.send(postOrder);
        BOOST_TEST(eventually([&] { return backend.requests().size() == 1; }));
    }
    std::this_thread::sleep_for(50ms);
    mayAnswer = true;
    BOOST_TEST(eventually([&] { return fixture.control.countCalls("complete") == 1; }));
    BOOST_TEST(fixture.control.keptAnswer->body == "kept");
}

BOOST_AUTO_TEST_CASE(LargeAnswerIsCompletedButNotKept)
{
    FakeBackend backend(FakeBackend::answering(std::string(Proxy::maxKeptAnswerBytes + 1, 'x')));
    Fixture const fixture({ &backend });
    fixture.request(postOrder);
    BOOST_TEST(eventually([&] { return fixture.control.countCalls("complete") == 1; }));
    BOOST_TEST(!fixture.control.keptAnswer.has_value());
}

BOOST_AUTO_TEST_CASE(OwnerIsConfirmedOnlyForServersThatDoNotCheckFencing)
{
    FakeBackend backend(FakeBackend::answering("x"));
    Fixture fixture({ &backend });
    fixture.request(postLetter);
    BOOST_TEST(fixture.control.countCalls("confirm") == 1);
    fixture.request(getLetter);
    BOOST_TEST(fixture.control.countCalls("confirm") == 1);
    fixture.control.publish([](Routing::View& view) { view.servers[0].checksFencing = true; });
    fixture.request(postLetter);
    BOOST_TEST(fixture.control.countCalls("confirm") == 1);
}

BOOST_AUTO_TEST_CASE(OwnerThatTheQuorumDoesNotConfirmGetsNothing)
{
    FakeBackend backend(FakeBackend::answering("x"));
    Fixture fixture({ &backend });
    fixture.control.onConfirm = [] { return Proxy::ConfirmError { Proxy::OwnerChanged {} }; };
    auto const text = std::string("POST /letters/7 HTTP/1.1\r\nHost: h\r\nPrimroseshift-Deadline-Ms: 150\r\n"
                                  "Content-Length: 0\r\n\r\n");
    BOOST_TEST(outcomeOf(fixture.request(text)) == "503 not-run deadline-unreachable");
    BOOST_TEST(backend.requests().empty());
    BOOST_TEST(fixture.control.countCalls("acquire") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
