#pragma once

#include "HeldPermits.h"
#include "ViewStore.h"
#include "WaitLimit.h"

#include <LibCore/Random.h>
#include <LibRpc/Connections.h>

#include <oneapi/tbb/concurrent_hash_map.h>

#include <atomic>
#include <map>
#include <shared_mutex>

namespace Daemon {

/// Gets permits from the dispatcher of a group, in this process or on another entry host, and runs the groups that this
/// host dispatches.
class DispatchTable final : public Proxy::PermitSource {
public:
    DispatchTable(Core::HostName self, Rpc::EventLoop&, Rpc::Connections&, ViewStore&, LocalGroup::Listener);

    // Called from traffic threads.
    Policy::AcquireResult acquire(Policy::AcquireRequest const&) override;
    void release(Core::PoolName const&, Core::ServerName const&, Policy::ReleaseReport const&) override;
    std::optional<Core::Duration> hedgeDelay(Core::PoolName const&, Core::RouteName const&) const override;
    void endWaitsBy(Core::TimePoint limit) override { waitLimit_.set(limit); }

    // Called on the loop's thread.

    /// Takes up and gives up groups. Must be called after the view was published. Returns the permits that have to be
    /// registered with another dispatcher before the view is acknowledged, by host.
    std::map<Core::HostName, std::vector<HeldPermit>> applyView(
        Routing::View const& before, Routing::View const& now, Core::Duration viewLease);
    /// The permits that a host dispatches and that this host holds at the moment.
    std::vector<HeldPermit> heldAt(Core::HostName const& dispatcher) const { return held_.heldAt(dispatcher); }
    void extendLease(Core::TimePoint until);
    void startGroups(Core::ViewVersion effective);
    void tick();
    /// Null when this host does not dispatch the group.
    std::shared_ptr<LocalGroup> findLocal(GroupId const&) const;
    std::vector<std::shared_ptr<LocalGroup>> localGroups() const;

private:
    /// Outcome of one attempt at one dispatcher.
    struct Attempt {
        GroupId group;
        Core::HostName dispatcher;
        Core::Endpoint endpoint;
    };

    std::optional<Attempt> locate(Policy::AcquireRequest const&) const;
    Policy::AcquireResult acquireLocal(LocalGroup&, Policy::AcquireRequest const&);
    Policy::AcquireResult acquireRemote(Attempt const&, Policy::AcquireRequest const&);
    bool isStillDispatcher(Attempt const&) const;
    void rememberHedgeDelay(Policy::AcquireRequest const&, Policy::Permit const&);
    void releaseHeld(HeldPermit const&, Policy::ReleaseReport const&);
    void sendRelease(HeldPermit const&, Policy::ReleaseReport const&);

    Core::HostName self_;
    Rpc::EventLoop& loop_;
    Rpc::Connections& connections_;
    ViewStore& views_;
    LocalGroup::Listener listener_;
    Core::Random random_;
    mutable std::shared_mutex groupsMutex_;
    std::map<GroupId, std::shared_ptr<LocalGroup>> groups_;
    Core::TimePoint leaseUntil_;
    HeldPermits held_;
    WaitLimit waitLimit_;
    /// By route, from the last permit that allowed a hedged attempt.
    tbb::concurrent_hash_map<std::string, Core::Duration> hedgeDelays_;
    mutable std::atomic<std::uint32_t> nextGroup_ { 0 };
};

} // namespace Daemon
