#include <LibRpc/Listener.h>

#include <capnp/rpc-twoparty.h>

namespace Rpc {

struct Listener::Implementation {
    explicit Implementation(Wire::Host::Client host)
        : server(kj::mv(host))
    {
    }

    capnp::TwoPartyServer server;
    kj::Own<kj::ConnectionReceiver> receiver;
    kj::Promise<void> serving { kj::READY_NOW };
};

Listener::Listener(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation))
{
}

Listener::~Listener() = default;

Core::Result<std::unique_ptr<Listener>, ListenFailed> Listener::open(
    EventLoop& loop, Core::Endpoint const& endpoint, Wire::Host::Client host)
{
    auto implementation = std::make_unique<Implementation>(kj::mv(host));
    auto const failure = kj::runCatchingExceptions([&] {
        auto address = loop.network().parseAddress(endpoint.toString()).wait(loop.waitScope());
        implementation->receiver = address->listen();
    });
    if (failure != nullptr)
        return ListenFailed { endpoint };
    implementation->serving = implementation->server.listen(*implementation->receiver).eagerlyEvaluate(nullptr);
    return std::unique_ptr<Listener>(new Listener(std::move(implementation)));
}

} // namespace Rpc
