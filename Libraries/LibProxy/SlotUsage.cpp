#include <LibProxy/SlotUsage.h>

#include <utility>

namespace Proxy {

SlotUsage::Registration::Registration(SlotUsage& usage, Key key)
    : usage_(&usage)
    , key_(std::move(key))
{
    auto& shard = usage_->shardOf(key_);
    std::scoped_lock const lock(shard.mutex);
    ++shard.counts[key_];
}

SlotUsage::Registration::Registration(Registration&& other) noexcept
    : usage_(std::exchange(other.usage_, nullptr))
    , key_(std::move(other.key_))
{
}

SlotUsage::Registration& SlotUsage::Registration::operator=(Registration&& other) noexcept
{
    if (this != &other) {
        end();
        usage_ = std::exchange(other.usage_, nullptr);
        key_ = std::move(other.key_);
    }
    return *this;
}

void SlotUsage::Registration::end()
{
    auto* usage = std::exchange(usage_, nullptr);
    if (!usage)
        return;
    auto& shard = usage->shardOf(key_);
    std::scoped_lock const lock(shard.mutex);
    auto const found = shard.counts.find(key_);
    if (--found->second == 0)
        shard.counts.erase(found);
}

std::vector<SlotInFlight> SlotUsage::list() const
{
    std::vector<SlotInFlight> result;
    for (auto const& shard : shards_) {
        std::scoped_lock const lock(shard.mutex);
        for (auto const& [key, count] : shard.counts)
            result.push_back({ key.pool, key.slot, key.epoch, count });
    }
    return result;
}

} // namespace Proxy
