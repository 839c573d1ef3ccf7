#pragma once

#include <LibPolicy/DispatchSettings.h>

#include <span>
#include <vector>

namespace Policy {

/// State of one server in service, the input of an ejection rule.
struct ServerHealth {
    std::size_t server { 0 };
    bool ejected { false };
    /// Moving average of the latency relative to the typical latency of the routes.
    double slowness { 1 };
    /// Number of latency samples since the server was added or reinstated.
    std::uint32_t samples { 0 };
};

/// Selects the stragglers that are to be ejected, so that they get no work for a limited time.
class EjectionRule {
public:
    virtual ~EjectionRule() = default;
    /// Returns the indexes of the servers to eject now. The argument lists all servers in service.
    virtual std::vector<std::size_t> evaluate(std::span<ServerHealth const>) = 0;
};

/// Baseline: never ejects a server.
class NoEjection final : public EjectionRule {
public:
    std::vector<std::size_t> evaluate(std::span<ServerHealth const>) override { return {}; }
};

/// Ejects servers much slower than the median server, the slowest first, up to a share of all servers.
class StragglerEjection final : public EjectionRule {
public:
    explicit StragglerEjection(EjectionSettings const&);

    std::vector<std::size_t> evaluate(std::span<ServerHealth const>) override;

private:
    EjectionSettings settings_;
};

} // namespace Policy
