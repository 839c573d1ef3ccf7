#pragma once

#include <LibOperator/OperatorService.h>

#include <functional>
#include <memory>

namespace Operator {

struct OperatorServerSettings {
    Core::Endpoint listen;
    std::uint32_t threads { 8 };
    std::uint64_t maxBodyBytes { 16ULL * 1024 * 1024 };
    /// Time for the leader's response to a forwarded request, on top of the time that the request itself may wait.
    Core::Duration forwardTimeout { std::chrono::seconds(5) };
    /// Called after each request, for the event log and metrics.
    std::function<void(std::string_view method, std::string_view path, int status, bool isForwarded)> onRequest;
};

struct ListenFailed {
    Core::Endpoint endpoint;
    int errorNumber { 0 };
};

/// Serves the paths of docs/operator-api.md on a listener of its own. A request that the service answers with
/// `NotLeader` is forwarded once to the leader's operator API when its address is known.
class OperatorServer {
public:
    /// `service` must outlive the server. Port 0 picks a free port.
    static Core::Result<std::unique_ptr<OperatorServer>, ListenFailed> start(
        OperatorServerSettings, OperatorService& service);
    /// Stops listening and waits for running requests.
    ~OperatorServer();

    OperatorServer(OperatorServer const&) = delete;
    OperatorServer& operator=(OperatorServer const&) = delete;

    Core::Endpoint endpoint() const;

private:
    struct Implementation;

    explicit OperatorServer(std::unique_ptr<Implementation>);

    std::unique_ptr<Implementation> implementation_;
};

} // namespace Operator
