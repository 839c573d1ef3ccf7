#include "../Support/EndlessServer.h"

#include <LibNet/HttpClient.h>

#include <boost/test/unit_test.hpp>
#include <sys/socket.h>

using namespace Net;
using namespace Test;

namespace {

/// A server that answers as soon as anything arrives, and counts what arrives.
class EarlyServer final : private StreamHandler {
public:
    explicit EarlyServer(EventLoop& loop)
        : listener_(Listener::open(loop, address, [this, &loop](int fd) {
            StreamHandler& handler = *this;
            stream_ = std::make_unique<Stream>(loop, handler, fd, StreamSettings {});
        }))
    {
    }

    Core::Endpoint const address { "127.0.0.1", freePort() };
    std::size_t received { 0 };

private:
    void onData(Stream& stream) override
    {
        if (received == 0)
            stream.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        received += stream.input().view().size();
        stream.input().consume(stream.input().view().size());
        stream.resume();
    }
    void onEnd(Stream& stream, StreamEnd) override { stream.close(); }

    std::unique_ptr<Stream> stream_;
    std::unique_ptr<Listener> listener_;
};

/// A server that sends a part of an answer without a length once a request begins, and ends the connection in order or
/// with a reset. It reads nothing.
class HastyServer {
public:
    HastyServer(EventLoop& loop, bool isReset)
        : listener_(Listener::open(loop, address, [&loop, isReset](int fd) {
            constexpr std::string_view part = "HTTP/1.1 200 OK\r\n\r\npart";
            loop.after(20ms, [fd, isReset, part] {
                BOOST_TEST(::send(fd, part.data(), part.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(part.size()));
                if (!isReset)
                    ::shutdown(fd, SHUT_WR);
            });
            loop.after(60ms, [fd] { ::close(fd); });
        }))
    {
    }

    Core::Endpoint const address { "127.0.0.1", freePort() };

private:
    std::unique_ptr<Listener> listener_;
};

/// A server that answers in pieces, with a pause after each.
class PiecewiseServer final : private StreamHandler {
public:
    PiecewiseServer(EventLoop& loop, std::vector<std::string> pieces)
        : loop_(loop)
        , pieces_(std::move(pieces))
        , listener_(Listener::open(loop, address, [this](int fd) {
            StreamHandler& handler = *this;
            stream_ = std::make_unique<Stream>(loop_, handler, fd, StreamSettings {});
        }))
    {
    }
    ~PiecewiseServer() override { loop_.cancel(timer_); }
    PiecewiseServer(PiecewiseServer const&) = delete;
    PiecewiseServer& operator=(PiecewiseServer const&) = delete;

    Core::Endpoint const address { "127.0.0.1", freePort() };

private:
    void onData(Stream& stream) override
    {
        stream.input().consume(stream.input().view().size());
        sendNext(0);
    }
    void onEnd(Stream& stream, StreamEnd) override { stream.close(); }

    void sendNext(std::size_t index)
    {
        if (index == pieces_.size())
            return;
        stream_->write(pieces_[index]);
        timer_ = loop_.after(20ms, [this, index] { sendNext(index + 1); });
    }

    EventLoop& loop_;
    std::vector<std::string> pieces_;
    std::unique_ptr<Stream> stream_;
    std::unique_ptr<Listener> listener_;
    EventLoop::TimerId timer_;
};

/// A server that sends these bytes as soon as a request arrives and ends the connection.
class BreakingServer final : private StreamHandler {
public:
    BreakingServer(EventLoop& loop, std::string bytes, bool resets)
        : bytes_(std::move(bytes))
        , resets_(resets)
        , listener_(Listener::open(loop, address, [this, &loop](int fd) {
            StreamHandler& handler = *this;
            fd_ = fd;
            stream_ = std::make_unique<Stream>(loop, handler, fd, StreamSettings {});
        }))
    {
    }

    Core::Endpoint const address { "127.0.0.1", freePort() };

private:
    void onData(Stream& stream) override
    {
        stream.input().consume(stream.input().view().size());
        stream.write(bytes_);
        if (resets_) {
            linger const abort { 1, 0 };
            ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        }
        stream.close();
    }
    void onEnd(Stream&, StreamEnd) override { }

    std::string bytes_;
    bool resets_;
    int fd_ { -1 };
    std::unique_ptr<Stream> stream_;
    std::unique_ptr<Listener> listener_;
};

class AnswerReceiver final : public HttpClientHandler {
public:
    bool isExpected(HttpClient&, Proxy::MessageHead const&) override { return isForThisRequest; }
    void onAnswer(HttpClient& client, HttpAnswer) override
    {
        ++answers;
        isReusable = client.isReusable();
    }
    void onFailure(HttpClient&, ExchangeFailure reason) override
    {
        ++failures;
        failure = reason;
    }
    void onIdleEnd(HttpClient&) override { }

