#include <LibGateway/RequestCosts.h>

#include <algorithm>
#include <bit>

namespace Gateway {

namespace {

    /// The weight of a new sample. A mean over about fifty requests follows a change of the work within seconds on a
    /// busy host, and a single slow server does not move it.
    constexpr double smoothing = 0.02;
    /// Kinds with fewer samples count as average requests.
    constexpr std::uint32_t minSamples = 5;
    constexpr double minRelativeCost = 0.1;
    constexpr double maxRelativeCost = 10;
    /// Bodies up to this size are of one class; each further class doubles the size.
    constexpr std::size_t smallBodyBytes = 16UL * 1024;
    constexpr std::size_t maxSizeClass = 8;

} // namespace

void RequestCosts::Mean::add(double value)
{
    ++samples;
    // The first samples are averaged evenly.
    milliseconds += (value - milliseconds) * std::max(smoothing, 1.0 / samples);
}

std::size_t RequestCosts::sizeClass(std::size_t bodyBytes)
{
    return std::min<std::size_t>(std::bit_width(bodyBytes / smallBodyBytes), maxSizeClass);
}

double RequestCosts::relativeCost(Kind const& kind) const
{
    auto const pool = pools_.find(kind.pool);
    if (pool == pools_.end() || pool->second.all.milliseconds <= 0)
        return 1;
    auto const found = pool->second.kinds.find({ kind.route, sizeClass(kind.bodyBytes) });
    if (found == pool->second.kinds.end() || found->second.samples < minSamples)
        return 1;
    return std::clamp(found->second.milliseconds / pool->second.all.milliseconds, minRelativeCost, maxRelativeCost);
}

Core::Duration RequestCosts::meanServiceTime(Core::PoolName const& pool) const
{
    auto const found = pools_.find(pool);
    if (found == pools_.end())
        return {};
    return std::chrono::duration_cast<Core::Duration>(
        std::chrono::duration<double, std::milli>(found->second.all.milliseconds));
}

void RequestCosts::record(Kind const& kind, Core::Duration serviceTime)
{
    auto const milliseconds = std::chrono::duration<double, std::milli>(serviceTime).count();
    auto& pool = pools_[kind.pool];
    pool.all.add(milliseconds);
    pool.kinds[{ kind.route, sizeClass(kind.bodyBytes) }].add(milliseconds);
}

} // namespace Gateway
