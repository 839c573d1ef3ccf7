#include <LibGateway/ServerChoice.h>

#include <algorithm>
#include <numeric>

namespace Gateway {

namespace {

    /// Number of servers compared in the own failure domain, and again in the others. Two are enough to avoid busy
    /// servers, and few enough that the entry hosts choose differently.
    constexpr std::ptrdiff_t sampledPerGroup = 2;
    /// A server in another failure domain must be faster by this much to be chosen, since traffic between domains is
    /// costly.
    constexpr Core::Duration otherDomainPenalty = std::chrono::milliseconds(12);
    /// A server outside of the subset to which there is no connection must be faster by this much, since opening one
    /// takes a slot of the server for a moment. Also keeps a host to the servers whose load it knows.
    constexpr Core::Duration connectionPenalty = std::chrono::milliseconds(25);
    /// Such a server must also be faster by this part of the expected latency, since its load is not known.
    constexpr int unknownLoadDivisor = 4;
    /// Per place in the subset. Hosts begin at different servers, and equally loaded ones are used in this order.
    constexpr Core::Duration placePenalty = std::chrono::milliseconds(3);

} // namespace

std::vector<std::size_t> ServerChoice::order(std::span<ServerCandidate const> candidates, Core::Random& random)
{
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    for (std::size_t i = order.size(); i > 1; --i)
        std::swap(order[i - 1], order[random.below(i)]);
    auto const isInSubset = [&](std::size_t index) { return candidates[index].subsetPlace.has_value(); };
    auto const isInSameDomain = [&](std::size_t index) { return candidates[index].isInSameDomain; };
    // The compared servers come first: the subset, then two of the own failure domain and, moved behind them, two of
    // the others.
    auto const firstSampled = std::stable_partition(order.begin(), order.end(), isInSubset);
    auto const firstRemote = std::stable_partition(firstSampled, order.end(), isInSameDomain);
    auto const sampledLocal = std::min(firstRemote - firstSampled, sampledPerGroup);
    auto const sampledRemote = std::min(order.end() - firstRemote, sampledPerGroup);
    std::rotate(firstSampled + sampledLocal, firstRemote, firstRemote + sampledRemote);
    auto const cost = [&](std::size_t index) {
        auto const& candidate = candidates[index];
        auto latency = candidate.expectedLatency;
        if (!candidate.isInSameDomain)
            latency += otherDomainPenalty;
        if (candidate.needsConnection && !candidate.subsetPlace)
            latency += connectionPenalty + candidate.expectedLatency / unknownLoadDivisor;
        return latency + placePenalty * candidate.subsetPlace.value_or(0);
    };
    std::ranges::stable_sort(order.begin(), firstSampled + sampledLocal + sampledRemote, {}, cost);
    std::stable_partition(order.begin(), order.end(), [&](std::size_t index) { return candidates[index].isPreferred; });
    std::stable_partition(order.begin(), order.end(), [&](std::size_t index) { return !candidates[index].isFailing; });
    return order;
}

} // namespace Gateway
