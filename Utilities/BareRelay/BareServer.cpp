#include "BareServer.h"

#include <array>
#include <memory>

namespace Relay {

namespace {

    constexpr int listenBacklog = 4096;
    constexpr std::size_t keepAliveRequests = 1'000'000'000;
    constexpr int keepAliveSeconds = 60;
    /// Fields that cpp-httplib sets itself on the way on.
    constexpr std::array skippedFields { "REMOTE_ADDR", "REMOTE_PORT", "LOCAL_ADDR", "LOCAL_PORT", "Content-Length",
        "Connection", "Keep-Alive", "Transfer-Encoding" };

    httplib::Headers forwardedFields(httplib::Headers fields)
    {
        for (auto const* name : skippedFields)
            fields.erase(name);
        return fields;
    }

} // namespace

BareServer::BareServer(std::vector<Core::Endpoint> backends, std::uint32_t threads)
    : backends_(std::move(backends))
{
    server_.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    server_.set_tcp_nodelay(true);
    server_.set_keep_alive_max_count(keepAliveRequests);
    server_.set_keep_alive_timeout(keepAliveSeconds);
    auto const handler = [this](auto const& request, auto& response) { forward(request, response); };
    server_.Get(".*", handler);
    server_.Post(".*", handler);
    server_.Put(".*", handler);
}

bool BareServer::serve(Core::Endpoint const& endpoint, std::function<void(int port)> const& onBound)
{
    int descriptor = -1;
    server_.set_socket_options([&descriptor](socket_t socket) {
        int const on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        descriptor = socket;
    });
    auto const port = endpoint.port == 0                        ? server_.bind_to_any_port(endpoint.address)
        : server_.bind_to_port(endpoint.address, endpoint.port) ? endpoint.port
                                                                : -1;
    if (port <= 0 || ::listen(descriptor, listenBacklog) != 0)
        return false;
    onBound(port);
    return server_.listen_after_bind();
}

void BareServer::forward(httplib::Request const& request, httplib::Response& response)
{
    thread_local std::unique_ptr<httplib::Client> client;
    if (!client) {
        auto const& backend = backends_[next_++ % backends_.size()];
        client = std::make_unique<httplib::Client>(backend.address, backend.port);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_decompress(false);
    }
    httplib::Request forwarded;
    forwarded.method = request.method;
    forwarded.path = request.target;
    forwarded.headers = forwardedFields(request.headers);
    forwarded.body = request.body;
    auto const result = client->send(forwarded);
    if (!result) {
        response.status = 502;
        return;
    }
    response.status = result->status;
    response.headers = forwardedFields(result->headers);
    response.body = result->body;
}

} // namespace Relay
