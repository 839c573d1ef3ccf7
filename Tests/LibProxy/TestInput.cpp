#include "Fixtures.h"

#include <boost/test/unit_test.hpp>

using namespace Test;

BOOST_AUTO_TEST_SUITE(Input)

namespace {

std::string get(std::string const& path, std::string const& fields = {})
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

std::string put(std::string const& fields, std::string const& body)
{
    return "PUT /uploads/1 HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body;
}

} // namespace

BOOST_AUTO_TEST_CASE(BadInputGetsATypedStatusAndReachesNoServer)
{
    std::vector<std::pair<std::string, std::string>> const cases {
        { "nonsense\r\n\r\n", "400 not-run bad-request" },
        { get("/letters/7", "X: " + std::string(40'000, 'x') + "\r\n"), "431 not-run headers-too-large" },
        { get("/" + std::string(40'000, 'x')), "431 not-run headers-too-large" },
        { put("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), "400 not-run bad-request" },
        { put("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", "0\r\n\r\n"), "400 not-run bad-request" },
        { put("Transfer-Encoding: gzip\r\n", "x"), "400 not-run bad-request" },
        { put("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), "400 not-run bad-request" },
        { put("Content-Length: 4\r\nContent-Length: 5\r\n", "12345"), "400 not-run bad-request" },
        { put("Content-Length: -1\r\n", ""), "400 not-run bad-request" },
        { put("Content-Length: 4x\r\n", "1234"), "400 not-run bad-request" },
        { put("Transfer-Encoding: chunked\r\n", "zz\r\nxx\r\n"), "400 not-run bad-request" },
        { put("Transfer-Encoding: chunked\r\n", "3\r\nabcdef\r\n0\r\n\r\n"), "400 not-run bad-request" },
        { put("Content-Length: 999999999999\r\n", ""), "413 not-run body-too-large" },
        { put("Expect: something\r\nContent-Length: 0\r\n", ""), "400 not-run bad-request" },
        { "GET /letters/7 HTTP/1.1\r\n\r\n", "400 not-run bad-request" },
        { "GET /letters/7 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400 not-run bad-request" },
        { "GET http://h/letters/7 HTTP/1.1\r\nHost: h\r\n\r\n", "400 not-run bad-request" },
        { "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", "400 not-run bad-request" },
        { get("/letters/7", "Bad Name: x\r\n"), "400 not-run bad-request" },
        { get("/none"), "404 not-run no-route" },
        { get("/letters"), "400 not-run no-key" },
        { get("/letters/" + std::string(Routing::maxKeyBytes + 1, 'k')), "400 not-run bad-request" },
        { get("/letters/7", "Primroseshift-Deadline-Ms: soon\r\n"), "400 not-run bad-request" },
    };
    FakeBackend backend(FakeBackend::answering("x"));
    Fixture const fixture({ &backend });
    for (auto const& [text, outcome] : cases)
        BOOST_TEST(outcomeOf(fixture.request(text)) == outcome, text.substr(0, 120));
    BOOST_TEST(backend.requests().empty());
    BOOST_TEST(fixture.control.allPermitsReleased());
}

BOOST_AUTO_TEST_CASE(ChunkedBodyBeyondTheLimitIsRejected)
{
    FakeBackend backend(FakeBackend::answering("x"));
    Fixture fixture({ &backend });
    fixture.control.publish([](Routing::View& view) {
        std::vector<Routing::RouteDefinition> routes(view.table->routes().begin(), view.table->routes().end());
        for (auto& route : routes)
            route.maxBodyBytes = 10;
        std::vector<Routing::PoolDefinition> pools(view.table->pools().begin(), view.table->pools().end());
        auto table = Routing::RoutingTable::build(std::move(pools), std::move(routes));
        view.table = std::make_shared<Routing::RoutingTable const>(std::move(table).value());
    });
    auto const response = fixture.request(put("Transfer-Encoding: chunked\r\n", "b\r\n12345678901\r\n0\r\n\r\n"));
    BOOST_TEST(outcomeOf(response) == "413 not-run body-too-large");
}

BOOST_AUTO_TEST_CASE(BodyThatBreaksAfterAPartWasSentIsUnknown)
{
    FakeBackend backend([](Peer& peer, FakeBackend&) { peer.readToEnd(); });
    Fixture const fixture({ &backend });
    auto const first = std::string(100'000, 'x');
    auto const text = put("Transfer-Encoding: chunked\r\n", "186a0\r\n" + first + "\r\nzz\r\n");
    BOOST_TEST(outcomeOf(fixture.request(text)) == "400 unknown bad-body");
}

BOOST_AUTO_TEST_CASE(BadInputHarmsNoOtherRequest)
{
    std::atomic<bool> mayAnswer { false };
    FakeBackend backend([&](Peer& peer, FakeBackend& self) {
        while (!self.next(peer).empty()) {
            eventually([&] { return mayAnswer.load(); });
            peer.send(okResponse("unharmed"));
        }
    });
    Fixture const fixture({ &backend });
    auto good = fixture.connect();
    good.send(getLetter);
    BOOST_TEST(eventually([&] { return backend.requests().size() == 1; }));
    fixture.request(put("Transfer-Encoding: chunked\r\n", "zz\r\n"));
    fixture.request(std::string(100'000, 'x'));
    fixture.connect().send("GET /letters/7 HT");
    mayAnswer = true;
    BOOST_TEST(bodyOf(good.readMessage()) == "unharmed");
    BOOST_TEST(fixture.control.countCalls("inputRejected") >= 1);
}

BOOST_AUTO_TEST_CASE(HeadThatNeverEndsIsRejectedInTime)
{
    Fixture const fixture({}, { .headTimeout = 100ms });
    auto peer = fixture.connect();
    peer.send("GET /letters/7 HTTP/1.1\r\n");
    BOOST_TEST(outcomeOf(peer.readMessage()) == "400 not-run bad-request");
}

BOOST_AUTO_TEST_CASE(WithoutAViewOrALeaseWorkIsNotRun)
{
    Fixture fixture({});
    fixture.control.hasLease = [] { return false; };
    auto const response = fixture.request(getLetter);
    BOOST_TEST(outcomeOf(response) == "503 not-run not-ready");
    BOOST_TEST(headerOf(response, "Retry-After") == "1");
}

BOOST_AUTO_TEST_CASE(AnnouncementIsHandledAndFaultsAreTyped)
{
    Fixture const fixture({});
    Proxy::Announcement announcement { .name = { "b1" },
        .pool = { "letters" },
        .endpoint = { "127.0.0.1", 80 },
        .failureDomain = { "d" },
        .load = { .inFlight = 1, .utilization = 0.5 },
        .releasedSlots = { { { 3 }, { 4 } } } };
    auto const post = [&](std::string const& body) {
        return fixture.request("POST /primroseshift/v1/announce HTTP/1.1\r\nHost: h\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body);
    };
    auto const response = post(Proxy::toJson(announcement));
    auto const reply = Proxy::parseAnnounceReply(bodyOf(response));
    BOOST_REQUIRE(!reply.isError());
    BOOST_TEST(reply.value().grants.at(0).epoch.value == 3);
    BOOST_TEST(fixture.control.countCalls("announce b1") == 1);

    announcement.pool = { "other" };
    BOOST_TEST(statusOf(post(Proxy::toJson(announcement))) == "404");
    BOOST_TEST(statusOf(post("[1")) == "400");
    BOOST_TEST(statusOf(post("{}")) == "400");
    BOOST_TEST(bodyOf(post("{\"name\":5}")) == "{\"error\":\"wrong type of field name\"}");
}

BOOST_AUTO_TEST_CASE(AnnouncementsSurviveTheirTextForm)
{
    Proxy::Announcement const announcement { .name = { "b1" },
        .pool = { "letters" },
        .endpoint = { "::1", 80 },
        .failureDomain = { "d" },
        .incarnation = { ~0ULL },
        .slots = 2,
        .connections = 130,
        .checksFencing = true,
        .isDraining = true,
        .load = { .inFlight = 1, .queued = 2, .utilization = 0.25 },
        .releasedSlots = { { { 3 }, { 4 } } } };
    auto const parsed = Proxy::parseAnnouncement(Proxy::toJson(announcement));
    BOOST_REQUIRE(!parsed.isError());
    BOOST_TEST((parsed.value() == announcement));
    Proxy::AnnounceReply const reply { { { { 1 }, { 5 }, { 9 } } }, 1500ms, { { 7 } } };
    auto const parsedReply = Proxy::parseAnnounceReply(Proxy::toJson(reply));
    BOOST_REQUIRE(!parsedReply.isError());
    BOOST_TEST((parsedReply.value() == reply));
}

BOOST_AUTO_TEST_SUITE_END()
