#include <LibOperator/HttpExchange.h>
#include <LibOperator/OperatorPaths.h>

#include <httplib.h>

namespace Operator {

namespace {

    constexpr std::size_t maxResponseBytes = 64ULL * 1024 * 1024;

    bool isBeforeSending(httplib::Error error)
    {
        return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
            || error == httplib::Error::BindIPAddress;
    }

} // namespace

Core::Result<HttpResponse, ExchangeFailed> exchange(HttpRequest const& request, HttpTimeouts const& timeouts)
{
    httplib::Client client(request.endpoint.address, request.endpoint.port);
    client.set_connection_timeout(std::chrono::duration_cast<std::chrono::microseconds>(timeouts.connect));
    client.set_read_timeout(std::chrono::duration_cast<std::chrono::microseconds>(timeouts.response));
    client.set_write_timeout(std::chrono::duration_cast<std::chrono::microseconds>(timeouts.response));
    client.set_keep_alive(false);
    client.set_tcp_nodelay(true);
    client.set_url_encode(false);

    auto const deadline = Core::BootClock::now() + timeouts.connect + timeouts.response;
    std::string body;
    httplib::Request sent;
    sent.method = request.method;
    sent.path = request.target;
    if (request.method == "POST") {
        sent.body = request.body;
        sent.set_header("Content-Type", jsonContentType);
    }
    if (request.isForwarded)
        sent.set_header(forwardedHeader, "1");
    // The read timeout of the library bounds each read; this bounds the response as a whole.
    sent.content_receiver = [&](char const* data, std::size_t bytes, std::uint64_t, std::uint64_t) {
        body.append(data, bytes);
        return body.size() <= maxResponseBytes && Core::BootClock::now() < deadline;
    };
    httplib::Response response;
    auto error = httplib::Error::Success;
    if (!client.send(sent, response, error))
        return ExchangeFailed { !isBeforeSending(error) };
    return HttpResponse { response.status, std::move(body) };
}

} // namespace Operator
