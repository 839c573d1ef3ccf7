#include <LibProxy/AttemptPlanner.h>

#include <algorithm>

namespace Proxy {

using Policy::AttemptOutcome;

namespace {

    /// How often a request that waits for an owner looks at the view.
    constexpr Core::Duration ownerPollInterval = std::chrono::milliseconds(10);
    /// A caller that waited less for its permit is assumed to be still there; the check costs a system call.
    constexpr Core::Duration hangUpCheckAfter = std::chrono::milliseconds(1);
    /// At most this share of the connections may wait for owners, so that other slots keep being served.
    constexpr std::uint32_t heldShare = 4;

    struct Target {
        std::shared_ptr<Routing::View const> view;
        /// Null for an any-server pool: the permit names the server.
        Routing::BackendServer const* owner { nullptr };
        std::optional<Core::Epoch> epoch;
    };

    Rejection notReady() { return { Reason::NotReady, std::chrono::seconds(1) }; }

    /// The owner of the request's slot in the view, or nothing while the slot has none.
    std::optional<Target> findTarget(RequestContext const& context, std::shared_ptr<Routing::View const> view)
    {
        if (!context.slot)
            return Target { std::move(view) };
        auto const* assignment = view->findSlot(context.pool->name, *context.slot);
        if (!assignment || assignment->phase != Routing::SlotPhase::Owned || assignment->server >= view->servers.size())
            return std::nullopt;
        auto const& owner = view->servers[assignment->server];
        if (owner.state == Routing::ServerState::OutOfService)
            return std::nullopt;
        return Target { view, &owner, assignment->epoch };
    }

    /// Counts a request as held for as long as it waits for an owner.
    class HeldRequest {
    public:
        explicit HeldRequest(std::atomic<std::uint32_t>& count)
            : count_(count)
            , position_(++count)
        {
        }
        ~HeldRequest() { --count_; }
        HeldRequest(HeldRequest const&) = delete;
        HeldRequest& operator=(HeldRequest const&) = delete;
        std::uint32_t position() const { return position_; }

    private:
        std::atomic<std::uint32_t>& count_;
        std::uint32_t position_;
    };

    Core::Result<Target, Rejection> waitForTarget(Environment& environment, RequestContext const& context)
    {
        auto const& views = environment.collaborators.views;
        if (auto target = findTarget(context, views.currentView()))
            return std::move(*target);
        HeldRequest const held(environment.requestsHeld);
        Rejection const noOwner { Reason::NoOwner, std::chrono::seconds(1) };
        if (held.position() > std::max(1U, environment.settings.maxConnections / heldShare))
            return noOwner;
        auto const limit = Core::BootClock::now() + environment.settings.ownerWait;
        while (Core::BootClock::now() < std::min(limit, context.deadline())) {
            if (!pauseFor(context, ownerPollInterval))
                return Rejection { Reason::CallerLeft };
            if (!views.hasValidLease())
                return notReady();
            if (auto target = findTarget(context, views.currentView()))
                return std::move(*target);
        }
        return noOwner;
    }

    Rejection toRejection(Policy::Refusal const& refusal)
    {
        auto const retryAfter = refusal.retryAfter;
        switch (refusal.reason) {
        case Policy::RefusalReason::Overloaded:
        case Policy::RefusalReason::RetryBudgetExhausted:
        case Policy::RefusalReason::NotDispatcher:
            return { Reason::Overloaded, retryAfter };
        case Policy::RefusalReason::DeadlineUnreachable:
            return { Reason::DeadlineUnreachable, retryAfter };
        case Policy::RefusalReason::Quarantined:
            return { Reason::Quarantined, retryAfter };
        case Policy::RefusalReason::NoServer:
            return { Reason::NoOwner, retryAfter };
        case Policy::RefusalReason::Cancelled:
            return { Reason::CallerLeft, retryAfter };
        }
        return { Reason::Overloaded, retryAfter };
    }

