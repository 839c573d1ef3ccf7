#include "ViewStore.h"

namespace Daemon {

std::shared_ptr<Routing::View const> ViewStore::currentView() const
{
    std::scoped_lock const lock(mutex_);
    return view_;
}

bool ViewStore::hasValidLease() const { return Core::BootClock::now() + guardTime_ < leaseUntil(); }

bool ViewStore::publish(std::shared_ptr<Routing::View const> view)
{
    std::scoped_lock const lock(mutex_);
    if (view_ && view->version <= view_->version)
        return false;
    view_ = std::move(view);
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
