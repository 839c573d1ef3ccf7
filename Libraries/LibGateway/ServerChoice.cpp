#include <LibGateway/ServerChoice.h>

#include <algorithm>
#include <numeric>

namespace Gateway {

namespace {

    /// Number of servers compared in the own failure domain, and again in the others. Two are enough to avoid busy
    /// servers, and few enough that the entry hosts choose differently.
    constexpr std::size_t sampledPerGroup = 2;
    /// A server in another failure domain must be faster by this much to be chosen, since traffic between domains is
    /// costly.
    constexpr Core::Duration otherDomainPenalty = std::chrono::milliseconds(12);

} // namespace

std::vector<std::size_t> ServerChoice::order(std::span<ServerCandidate const> candidates, Core::Random& random)
{
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    for (std::size_t i = order.size(); i > 1; --i)
        std::swap(order[i - 1], order[random.below(i)]);
    auto const isInSameDomain = [&](std::size_t index) { return candidates[index].isInSameDomain; };
    auto const firstRemote = std::stable_partition(order.begin(), order.end(), isInSameDomain);
    auto const localCount = static_cast<std::size_t>(firstRemote - order.begin());
    // The sampled servers come first: two of the own failure domain and, moved behind them, two of the others.
    auto const sampledLocal = std::min(localCount, sampledPerGroup);
    auto const sampledRemote = std::min(order.size() - localCount, sampledPerGroup);
    auto const begin = order.begin();
    std::rotate(begin + static_cast<std::ptrdiff_t>(sampledLocal), firstRemote,
        firstRemote + static_cast<std::ptrdiff_t>(sampledRemote));
    auto const cost = [&](std::size_t index) {
        return candidates[index].expectedLatency
            + (isInSameDomain(index) ? Core::Duration::zero() : otherDomainPenalty);
    };
    std::ranges::sort(begin, begin + static_cast<std::ptrdiff_t>(sampledLocal + sampledRemote), {}, cost);
    std::stable_partition(order.begin(), order.end(), [&](std::size_t index) { return candidates[index].isPreferred; });
    std::stable_partition(order.begin(), order.end(), [&](std::size_t index) { return !candidates[index].isFailing; });
    return order;
}

} // namespace Gateway
