#include "LeaderLink.h"

#include <algorithm>

namespace Daemon {

void LeaderLink::follow(Core::Endpoint const& from, Core::HostName const& hint)
{
    // Another call may have moved on already.
    if (from != endpoint())
        return;
    auto const hinted = std::ranges::find(peers_, hint, &Config::ControlPeer::name);
    auto const target = hinted == peers_.end() ? peers_.size() : static_cast<std::size_t>(hinted - peers_.begin());
    // A host that names itself is not ready to lead; another one may be.
    current_ = target < peers_.size() && target != current_ ? target : (current_ + 1) % peers_.size();
}

void LeaderLink::fail(Core::Endpoint const& from)
{
    connections_.drop(from);
    if (from == endpoint())
        current_ = (current_ + 1) % peers_.size();
}

} // namespace Daemon
