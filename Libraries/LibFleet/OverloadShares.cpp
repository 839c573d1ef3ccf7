#include <LibFleet/OverloadShares.h>

#include <algorithm>
#include <numeric>

namespace Fleet {

namespace {

    /// Demand above this multiple of the capacity is overload. A lower limit refused requests that were served before:
    /// the measured service times contain the time on the links of the entry hosts, and the load of a server is known
    /// to a third.
    constexpr double overloadLimit = 3.0;
    /// Admitted in relation to the measured capacity, so that the slots stay busy: it is up to twice as much as was
    /// measured through full links.
    constexpr double admittedMargin = 2.0;
    /// Some requests of every range are admitted, to see when the load has gone.
    constexpr double minPart = 0.01;

    /// The load that no range may exceed so that all together fill the capacity.
    double fillLevel(std::vector<double> loads, double capacity)
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

std::vector<double> OverloadShares::admittedParts(std::span<double const> loads, double capacity)
{
    std::vector<double> parts(loads.size(), 1.0);
    auto const demand = std::accumulate(loads.begin(), loads.end(), 0.0);
    if (demand <= capacity * overloadLimit)
        return parts;
    auto const level = fillLevel({ loads.begin(), loads.end() }, capacity * admittedMargin);
    std::ranges::transform(
        loads, parts.begin(), [level](double load) { return load <= level ? 1.0 : std::max(level / load, minPart); });
    return parts;
}

} // namespace Fleet
