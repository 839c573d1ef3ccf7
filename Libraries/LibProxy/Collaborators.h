#pragma once

#include <LibPolicy/Permit.h>
#include <LibRouting/View.h>

#include <memory>

/// The HTTP data path between callers and backend servers.
namespace Proxy {

/// The view this entry host routes by, and its lease.
class ViewSource {
public:
    virtual ~ViewSource() = default;

    /// Null before the first view arrived.
    virtual std::shared_ptr<Routing::View const> currentView() const = 0;
    /// Whether the view lease is valid at this moment. Checked on arrival and again directly before each send.
    virtual bool hasValidLease() const = 0;
};

/// Hands out permits, from a local dispatch group or from another entry host. Called from many traffic threads.
class PermitSource {
public:
    virtual ~PermitSource() = default;

    /// Blocks until a permit is granted or refused. Returns a refusal at the latest at the deadline of the request.
    virtual Policy::AcquireResult acquire(Policy::AcquireRequest const&) = 0;
    virtual void release(Core::PoolName const&, Core::ServerName const&, Policy::ReleaseReport const&) = 0;
    /// How long the first attempt of an idempotent request may stay unanswered before a hedged attempt is tried with
    /// AttemptKind::Hedge. Empty: no hedging. A hedged acquire should refuse at once rather than queue.
    virtual std::optional<Core::Duration> hedgeDelay(Core::PoolName const&, Core::RouteName const&) const
    {
        return std::nullopt;
    }
    /// The process stops. Every wait in `acquire`, begun or to come, ends with a refusal by this time.
    virtual void endWaitsBy(Core::TimePoint) { }
};

/// Identifies a non-idempotent request over resends by its caller.
struct OrderKey {
    Core::RouteName route;
    Core::CallerName caller;
    std::string idempotencyKey;
};

/// The answer that is kept for resends. Bodies over `maxKeptAnswerBytes` are not kept.
struct KeptAnswer {
    std::uint16_t status { 0 };
    std::string contentType;
    std::string body;
};

inline constexpr std::size_t maxKeptAnswerBytes = 8UL * 1024;

/// The order may run. The claim is committed by the control quorum.
struct OrderClaimed { };
/// The first attempt is still running.
struct OrderInProgress { };
/// The first attempt was answered. Empty when the answer was too large to keep.
struct OrderCompleted {
    std::optional<KeptAnswer> answer;
};
/// The first attempt may have run; its result is not known.
struct OrderUnknown { };
/// The same key came with a different request.
struct OrderMismatch { };
using ClaimResult = std::variant<OrderClaimed, OrderInProgress, OrderCompleted, OrderUnknown, OrderMismatch>;

/// The control quorum could not be reached in time. Nothing was sent to a backend server. A claim may still be
/// committed later, so the gate abandons it.
struct OrderGateUnavailable { };
/// The backend server no longer owns the slot.
struct OwnerChanged { };
using ConfirmError = std::variant<OrderGateUnavailable, OwnerChanged>;

/// Lets non-idempotent work through at most once. Backed by the control quorum.
class OrderGate {
public:
    virtual ~OrderGate() = default;

    /// Claims the order before its first byte is sent. `fingerprint` detects reuse of a key for another request.
    virtual Core::Result<ClaimResult, OrderGateUnavailable> claim(
        OrderKey const&, Core::Digest const& fingerprint, Core::RequestId, Core::TimePoint deadline)
        = 0;
    /// Records the answer of a claimed order.
    virtual void complete(OrderKey const&, Core::RequestId, std::optional<KeptAnswer>) = 0;
    /// Gives up the claim of an order that was certainly not run, so that a resend may run.
    virtual void abandon(OrderKey const&, Core::RequestId) = 0;
    /// Marks a claimed order whose result is not known.
    virtual void markUnknown(OrderKey const&, Core::RequestId) = 0;
    /// Confirms with the control quorum that the server owns the slot at this epoch, after this call began.
    virtual Core::Result<Core::Void, ConfirmError> confirmOwner(
        Core::PoolName const&, Core::SlotNumber, Core::Epoch, Core::TimePoint deadline)
        = 0;
    /// The process stops. Every wait in this interface, begun or to come, ends as unavailable by this time.
    virtual void endWaitsBy(Core::TimePoint) { }
};

} // namespace Proxy
