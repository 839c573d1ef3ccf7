#include <LibProxy/Listener.h>

#include <httplib.h>

namespace Proxy {

namespace {

    /// cpp-httplib listens with a backlog of 5, which a burst of new connections overflows.
    constexpr int listenBacklog = 4096;
    /// Pause before the listener is bound again after an unexpected error of accept.
    constexpr auto rebindPause = std::chrono::milliseconds(100);

    /// Set while the accepting thread runs a job itself because all workers are busy.
    thread_local bool isRejecting = false;

    class JobQueue final : public httplib::TaskQueue {
    public:
        explicit JobQueue(WorkerThreads& workers)
            : workers_(workers)
        {
        }

        void enqueue(std::function<void()> job) override
        {
            if (workers_.tryRun(job))
                return;
            isRejecting = true;
            job();
            isRejecting = false;
        }

        /// The workers outlive the listener: a drain closes the listener first.
        void shutdown() override { }

    private:
        WorkerThreads& workers_;
    };

} // namespace

class Listener::HttpServer final : public httplib::Server {
public:
    explicit HttpServer(Serve const& serve)
        : serve_(serve)
    {
    }

private:
    bool process_and_close_socket(socket_t descriptor) override
    {
        serve_(descriptor, isRejecting);
        return true;
    }

    Serve const& serve_;
};

Listener::Listener(WorkerThreads& workers, Serve serve)
    : workers_(workers)
    , serve_(std::move(serve))
{
}

Core::Result<Core::Endpoint, BindFailed> Listener::start(Core::Endpoint const& endpoint)
{
    endpoint_ = endpoint;
    auto server = bind();
    if (!server)
        return BindFailed { endpoint };
    server_ = server;
    thread_ = std::thread([this, server] { run(server); });
    // HttpServer::stop has no effect before the accept loop runs.
    while (!server->is_running())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return endpoint_;
}

std::shared_ptr<Listener::HttpServer> Listener::bind()
{
    auto server = std::make_shared<HttpServer>(serve_);
    int descriptor = -1;
    server->new_task_queue = [this] { return new JobQueue(workers_); };
    server->set_tcp_nodelay(true);
    // Replaces the default callback, which would set SO_REUSEPORT and so let two processes share the port.
    server->set_socket_options([&descriptor](socket_t socket) {
        int const on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        descriptor = socket;
    });
    auto const port = endpoint_.port == 0                         ? server->bind_to_any_port(endpoint_.address)
        : server->bind_to_port(endpoint_.address, endpoint_.port) ? endpoint_.port
                                                                  : -1;
    if (port <= 0 || ::listen(descriptor, listenBacklog) != 0)
        return nullptr;
    endpoint_.port = static_cast<std::uint16_t>(port);
    server->set_socket_options([](socket_t) {});
    return server;
}

void Listener::run(std::shared_ptr<HttpServer> server)
{
    while (true) {
        if (server)
            server->listen_after_bind();
        {
            std::scoped_lock const lock(mutex_);
            if (isClosing_)
                return;
            // cpp-httplib ends its accept loop on errors that concern one connection only, such as ECONNABORTED.
            server = server_ = nullptr;
            server = server_ = bind();
        }
        if (!server)
            std::this_thread::sleep_for(rebindPause);
    }
}

void Listener::close()
{
    std::shared_ptr<HttpServer> server;
    {
        std::scoped_lock const lock(mutex_);
        isClosing_ = true;
        server = server_;
    }
    if (!thread_.joinable())
        return;
    // A listener that was bound again a moment ago ignores stop until its accept loop runs.
    while (server && !server->is_running())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    if (server)
        server->stop();
    thread_.join();
}

} // namespace Proxy
