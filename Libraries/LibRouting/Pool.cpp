#include <LibCore/Hash.h>
#include <LibRouting/Pool.h>

namespace Routing {

Core::SlotNumber slotOfKey(std::string_view key, PoolDefinition const& pool)
{
    return { pool.slotCount == 0 ? 0 : Core::hash64(key) % pool.slotCount };
}

std::uint32_t dispatchGroupOf(Core::ServerName const& server, PoolDefinition const& pool)
{
    return pool.dispatchGroups <= 1 ? 0 : static_cast<std::uint32_t>(Core::hash64(server.value) % pool.dispatchGroups);
}

} // namespace Routing
