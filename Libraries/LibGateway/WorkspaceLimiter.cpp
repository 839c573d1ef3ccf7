#include <LibGateway/WorkspaceLimiter.h>

#include <algorithm>

namespace Gateway {

namespace {

    /// The leader answers within a few milliseconds, and within a few hundred if a link is saturated.
    constexpr Core::Duration replyTimeout = std::chrono::milliseconds(200);
    /// How long an unanswered request counts as a sign that the leader is lost. An election takes about as long.
    constexpr Core::Duration silenceTime = std::chrono::seconds(1);
    /// Requests travel for different times, so more of them may arrive within a window than were sent within one.
    constexpr Core::Duration travelTime = std::chrono::milliseconds(250);
    constexpr Core::Duration unconfirmedRetryAfter = std::chrono::milliseconds(500);

} // namespace

WorkspaceLimiter::WorkspaceLimiter(Net::EventLoop& loop, Fleet::QuotaBounds const& bounds)
    : loop_(loop)
    , bounds_(bounds)
    , startedAt_(loop.now())
{
}

WorkspaceLimiter::~WorkspaceLimiter()
{
    for (auto& [name, state] : workspaces_)
        loop_.cancel(state.timer);
}

WorkspaceLimiter::Workspace& WorkspaceLimiter::stateOf(Core::WorkspaceName const& name)
{
    return workspaces_.try_emplace(name, bounds_.window + travelTime).first->second;
}

std::uint64_t WorkspaceLimiter::acquire(
    Fleet::WorkspaceItem const& workspace, EntryHostShare const& host, Callback callback)
{
    auto const now = loop_.now();
    if (workspace.ratePerSecond <= 0) {
        callback({}, std::nullopt);
        return 0;
    }
    auto& state = stateOf(workspace.name);
    SendShare const share { Fleet::divideQuota(workspace, bounds_).shared, host.entryHosts, host.rank };
    // A host that has restarted does not know what it used before.
    auto const knowsItsShare = now - startedAt_ >= bounds_.window;
    if (knowsItsShare && host.rank && state.share.tryAcquire(now, share)) {
        callback({}, QuotaUse { false, now });
        return 0;
    }
    countDemand(state);
    if (state.waiters.empty()) {
        if (auto const credit = takeCredit(state, now)) {
            callback({}, credit);
            return 0;
        }
    }
    if (now < state.exceededUntil) {
        callback({ QuotaDecision::Outcome::Exceeded, state.exceededUntil - now }, std::nullopt);
        return 0;
    }
    if (now < silentUntil_) {
        callback({ QuotaDecision::Outcome::Unconfirmed, unconfirmedRetryAfter }, std::nullopt);
        return 0;
    }
    auto const id = nextId_++;
    state.waiters.push_back({ id, std::move(callback) });
    if (state.request == 0)
        requestCredits(workspace.name, state);
    return id;
}

void WorkspaceLimiter::cancel(Core::WorkspaceName const& name, std::uint64_t wait)
{
    auto const found = workspaces_.find(name);
    if (found != workspaces_.end())
        std::erase_if(found->second.waiters, [wait](auto const& waiter) { return waiter.id == wait; });
}

void WorkspaceLimiter::refund(Core::WorkspaceName const& name, QuotaUse const& use)
{
    auto& state = stateOf(name);
    if (!use.isCredit)
        state.share.takeBack(use.at);
    else if (loop_.now() < use.at)
        state.credits.insert(std::ranges::upper_bound(state.credits, use.at), use.at);
}

std::optional<QuotaUse> WorkspaceLimiter::takeCredit(Workspace& state, Core::TimePoint now)
{
    while (!state.credits.empty() && state.credits.front() <= now)
        state.credits.pop_front();
    if (state.credits.empty())
        return std::nullopt;
    QuotaUse const use { true, state.credits.front() };
    state.credits.pop_front();
    return use;
}

/// Counts a request beyond the share.
void WorkspaceLimiter::countDemand(Workspace& state)
{
    auto const elapsed = loop_.now() - state.periodBegan;
    if (elapsed >= Fleet::creditLifetime) {
        state.previousDemand = elapsed < 2 * Fleet::creditLifetime ? state.demand : 0;
        state.demand = 0;
        state.periodBegan = loop_.now();
    }
    ++state.demand;
}

/// Requests credits for all that wait and for the requests that are expected within the lifetime of a credit.
void WorkspaceLimiter::requestCredits(Core::WorkspaceName const& name, Workspace& state)
{
    auto const waiting = static_cast<std::uint32_t>(state.waiters.size());
    state.request = nextId_++;
    state.requested = std::max(waiting, state.previousDemand / 2);
    state.requestedAt = loop_.now();
    requests_.emplace(state.request, name);
    auto const isSent = transport_ && transport_->send({ state.request, name, state.requested });
    state.timer = loop_.after(isSent ? replyTimeout : Core::Duration::zero(), [this, &state] {
        state.timer = {};
        requests_.erase(std::exchange(state.request, 0));
        silentUntil_ = loop_.now() + silenceTime;
        refuseWaiters(state, { QuotaDecision::Outcome::Unconfirmed, unconfirmedRetryAfter });
    });
}

void WorkspaceLimiter::onReply(Fleet::QuotaReply const& reply)
{
    auto const request = requests_.extract(reply.id);
    if (request.empty())
        return;
    auto const& name = request.mapped();
    auto& state = stateOf(name);
    auto const now = loop_.now();
    loop_.cancel(state.timer);
    state.request = 0;
    silentUntil_ = {};
    // The lifetime counts from the request: after a freeze of this host, replies are read that arrived long ago.
    auto const granted = std::min(reply.granted, state.requested);
    state.credits.insert(state.credits.end(), granted, state.requestedAt + Fleet::creditLifetime);
    serveWaiters(state);
    if (granted < state.requested) {
        auto const wait = std::chrono::milliseconds(std::max<std::int64_t>(reply.waitMs, 1));
        state.exceededUntil = now + wait;
        refuseWaiters(state, { QuotaDecision::Outcome::Exceeded, wait });
    } else if (!state.waiters.empty()) {
        requestCredits(name, state);
    }
}

void WorkspaceLimiter::serveWaiters(Workspace& state)
{
    while (!state.waiters.empty()) {
        auto const credit = takeCredit(state, loop_.now());
        if (!credit)
            return;
        auto const callback = std::move(state.waiters.front().callback);
        state.waiters.pop_front();
        callback({}, credit);
    }
}

void WorkspaceLimiter::refuseWaiters(Workspace& state, QuotaDecision const& decision)
{
    for (auto const& waiter : std::exchange(state.waiters, {}))
        waiter.callback(decision, std::nullopt);
}

} // namespace Gateway
