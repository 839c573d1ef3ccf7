#pragma once

#include <LibCore/Random.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace Policy {

/// Load of a server that can take at least one more request.
struct ServerLoad {
    std::uint32_t inFlight { 0 };
    std::uint32_t limit { 1 };
    /// Average latency relative to that of a good server of the group.
    double slowness { 1 };
    /// Requests of others that the server reported, reduced with the age of the report.
    double external { 0 };
};

/// Chooses the server for a request that any server may serve.
class ServerChoice {
public:
    virtual ~ServerChoice() = default;
    /// The server can take a request and has this load.
    virtual void update(std::size_t server, ServerLoad const&) = 0;
    /// The server can take no request.
    virtual void exclude(std::size_t server) = 0;
    virtual bool hasAvailable() const = 0;
    /// A server that can take a request and is not among `avoided`, if there is one.
    virtual std::optional<std::size_t> choose(std::span<std::size_t const> avoided, Core::Random&) = 0;
};

/// Baseline: a random server. Linear in the number of servers.
class RandomChoice final : public ServerChoice {
public:
    void update(std::size_t server, ServerLoad const&) override;
    void exclude(std::size_t server) override;
    bool hasAvailable() const override;
    std::optional<std::size_t> choose(std::span<std::size_t const> avoided, Core::Random&) override;

private:
    std::vector<bool> available_;
    std::vector<std::size_t> candidates_;
};

/// Baseline: the servers in turn.
class RoundRobinChoice final : public ServerChoice {
public:
    void update(std::size_t server, ServerLoad const&) override;
    void exclude(std::size_t server) override;
    bool hasAvailable() const override;
    std::optional<std::size_t> choose(std::span<std::size_t const> avoided, Core::Random&) override;

private:
    std::vector<bool> available_;
    std::size_t next_ { 0 };
};

} // namespace Policy
