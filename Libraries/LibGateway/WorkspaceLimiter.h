#pragma once

#include <LibFleet/WorkspaceQuotas.h>
#include <LibGateway/SendShareLimiter.h>
#include <LibGateway/ServerBackpressure.h>
#include <LibNet/EventLoop.h>

#include <functional>
#include <map>

namespace Gateway {

/// Sends requests for credits to the control leader.
class QuotaTransport {
public:
    virtual ~QuotaTransport() = default;
    /// Returns false if no leader is known.
    virtual bool send(Fleet::QuotaRequest const&) = 0;
};

/// Whether a request of a workspace is within its quota.
struct QuotaDecision {
    enum class Outcome : std::uint8_t {
        Allowed,
        /// The quota is used up.
        Exceeded,
        /// The control leader does not answer, and this host's share is used up.
        Unconfirmed,
    };
    Outcome outcome { Outcome::Allowed };
    /// The time until there is room again.
    Core::Duration wait {};
};

/// What a request has used of a quota, so that it can be returned if the request was not run.
struct QuotaUse {
    bool isCredit { false };
    /// When the share was used, or when the credit expires.
    Core::TimePoint at;
};

/// Keeps the requests of workspaces within their quotas, which hold for all entry hosts together.
///
/// A host has a fixed share of a part of each quota, which needs no message and holds without a leader. Beyond it, the
/// host requests credits from the control leader. A workspace with a few requests per second on many hosts needs the
/// credits: its shares are below one request.
class WorkspaceLimiter {
public:
    using Callback = std::function<void(QuotaDecision const&, std::optional<QuotaUse> const&)>;

    WorkspaceLimiter(Net::EventLoop&, Fleet::QuotaBounds const&);
    ~WorkspaceLimiter();
    WorkspaceLimiter(WorkspaceLimiter const&) = delete;
    WorkspaceLimiter& operator=(WorkspaceLimiter const&) = delete;

    void setTransport(QuotaTransport& transport) { transport_ = &transport; }
    /// Decides about one request, at once or after the leader's reply. Returns the ID of the wait; zero if the callback
    /// was called already.
    std::uint64_t acquire(Fleet::WorkspaceItem const&, EntryHostShare const&, Callback);
    /// Cancels a wait. Does nothing for others.
    void cancel(Core::WorkspaceName const&, std::uint64_t wait);
    /// Takes back what a request used that was not run and never will be.
    void refund(Core::WorkspaceName const&, QuotaUse const&);
    void onReply(Fleet::QuotaReply const&);

private:
    struct Waiter {
        std::uint64_t id { 0 };
        Callback callback;
    };
    struct Workspace {
        explicit Workspace(Core::Duration window)
            : share(window)
        {
        }

        SendShareLimiter share;
        /// The expiry times of the credits, in order.
        std::deque<Core::TimePoint> credits;
        /// No credits are requested until then, since the leader has refused some.
        Core::TimePoint exceededUntil;
        std::deque<Waiter> waiters;
        /// The request to the leader that awaits its reply; zero for none.
        std::uint64_t request { 0 };
        std::uint32_t requested { 0 };
        Core::TimePoint requestedAt;
        Net::EventLoop::TimerId timer;
        /// Requests beyond the share in the current and in the previous period of a credit's lifetime.
        std::uint32_t demand { 0 };
        std::uint32_t previousDemand { 0 };
        Core::TimePoint periodBegan;
    };

    Workspace& stateOf(Core::WorkspaceName const&);
    static std::optional<QuotaUse> takeCredit(Workspace&, Core::TimePoint now);
    void countDemand(Workspace&);
    void requestCredits(Core::WorkspaceName const&, Workspace&);
    void serveWaiters(Workspace&);
    void refuseWaiters(Workspace&, QuotaDecision const&);

    Net::EventLoop& loop_;
    Fleet::QuotaBounds bounds_;
    Core::TimePoint startedAt_;
    QuotaTransport* transport_ { nullptr };
    std::uint64_t nextId_ { 1 };
    /// The leader has not answered a request; no others are sent until then.
    Core::TimePoint silentUntil_;
    std::map<Core::WorkspaceName, Workspace> workspaces_;
    /// The workspaces by the request to the leader that awaits its reply.
    std::map<std::uint64_t, Core::WorkspaceName> requests_;
};

} // namespace Gateway
