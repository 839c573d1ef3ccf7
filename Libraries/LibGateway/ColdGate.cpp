#include <LibGateway/ColdGate.h>

#include <algorithm>

namespace Gateway {

namespace {

    /// The bound holds for any second; requests may reach the server up to a tenth later or earlier than they were
    /// sent.
    constexpr Core::Duration window = std::chrono::milliseconds(1100);

} // namespace

bool ColdGate::tryPass(Core::TimePoint now, ColdShare const& share)
{
    auto const hosts = std::max(share.entryHosts, 1U);
    auto const total = static_cast<std::size_t>(share.perSecond);
    // Those of the first ranks take what is left over when the rest is divided evenly.
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
