#include <LibGateway/ColdStartLimiter.h>

#include <algorithm>

namespace Gateway {

namespace {

    /// The limit holds for any second at the server. The delay between sending and arrival varies by up to 100 ms,
    /// which widens the window.
    constexpr Core::Duration window = std::chrono::milliseconds(1100);

} // namespace

bool ColdStartLimiter::tryAcquire(Core::TimePoint now, ColdStartShare const& share)
{
    auto const hosts = std::max(share.entryHosts, 1U);
    auto const total = static_cast<std::size_t>(share.perSecond);
    // The remainder of the even division goes to the hosts of the first ranks.
    auto const isFirst = share.rank && *share.rank < total % hosts;
    auto const allowed = total / hosts + (isFirst ? 1 : 0);
    while (!sends_.empty() && now - sends_.front() >= window)
        sends_.pop_front();
    if (sends_.size() >= allowed)
        return false;
    sends_.push_back(now);
    return true;
}

} // namespace Gateway
