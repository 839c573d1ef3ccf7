#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Result.h>
#include <LibRpc/EventLoop.h>
#include <LibRpc/Rpc.capnp.h>

#include <memory>

namespace Rpc {

/// The address is in use, not local, or not permitted.
struct ListenFailed {
    Core::Endpoint endpoint;
};

/// Accepts connections of other processes and serves the given host interface on each.
class Listener {
public:
    static Core::Result<std::unique_ptr<Listener>, ListenFailed> open(
        EventLoop&, Core::Endpoint const&, Wire::Host::Client);
    ~Listener();
    KJ_DISALLOW_COPY(Listener);

private:
    struct Implementation;

    explicit Listener(std::unique_ptr<Implementation>);

    std::unique_ptr<Implementation> implementation_;
};

} // namespace Rpc
