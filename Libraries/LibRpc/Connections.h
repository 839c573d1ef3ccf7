#pragma once

#include <LibCore/Identifiers.h>
#include <LibRpc/EventLoop.h>
#include <LibRpc/Rpc.capnp.h>

#include <map>
#include <memory>

namespace Rpc {

/// Outgoing connections to other processes, one for each endpoint, made on first use. Used only on the loop's thread.
class Connections {
public:
    explicit Connections(EventLoop& loop)
        : loop_(loop)
    {
    }
    KJ_DISALLOW_COPY(Connections);
    ~Connections();

    /// The remote process. Calls wait until the connection is made and fail when it cannot be.
    Wire::Host::Client host(Core::Endpoint const&);
    /// Closes the connection, so that the next call makes a new one. For calls that failed or were not answered in
    /// time: an open connection can stop delivering data without any error.
    void drop(Core::Endpoint const&);

private:
    struct Connection;

    EventLoop& loop_;
    std::map<Core::Endpoint, std::shared_ptr<Connection>> connections_;
};

/// Fails a promise with an exception of type DISCONNECTED when it takes longer than the limit.
template <typename T> kj::Promise<T> withTimeout(EventLoop& loop, Core::Duration limit, kj::Promise<T> promise)
{
    return loop.timer().timeoutAfter(limit.count() * kj::NANOSECONDS, kj::mv(promise));
}

} // namespace Rpc
