#pragma once

#include <LibConfig/DaemonSettings.h>
#include <LibRpc/Connections.h>

#include <optional>

namespace Daemon {

/// Finds the control leader among the control peers. Used only on the loop's thread.
class LeaderLink {
public:
    LeaderLink(std::vector<Config::ControlPeer> const& peers, Rpc::Connections& connections)
        : peers_(peers)
        , connections_(connections)
    {
    }

    /// The control host that is believed to lead.
    Core::Endpoint const& endpoint() const { return peers_[current_].rpc; }
    Rpc::Wire::Host::Client host() { return connections_.host(endpoint()); }

    /// The host answered that it does not lead. Follows its hint, or goes on to the next host.
    void follow(Core::Endpoint const& from, Core::HostName const& hint);
    /// The host could not be reached or did not answer in time.
    void fail(Core::Endpoint const& from);

private:
    std::vector<Config::ControlPeer> const& peers_;
    Rpc::Connections& connections_;
    std::size_t current_ { 0 };
};

} // namespace Daemon
