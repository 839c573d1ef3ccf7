#pragma once

#include "ControlNode.h"
#include "DispatchTable.h"

#include <LibRpc/Rpc.capnp.h>
#include <LibTelemetry/UsageAccount.h>

#include <oneapi/tbb/task_arena.h>

namespace Daemon {

/// Serves calls of other processes. Roles that this process does not have answer as not the leader, or not the
/// dispatcher.
class RpcService final : public Rpc::Wire::Host::Server {
public:
    struct Roles {
        /// Null without the control role.
        ControlNode* control { nullptr };
        /// Null without the entry role.
        DispatchTable* dispatch { nullptr };
        /// Null without a data directory.
        Telemetry::UsageAccount* usage { nullptr };
    };

    RpcService(Config::DaemonSettings const& settings, Rpc::EventLoop& loop, Telemetry::EventLog& events, Roles roles)
        : settings_(settings)
        , loop_(loop)
        , events_(events)
        , roles_(roles)
    {
    }

    kj::Promise<void> deliver(DeliverContext) override;
    kj::Promise<void> heartbeat(HeartbeatContext) override;
    kj::Promise<void> order(OrderContext) override;
    kj::Promise<void> confirmOwner(ConfirmOwnerContext) override;
    kj::Promise<void> reportCrash(ReportCrashContext) override;
    kj::Promise<void> acquire(AcquireContext) override;
    kj::Promise<void> release(ReleaseContext) override;
    kj::Promise<void> registerHeld(RegisterHeldContext) override;
    kj::Promise<void> info(InfoContext) override;
    kj::Promise<void> reportUsage(ReportUsageContext) override;

private:
    struct PendingAcquire {
        AcquireContext context;
        kj::Own<kj::PromiseFulfiller<void>> fulfiller;
        std::shared_ptr<LocalGroup> group;
    };

    std::shared_ptr<LocalGroup> findGroup(capnp::Text::Reader pool, std::uint32_t group) const;
    void finishAcquire(std::uint64_t id, Policy::AcquireResult const&);

    Config::DaemonSettings const& settings_;
    Rpc::EventLoop& loop_;
    Telemetry::EventLog& events_;
    Roles roles_;
    /// Stores reported usage, since an fsync on the loop's thread would hold up heartbeats.
    tbb::task_arena background_ { 1, 0 };
    std::uint64_t nextAcquire_ { 1 };
    std::unordered_map<std::uint64_t, PendingAcquire> acquires_;
};

} // namespace Daemon
