#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Result.h>
#include <LibProxy/Server.h>
#include <LibProxy/WorkerThreads.h>

#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace Proxy {

/// Accepts connections with cpp-httplib's listener and runs each one on a worker thread.
class Listener {
public:
    /// Takes over the descriptor. `isRejected`: all threads are busy, the function must not block.
    using Serve = std::function<void(int descriptor, bool isRejected)>;

    Listener(WorkerThreads& workers, Serve serve);
    ~Listener() { close(); }

    Core::Result<Core::Endpoint, BindFailed> start(Core::Endpoint const&);
    /// Stops accepting. Connections that were accepted go on.
    void close();

private:
    class HttpServer;

    std::shared_ptr<HttpServer> bind();
    void run(std::shared_ptr<HttpServer>);

    WorkerThreads& workers_;
    Serve serve_;
    Core::Endpoint endpoint_;
    std::mutex mutex_;
    std::shared_ptr<HttpServer> server_;
    bool isClosing_ { false };
    std::thread thread_;
};

} // namespace Proxy
