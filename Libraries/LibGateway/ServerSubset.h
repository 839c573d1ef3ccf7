#pragma once

#include <LibFleet/View.h>
#include <LibGateway/ServerBackpressure.h>

#include <span>
#include <vector>

namespace Gateway {

/// Chooses the servers of a pool without keys that one entry host uses first.
///
/// Handles fleets in which every host meets every server: a host that sends to a server once a minute knows nothing of
/// its load, opens a connection for each request, and meets full servers beside idle ones. If few hosts use a server,
/// their own counts and the reports in their answers say how busy it is. The hosts begin at evenly spaced positions of
/// the list of servers, so that a host or a server that is lost moves the others by one place at most.
class ServerSubset {
public:
    /// Returns the numbers of the servers in the order in which the host prefers them while they are equally loaded.
    /// `servers` are those of one pool. Servers in the failure domain of the host are taken if there are enough.
    static std::vector<Fleet::ServerNumber> choose(
        std::span<Fleet::ServerRecord const* const> servers, EntryHostShare const&, Core::FailureDomain const&);
};

} // namespace Gateway
