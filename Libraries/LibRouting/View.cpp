#include <LibRouting/View.h>

#include <algorithm>

namespace Routing {

BackendServer const* View::findServer(Core::ServerName const& name) const
{
    auto const found = std::ranges::lower_bound(servers, name, {}, &BackendServer::name);
    return found != servers.end() && found->name == name ? &*found : nullptr;
}

SlotAssignment const* View::findSlot(Core::PoolName const& pool, Core::SlotNumber slot) const
{
    auto const found = slots.find(pool);
    if (found == slots.end() || slot.value >= found->second.size())
        return nullptr;
    return &found->second[slot.value];
}

EntryHost const* View::dispatcherOf(Core::PoolName const& pool, std::uint32_t group) const
{
    auto const key = pool.value + "/" + std::to_string(group);
    auto const seed = Core::hash64(key);
    auto const best = std::ranges::max_element(
        entryHosts, {}, [&](EntryHost const& host) { return Core::hash64(host.name.value, seed); });
    return best == entryHosts.end() ? nullptr : &*best;
}

} // namespace Routing
