#include <LibFleet/OverloadShares.h>

#include <algorithm>
#include <numeric>

namespace Fleet {

namespace {

    /// The multiple of the capacity above which demand counts as overload. A lower limit rejected requests that could
    /// be served: the measured service times include the transfer time on the links of the entry hosts, and the load of
    /// a server is known only to within a third.
    constexpr double overloadLimit = 3.0;
    /// The admitted load as a multiple of the measured capacity, so that the slots stay busy: the real capacity is up
    /// to twice the value that is measured through saturated links.
    constexpr double admittedMargin = 2.0;
    /// The minimum admitted fraction of every range, so that the end of the overload is noticed.
    constexpr double minFraction = 0.01;

    /// Returns the max-min fair share: the limit on the load of each range at which the total equals the capacity.
    double fairShare(std::vector<double> loads, double capacity)
    {
        std::ranges::sort(loads);
        auto left = capacity;
        for (std::size_t i = 0; i < loads.size(); ++i) {
            auto const even = left / static_cast<double>(loads.size() - i);
            if (loads[i] >= even)
                return even;
            left -= loads[i];
        }
        return loads.empty() ? 0 : loads.back();
    }

} // namespace

std::vector<double> OverloadShares::admittedFractions(std::span<double const> loads, double capacity)
{
    std::vector<double> fractions(loads.size(), 1.0);
    auto const demand = std::accumulate(loads.begin(), loads.end(), 0.0);
    if (demand <= capacity * overloadLimit)
        return fractions;
    auto const share = fairShare({ loads.begin(), loads.end() }, capacity * admittedMargin);
    std::ranges::transform(loads, fractions.begin(),
        [share](double load) { return load <= share ? 1.0 : std::max(share / load, minFraction); });
    return fractions;
}

} // namespace Fleet
