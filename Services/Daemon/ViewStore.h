#pragma once

#include <LibProxy/Collaborators.h>

#include <atomic>
#include <mutex>

namespace Daemon {

/// The view and the view lease of this entry host. Written on the loop's thread, read by traffic threads.
class ViewStore final : public Proxy::ViewSource {
public:
    /// Work is not sent when less than `guardTime` is left of the lease.
    explicit ViewStore(Core::Duration guardTime);

    std::shared_ptr<Routing::View const> currentView() const override;
    bool hasValidLease() const override;

    /// Versions only rise. Returns false for a view that is not newer.
    bool publish(std::shared_ptr<Routing::View const>);
    /// Never shortens the lease.
    void extendLease(Core::TimePoint until);
    Core::TimePoint leaseUntil() const;

private:
    Core::Duration guardTime_;
    /// Identifies this store and the published view, so that a thread can tell whether its copy is current.
    std::atomic<std::uint64_t> generation_;
    mutable std::mutex mutex_;
    std::shared_ptr<Routing::View const> view_;
    std::atomic<Core::Duration::rep> leaseUntil_ { 0 };
};

} // namespace Daemon
