#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>

/// Pools, routes and the view of the system that entry hosts route by.
namespace Routing {

/// Default number of slots of a key-partitioned pool. A slot is the unit of ownership.
inline constexpr std::uint32_t defaultSlotCount = 1024;
/// Bound for one pool. Keeps the slot table of a view under a few megabytes.
inline constexpr std::uint32_t maxSlotCount = 1U << 20;

enum class PoolKind : std::uint8_t {
    /// Only the owner of a key's slot serves the key.
    KeyPartitioned,
    /// Any backend server of the pool serves any request.
    AnyServer,
};

/// A named set of backend servers. Work is charged to the name.
struct PoolDefinition {
    Core::PoolName name;
    PoolKind kind { PoolKind::AnyServer };
    /// Slots of a key-partitioned pool; not used for an any-server pool.
    std::uint32_t slotCount { defaultSlotCount };
    /// Number of dispatch groups that the pool's backend servers are divided into.
    std::uint32_t dispatchGroups { 1 };

    bool operator==(PoolDefinition const&) const = default;
};

/// The slot of a key: XXH64 modulo the number of slots. Must not change between versions, since owners are stored by
/// slot.
Core::SlotNumber slotOfKey(std::string_view key, PoolDefinition const&);

/// The dispatch group of a backend server within its pool.
std::uint32_t dispatchGroupOf(Core::ServerName const&, PoolDefinition const&);

} // namespace Routing
