#pragma once

#include "LocalGroup.h"

#include <oneapi/tbb/spin_mutex.h>

#include <array>

namespace Daemon {

/// A permit that a request of this entry host holds.
struct HeldPermit {
    Policy::Permit permit;
    GroupId group;
    Core::RouteName route;
    Core::Digest fingerprint;
    /// The entry host to release to.
    Core::HostName dispatcher;
};

/// The permits that this entry host holds, for their release and for registration with a new dispatcher. Thread-safe.
class HeldPermits {
public:
    void add(HeldPermit);
    /// Removes and returns a permit. Empty when it is not held.
    std::optional<HeldPermit> remove(Core::PermitId, Core::ServerName const&);
    /// Points each permit whose dispatcher changed at the new one and returns these permits. `dispatcherOf` gives the
    /// dispatcher of a group, or an empty name.
    std::vector<HeldPermit> reassign(std::function<Core::HostName(GroupId const&)> const& dispatcherOf);
    /// The permits of groups that a host dispatches.
    std::vector<HeldPermit> heldAt(Core::HostName const& dispatcher) const;

private:
    struct Key {
        Core::PermitId permit;
        Core::ServerName server;
        auto operator<=>(Key const&) const = default;
    };
    struct KeyHash {
        std::size_t operator()(Key const& key) const { return std::hash<std::uint64_t> {}(key.permit.value); }
    };
    struct Shard {
        mutable tbb::spin_mutex mutex;
        std::unordered_map<Key, HeldPermit, KeyHash> permits;
    };
    static constexpr std::size_t shardCount = 16;

    Shard& shardOf(Core::PermitId permit) { return shards_[permit.value % shardCount]; }

    std::array<Shard, shardCount> shards_;
};

} // namespace Daemon
