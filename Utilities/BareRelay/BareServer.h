#pragma once

#include <LibCore/Identifiers.h>

#include <httplib.h>

namespace Relay {

/// A relay with cpp-httplib's server and client and no decision: each connection of a caller has one kept-alive
/// connection to one of the backend servers. Bodies are buffered.
class BareServer {
public:
    BareServer(std::vector<Core::Endpoint> backends, std::uint32_t threads);

    /// Serves until the process ends. Calls `onBound` with the port. False when the port cannot be bound.
    bool serve(Core::Endpoint const&, std::function<void(int port)> const& onBound);

private:
    void forward(httplib::Request const&, httplib::Response&);

    std::vector<Core::Endpoint> backends_;
    std::atomic<std::size_t> next_ { 0 };
    httplib::Server server_;
};

} // namespace Relay
