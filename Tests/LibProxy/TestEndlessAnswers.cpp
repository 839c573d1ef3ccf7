#include "Fixtures.h"

#include <boost/test/unit_test.hpp>

#include <fstream>

#ifdef __SANITIZE_ADDRESS__
// GCC 12 does not ship the header that declares it.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#endif

using namespace Test;

/// Bytes that are no answer come from a backend server without end, until the proxy closes.
BOOST_AUTO_TEST_SUITE(EndlessAnswers)

namespace {

/// Bounds a server that nobody closes; the callers' deadline is far before it.
constexpr Core::Duration serverLimit = 4s;
constexpr Core::Duration deadline = 500ms;
/// From the deadline until a caller on a busy machine has seen its end.
constexpr Core::Duration margin = 1s;
constexpr std::size_t pieceBytes = 64UL * 1024;
/// More than all buffers of one exchange, far less than a server sends until the deadline.
constexpr std::size_t maxGrowth = 32UL * 1024 * 1024;
constexpr std::string_view request
    = "POST /uploads/1 HTTP/1.1\r\nHost: h\r\nPrimroseshift-Deadline-Ms: 500\r\nContent-Length: 0\r\n\r\n";

struct Server {
    std::string beginning;
    std::string repeated;
    std::atomic<std::size_t> sent { 0 };
    std::atomic<bool> wasClosed { false };

