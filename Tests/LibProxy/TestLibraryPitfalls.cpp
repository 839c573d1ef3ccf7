#include "Fixtures.h"

#include <boost/test/unit_test.hpp>
#include <httplib.h>

using namespace Test;

// Behaviour of the packaged cpp-httplib that the data path avoids. A failure here means that the library changed and
// the reasons in HttpMessage.h and Listener.cpp should be looked at again; it is no fault of the router.
BOOST_AUTO_TEST_SUITE(LibraryPitfalls)

namespace {

class LibraryServer {
public:
    LibraryServer()
    {
        server_.Get("/", [](auto const& request, auto& response) {
            response.set_content(request.get_header_value("X-Value"), "text/plain");
        });
        server_.Post(
            "/", [](auto const& request, auto& response) { response.set_content(request.body, "text/plain"); });
        endpoint_ = { "127.0.0.1", static_cast<std::uint16_t>(server_.bind_to_any_port("127.0.0.1")) };
        thread_ = std::thread([this] { server_.listen_after_bind(); });
        eventually([this] { return server_.is_running(); });
    }

    ~LibraryServer()
    {
        server_.stop();
        thread_.join();
    }

    LibraryServer(LibraryServer const&) = delete;
    LibraryServer& operator=(LibraryServer const&) = delete;

    std::string request(std::string_view text) const
    {
        auto socket = Proxy::connectTo(endpoint_, Core::BootClock::now() + 5s);
        if (socket.isError())
            return {};
        Peer peer(std::move(socket).value());
        peer.send(text);
        return peer.readMessage();
    }

private:
    httplib::Server server_;
    Core::Endpoint endpoint_;
    std::thread thread_;
};

} // namespace

BOOST_AUTO_TEST_CASE(HeaderValuesArePercentDecoded)
{
    LibraryServer const server;
    auto const response = server.request("GET / HTTP/1.1\r\nHost: h\r\nX-Value: a%0d%0aX: b%41\r\n\r\n");
    BOOST_TEST(bodyOf(response) == "a\r\nX: bA");
}

BOOST_AUTO_TEST_CASE(AmbiguousFramingIsAccepted)
{
    LibraryServer const server;
    auto const response = server.request(
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
    BOOST_TEST(statusOf(response) == "200");
}

BOOST_AUTO_TEST_CASE(ConnectionsEndAfterFiveRequestsByDefault)
{
    LibraryServer const server;
    std::string five;
    for (int i = 0; i < 5; ++i)
        five += "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    BOOST_TEST(server.request(five).find("max=5") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