    bool isForThisRequest { true };
    int answers { 0 };
    int failures { 0 };
    std::optional<ExchangeFailure> failure;
    bool isReusable { false };
};

std::string requestOf(std::size_t bodyBytes)
{
    return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
        + std::string(bodyBytes, 'b');
}

/// Far less than the time that a caller has.
constexpr Core::Duration soon = 3s;

/// Asks a server that does not stop sending, and expects that the client gives up by itself and closes the connection.
struct EndlessFixture {
    void ask(std::string beginning, std::string repeated)
    {
        EndlessServer server(loop, std::move(beginning), std::move(repeated));
        HttpClient client(loop, receiver, server.address, settings);
        client.send(requestOf(10), nullptr, false);
        BOOST_TEST(runUntil(
            loop, [&] { return receiver.failures == 1; }, soon));
        BOOST_TEST(runUntil(
            loop, [&] { return server.closed == 1; }, soon));
        BOOST_TEST(receiver.answers == 0);
    }

    EventLoop loop;
    AnswerReceiver receiver;
    HttpClientSettings settings;
};

} // namespace

// MIXED: a server answers a long upload at once, without a length, and ends the connection while the upload is still
// being written. What it sent is a part of an answer.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutLengthThatEndsBeforeTheRequestWasSentIsNotComplete)
{
    for (auto const isReset : { false, true }) {
        EventLoop loop;
        HastyServer server(loop, isReset);
        AnswerReceiver receiver;
        HttpClient client(loop, receiver, server.address, {});
        client.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 8000000\r\n\r\n",
            std::make_shared<std::string const>(8'000'000, 'u'), false);
        BOOST_TEST(runUntil(loop, [&] { return receiver.failures + receiver.answers > 0; }));
        BOOST_TEST(receiver.answers == 0);
    }
}

