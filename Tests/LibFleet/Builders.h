#pragma once

#include <LibFleet/Coordinator.h>

/// Functions that build test data.
namespace TestFleet {

using namespace std::chrono_literals;

inline Core::PoolName const lettersPool { "letters" };

inline Fleet::PoolItem makePool(std::uint64_t version = 1)
{
    Fleet::PoolItem pool;
    pool.name = lettersPool;
    pool.version = version;
    pool.isKeyDivided = true;
    pool.warmupMs = 3000;
    pool.warmupPerSecond = 10;
    pool.document = "{}";
    return pool;
}

inline Fleet::RouteItem makeRoute(std::string const& name, std::uint64_t version, std::string const& prefix = "/a/")
{
    Fleet::RouteItem route;
    route.name = { name };
    route.version = version;
    route.host = "host.example";
    route.prefix = prefix;
    route.timeoutMs = 1000;
    route.maxAttempts = 2;
    route.shares = { { lettersPool, 1 } };
    route.document = "{\"Version\":" + std::to_string(version) + "}";
    return route;
}

inline Fleet::ServerRecord makeServer(int index, std::int64_t bornMs = 1000)
{
    Fleet::ServerRecord server;
    server.name = { "server-" + std::to_string(index) + "-" + std::to_string(bornMs) };
    server.address = { "10.0.0." + std::to_string(index), 80 };
    server.pool = lettersPool;
    server.domain = { index % 2 == 0 ? "even" : "odd" };
    server.softwareVersion = "v1";
    server.slots = 4;
    server.bornMs = bornMs;
    return server;
}

inline Fleet::Command configure()
{
    Fleet::Command command;
    command.items.emplace();
    command.items->pools.push_back(makePool());
    command.items->routes.push_back(makeRoute("route", 1));
    return command;
}

} // namespace TestFleet
