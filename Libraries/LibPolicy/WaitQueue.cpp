#include <LibPolicy/WaitQueue.h>

#include <algorithm>

namespace Policy {

bool FifoQueue::push(QueueItem const& item)
{
    items_.push_back(item);
    return true;
}

bool FifoQueue::remove(QueueItem const& item)
{
    auto const found = std::ranges::find(items_, item);
    if (found == items_.end())
        return false;
    items_.erase(found);
    return true;
}

std::optional<QueueItem> FifoQueue::pop()
{
    if (items_.empty())
        return std::nullopt;
    auto const item = items_.front();
    items_.pop_front();
    return item;
}

} // namespace Policy
