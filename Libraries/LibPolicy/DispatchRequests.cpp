#include <LibPolicy/DispatchState.h>
#include <LibPolicy/RetryRule.h>

#include <algorithm>

namespace Policy {

namespace {
    // Suspects run one at a time, so requests in a longer queue would only time out.
    constexpr std::size_t maxSuspects = 256;
    // Lower bound of the `retryAfter` of refusals.
    constexpr Core::Duration minRetryAfter = std::chrono::milliseconds(20);
    // Estimate of the holding time of a permit before the first request has been answered.
    constexpr Core::Duration defaultHoldTime = std::chrono::milliseconds(10);
    constexpr std::uint32_t permitPrefixShift = 40;
    // Multiples of the typical latency that are reserved for the service itself when a deadline is checked. A request
    // that did not wait is granted with a smaller margin.
    constexpr std::int64_t marginWithoutWait = 1;
    // About the 95th percentile of service: at overload each request that is granted but misses its deadline wastes
    // capacity that another one could use.
    constexpr std::int64_t marginAfterWait = 2;
    // Larger, because the wait is only an estimate when a request is admitted to the queue.
    constexpr std::int64_t marginAtAdmission = 4;
} // namespace

void DispatchGroup::State::handle(Acquire const& event)
{
    auto const& request = event.request;
    if (auto const refusalReason = findRefusalReason(request)) {
        refuse(event.ticket, *refusalReason);
        return;
    }
    auto const owner = resolveOwner(request);
    if (request.owner ? owner == none : usableServers_ == 0) {
        refuse(event.ticket, RefusalReason::NoServer);
        return;
    }
    if (request.kind != AttemptKind::First && !policies_.budget->charge()) {
        refuse(event.ticket, RefusalReason::RetryBudgetExhausted);
        return;
    }
    if (isSuspect(request) || exceedsFingerprintLimit(request)) {
        enqueueSuspect(event.ticket, request, owner);
        return;
    }
    if (!decideImmediately(event.ticket, request, owner))
        enqueue(event.ticket, request, owner);
}

std::optional<RefusalReason> DispatchGroup::State::findRefusalReason(AcquireRequest const& request)
{
    if (stopped_)
        return RefusalReason::NotDispatcher;
    if (request.deadline <= now_)
        return RefusalReason::DeadlineUnreachable;
    if (isQuarantined(request))
        return RefusalReason::Quarantined;
    auto const idempotent = request.requestClass == Routing::RequestClass::Idempotent;
    if (request.kind == AttemptKind::Hedge && !idempotent)
        return RefusalReason::RetryBudgetExhausted;
    if (request.kind == AttemptKind::Retry && !idempotent
        && !(request.previousOutcome && mayRetry(request.requestClass, *request.previousOutcome)))
        return RefusalReason::RetryBudgetExhausted;
    return std::nullopt;
}

bool DispatchGroup::State::isQuarantined(AcquireRequest const& request) const
{
    return policies_.quarantineCrashingRequests && !crashes_.isEmpty()
        && crashes_.isQuarantined(now_, request.fingerprint);
}

bool DispatchGroup::State::isSuspect(AcquireRequest const& request) const
{
    return policies_.quarantineCrashingRequests && !crashes_.isEmpty() && crashes_.isSuspect(now_, request.fingerprint);
}

bool DispatchGroup::State::isFingerprintLimited(Core::Digest const& fingerprint) const
{
    return policies_.quarantineCrashingRequests && settings_.kind == Routing::PoolKind::AnyServer
        && fingerprint != Core::Digest {};
}

/// Without this limit, requests with the same fingerprint that are sent at the same time could each crash a server
/// before the first crash is known.
bool DispatchGroup::State::exceedsFingerprintLimit(AcquireRequest const& request) const
{
    return isFingerprintLimited(request.fingerprint) && !fingerprintLimiter_.mayRun(request.fingerprint);
}

std::size_t DispatchGroup::State::resolveOwner(AcquireRequest const& request) const
{
    if (!request.owner)
        return none;
    auto const found = serverIndex_.find(*request.owner);
    if (found == serverIndex_.end() || !isUsable(servers_[found->second]))
        return none;
    return found->second;
}

/// Grants or refuses the request if that is possible without queueing. Returns false when the request has to wait.
bool DispatchGroup::State::decideImmediately(TicketId ticket, AcquireRequest const& request, std::size_t owner)
{
    if (!canGrant() || queueFor(owner).size() > 0)
        return false;
    auto server = owner;
    if (owner == none)
        server = chooseServer(request, request.kind == AttemptKind::Hedge);
    if (server == none || !isAvailable(servers_[server]))
        return false;
    if (!canMeetDeadline(request, {}, marginWithoutWait)) {
        refuseCharged(ticket, request, RefusalReason::DeadlineUnreachable, jittered(minRetryAfter));
        return true;
    }
    grant(ticket, request, server, false);
    return true;
}

/// Chooses a server that no earlier attempt of the request used. Without one, falls back to any available server unless
/// `strict`; returns `none` when there is none.
std::size_t DispatchGroup::State::chooseServer(AcquireRequest const& request, bool strict)
{
    if (request.excluded.empty())
        return policies_.choice->choose({}, random_).value_or(none);
    std::vector<std::size_t> avoided;
    for (auto const& name : request.excluded) {
        auto const found = serverIndex_.find(name);
        if (found != serverIndex_.end())
            avoided.push_back(found->second);
    }
    auto const chosen = policies_.choice->choose(avoided, random_);
    if (chosen || strict)
        return chosen.value_or(none);
    return policies_.choice->choose({}, random_).value_or(none);
}

void DispatchGroup::State::enqueue(TicketId ticket, AcquireRequest const& request, std::size_t owner)
{
    if (request.kind == AttemptKind::Hedge) {
        refuseCharged(ticket, request, RefusalReason::Overloaded);
        return;
    }
    QueueItem const item { ticket, request.priority, Core::hash64(request.caller.value), request.deadline };
    auto const wait = estimatedWait(item, owner);
    if (started_ && !canMeetDeadline(request, wait, marginAtAdmission)) {
        auto const excess = now_ + wait - request.deadline + routes_[indexOfRoute(request.route)].value();
        refuseCharged(ticket, request, RefusalReason::DeadlineUnreachable, jittered(std::max(excess, minRetryAfter)));
        return;
    }
    auto& queue = queueFor(owner);
    if (!queue.push(item)) {
        auto const evicted = queue.evictFor(item);
        if (evicted)
            refuseWaiting(evicted->ticket, RefusalReason::Overloaded, jittered(std::max(wait, minRetryAfter)));
        if (!evicted || !queue.push(item)) {
            refuseCharged(ticket, request, RefusalReason::Overloaded, jittered(std::max(wait, minRetryAfter)));
            return;
        }
    }
    waiting_.emplace(ticket, WaitingRequest { request, owner, item, false });
    deadlines_.emplace(request.deadline, ticket);
}

void DispatchGroup::State::enqueueSuspect(TicketId ticket, AcquireRequest const& request, std::size_t owner)
{
    if (request.kind == AttemptKind::Hedge || suspects_.size() >= maxSuspects) {
        refuseCharged(ticket, request, RefusalReason::Overloaded, jittered(minRetryAfter));
        return;
    }
    waiting_.emplace(ticket, WaitingRequest { request, owner, { .ticket = ticket }, true });
    deadlines_.emplace(request.deadline, ticket);
    suspects_.push_back(ticket);
    grantSuspects();
}

void DispatchGroup::State::grant(TicketId ticket, AcquireRequest const& request, std::size_t index, bool isolated)
{
    auto& server = servers_[index];
    Core::PermitId const id { (std::uint64_t { settings_.permitPrefix } << permitPrefixShift) + ++permitCount_ };
    auto const route = indexOfRoute(request.route);
    permits_.emplace(id,
        HeldPermit { index, indexOfHolder(request.holder), route, request.fingerprint, request.kind, now_, isolated });
    if (isFingerprintLimited(request.fingerprint))
        fingerprintLimiter_.onGranted(request.fingerprint);
    if (server.inFlight++ == 0)
        server.lastProgress = now_;
    ++counters_.granted;
    counters_.retries += request.kind == AttemptKind::Retry ? 1 : 0;
    counters_.hedges += request.kind == AttemptKind::Hedge ? 1 : 0;
    Permit permit { id, server.name, std::nullopt, server.limit->current() };
    if (request.kind == AttemptKind::First) {
        policies_.budget->onFirstAttempt();
        if (!request.owner && !isolated && request.requestClass == Routing::RequestClass::Idempotent
            && usableServers_ > 1)
            permit.hedgeAfter = policies_.hedge->delay(routes_[route].value());
    }
    actions_->emplace_back(Granted { ticket, std::move(permit) });
    updateAvailability(index);
}

/// Refuses a request and returns its charge to the retry budget if it is a retry or a hedge.
void DispatchGroup::State::refuseCharged(
    TicketId ticket, AcquireRequest const& request, RefusalReason reason, Core::Duration retryAfter)
{
    if (request.kind != AttemptKind::First)
        policies_.budget->refund();
    refuse(ticket, reason, retryAfter);
}

void DispatchGroup::State::refuse(TicketId ticket, RefusalReason reason, Core::Duration retryAfter)
{
    switch (reason) {
    case RefusalReason::Overloaded:
        ++counters_.refusedOverloaded;
        break;
    case RefusalReason::DeadlineUnreachable:
        ++counters_.refusedDeadline;
        break;
    case RefusalReason::RetryBudgetExhausted:
        ++counters_.refusedBudget;
        break;
    case RefusalReason::Quarantined:
        ++counters_.refusedQuarantined;
        break;
    default:
        ++counters_.refusedOther;
    }
    actions_->emplace_back(Refused { ticket, { reason, retryAfter } });
}

void DispatchGroup::State::refuseWaiting(TicketId ticket, RefusalReason reason, Core::Duration retryAfter)
{
    auto const found = waiting_.find(ticket);
    refuseCharged(ticket, found->second.request, reason, retryAfter);
    eraseWaiting(ticket);
}

/// Erases the records of a waiting request, except its item in the wait queue.
void DispatchGroup::State::eraseWaiting(TicketId ticket)
{
    auto const found = waiting_.find(ticket);
    deadlines_.erase({ found->second.request.deadline, ticket });
    if (found->second.isolated)
        std::erase(suspects_, ticket);
    waiting_.erase(found);
}

bool DispatchGroup::State::canMeetDeadline(AcquireRequest const& request, Core::Duration wait, std::int64_t margin)
{
    if (request.deadline <= now_ + wait)
        return false;
    if (!policies_.refuseUnmeetableDeadlines)
        return true;
    auto& route = routes_[indexOfRoute(request.route)];
    if (now_ + wait + route.value() * margin <= request.deadline)
        return true;
    route.decayIfStale(now_);
    return false;
}

Core::Duration DispatchGroup::State::estimatedWait(QueueItem const& item, std::size_t owner) const
{
    if (!policies_.refuseUnmeetableDeadlines)
        return {};
    auto concurrency = capacity_;
    auto hold = holdTime_;
    Core::Duration pause {};
    auto const* queue = sharedQueue_.get();
    if (owner != none) {
        auto const& server = servers_[owner];
        concurrency = server.limit->current();
        hold = server.holdTime;
        queue = server.queue.get();
        if (server.ejected)
            pause = std::max(server.ejectedUntil - now_, Core::Duration {});
    }
    if (hold.count() == 0)
        hold = defaultHoldTime;
    auto const ahead = static_cast<Core::Duration::rep>(queue->ahead(item) + 1);
    return pause + hold * ahead / std::max(concurrency, 1U);
}

Core::Duration DispatchGroup::State::jittered(Core::Duration duration)
{
    auto const half = static_cast<std::uint64_t>(duration.count()) / 2;
    return duration + Core::Duration { static_cast<Core::Duration::rep>(random_.below(half + 1)) };
}

WaitQueue& DispatchGroup::State::queueFor(std::size_t owner)
{
    return owner == none ? *sharedQueue_ : *servers_[owner].queue;
}

/// Grants waiting requests after the state of this server has changed.
void DispatchGroup::State::grantWaiting(std::size_t server)
{
    if (!canGrant())
        return;
    grantSuspects();
    while (isAvailable(servers_[server]) && servers_[server].queue->size() > 0)
        processNext(*servers_[server].queue, server);
    grantShared();
}

void DispatchGroup::State::grantShared()
{
    while (sharedQueue_->size() > 0 && policies_.choice->hasAvailable())
        processNext(*sharedQueue_, none);
}

void DispatchGroup::State::processNext(WaitQueue& queue, std::size_t owner)
{
    auto const item = queue.pop();
    auto const ticket = item->ticket;
    auto const& request = waiting_.at(ticket).request;
    if (!canMeetDeadline(request, {}, marginAfterWait)) {
        refuseWaiting(ticket, RefusalReason::DeadlineUnreachable, jittered(minRetryAfter));
        return;
    }
    if (isQuarantined(request)) {
        refuseWaiting(ticket, RefusalReason::Quarantined);
        return;
    }
    if (isSuspect(request) || exceedsFingerprintLimit(request)) {
        // While the request waited, it became a suspect or other requests reached the limit of its fingerprint.
        auto& waiting = waiting_.at(ticket);
        waiting.isolated = true;
        suspects_.push_back(ticket);
        return;
    }
    grant(ticket, request, owner == none ? chooseServer(request, false) : owner, false);
    eraseWaiting(ticket);
}

/// Runs each suspect on a server without other work, so that a second crash is certainly caused by the suspect and no
/// unrelated request is suspected together with it.
void DispatchGroup::State::grantSuspects()
{
    if (suspects_.empty() || !canGrant())
        return;
    auto const tickets = suspects_;
    for (auto const ticket : tickets) {
        auto const& waiting = waiting_.at(ticket);
        if (crashes_.isQuarantined(now_, waiting.request.fingerprint))
            refuseWaiting(ticket, RefusalReason::Quarantined);
        else if (waiting.request.deadline <= now_)
            refuseWaiting(ticket, RefusalReason::DeadlineUnreachable, jittered(minRetryAfter));
        else if (tryGrantSuspect(ticket))
            eraseWaiting(ticket);
    }
}

bool DispatchGroup::State::tryGrantSuspect(TicketId ticket)
{
    auto const& waiting = waiting_.at(ticket);
    auto target = waiting.owner;
    if (!isSuspect(waiting.request)) {
        if (exceedsFingerprintLimit(waiting.request))
            return false;
        auto const free = target == none ? chooseServer(waiting.request, false) : target;
        if (free == none || !isAvailable(servers_[free]))
            return false;
        grant(ticket, waiting.request, free, false);
        return true;
    }
    if (isFingerprintLimited(waiting.request.fingerprint) && fingerprintLimiter_.isRunning(waiting.request.fingerprint))
        return false;
    if (target == none)
        target = suspectServer_;
    if (target == none) {
        target = chooseServer(waiting.request, false);
        if (target == none)
            return false;
        suspectServer_ = target;
    }
    return tryGrantIsolated(ticket, target);
}

bool DispatchGroup::State::tryGrantIsolated(TicketId ticket, std::size_t index)
{
    auto& server = servers_[index];
    if (!isUsable(server) || server.ejected) {
        releaseReservation(index);
        return false;
    }
    if (!server.reserved) {
        server.reserved = true;
        ++reservedServers_;
        updateAvailability(index);
    }
    if (server.inFlight > 0)
        return false;
    server.runsSuspect = true;
    grant(ticket, waiting_.at(ticket).request, index, true);
    return true;
}

void DispatchGroup::State::releaseReservation(std::size_t index)
{
    if (servers_[index].reserved)
        --reservedServers_;
    servers_[index].reserved = false;
    if (suspectServer_ == index)
        suspectServer_ = none;
    updateAvailability(index);
}

void DispatchGroup::State::handle(Cancel const& event)
{
    auto const found = waiting_.find(event.ticket);
    if (found == waiting_.end())
        return;
    if (!found->second.isolated)
        queueFor(found->second.owner).remove(found->second.item);
    refuseWaiting(event.ticket, RefusalReason::Cancelled);
    releaseUnusedReservations();
}

void DispatchGroup::State::expireWaiting()
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now_) {
        auto const ticket = deadlines_.begin()->second;
        auto const& waiting = waiting_.at(ticket);
        if (!waiting.isolated)
            queueFor(waiting.owner).remove(waiting.item);
        refuseWaiting(ticket, RefusalReason::DeadlineUnreachable, jittered(minRetryAfter));
    }
    releaseUnusedReservations();
}

/// Releases the reservations of servers for which no suspect is waiting any more.
void DispatchGroup::State::releaseUnusedReservations()
{
    for (std::size_t index = 0; reservedServers_ > 0 && index < servers_.size(); ++index) {
        if (!servers_[index].reserved || servers_[index].runsSuspect)
            continue;
        auto const wanted = std::ranges::any_of(suspects_, [&](TicketId ticket) {
            auto const owner = waiting_.at(ticket).owner;
            return owner == index || (owner == none && suspectServer_ == index);
        });
        if (!wanted)
            releaseReservation(index);
    }
}

} // namespace Policy
