#include <LibGateway/ServerSubset.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace Gateway {

namespace {

    /// Servers differ in speed, and one of five may be slow for a moment, so a host needs some to choose from.
    constexpr std::size_t minServers = 3;

} // namespace

std::vector<Fleet::ServerNumber> ServerSubset::choose(
    std::span<Fleet::ServerRecord const* const> servers, EntryHostShare const& host, Core::FailureDomain const& domain)
{
    if (!host.rank || servers.empty())
        return {};
    std::set<Core::FailureDomain> domains;
    std::vector<Fleet::ServerNumber> near;
    std::vector<Fleet::ServerNumber> all;
    for (auto const* const server : servers) {
        domains.insert(server->domain);
        all.push_back(server->number);
        if (server->domain == domain)
            near.push_back(server->number);
    }
    auto const isNear = near.size() >= minServers;
    auto& candidates = isNear ? near : all;
    std::ranges::sort(candidates);
    // The domains of other hosts are not known. Whether their names are sorted by domain or not, the hosts of one
    // domain are spread over the whole list by this.
    auto const parts = isNear ? static_cast<double>(domains.size()) : 1.0;
    auto const turns = static_cast<double>(*host.rank) * parts / std::max(host.entryHosts, 1U);
    auto const position = turns - std::floor(turns);
    auto const hostsHere = std::max(static_cast<double>(host.entryHosts) / parts, 1.0);
    auto const even = static_cast<std::size_t>(std::ceil(static_cast<double>(candidates.size()) / hostsHere));
    auto const count = std::min(std::max(even, minServers), candidates.size());
    auto const begin = static_cast<std::size_t>(position * static_cast<double>(candidates.size()));
    std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(begin % candidates.size()),
        candidates.end());
    candidates.resize(count);
    return candidates;
}

} // namespace Gateway
