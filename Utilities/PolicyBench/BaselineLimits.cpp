#include "BaselineLimits.h"

#include <algorithm>
#include <numeric>

namespace PolicyBench {

namespace {
    // Part of the demand of the last round that still counts.
    constexpr double demandMemory = 0.5;
} // namespace

bool AimdLimit::observe(Policy::AttemptSample const& sample)
{
    if (sample.outcome == Policy::AttemptOutcome::Shed) {
        limit_ = std::max(limit_ / 2, 1U);
        answersAtLimit_ = 0;
        return false;
    }
    if (sample.outcome != Policy::AttemptOutcome::Answered || sample.inFlight < limit_)
        return false;
    if (++answersAtLimit_ >= limit_) {
        limit_ = std::min(limit_ + 1, slots_);
        answersAtLimit_ = 0;
    }
    return false;
}

QuotaAllocator::QuotaAllocator(std::size_t hosts, std::size_t servers, std::uint32_t slots)
    : cells_(hosts * servers)
    , frozen_(hosts)
    , limits_(servers, Policy::SlowStartLimit(Policy::LimitSettings {}))
{
    for (auto& limit : limits_)
        limit.setSlots(slots);
}

void QuotaAllocator::assumeWarm(std::uint32_t slots)
{
    for (auto& limit : limits_)
        limit.raiseLimitTo(slots);
}

void QuotaAllocator::allocate()
{
    ++rounds_;
    for (std::size_t server = 0; server < limits_.size(); ++server)
        allocate(server);
}

/// Over all hosts, with the request that has just ended.
std::uint32_t QuotaAllocator::inFlight(std::size_t server) const
{
    int sum = 1;
    for (std::size_t host = 0; host < frozen_.size(); ++host)
        sum += cell(host, server).inFlight;
    return static_cast<std::uint32_t>(std::max(sum, 1));
}

void QuotaAllocator::retire(std::size_t host)
{
    for (std::size_t server = 0; server < limits_.size(); ++server)
        cell(host, server).quota = 0;
}

void QuotaAllocator::allocate(std::size_t server)
{
    auto const hosts = frozen_.size();
    auto total = static_cast<int>(limits_[server].current());
    std::vector<std::size_t> order(hosts);
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    // Equal demand takes turns over the rounds.
    std::rotate(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(rounds_ % hosts), order.end());
    double demand = 0;
    for (auto const host : order)
        demand += frozen_[host] ? 0 : cell(host, server).demand;
    std::vector<std::uint32_t> wanted(hosts, 0);
    for (auto const host : order) {
        if (frozen_[host])
            total -= static_cast<int>(cell(host, server).quota);
    }
    std::ranges::stable_sort(order, std::greater {}, [&](std::size_t host) { return cell(host, server).demand; });
    int given = 0;
    for (auto const host : order) {
        if (frozen_[host] || demand <= 0)
            continue;
        wanted[host] = static_cast<std::uint32_t>(std::max(total, 0) * cell(host, server).demand / demand);
        given += static_cast<int>(wanted[host]);
    }
    for (auto const host : order) {
        if (given >= total)
            break;
        if (!frozen_[host]) {
            ++wanted[host];
            ++given;
        }
    }
    auto held = 0;
    for (std::size_t host = 0; host < hosts; ++host) {
        auto& current = cell(host, server);
        if (!frozen_[host])
            current.quota = std::min(current.quota, wanted[host]);
        current.demand *= demandMemory;
        held += frozen_[host] ? 0 : std::max(static_cast<int>(current.quota), current.inFlight);
    }
    for (auto const host : order) {
        auto& current = cell(host, server);
        while (!frozen_[host] && current.quota < wanted[host] && held < total) {
            if (static_cast<int>(++current.quota) > current.inFlight)
                ++held;
        }
    }
}

} // namespace PolicyBench
