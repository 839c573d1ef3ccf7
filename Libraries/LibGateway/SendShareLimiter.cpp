#include <LibGateway/SendShareLimiter.h>

#include <algorithm>

namespace Gateway {

std::size_t SendShare::allowed() const
{
    auto const hosts = std::max(entryHosts, 1U);
    // The remainder of the even division goes to the hosts of the first ranks.
    auto const isFirst = rank && *rank < total % hosts;
    return total / hosts + (isFirst ? 1 : 0);
}

bool SendShareLimiter::hasRoom(Core::TimePoint now, SendShare const& share) const
{
    auto const firstInWindow = std::ranges::upper_bound(sends_, now - window_);
    return static_cast<std::size_t>(sends_.end() - firstInWindow) < share.allowed();
}

bool SendShareLimiter::tryAcquire(Core::TimePoint now, SendShare const& share)
{
    if (!hasRoom(now, share))
        return false;
    record(now);
    return true;
}

void SendShareLimiter::record(Core::TimePoint now)
{
    while (!sends_.empty() && now - sends_.front() >= window_)
        sends_.pop_front();
    sends_.push_back(now);
}

void SendShareLimiter::takeBack(Core::TimePoint sent)
{
    auto const found = std::ranges::lower_bound(sends_, sent);
    if (found != sends_.end() && *found == sent)
        sends_.erase(found);
}

} // namespace Gateway
