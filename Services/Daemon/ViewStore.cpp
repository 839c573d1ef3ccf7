#include "ViewStore.h"

namespace Daemon {

namespace {

    /// Generations are unique over all stores of the process, so a thread's copy never belongs to another store.
    std::uint64_t nextGeneration()
    {
        static std::atomic<std::uint64_t> last { 0 };
        return last.fetch_add(1, std::memory_order_relaxed) + 1;
    }

    /// The last view that a thread read. Requests read the view several times, and a lock or a reference count that all
    /// threads share costs a third of the throughput (docs/measurements/proxy.md).
    struct CachedView {
        std::uint64_t generation { 0 };
        std::shared_ptr<Routing::View const> view;
    };

} // namespace

ViewStore::ViewStore(Core::Duration guardTime)
    : guardTime_(guardTime)
    , generation_(nextGeneration())
{
}

std::shared_ptr<Routing::View const> ViewStore::currentView() const
{
    thread_local CachedView cached;
    if (cached.generation != generation_.load(std::memory_order_acquire)) {
        std::scoped_lock const lock(mutex_);
        cached = { generation_.load(std::memory_order_relaxed), view_ };
    }
    return cached.view;
}

bool ViewStore::hasValidLease() const { return Core::BootClock::now() + guardTime_ < leaseUntil(); }

bool ViewStore::publish(std::shared_ptr<Routing::View const> view)
{
    std::scoped_lock const lock(mutex_);
    if (view_ && view->version <= view_->version)
        return false;
    view_ = std::move(view);
    generation_.store(nextGeneration(), std::memory_order_release);
    return true;
}

void ViewStore::extendLease(Core::TimePoint until)
{
    if (until > leaseUntil())
        leaseUntil_.store(until.time_since_epoch().count(), std::memory_order_release);
}

Core::TimePoint ViewStore::leaseUntil() const
{
    return Core::TimePoint(Core::Duration(leaseUntil_.load(std::memory_order_acquire)));
}

} // namespace Daemon
