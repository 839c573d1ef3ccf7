#pragma once

#include <LibPolicy/DispatchEvents.h>

#include <list>
#include <optional>

namespace Policy {

/// What the queue knows of a waiting request.
struct QueueItem {
    TicketId ticket;
    Routing::Priority priority { Routing::Priority::Normal };
    /// Hash of the caller's name.
    std::uint64_t caller { 0 };
    Core::TimePoint deadline;

    bool operator==(QueueItem const&) const = default;
};

/// The requests that wait for the same servers.
class WaitQueue {
public:
    virtual ~WaitQueue() = default;
    /// False when there is no room for the item.
    virtual bool push(QueueItem const&) = 0;
    virtual bool remove(QueueItem const&) = 0;
    /// Takes out the item to be served next.
    virtual std::optional<QueueItem> pop() = 0;
    /// Takes out an item of lower priority than the given one when that makes room for it.
    virtual std::optional<QueueItem> evictFor(QueueItem const&) = 0;
    virtual std::size_t size() const = 0;
    /// Estimate of the number of items that would be served before this one.
    virtual std::size_t ahead(QueueItem const&) const = 0;
};

/// Baseline: first come, first served, without bound; knows neither deadlines nor priorities nor callers.
class FifoQueue final : public WaitQueue {
public:
    bool push(QueueItem const&) override;
    bool remove(QueueItem const&) override;
    std::optional<QueueItem> pop() override;
    std::optional<QueueItem> evictFor(QueueItem const&) override { return std::nullopt; }
    std::size_t size() const override { return items_.size(); }
    std::size_t ahead(QueueItem const&) const override { return 0; }

private:
    std::list<QueueItem> items_;
};

} // namespace Policy