    void operator()(Peer& peer, FakeBackend& backend)
    {
        auto const end = Core::BootClock::now() + serverLimit;
        while (!repeated.empty() && repeated.size() < pieceBytes)
            repeated += repeated;
        backend.next(peer);
        wasClosed = !peer.send(beginning);
        while (!wasClosed && Core::BootClock::now() < end) {
            wasClosed = !peer.send(repeated);
            sent += repeated.size();
        }
    }
};

/// Memory that the process uses. AddressSanitizer keeps freed memory resident for a while, so its own count is taken
/// there.
std::size_t usedBytes()
{
#ifdef __SANITIZE_ADDRESS__
    return __sanitizer_get_current_allocated_bytes();
#else
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * 4096;
#endif
}

/// What a caller got that reads as fast as it can and keeps the last bytes only.
struct Received {
    std::string beginning;
    std::string last;
    std::size_t bytes { 0 };
    Core::Duration time { 0 };
    bool wasClosed { false };
    bool wasReset { false };
    std::size_t growth { 0 };
};

Received readToEnd(Peer& peer)
{
    Received result;
    auto const begin = Core::BootClock::now();
    auto const end = begin + serverLimit;
    auto const before = usedBytes();
    std::vector<char> buffer(pieceBytes);
    while (Core::BootClock::now() < end) {
        pollfd polled { peer.socket().descriptor(), POLLIN, 0 };
        if (!Proxy::waitFor({ &polled, 1 }, end))
            break;
        auto const received = peer.socket().receive(buffer);
        result.wasClosed = received.status == Proxy::IoStatus::Closed || received.status == Proxy::IoStatus::Failed;
        result.wasReset = received.status == Proxy::IoStatus::Failed;
        if (result.wasClosed)
            break;
        result.bytes += received.bytes;
        std::string_view const piece(buffer.data(), received.bytes);
        if (result.beginning.size() < 1024)
            result.beginning.append(piece);
        result.last.append(piece);
        if (result.last.size() > 64)
            result.last.erase(0, result.last.size() - 64);
        result.growth = std::max(result.growth, usedBytes() - std::min(before, usedBytes()));
    }
    result.time = Core::BootClock::now() - begin;
    return result;
}

/// The caller must have a whole rejection with outcome `unknown`, and the server's connection must be closed.
void checkIsGivenUp(std::string beginning, std::string repeated)
{
    Server server { std::move(beginning), std::move(repeated) };
    FakeBackend backend([&](Peer& peer, FakeBackend& self) { server(peer, self); });
    Fixture const fixture({ &backend });
    auto peer = fixture.connect();
    auto const before = usedBytes();
    auto const begin = Core::BootClock::now();
    peer.send(request);
    auto const answer = peer.readMessage();
    BOOST_TEST((Core::BootClock::now() - begin < deadline + margin));
    BOOST_TEST(usedBytes() < before + maxGrowth);
    BOOST_REQUIRE(!answer.empty());
    BOOST_TEST(headerOf(answer, "Primroseshift-Outcome") == "unknown");
    BOOST_TEST(!peer.wasTruncated());
    BOOST_TEST(eventually([&] { return server.wasClosed.load(); }));
    BOOST_TEST(backend.requests().size() == 1U);
    BOOST_TEST(fixture.control.allPermitsReleased());
}

/// The caller's connection must end at its deadline with an answer that does not look complete.
void checkIsCutOffAtTheDeadline(std::string beginning, std::string repeated, std::string_view text = request)
{
    Server server { std::move(beginning), std::move(repeated) };
    FakeBackend backend([&](Peer& peer, FakeBackend& self) { server(peer, self); });
    Fixture const fixture({ &backend });
    auto peer = fixture.connect();
    peer.send(text);
    auto const received = readToEnd(peer);
    BOOST_TEST_MESSAGE(
        received.bytes << " bytes in " << received.time.count() / 1'000'000 << " ms, memory +" << received.growth);
    BOOST_TEST(received.wasClosed);
    BOOST_TEST((received.time < deadline + margin));
    BOOST_TEST(!received.last.ends_with("0\r\n\r\n"));
    BOOST_TEST(received.growth < maxGrowth);
    if (text.find("HTTP/1.0") != std::string_view::npos)
        BOOST_TEST(received.wasReset);
    BOOST_TEST(eventually([&] { return server.wasClosed.load(); }));
    BOOST_TEST(fixture.control.allPermitsReleased());
    BOOST_TEST(eventually([&] { return fixture.control.records().size() == 1; }));
    BOOST_TEST(fixture.control.records().at(0).isTruncated);
}

/// A refusal is read to its end before the caller is told, or the request goes elsewhere.
void checkRefusalIsGivenUp(std::string beginning, std::string repeated)
{
    Server server { std::move(beginning), std::move(repeated) };
    FakeBackend backend([&](Peer& peer, FakeBackend& self) { server(peer, self); });
    Fixture const fixture({ &backend });
    auto peer = fixture.connect();
    auto const begin = Core::BootClock::now();
    peer.send(request);
    auto const answer = peer.readMessage();
    BOOST_TEST((Core::BootClock::now() - begin < deadline + margin));
    BOOST_REQUIRE(!answer.empty());
    BOOST_TEST(outcomeOf(answer) == "503 not-run server-refused");
    BOOST_TEST(eventually([&] { return server.wasClosed.load(); }));
}

constexpr auto chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

BOOST_AUTO_TEST_CASE(BytesWithoutAHeadAreGivenUp) { checkIsGivenUp("", "x"); }

BOOST_AUTO_TEST_CASE(EmptyLinesWithoutEndAreGivenUp) { checkIsGivenUp("", "\r\n"); }

BOOST_AUTO_TEST_CASE(AStatusLineWithoutEndIsGivenUp) { checkIsGivenUp("HTTP/1.1 200 ", "OK"); }

BOOST_AUTO_TEST_CASE(AHeadWithoutEndIsGivenUp) { checkIsGivenUp("HTTP/1.1 200 OK\r\n", "Field: value\r\n"); }

BOOST_AUTO_TEST_CASE(AFieldWithoutEndIsGivenUp) { checkIsGivenUp("HTTP/1.1 200 OK\r\nField: ", "value"); }

// Trickled, so that each one comes alone.
BOOST_AUTO_TEST_CASE(MoreInformationalAnswersThanAnyServerNeedsAreGivenUp)
{
    FakeBackend backend([](Peer& peer, FakeBackend& self) {
        self.next(peer);
        auto const end = Core::BootClock::now() + serverLimit;
        while (Core::BootClock::now() < end && peer.send("HTTP/1.1 103 Early Hints\r\n\r\n"))
            std::this_thread::sleep_for(5ms);
    });
    Fixture const fixture({ &backend });
    auto const answer = fixture.request(request);
    BOOST_TEST(outcomeOf(answer) == "502 unknown connection-lost");
}

BOOST_AUTO_TEST_CASE(InformationalAnswersWithoutEndAreGivenUp)
{
    checkIsGivenUp("", "HTTP/1.1 103 Early Hints\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(AChunkHeaderWithoutEndIsGivenUp) { checkIsGivenUp(chunkedHead, "0"); }

BOOST_AUTO_TEST_CASE(AChunkExtensionWithoutEndIsGivenUp)
{
    checkIsGivenUp(std::string(chunkedHead) + "5;", "extension");
}

BOOST_AUTO_TEST_CASE(ATrailerWithoutEndIsGivenUp)
{
    checkIsGivenUp(std::string(chunkedHead) + "0\r\n", "Field: value\r\n");
}

BOOST_AUTO_TEST_CASE(ATrailerWithoutEndBehindABodyIsCutOff)
{
    checkIsCutOffAtTheDeadline(std::string(chunkedHead) + "5\r\nhello\r\n0\r\n", "Field: value\r\n");
}

BOOST_AUTO_TEST_CASE(ABodyOfChunksWithoutEndIsCutOffAtTheDeadline)
{
    checkIsCutOffAtTheDeadline(chunkedHead, "10\r\n0123456789abcdef\r\n");
}

// The proxy is slower than such a server, so there is always a chunk that can be read at once.
BOOST_AUTO_TEST_CASE(ABodyOfTinyChunksWithoutEndIsCutOffAtTheDeadline)
{
    checkIsCutOffAtTheDeadline(chunkedHead, "1\r\nx\r\n");
}

BOOST_AUTO_TEST_CASE(ABodyOfGreatLengthIsCutOffAtTheDeadline)
{
    checkIsCutOffAtTheDeadline("HTTP/1.1 200 OK\r\nContent-Length: 1000000000000000\r\n\r\n", "x");
}

BOOST_AUTO_TEST_CASE(ABodyUntilTheCloseWithoutEndIsCutOffAtTheDeadline)
{
    checkIsCutOffAtTheDeadline("HTTP/1.1 200 OK\r\n\r\n", "x");
}

BOOST_AUTO_TEST_CASE(ABodyWithoutEndForAnOldCallerIsCutOffByAReset)
{
    checkIsCutOffAtTheDeadline("HTTP/1.1 200 OK\r\n\r\n", "x",
        "POST /uploads/1 HTTP/1.0\r\nHost: h\r\nPrimroseshift-Deadline-Ms: 500\r\nContent-Length: 0\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(ARefusalWithoutEndIsGivenUp)
{
    checkRefusalIsGivenUp("HTTP/1.1 503 X\r\nPrimroseshift-Outcome: not-run\r\n\r\n", "x");
}

BOOST_AUTO_TEST_CASE(ARefusalOfTinyChunksWithoutEndIsGivenUp)
{
    checkRefusalIsGivenUp(
        "HTTP/1.1 503 X\r\nPrimroseshift-Outcome: not-run\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n");
}

// The same from the other side: a caller that always has a chunk more.
BOOST_AUTO_TEST_CASE(AnUploadOfTinyChunksWithoutEndIsCutOffAtTheDeadline)
{
    FakeBackend backend([](Peer& peer, FakeBackend&) { readToEnd(peer); });
    Fixture const fixture({ &backend });
    auto peer = fixture.connect();
    auto const begin = Core::BootClock::now();
    peer.send("POST /uploads/1 HTTP/1.1\r\nHost: h\r\nPrimroseshift-Deadline-Ms: 500\r\n"
              "Transfer-Encoding: chunked\r\n\r\n");
    std::string chunks;
    while (chunks.size() < pieceBytes)
        chunks += "1\r\nx\r\n";
    std::thread sender([&] {
        while (Core::BootClock::now() < begin + serverLimit && peer.send(chunks)) { }
    });
    BOOST_TEST(eventually([&] { return fixture.control.records().size() == 1; }));
    BOOST_TEST((Core::BootClock::now() - begin < deadline + 2 * margin));
    BOOST_TEST((fixture.control.records().at(0).reason == Proxy::Reason::DeadlineExceeded));
    BOOST_TEST(fixture.control.records().at(0).status == 504);
    sender.join();
}

// The stop bounds the deadlines; a body without end must see that.
BOOST_AUTO_TEST_CASE(ABodyWithoutEndIsCutOffByAStop)
{
    Server server { chunkedHead, "1\r\nx\r\n" };
    FakeBackend backend([&](Peer& peer, FakeBackend& self) { server(peer, self); });
    Fixture const fixture({ &backend });
    auto peer = fixture.connect();
    peer.send("GET /uploads/1 HTTP/1.1\r\nHost: h\r\n\r\n");
    Received received;
    std::thread reader([&] { received = readToEnd(peer); });
    BOOST_TEST(eventually([&] { return server.sent > pieceBytes; }));
    BOOST_TEST(fixture.server->drain(400ms));
    reader.join();
    BOOST_TEST(received.wasClosed);
    BOOST_TEST(!received.last.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()
