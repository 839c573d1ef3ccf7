#pragma once

#include <LibProxy/Server.h>

#include <array>
#include <map>
#include <mutex>

namespace Proxy {

/// Counts the requests in flight for each slot ownership, so that a planned change of owner can wait for them.
class SlotUsage {
public:
    struct Key {
        Core::PoolName pool;
        Core::SlotNumber slot;
        Core::Epoch epoch;
        auto operator<=>(Key const&) const = default;
    };

    /// Ends the registration when destroyed.
    class Registration {
    public:
        Registration() = default;
        Registration(SlotUsage& usage, Key key);
        Registration(Registration&& other) noexcept;
        Registration& operator=(Registration&& other) noexcept;
        ~Registration() { end(); }
        void end();

    private:
        SlotUsage* usage_ { nullptr };
        Key key_;
    };

    std::vector<SlotInFlight> list() const;

private:
    struct Shard {
        mutable std::mutex mutex;
        std::map<Key, std::uint32_t> counts;
    };
    Shard& shardOf(Key const& key) { return shards_.at(key.slot.value % shardCount); }

    static constexpr std::size_t shardCount = 16;
    std::array<Shard, shardCount> shards_;
};

} // namespace Proxy
