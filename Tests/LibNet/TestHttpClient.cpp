#include "../Support/Loopback.h"

#include <LibNet/HttpClient.h>

#include <boost/test/unit_test.hpp>

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

class AnswerReceiver final : public HttpClientHandler {
public:
    bool isExpected(HttpClient&, Proxy::MessageHead const&) override { return true; }
    void onAnswer(HttpClient& client, HttpAnswer) override
    {
        ++answers;
        isReusable = client.isReusable();
    }
    void onFailure(HttpClient&, ExchangeFailure) override { ++failures; }
    void onIdleEnd(HttpClient&) override { }

    int answers { 0 };
    int failures { 0 };
    bool isReusable { false };
};

std::string requestOf(std::size_t bodyBytes)
{
    return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
        + std::string(bodyBytes, 'b');
}

} // namespace

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
    client.send(request, false);
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
    // Bodies of other connections have taken the link for the next 8 ms.
    pacer.take(loop.now(), 100'000);
    HttpClientSettings settings;
    settings.pacer = &pacer;
    HttpClient client(loop, receiver, server.address, settings);
    auto const small = requestOf(100);
    client.send(small, false);
    BOOST_TEST(runUntil(loop, [&] { return receiver.answers == 1; }));
    BOOST_TEST(receiver.isReusable);
    BOOST_TEST(server.received == small.size());
    BOOST_TEST(receiver.failures == 0);
}
