#include <LibRpc/Connections.h>

#include <capnp/rpc-twoparty.h>

namespace Rpc {

namespace {

    /// A host that does not answer within this time counts as unreachable.
    constexpr auto connectTimeout = 500 * kj::MILLISECONDS;

} // namespace

struct Connections::Connection {
    kj::Own<kj::AsyncIoStream> stream;
    kj::Maybe<capnp::TwoPartyClient> rpc;
    kj::Maybe<Wire::Host::Client> host;
};

Connections::~Connections() = default;

Wire::Host::Client Connections::host(Core::Endpoint const& endpoint)
{
    auto const found = connections_.find(endpoint);
    if (found != connections_.end()) {
        KJ_IF_MAYBE (host, found->second->host)
            return *host;
    }
    auto connection = std::make_shared<Connection>();
    auto connecting = loop_.network().parseAddress(endpoint.toString()).then([](kj::Own<kj::NetworkAddress>&& address) {
        auto promise = address->connect();
        return promise.attach(kj::mv(address));
    });
    auto client = loop_.timer()
                      .timeoutAfter(connectTimeout, kj::mv(connecting))
                      .then([connection](kj::Own<kj::AsyncIoStream>&& stream) {
                          connection->stream = kj::mv(stream);
                          auto& rpc = connection->rpc.emplace(*connection->stream);
                          return rpc.bootstrap().castAs<Wire::Host>();
                      });
    Wire::Host::Client host(kj::mv(client));
    connection->host = host;
    connections_[endpoint] = std::move(connection);
    return host;
}

void Connections::drop(Core::Endpoint const& endpoint) { connections_.erase(endpoint); }

} // namespace Rpc
