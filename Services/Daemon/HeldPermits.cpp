#include "HeldPermits.h"

namespace Daemon {

void HeldPermits::add(HeldPermit held)
{
    Key key { held.permit.id, held.permit.server };
    auto& shard = shardOf(key.permit);
    tbb::spin_mutex::scoped_lock const lock(shard.mutex);
    shard.permits.insert_or_assign(std::move(key), std::move(held));
}

std::optional<HeldPermit> HeldPermits::remove(Core::PermitId permit, Core::ServerName const& server)
{
    auto& shard = shardOf(permit);
    tbb::spin_mutex::scoped_lock const lock(shard.mutex);
    auto const found = shard.permits.find({ permit, server });
    if (found == shard.permits.end())
        return std::nullopt;
    auto held = std::move(found->second);
    shard.permits.erase(found);
    return held;
}

std::vector<HeldPermit> HeldPermits::reassign(std::function<Core::HostName(GroupId const&)> const& dispatcherOf)
{
    std::vector<HeldPermit> moved;
    for (auto& shard : shards_) {
        tbb::spin_mutex::scoped_lock const lock(shard.mutex);
        for (auto& [key, held] : shard.permits) {
            auto dispatcher = dispatcherOf(held.group);
            if (dispatcher.isEmpty() || dispatcher == held.dispatcher)
                continue;
            held.dispatcher = std::move(dispatcher);
            moved.push_back(held);
        }
    }
    return moved;
}

std::vector<HeldPermit> HeldPermits::heldAt(Core::HostName const& dispatcher) const
{
    std::vector<HeldPermit> result;
    for (auto const& shard : shards_) {
        tbb::spin_mutex::scoped_lock const lock(shard.mutex);
        for (auto const& [key, held] : shard.permits) {
            if (held.dispatcher == dispatcher)
                result.push_back(held);
        }
    }
    return result;
}

} // namespace Daemon
