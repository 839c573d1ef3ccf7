#pragma once

#include <LibCore/Random.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace Policy {

/// Load of a server that has capacity for at least one more request.
struct ServerLoad {
    std::uint32_t inFlight { 0 };
    std::uint32_t limit { 1 };
    /// Average latency relative to the lower quartile of the servers of the group.
    double slowness { 1 };
    /// Requests in flight that the server reported and this dispatcher did not grant, reduced with the age of the
    /// report.
    double externalInFlight { 0 };
};

/// Chooses the server for a request that any server may serve.
class ServerChoice {
public:
    virtual ~ServerChoice() = default;
    /// Marks the server as available with this load.
    virtual void update(std::size_t server, ServerLoad const&) = 0;
    /// Marks the server as unavailable: it has no capacity for another request.
    virtual void exclude(std::size_t server) = 0;
    virtual bool hasAvailable() const = 0;
    /// Chooses an available server that is not among `avoided`; empty when there is none.
    virtual std::optional<std::size_t> choose(std::span<std::size_t const> avoided, Core::Random&) = 0;
};

/// Baseline: chooses a random available server. Linear in the number of servers.
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

/// Baseline: chooses the available servers in round-robin order.
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
