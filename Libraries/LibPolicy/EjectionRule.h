#pragma once

#include <LibPolicy/DispatchSettings.h>

#include <span>
#include <vector>

namespace Policy {

/// What the ejection rule looks at.
struct ServerHealth {
    std::size_t server { 0 };
    bool ejected { false };
    /// Average latency relative to the typical latency of the routes.
    double slowness { 1 };
    /// Samples since the server was added or reinstated.
    std::uint32_t samples { 0 };
};

/// Decides which servers get no work for a while because they are stragglers.
class EjectionRule {
public:
    virtual ~EjectionRule() = default;
    /// The servers to eject now, out of all servers in service.
    virtual std::vector<std::size_t> evaluate(std::span<ServerHealth const>) = 0;
};

/// Baseline: keeps all servers.
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
