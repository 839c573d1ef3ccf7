#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Result.h>

#include <functional>
#include <memory>
#include <string>

namespace Daemon {

struct AdminSources {
    /// Whether the platform's load balancer may send new requests here.
    std::function<bool()> isReady;
    /// Prometheus text format.
    std::function<std::string()> metrics;
};

struct AdminListenFailed {
    Core::Endpoint endpoint;
};

/// `/healthz`, `/readyz` and `/metrics` for the platform, on a listener of their own.
class AdminServer {
public:
    static Core::Result<std::unique_ptr<AdminServer>, AdminListenFailed> start(
        Core::Endpoint const&, std::uint32_t threads, AdminSources);
    ~AdminServer();
    AdminServer(AdminServer const&) = delete;
    AdminServer& operator=(AdminServer const&) = delete;

private:
    struct Implementation;

    explicit AdminServer(std::unique_ptr<Implementation>);

    std::unique_ptr<Implementation> implementation_;
};

} // namespace Daemon
