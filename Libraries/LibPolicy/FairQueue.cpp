#include <LibPolicy/FairQueue.h>

#include <algorithm>

namespace Policy {

FairQueue::FairQueue(QueueSettings const& settings)
    : settings_(settings)
{
    bandOf(Routing::Priority::Bulk).weight = settings.bulkWeight;
    bandOf(Routing::Priority::Normal).weight = settings.normalWeight;
    bandOf(Routing::Priority::Interactive).weight = settings.interactiveWeight;
}

bool FairQueue::push(QueueItem const& item)
{
    if (size_ >= settings_.maxQueuedRequests || isAtShareLimit(item.caller))
        return false;
    auto& band = bandOf(item.priority);
    if (band.byDeadline.empty())
        band.pass = std::max(band.pass, virtualTime_ + 1 / band.weight);
    auto [found, inserted] = band.callers.try_emplace(item.caller);
    if (inserted)
        found->second.rotationPosition = band.rotation.insert(band.rotation.end(), item.caller);
    std::pair const key { item.deadline, item.ticket };
    found->second.items.emplace(key, item);
    band.byDeadline.insert(key);
    band.callerOf.emplace(item.ticket, item.caller);
    ++itemsByCaller_[item.caller];
    ++size_;
    return true;
}

bool FairQueue::remove(QueueItem const& item)
{
    auto& band = bandOf(item.priority);
    if (!band.callerOf.contains(item.ticket))
        return false;
    eraseItem(band, item.caller, { item.deadline, item.ticket });
    return true;
}

std::optional<QueueItem> FairQueue::pop()
{
    Band* next = nullptr;
    for (auto& band : bands_) {
        if (!band.rotation.empty() && (!next || band.pass < next->pass))
            next = &band;
    }
    if (!next)
        return std::nullopt;
    virtualTime_ = next->pass;
    next->pass += 1 / next->weight;
    auto const caller = next->rotation.front();
    // Moves the caller to the end of the rotation; `splice` keeps its iterator valid.
    next->rotation.splice(next->rotation.end(), next->rotation, next->rotation.begin());
    auto const item = next->callers.at(caller).items.begin()->second;
    eraseItem(*next, caller, { item.deadline, item.ticket });
    return item;
}

std::optional<QueueItem> FairQueue::evictFor(QueueItem const& item)
{
    if (size_ < settings_.maxQueuedRequests || isAtShareLimit(item.caller))
        return std::nullopt;
    for (std::size_t index = 0; index < static_cast<std::size_t>(item.priority); ++index) {
        auto& band = bands_[index];
        if (band.byDeadline.empty())
            continue;
        auto const last = *band.byDeadline.rbegin();
        auto const caller = band.callerOf.at(last.second);
        auto const evicted = band.callers.at(caller).items.at(last);
        eraseItem(band, caller, last);
        return evicted;
    }
    return std::nullopt;
}

std::size_t FairQueue::ahead(QueueItem const& item) const
{
    auto const index = static_cast<std::size_t>(item.priority);
    auto const& band = bands_[index];
    auto inBand = band.byDeadline.size();
    auto const own = band.callers.find(item.caller);
    // Each round serves every caller once, so items of a caller with few items overtake those of a caller with many.
    auto const ownItems = own == band.callers.end() ? 0 : own->second.items.size();
    auto const callers = band.rotation.size() + (ownItems == 0 ? 1 : 0);
    inBand = std::min(inBand, (ownItems + 1) * callers - 1);
    double total = static_cast<double>(inBand);
    for (std::size_t other = 0; other < bandCount; ++other) {
        if (other == index)
            continue;
        auto const shared = static_cast<double>(inBand + 1) * bands_[other].weight / band.weight;
        total += std::min(static_cast<double>(bands_[other].byDeadline.size()), shared);
    }
    return static_cast<std::size_t>(total);
}

bool FairQueue::isAtShareLimit(std::uint64_t caller) const
{
    auto const held = itemsByCaller_.find(caller);
    auto const share = settings_.maxShareOfOneCaller * static_cast<double>(settings_.maxQueuedRequests);
    return held != itemsByCaller_.end() && static_cast<double>(held->second) >= std::max(share, 1.0);
}

void FairQueue::eraseItem(Band& band, std::uint64_t caller, std::pair<Core::TimePoint, TicketId> const& key)
{
    auto const found = band.callers.find(caller);
    found->second.items.erase(key);
    if (found->second.items.empty()) {
        band.rotation.erase(found->second.rotationPosition);
        band.callers.erase(found);
    }
    band.byDeadline.erase(band.byDeadline.find(key));
    band.callerOf.erase(key.second);
    auto const held = itemsByCaller_.find(caller);
    if (--held->second == 0)
        itemsByCaller_.erase(held);
    --size_;
}

} // namespace Policy
