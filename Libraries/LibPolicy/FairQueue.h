#pragma once

#include <LibPolicy/DispatchSettings.h>
#include <LibPolicy/WaitQueue.h>

#include <array>
#include <map>
#include <set>
#include <unordered_map>

namespace Policy {

/// Bounded queue with weighted fair queueing between priorities, so that bulk work is slow but never starved, round
/// robin between the callers of a priority, and earliest deadline first within a caller. Every operation is at most
/// logarithmic in the number of items.
class FairQueue final : public WaitQueue {
public:
    explicit FairQueue(QueueSettings const&);

    bool push(QueueItem const&) override;
    bool remove(QueueItem const&) override;
    std::optional<QueueItem> pop() override;
    std::optional<QueueItem> evictFor(QueueItem const&) override;
    std::size_t size() const override { return size_; }
    std::size_t ahead(QueueItem const&) const override;

private:
    static constexpr std::size_t bandCount = 3;

    struct CallerItems {
        std::map<std::pair<Core::TimePoint, TicketId>, QueueItem> items;
        std::list<std::uint64_t>::iterator rotationPosition;
    };
    /// The items of one priority.
    struct Band {
        std::unordered_map<std::uint64_t, CallerItems> callers;
        /// Callers in round-robin order, the next one to be served first.
        std::list<std::uint64_t> rotation;
        std::multiset<std::pair<Core::TimePoint, TicketId>> byDeadline;
        std::unordered_map<TicketId, std::uint64_t> callerOf;
        double weight { 1 };
        /// Virtual time of the next service (stride scheduling). The band with the lowest value is served next.
        double pass { 0 };
    };

    Band& bandOf(Routing::Priority priority) { return bands_[static_cast<std::size_t>(priority)]; }
    bool isAtShareLimit(std::uint64_t caller) const;
    void eraseItem(Band&, std::uint64_t caller, std::pair<Core::TimePoint, TicketId> const& key);

    QueueSettings settings_;
    std::array<Band, bandCount> bands_;
    std::unordered_map<std::uint64_t, std::size_t> itemsByCaller_;
    std::size_t size_ { 0 };
    double virtualTime_ { 0 };
};

} // namespace Policy
