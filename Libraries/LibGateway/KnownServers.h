#pragma once

#include <LibGateway/ServerBackpressure.h>
#include <LibGateway/ServerLoad.h>

#include <deque>
#include <map>

namespace Gateway {

/// What this entry host knows of one backend server process, from its own requests and answers.
struct KnownServer {
    explicit KnownServer(Fleet::ServerRecord const& server)
        : record(server)
        , load(server.slots)
    {
    }

    /// The latest registration of the process.
    Fleet::ServerRecord record;
    /// Whether the view has that registration.
    bool isInView { true };
    ServerLoad load;
    /// What the server has asked for; empty if nothing.
    std::optional<ServerBackpressure> backpressure;
    /// Limits the requests while the server is cold.
    std::optional<SendShareLimiter> coldStart;
};

/// The backend servers that this entry host has used, by process and not by registration.
///
/// A server whose heartbeats do not reach the control hosts is removed from the view while it runs on, and is
/// registered under another number when they do again. What it asked of its callers holds all the time. Processes are
/// therefore remembered for a while after they have left the view.
class KnownServers {
public:
    /// The server with this record, which is remembered from now on.
    KnownServer& at(Fleet::ServerRecord const&);
    /// The server with this process number, also if it has left the view. Null if nothing is known of it.
    KnownServer* find(Fleet::ServerNumber process);
    /// Takes over a record of the view, if the process is known. Returns the server if it has returned to the view; its
    /// load has to be measured anew then.
    KnownServer* onRecord(Fleet::ServerRecord const&);
    /// The registration with this number has left the view. Forgets the processes that left it long ago.
    void onRemoved(Fleet::ServerNumber, Core::TimePoint now);
    /// Calls the function with each server of the view of which anything is known.
    template <typename Function> void forEachInView(Function const& function)
    {
        for (auto& [process, server] : servers_) {
            if (server.isInView)
                function(server);
        }
    }

private:
    struct Removal {
        Fleet::ServerNumber process { 0 };
        Core::TimePoint at;
    };

    void forget(Core::TimePoint now);

    std::map<Fleet::ServerNumber, KnownServer> servers_;
    /// The processes by number of their latest registration.
    std::map<Fleet::ServerNumber, Fleet::ServerNumber> processes_;
    /// The removals from the view, the oldest first.
    std::deque<Removal> removals_;
};

} // namespace Gateway