BOOST_AUTO_TEST_CASE(AConnectionWhoseBodyWasCutShortByAnEarlyAnswerIsNotUsedAgain)
{
    EventLoop loop;
    EarlyServer server(loop);
    AnswerReceiver receiver;
    // 8 KB each 80 ms: the answer comes long before the end of the body.
    BulkPacer pacer(100e3);
    HttpClientSettings settings;
    settings.pacer = &pacer;
    HttpClient client(loop, receiver, server.address, settings);
    auto const request = requestOf(100'000);
    client.send(request, nullptr, false);
    BOOST_TEST(runUntil(loop, [&] { return receiver.answers == 1; }));
    BOOST_TEST(!receiver.isReusable);
    auto const received = server.received;
    runFor(loop, 200ms);
    BOOST_TEST(server.received == received);
    BOOST_TEST(received < request.size());
}

BOOST_AUTO_TEST_CASE(APacedBodyArrivesWholeAndASmallOneAtOnce)
{
    EventLoop loop;
    EarlyServer server(loop);
    AnswerReceiver receiver;
    BulkPacer pacer(1e6);
    // The body of another connection has taken the link for the next 8 ms, and keeps its turn.
    struct : BulkSender {
        void onTurn() override { }
    } other;
    pacer.take(loop.now(), other, 100'000);
    HttpClientSettings settings;
    settings.pacer = &pacer;
    HttpClient client(loop, receiver, server.address, settings);
    auto const small = requestOf(100);
    client.send(small, nullptr, false);
    BOOST_TEST(runUntil(loop, [&] { return receiver.answers == 1; }));
    BOOST_TEST(receiver.isReusable);
    BOOST_TEST(server.received == small.size());
    BOOST_TEST(receiver.failures == 0);
}

// Requests that are too small to be held up take their part of the link all the same.
BOOST_AUTO_TEST_CASE(BodiesWaitForTheSmallRequestsBeforeThem)
{
    EventLoop loop;
    EarlyServer server(loop);
    AnswerReceiver receiver;
    BulkPacer pacer(100e3);
    HttpClientSettings settings;
    settings.pacer = &pacer;
    HttpClient client(loop, receiver, server.address, settings);
    auto const startedAt = loop.now();
    // These take the link for 100 ms.
    client.send(requestOf(10'000), nullptr, false);
    BOOST_TEST(runUntil(loop, [&] { return receiver.answers == 1; }));
    BOOST_TEST((pacer.nextAt() >= startedAt + 100ms));
}

// RFC 9110 section 8.6: the length is that of the body which an answer to an unconditional request would have.
BOOST_AUTO_TEST_CASE(AnAnswerThatHasNoBodyMayNameALargeOne)
{
    EventLoop loop;
    EndlessServer server(loop, "HTTP/1.1 304 Not Modified\r\nContent-Length: 20000000\r\n\r\n", {});
    AnswerReceiver receiver;
    HttpClient client(loop, receiver, server.address, {});
    client.send(requestOf(10), nullptr, false);
    BOOST_TEST(runUntil(loop, [&] { return receiver.answers + receiver.failures == 1; }));
    BOOST_TEST(receiver.answers == 1);
}

// The memory of a body used to double as it grew: 13 MB took more than the 24 MiB for all answers, and the answer was
// given up.
BOOST_AUTO_TEST_CASE(AnAnswerThatIsReadAloneIsNotGivenUpForTheMemoryOfAll)
{
    EventLoop loop;
    AnswerBudget budget(24UL << 20);
    HttpClientSettings settings;
    settings.budget = &budget;
    constexpr std::size_t readBytes = 4UL * 1024;
    constexpr std::size_t bodyBytes = 13'000'000;
    // Doubled eleven times, these and the next read take a little more than half of the budget.
    constexpr std::size_t firstBytes = 6150 - readBytes;
    auto const head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    PiecewiseServer server(loop, { head + std::string(firstBytes, 'a'), std::string(bodyBytes - firstBytes, 'a') });
    AnswerReceiver receiver;
    HttpClient client(loop, receiver, server.address, settings);
    client.send(requestOf(10), nullptr, false);
    BOOST_TEST(runUntil(loop, [&] { return receiver.answers + receiver.failures == 1; }));
    BOOST_TEST(receiver.answers == 1);
}

// A server that ended its connection within the head of its answer must not give an answer with an empty body. Each
// answer is cut at each byte, by an orderly end and by a reset.
BOOST_AUTO_TEST_CASE(AnAnswerThatBreaksOffIsNotTakenForAWholeOne)
{
    std::string const head = "HTTP/1.1 200 OK\r\nSeal: s\r\n";
    std::string const untilEnd = head + "\r\nbody";
    EventLoop loop;
    for (auto const& whole : { head + "Content-Length: 4\r\n\r\nbody", head + "Content-Length: 0\r\n\r\n",
             head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
             "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody", untilEnd }) {
        for (std::size_t length = 0; length < whole.size(); ++length) {
            for (auto const resets : { false, true }) {
                // A body without a length ends with its connection, if that ends in order.
                if (whole == untilEnd && length >= untilEnd.find("body") && !resets)
                    continue;
                BreakingServer server(loop, whole.substr(0, length), resets);
                AnswerReceiver receiver;
                HttpClient client(loop, receiver, server.address, {});
                client.send(requestOf(10), nullptr, false);
                BOOST_TEST(runUntil(loop, [&] { return receiver.answers + receiver.failures == 1; }));
                BOOST_TEST(receiver.answers == 0, whole.substr(0, length));
            }
        }
    }
}

BOOST_FIXTURE_TEST_SUITE(EndlessAnswers, EndlessFixture)

BOOST_AUTO_TEST_CASE(BytesThatAreNoHeadAreGivenUp)
{
    ask("", "x");
    BOOST_TEST((receiver.failure == ExchangeFailure::Malformed));
}

BOOST_AUTO_TEST_CASE(AHeadWithoutEndIsGivenUp)
{
    ask("HTTP/1.1 200 OK\r\n", "Field: value\r\n");
    BOOST_TEST((receiver.failure == ExchangeFailure::Malformed));
}

BOOST_AUTO_TEST_CASE(InformationalAnswersWithoutEndAreGivenUp)
{
    ask("", "HTTP/1.1 100 Continue\r\n\r\n");
    BOOST_TEST((receiver.failure == ExchangeFailure::Malformed));
}

BOOST_AUTO_TEST_CASE(AnswersToOtherRequestsWithoutEndAreGivenUp)
{
    receiver.isForThisRequest = false;
    ask("", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    BOOST_TEST((receiver.failure == ExchangeFailure::Malformed));
}

BOOST_AUTO_TEST_CASE(ABodyWithoutLengthOrEndIsGivenUp)
{
    ask("HTTP/1.1 200 OK\r\n\r\n", "x");
    BOOST_TEST((receiver.failure == ExchangeFailure::AnswerTooLarge));
}

BOOST_AUTO_TEST_CASE(ABodyOfChunksWithoutEndIsGivenUp)
{
    // Two million chunks of eight bytes reach the usual bound, which takes seconds under ThreadSanitizer.
    settings.maxBodyBytes = 1UL << 20;
    ask("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\n01234567\r\n");
    BOOST_TEST((receiver.failure == ExchangeFailure::AnswerTooLarge));
}

BOOST_AUTO_TEST_CASE(AChunkHeaderWithoutEndIsGivenUp)
{
    ask("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8;", "x");
    BOOST_TEST((receiver.failure == ExchangeFailure::Malformed));
}

BOOST_AUTO_TEST_CASE(TrailersWithoutEndAreGivenUp)
{
    ask("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Field: value\r\n");
    BOOST_TEST((receiver.failure == ExchangeFailure::Malformed));
}

BOOST_AUTO_TEST_CASE(ABodyThatIsAnnouncedTooLargeIsGivenUpBeforeItArrives)
{
    // Nothing follows the head.
    ask("HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", {});
    BOOST_TEST((receiver.failure == ExchangeFailure::AnswerTooLarge));
}

BOOST_AUTO_TEST_SUITE_END()
