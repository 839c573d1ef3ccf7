#include "../Support/Loopback.h"
#include "AllocatedBytes.h"

#include <LibNet/HttpClient.h>
#include <LibNet/HttpServer.h>

#include <boost/test/unit_test.hpp>

using namespace Test;
using TestNet::allocatedBytes;

namespace {

constexpr std::size_t largeBytes = 4UL << 20;
constexpr std::size_t connections = 6;
/// For the connections themselves, and what the test program allocates for its output.
constexpr std::size_t keptBytes = 512UL << 10;

/// Answers each request with a body of the same size.
struct LargeAnswers final : Net::HttpHandler {
    void onRequest(Net::ExchangeId id, Net::HttpRequest request) override
    {
        Net::HttpResponse response;
        response.body = std::move(request.body);
        server->respond(id, std::move(response));
    }

    Net::HttpServer* server { nullptr };
};

struct Receiver final : Net::HttpClientHandler {
    bool isExpected(Net::HttpClient&, Proxy::MessageHead const&) override { return true; }
    void onAnswer(Net::HttpClient&, Net::HttpAnswer answer) override { receivedBytes = answer.body.size(); }
    void onFailure(Net::HttpClient&, Net::ExchangeFailure) override { BOOST_FAIL("no answer"); }
    void onIdleEnd(Net::HttpClient&) override { BOOST_FAIL("the connection ended"); }

    std::size_t receivedBytes { 0 };
};

} // namespace

// Report of issue 42: assigning an empty string keeps the capacity, so that each idle connection, of callers and of
// servers, held as much memory as its largest message had taken.
BOOST_AUTO_TEST_CASE(IdleConnectionsHoldNoMemoryOfLargeMessages)
{
    Net::EventLoop loop;
    LargeAnswers handler;
    Core::Endpoint const address { "127.0.0.1", freePort() };
    auto const server = Net::HttpServer::open(loop, address, handler);
    BOOST_REQUIRE(server != nullptr);
    handler.server = server.get();
    Net::HttpLimits limits;
    limits.maxBodyBytes = largeBytes;
    server->setLimits(limits);
    auto const before = allocatedBytes();
    std::vector<Receiver> receivers(connections);
    std::vector<std::unique_ptr<Net::HttpClient>> clients;
    for (auto& receiver : receivers) {
        clients.push_back(std::make_unique<Net::HttpClient>(loop, receiver, address, Net::HttpClientSettings {}));
        auto request = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(largeBytes) + "\r\n\r\n";
        request.append(largeBytes, 'b');
        clients.back()->send(request, nullptr, false);
        BOOST_REQUIRE(runUntil(loop, [&] { return receiver.receivedBytes == largeBytes; }));
    }
    runFor(loop, 50ms);
    BOOST_TEST(server->connectionCount() == connections);
    BOOST_TEST(std::ranges::all_of(clients, [](auto const& client) { return client->isReusable(); }));
    BOOST_TEST(allocatedBytes() <= before + keptBytes);
}
