#include <LibGateway/SharedSlack.h>

#include <algorithm>

namespace Gateway {

void SharedSlack::confirm(Core::TimePoint now, std::uint32_t entryHosts)
{
    if (isLapsed(now)) {
        listedSince_ = now;
        recent_.clear();
    }
    while (!recent_.empty() && now - recent_.front().at >= growthDelay())
        recent_.pop_front();
    while (!recent_.empty() && recent_.back().entryHosts <= entryHosts)
        recent_.pop_back();
    recent_.push_back({ now, std::max(entryHosts, 1U) });
}

std::uint32_t SharedSlack::entryHosts(Core::TimePoint now) const
{
    return isLapsed(now) || now - listedSince_ < growthDelay() ? 0 : recent_.front().entryHosts;
}

double SharedSlack::share(Core::TimePoint now) const
{
    auto const hosts = entryHosts(now);
    return hosts == 0 ? 0 : 1.0 / hosts;
}

} // namespace Gateway
