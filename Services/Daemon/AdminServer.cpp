#include "AdminServer.h"

#include <httplib.h>

#include <thread>

namespace Daemon {

struct AdminServer::Implementation {
    httplib::Server server;
    AdminSources sources;
    std::thread thread;
};

AdminServer::AdminServer(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation))
{
}

AdminServer::~AdminServer()
{
    implementation_->server.stop();
    implementation_->thread.join();
}

Core::Result<std::unique_ptr<AdminServer>, AdminListenFailed> AdminServer::start(
    Core::Endpoint const& endpoint, std::uint32_t threads, AdminSources sources)
{
    auto implementation = std::make_unique<Implementation>();
    auto& server = implementation->server;
    implementation->sources = std::move(sources);
    auto const& source = implementation->sources;
    server.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    // The callback replaces the default one, which allows two processes on one port.
    server.set_socket_options([](socket_t socket) {
        int const yes = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    });
    server.set_tcp_nodelay(true);
    server.Get("/healthz",
        [](httplib::Request const&, httplib::Response& response) { response.set_content("ok\n", "text/plain"); });
    server.Get("/readyz", [&source](httplib::Request const&, httplib::Response& response) {
        auto const isReady = source.isReady();
        response.status = isReady ? 200 : 503;
        response.set_content(isReady ? "ready\n" : "not ready\n", "text/plain");
    });
    server.Get("/metrics", [&source](httplib::Request const&, httplib::Response& response) {
        response.set_content(source.metrics(), "text/plain; version=0.0.4; charset=utf-8");
    });
    if (!server.bind_to_port(endpoint.address, endpoint.port))
        return AdminListenFailed { endpoint };
    implementation->thread = std::thread([&server] { server.listen_after_bind(); });
    // Stopping a server that does not run yet has no effect, so wait until it does.
    while (!server.is_running())
        std::this_thread::yield();
    return std::unique_ptr<AdminServer>(new AdminServer(std::move(implementation)));
}

} // namespace Daemon
