#pragma once

#include "LeaderLink.h"
#include "WaitLimit.h"

#include <LibControl/Command.h>
#include <LibProxy/Collaborators.h>

#include <functional>

namespace Daemon {

/// The order ledger of the control quorum, reached through the leader. Called from traffic threads; runs its calls on
/// the loop's thread and goes on to another control host until the deadline when one is not the leader.
class RemoteOrderGate final : public Proxy::OrderGate {
public:
    RemoteOrderGate(Core::HostName self, Core::Incarnation incarnation, Rpc::EventLoop& loop, LeaderLink& leader)
        : self_(std::move(self))
        , incarnation_(incarnation)
        , loop_(loop)
        , leader_(leader)
    {
    }

    Core::Result<Proxy::ClaimResult, Proxy::OrderGateUnavailable> claim(
        Proxy::OrderKey const&, Core::Digest const& fingerprint, Core::RequestId, Core::TimePoint deadline) override;
    void complete(Proxy::OrderKey const&, Core::RequestId, std::optional<Proxy::KeptAnswer>) override;
    void abandon(Proxy::OrderKey const&, Core::RequestId) override;
    void markUnknown(Proxy::OrderKey const&, Core::RequestId) override;
    Core::Result<Core::Void, Proxy::ConfirmError> confirmOwner(
        Core::PoolName const&, Core::SlotNumber, Core::Epoch, Core::TimePoint deadline) override;
    void endWaitsBy(Core::TimePoint limit) override { waitLimit_.set(limit); }

private:
    using ClaimAnswer = Core::Result<Proxy::ClaimResult, Proxy::OrderGateUnavailable>;
    using ConfirmAnswer = Core::Result<Core::Void, Proxy::ConfirmError>;
    /// Handles a reply. Returns false when the call should be tried again.
    using ReplyHandler = std::function<bool(Rpc::Wire::OrderReply::Reader)>;

    struct Confirmation {
        Core::PoolName pool;
        Core::SlotNumber slot;
        Core::Epoch epoch;
        Core::TimePoint deadline;
        std::function<void(ConfirmAnswer)> answer;
    };

    void record(Control::Command const&);
    // On the loop's thread:
    void sendOrder(std::shared_ptr<Control::Command const> const&, Core::TimePoint deadline, ReplyHandler const&,
        std::function<void()> const& onDeadline);
    void sendConfirm(std::shared_ptr<Confirmation const> const&);
    void retry(Core::TimePoint deadline, std::function<void()> again, std::function<void()> const& onDeadline);

    Core::HostName self_;
    Core::Incarnation incarnation_;
    Rpc::EventLoop& loop_;
    LeaderLink& leader_;
    WaitLimit waitLimit_;
};

} // namespace Daemon