    Core::Result<Policy::Permit, Rejection> acquire(Environment& environment, RequestContext& context,
        Policy::AttemptKind kind, Target const& target, std::span<Core::ServerName const> excluded)
    {
        Policy::AcquireRequest request { .requestId = context.record.requestId,
            .holder = environment.settings.host,
            .pool = context.pool->name,
            .route = context.route->name,
            .caller = context.record.caller,
            .priority = context.route->priority,
            .requestClass = context.route->requestClass,
            .deadline = context.deadline(),
            .kind = kind,
            .fingerprint = context.fingerprint };
        if (target.owner)
            request.owner = target.owner->name;
        else
            request.excluded.assign(excluded.begin(), excluded.end());
        auto const begin = Core::BootClock::now();
        auto result = environment.collaborators.permits.acquire(request);
        context.record.permitWait += Core::BootClock::now() - begin;
        if (result.isError())
            return toRejection(result.error());
        return std::move(result).value();
    }

    /// Whether the request may use the permit under the newest view. Registers the use of the slot before it looks, so
    /// that a view published later waits for this request.
    Core::Result<bool, Rejection> settle(
        Environment& environment, RequestContext& context, Target const& target, AttemptPlan& plan)
    {
        if (context.slot)
            plan.slotUse = { environment.slots, { context.pool->name, *context.slot, *target.epoch } };
        auto const view = environment.collaborators.views.currentView();
        if (view->revision != context.view->revision && !TRY(matchAgain(context, view)))
            return false;
        auto const current = findTarget(context, view);
        if (!current || current->epoch != target.epoch)
            return false;
        auto const* server = view->findServer(plan.permit.server);
        if (!server || server->state == Routing::ServerState::OutOfService)
            return false;
        // A draining owner serves its slots until they have moved; a draining server of other pools takes no new work.
        if (!target.owner && server->state != Routing::ServerState::InService)
            return false;
        plan.server = *server;
        plan.entryHosts = std::max<std::size_t>(1, view->entryHosts.size());
        plan.epoch = target.epoch;
        return true;
    }

    bool needsConfirmation(RequestContext const& context, Target const& target)
    {
        return !context.isIdempotent() && target.owner && !target.owner->checksFencing;
    }

} // namespace

bool pauseFor(RequestContext const& context, Core::Duration duration)
{
    pollfd polled { context.isClaimed ? -1 : context.caller.descriptor(), POLLRDHUP, 0 };
    return !context.waitFor({ &polled, 1 }, Core::BootClock::now() + duration);
}

Core::Result<AttemptPlan, Rejection> planAttempt(Environment& environment, RequestContext& context,
    Policy::AttemptKind kind, std::span<Core::ServerName const> excluded)
{
    auto& collaborators = environment.collaborators;
    while (Core::BootClock::now() < context.deadline()) {
        auto const target = TRY(waitForTarget(environment, context));
        auto const pool = context.pool->name;
        if (needsConfirmation(context, target)) {
            auto const confirmed = collaborators.orders.confirmOwner(
                context.pool->name, *context.slot, *target.epoch, context.deadline());
            if (confirmed.isError() && std::holds_alternative<OrderGateUnavailable>(confirmed.error()))
                return notReady();
            if (confirmed.isError()) {
                pauseFor(context, ownerPollInterval);
                continue;
            }
        }
        AttemptPlan plan { .permit = TRY(acquire(environment, context, kind, target, excluded)), .kind = kind };
        auto const waited = context.record.permitWait > hangUpCheckAfter;
        auto const callerLeft = waited && !context.isClaimed && hasHungUp(context.caller.descriptor());
        auto settled = callerLeft ? Core::Result<bool, Rejection>(Rejection { Reason::CallerLeft })
                                  : settle(environment, context, target, plan);
        if (!settled.isError() && settled.value())
            return plan;
        plan.slotUse.end();
        // The pool may have changed since the permit was acquired; the permit belongs to the old one.
        collaborators.permits.release(pool, plan.permit.server,
            { .permit = plan.permit.id, .outcome = callerLeft ? AttemptOutcome::Cancelled : AttemptOutcome::NotSent });
        if (settled.isError())
            return settled.error();
        if (!collaborators.views.hasValidLease())
            return notReady();
        pauseFor(context, ownerPollInterval);
    }
    return Rejection { Reason::DeadlineUnreachable, std::chrono::seconds(1) };
}

} // namespace Proxy
