#include <LibGateway/ColdGate.h>

#include <algorithm>

namespace Gateway {

namespace {

    /// The bound holds for any second; requests may reach the server up to a tenth later or earlier than they were
    /// sent.
    constexpr Core::Duration window = std::chrono::milliseconds(1100);

} // namespace

bool ColdGate::tryPass(Core::TimePoint now, ColdBound const& bound, std::uint32_t entryHosts)
{
    auto const hosts = static_cast<double>(std::max(entryHosts, 1U));
    auto const share = bound.perSecond / hosts;
    auto const perWindow = std::max<std::size_t>(static_cast<std::size_t>(share), 1);
    auto const span = share >= 1 || share <= 0
        ? window
        : std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(window) / share);
    while (!sends_.empty() && now - sends_.front() >= span)
        sends_.pop_front();
    if (share <= 0 || sends_.size() >= perWindow) {
        nextPass_ = sends_.empty() ? now + span : sends_.front() + span;
        return false;
    }
    sends_.push_back(now);
    return true;
}

} // namespace Gateway
