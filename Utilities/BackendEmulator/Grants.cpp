#include "Grants.h"

namespace Emulator {

void Grants::apply(Proxy::AnnounceReply const& reply, Core::TimePoint sentAt)
{
    std::scoped_lock const lock(mutex_);
    auto const previous = std::exchange(granted_, {});
    expiresAt_ = sentAt + reply.timeToLive;
    for (auto const& grant : reply.grants) {
        for (auto slot = grant.first.value; slot <= grant.last.value; ++slot)
            granted_[{ slot }] = grant.epoch;
    }
    auto const releasing = std::exchange(releasing_, {});
    for (auto const& slot : reply.slotsToRelease) {
        auto const epochIn = [&](auto const& slots) {
            auto const found = slots.find(slot);
            return found == slots.end() ? Core::Epoch {} : found->second;
        };
        releasing_[slot] = std::max({ epochIn(granted_), epochIn(previous), epochIn(releasing) });
    }
}

bool Grants::begin(Core::SlotNumber slot, Core::Epoch epoch, Core::TimePoint now)
{
    std::scoped_lock const lock(mutex_);
    auto const found = granted_.find(slot);
    if (now >= expiresAt_ || found == granted_.end() || found->second != epoch || releasing_.contains(slot))
        return false;
    ++running_[slot];
    return true;
}

void Grants::beginUnchecked(Core::SlotNumber slot)
{
    std::scoped_lock const lock(mutex_);
    ++running_[slot];
}

void Grants::end(Core::SlotNumber slot)
{
    std::scoped_lock const lock(mutex_);
    auto const found = running_.find(slot);
    if (found != running_.end() && --found->second == 0)
        running_.erase(found);
}

std::vector<Proxy::ReleasedSlot> Grants::released() const
{
    std::scoped_lock const lock(mutex_);
    std::vector<Proxy::ReleasedSlot> result;
    for (auto const& [slot, epoch] : releasing_) {
        if (!running_.contains(slot))
            result.push_back({ slot, epoch });
    }
    return result;
}

std::size_t Grants::count(Core::TimePoint now) const
{
    std::scoped_lock const lock(mutex_);
    return now < expiresAt_ ? granted_.size() : 0;
}

} // namespace Emulator
