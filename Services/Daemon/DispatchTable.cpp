#include "DispatchTable.h"

#include <LibRpc/Convert.h>

#include <algorithm>
#include <condition_variable>
#include <thread>

namespace Daemon {

namespace {

    /// A dispatcher that was replaced is asked again after this time, until the request's deadline.
    constexpr Core::Duration redirectDelay = std::chrono::milliseconds(20);
    /// A dispatcher answers at the deadline at the latest. The rest is for the way back.
    constexpr Core::Duration answerSlack = std::chrono::milliseconds(100);

    /// One answer that a traffic thread waits for. When it has given up, `set` returns false.
    class PendingAnswer {
    public:
        bool set(Policy::AcquireResult result)
        {
            std::scoped_lock const lock(mutex_);
            if (isAbandoned_)
                return false;
            result_ = std::move(result);
            arrived_.notify_one();
            return true;
        }
        std::optional<Policy::AcquireResult> waitUntil(Core::TimePoint deadline, WaitLimit const& limit)
        {
            std::unique_lock lock(mutex_);
            while (!result_) {
                auto const left = std::min(deadline, limit.value()) - Core::BootClock::now();
                if (left <= Core::Duration::zero()) {
                    isAbandoned_ = true;
                    return std::nullopt;
                }
                arrived_.wait_for(lock, std::min(left, WaitLimit::checkInterval));
            }
            return std::move(result_);
        }

    private:
        std::mutex mutex_;
        std::condition_variable arrived_;
        std::optional<Policy::AcquireResult> result_;
        bool isAbandoned_ { false };
    };

    bool isRedirect(Policy::AcquireResult const& result)
    {
        return result.isError() && result.error().reason == Policy::RefusalReason::NotDispatcher;
    }

