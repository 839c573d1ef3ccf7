#pragma once

#include "../Support/TemporaryFolder.h"
#include "FakeServers.h"

#include <LibGateway/Gateway.h>

#include <boost/test/unit_test.hpp>

#include <fstream>

namespace TestGateway {

inline Core::PoolName const keyed { "keyed" };
inline Core::PoolName const unkeyed { "unkeyed" };

/// A gateway with routes to a key-divided pool (/safe/, /unsafe/) and to a pool without keys (/any/). The test adds
/// servers.
struct GatewayFixture {
    /// The link is not a bottleneck if its bandwidth is zero.
    explicit GatewayFixture(double linkBytesPerSecond = 0)
        : events(Telemetry::EventLog::open({ .file = folder.file("event.log") }, clock).value())
        , gateway(loop, *events, metrics, codec, settings(linkBytesPerSecond))
    {
        address = { "127.0.0.1", freePort() };
        BOOST_REQUIRE(gateway.listen(address));
    }

    static constexpr Core::Duration leavingGrace = 300ms;

    static Gateway::GatewaySettings settings(double linkBytesPerSecond)
    {
        Gateway::GatewaySettings result;
        result.linkBytesPerSecond = linkBytesPerSecond;
        result.name = "entry";
        result.retries = { 20, 0, 10s };
        result.leavingGrace = leavingGrace;
        return result;
    }

    static Fleet::ViewUpdate routesAndPools()
    {
        Fleet::ViewUpdate update;
        for (auto const& item : { route("safe", "/safe/", Fleet::RequestKind::Safe, keyed),
                 route("unsafe", "/unsafe/", Fleet::RequestKind::Unsafe, keyed),
                 route("any", "/any/", Fleet::RequestKind::Unsafe, unkeyed) })
            update.routes.push_back({ item.name.value, { item.version, item } });
        update.pools = { { keyed.value, { 1, pool(keyed, true) } }, { unkeyed.value, { 1, pool(unkeyed, false) } } };
        update.entryHosts = { "entry", "other" };
        return update;
    }

    std::unique_ptr<Caller> connect(std::string const& path, std::string const& id)
    {
        auto caller = std::make_unique<Caller>(loop, address);
        caller->send(request(path, id));
        return caller;
    }
    std::unique_ptr<Caller> ask(std::string const& path, std::string const& id)
    {
        auto caller = connect(path, id);
        caller->waitForAnswer();
        return caller;
    }
    /// Ends the log and returns it.
    std::string closeLog()
    {
        events.reset();
        std::ifstream file(folder.file("event.log"));
        return { std::istreambuf_iterator<char>(file), {} };
    }

    Net::EventLoop loop;
    Core::SystemClock clock;
    TemporaryFolder folder;
    std::unique_ptr<Telemetry::EventLog> events;
    Telemetry::Metrics metrics;
    TestCodec codec;
    Gateway::Gateway gateway;
    Core::Endpoint address;
};

} // namespace TestGateway
