#pragma once

#include <LibPolicy/DispatchEvents.h>

#include <list>
#include <optional>

namespace Policy {

/// Queue entry of a waiting request.
struct QueueItem {
    TicketId ticket;
    Routing::Priority priority { Routing::Priority::Normal };
    /// Hash of the caller's name.
    std::uint64_t caller { 0 };
    Core::TimePoint deadline;

    bool operator==(QueueItem const&) const = default;
};

/// Queue of the requests that wait for the same servers.
class WaitQueue {
public:
    virtual ~WaitQueue() = default;
    /// Adds the item. Returns false when the queue has no room for it.
    virtual bool push(QueueItem const&) = 0;
    virtual bool remove(QueueItem const&) = 0;
    /// Removes and returns the item to be served next; empty when the queue is empty.
    virtual std::optional<QueueItem> pop() = 0;
    /// Removes and returns an item of lower priority if that makes room for the given one; empty otherwise.
    virtual std::optional<QueueItem> evictFor(QueueItem const&) = 0;
    virtual std::size_t size() const = 0;
    /// Estimates the number of queued items that would be served before this one.
    virtual std::size_t ahead(QueueItem const&) const = 0;
};

/// Baseline: unbounded FIFO queue that ignores deadlines, priorities and callers.
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