    Policy::ReleaseReport notSent(Core::PermitId permit)
    {
        return { permit, Policy::AttemptOutcome::NotSent, Core::Duration::zero(), false };
    }

} // namespace

DispatchTable::DispatchTable(Core::HostName self, Rpc::EventLoop& loop, Rpc::Connections& connections, ViewStore& views,
    LocalGroup::Listener listener)
    : self_(std::move(self))
    , loop_(loop)
    , connections_(connections)
    , views_(views)
    , listener_(std::move(listener))
    , random_(Core::Random::fromSystemEntropy())
{
}

Policy::AcquireResult DispatchTable::acquire(Policy::AcquireRequest const& request)
{
    while (true) {
        auto const attempt = locate(request);
        Policy::AcquireResult result = Policy::Refusal { Policy::RefusalReason::NotDispatcher, redirectDelay };
        if (attempt && attempt->dispatcher == self_) {
            if (auto const group = findLocal(attempt->group))
                result = acquireLocal(*group, request);
        } else if (attempt) {
            result = acquireRemote(*attempt, request);
        }
        if (result) {
            held_.add({ result.value(), attempt->group, request.route, request.fingerprint, attempt->dispatcher });
            if (isStillDispatcher(*attempt)) {
                rememberHedgeDelay(request, result.value());
                return result;
            }
            // The dispatcher changed while the grant was on its way, so the new one may not know the permit.
            release(request.pool, result.value().server, notSent(result.value().id));
        } else if (!isRedirect(result)) {
            return result;
        }
        if (Core::BootClock::now() + redirectDelay >= std::min(request.deadline, waitLimit_.value()))
            return Policy::Refusal { Policy::RefusalReason::DeadlineUnreachable, redirectDelay };
        std::this_thread::sleep_for(redirectDelay);
    }
}

void DispatchTable::rememberHedgeDelay(Policy::AcquireRequest const& request, Policy::Permit const& permit)
{
    if (request.owner || request.kind != Policy::AttemptKind::First)
        return;
    if (permit.hedgeAfter) {
        decltype(hedgeDelays_)::accessor entry;
        hedgeDelays_.insert(entry, request.route.value);
        entry->second = *permit.hedgeAfter;
    } else {
        hedgeDelays_.erase(request.route.value);
    }
}

std::optional<Core::Duration> DispatchTable::hedgeDelay(Core::PoolName const&, Core::RouteName const& route) const
{
    decltype(hedgeDelays_)::const_accessor found;
    return hedgeDelays_.find(found, route.value) ? std::optional(found->second) : std::nullopt;
}

std::optional<DispatchTable::Attempt> DispatchTable::locate(Policy::AcquireRequest const& request) const
{
    auto const view = views_.currentView();
    auto const* pool = view && view->table ? view->table->findPool(request.pool) : nullptr;
    if (!pool)
        return std::nullopt;
    auto const groupCount = std::max(pool->dispatchGroups, 1U);
    auto const group = request.owner ? Routing::dispatchGroupOf(*request.owner, *pool)
                                     : nextGroup_.fetch_add(1, std::memory_order_relaxed) % groupCount;
    auto const* dispatcher = view->dispatcherOf(pool->name, group);
    if (!dispatcher)
        return std::nullopt;
    return Attempt { { pool->name, group }, dispatcher->name, dispatcher->rpcEndpoint };
}

bool DispatchTable::isStillDispatcher(Attempt const& attempt) const
{
    auto const view = views_.currentView();
    auto const* dispatcher = view->dispatcherOf(attempt.group.pool, attempt.group.group);
    return dispatcher && dispatcher->name == attempt.dispatcher;
}

Policy::AcquireResult DispatchTable::acquireLocal(LocalGroup& group, Policy::AcquireRequest const& request)
{
    auto const answer = std::make_shared<PendingAnswer>();
    auto const ticket
        = group.acquire(request, [answer](Policy::AcquireResult result) { answer->set(std::move(result)); });
    // Ticks refuse the request at its deadline. Cancelling covers a control thread that is late.
    if (auto result = answer->waitUntil(request.deadline + answerSlack, waitLimit_))
        return std::move(*result);
    group.cancel(ticket);
    return Policy::Refusal { Policy::RefusalReason::DeadlineUnreachable, redirectDelay };
}

Policy::AcquireResult DispatchTable::acquireRemote(Attempt const& attempt, Policy::AcquireRequest const& request)
{
    auto const answer = std::make_shared<PendingAnswer>();
    auto const isPosted = loop_.post([this, answer, attempt, request] {
        auto const now = Core::BootClock::now();
        auto call = connections_.host(attempt.endpoint).acquireRequest();
        Rpc::writeAcquire(call.initRequest(), request, attempt.group.group, now);
        auto promise = Rpc::withTimeout(loop_, request.deadline - now + answerSlack,
            call.send().then([](auto&& response) { return Rpc::readAcquireResult(response.getReply()); }));
        auto finished = promise.then(
            [this, answer, attempt](Rpc::Decoded<Policy::AcquireResult>&& decoded) {
                Policy::AcquireResult const refusal = Policy::Refusal { Policy::RefusalReason::NotDispatcher };
                auto result = decoded ? std::move(decoded).value() : refusal;
                auto const isGranted = !result.isError();
                HeldPermit held;
                if (isGranted)
                    held = { result.value(), attempt.group, {}, {}, attempt.dispatcher };
                if (!answer->set(std::move(result)) && isGranted)
                    sendRelease(held, notSent(held.permit.id));
            },
            [this, answer, attempt](kj::Exception&&) {
                connections_.drop(attempt.endpoint);
                answer->set(Policy::Refusal { Policy::RefusalReason::NotDispatcher, redirectDelay });
            });
        loop_.detach(kj::mv(finished));
    });
    if (!isPosted)
        return Policy::Refusal { Policy::RefusalReason::Cancelled };
    if (auto result = answer->waitUntil(request.deadline + 2 * answerSlack, waitLimit_))
        return std::move(*result);
    return Policy::Refusal { Policy::RefusalReason::DeadlineUnreachable, redirectDelay };
}

void DispatchTable::release(Core::PoolName const&, Core::ServerName const& server, Policy::ReleaseReport const& report)
{
    if (auto const held = held_.remove(report.permit, server))
        releaseHeld(*held, report);
}

void DispatchTable::releaseHeld(HeldPermit const& held, Policy::ReleaseReport const& report)
{
    if (held.dispatcher == self_) {
        if (auto const group = findLocal(held.group))
            group->release(report);
        return;
    }
    loop_.post([this, held, report] { sendRelease(held, report); });
}

void DispatchTable::sendRelease(HeldPermit const& held, Policy::ReleaseReport const& report)
{
    auto const view = views_.currentView();
    auto const host = std::ranges::find(view->entryHosts, held.dispatcher, &Routing::EntryHost::name);
    // A dispatcher that is gone has forgotten the permit; its successor knows it only if it was registered.
    if (host == view->entryHosts.end())
        return;
    auto call = connections_.host(host->rpcEndpoint).releaseRequest();
    call.setPool(held.group.pool.value);
    call.setGroup(held.group.group);
    Rpc::writeRelease(call.initReport(), report);
    auto const endpoint = host->rpcEndpoint;
    auto sent = Rpc::withTimeout(loop_, std::chrono::seconds(1), call.send().ignoreResult());
    loop_.detach(sent.then([] {}, [this, endpoint](kj::Exception&&) { connections_.drop(endpoint); }));
}

std::map<Core::HostName, std::vector<HeldPermit>> DispatchTable::applyView(
    Routing::View const& before, Routing::View const& now, Core::Duration viewLease)
{
    std::map<GroupId, std::shared_ptr<LocalGroup>> current;
    std::vector<std::shared_ptr<LocalGroup>> dismissed;
    Routing::View const empty;
    for (auto const& pool : now.table->pools()) {
        for (std::uint32_t group = 0; group < std::max(pool.dispatchGroups, 1U); ++group) {
            auto const* dispatcher = now.dispatcherOf(pool.name, group);
            if (!dispatcher || dispatcher->name != self_)
                continue;
            GroupId const id { pool.name, group };
            auto const* earlier = before.table ? before.table->findPool(pool.name) : nullptr;
            auto existing = findLocal(id);
            if (existing && earlier && *earlier == pool) {
                existing->follow(before, now, viewLease);
                current.emplace(id, std::move(existing));
                continue;
            }
            auto created = std::make_shared<LocalGroup>(id, pool, now.version, random_.next(), listener_);
            created->follow(empty, now, viewLease);
            created->handle(Policy::LeaseExtended { leaseUntil_ });
            current.emplace(id, std::move(created));
        }
    }
    {
        std::unique_lock const lock(groupsMutex_);
        for (auto const& [id, group] : groups_) {
            auto const kept = current.find(id);
            if (kept == current.end() || kept->second != group)
                dismissed.push_back(group);
        }
        groups_ = std::move(current);
    }
    for (auto const& group : dismissed)
        group->handle(Policy::Stop {});

    auto const moved = held_.reassign([&](GroupId const& group) {
        auto const* dispatcher = now.dispatcherOf(group.pool, group.group);
        return dispatcher ? dispatcher->name : Core::HostName {};
    });
    std::map<Core::HostName, std::vector<HeldPermit>> toRegister;
    for (auto const& held : moved) {
        auto const local = held.dispatcher == self_ ? findLocal(held.group) : nullptr;
        if (local)
            local->handle(Policy::RegisterHeld { held.permit, self_, held.route, held.fingerprint });
        else if (held.dispatcher != self_)
            toRegister[held.dispatcher].push_back(held);
    }
    return toRegister;
}

void DispatchTable::extendLease(Core::TimePoint until)
{
    leaseUntil_ = until;
    for (auto const& group : localGroups())
        group->handle(Policy::LeaseExtended { until });
}

void DispatchTable::startGroups(Core::ViewVersion effective)
{
    for (auto const& group : localGroups())
        group->startIfInEffect(effective);
}

void DispatchTable::tick()
{
    for (auto const& group : localGroups())
        group->handle(Policy::Tick {});
}

std::shared_ptr<LocalGroup> DispatchTable::findLocal(GroupId const& id) const
{
    std::shared_lock const lock(groupsMutex_);
    auto const found = groups_.find(id);
    return found == groups_.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<LocalGroup>> DispatchTable::localGroups() const
{
    std::shared_lock const lock(groupsMutex_);
    std::vector<std::shared_ptr<LocalGroup>> groups;
    groups.reserve(groups_.size());
    for (auto const& [id, group] : groups_)
        groups.push_back(group);
    return groups;
}

} // namespace Daemon
