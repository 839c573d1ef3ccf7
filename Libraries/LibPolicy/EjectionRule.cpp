#include <LibPolicy/EjectionRule.h>

#include <algorithm>

namespace Policy {

namespace {
    // Servers with fewer samples are not ejected, because their slowness may be due to chance.
    constexpr std::uint32_t minSamples = 4;
    // No server is ejected from smaller groups: the median of two servers does not show which one is slow.
    constexpr std::size_t minServers = 3;
} // namespace

StragglerEjection::StragglerEjection(EjectionSettings const& settings)
    : settings_(settings)
{
}

std::vector<std::size_t> StragglerEjection::evaluate(std::span<ServerHealth const> servers)
{
    if (servers.size() < minServers)
        return {};
    auto const cap
        = std::max<std::size_t>(static_cast<std::size_t>(settings_.maxShare * static_cast<double>(servers.size())), 1);
    auto const ejected = static_cast<std::size_t>(std::ranges::count_if(servers, &ServerHealth::ejected));
    if (ejected >= cap)
        return {};
    std::vector<ServerHealth> active;
    std::ranges::copy_if(servers, std::back_inserter(active),
        [](ServerHealth const& server) { return !server.ejected && server.samples >= minSamples; });
    if (active.size() < minServers)
        return {};
    std::ranges::sort(active, std::greater {}, &ServerHealth::slowness);
    auto const median = active[active.size() / 2].slowness;
    std::vector<std::size_t> result;
    for (auto const& server : active) {
        if (ejected + result.size() >= cap || server.slowness <= settings_.stragglerRatio * median)
            break;
        result.push_back(server.server);
    }
    return result;
}

} // namespace Policy
