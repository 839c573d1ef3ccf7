#include "Fleet.h"

#include <LibPolicy/RetryRule.h>

#include <algorithm>
#include <cmath>

namespace PolicyBench {

using namespace std::chrono_literals;
using Policy::AttemptKind;
using Policy::AttemptOutcome;

namespace {
    constexpr std::uint64_t callerCount = 20;
    constexpr Core::Duration resendDelay = 50ms;
    constexpr Core::Duration resultInterval = 100ms;
    constexpr std::uint64_t crasherMark = 0xC0;
} // namespace

double Results::quantile(double q)
{
    if (latencies.empty())
        return 0;
    auto const index = static_cast<std::size_t>(q * static_cast<double>(latencies.size() - 1));
    std::ranges::nth_element(latencies, latencies.begin() + static_cast<std::ptrdiff_t>(index));
    return latencies[index];
}

void Fleet::run(Core::Duration duration)
{
    auto const running = end_ != Core::TimePoint {};
    end_ = now() + duration;
    if (!running)
        arrive();
    simulation.runUntil(end_);
}

void Fleet::resetResults()
{
    results = {};
    resultsSince_ = now();
    for (auto& backend : backends)
        backend->counts = {};
}

/// Poisson arrivals at random entry hosts.
void Fleet::arrive()
{
    auto const rate = settings_.load * settings_.site.capacity();
    auto const gap = -std::log(1 - random_.unit()) / rate * 1e9;
    simulation.after(Core::Duration { static_cast<Core::Duration::rep>(gap) }, [this] {
        begin(addRequest());
        arrive();
    });
}

std::size_t Fleet::addRequest()
{
    Request request;
    request.arrival = now();
    request.host = aliveHost();
    auto& acquire = request.acquire;
    acquire.requestId = { random_.next(), random_.next() };
    acquire.holder = { "entry" + std::to_string(request.host) };
    acquire.pool = { settings_.site.name };
    if (settings_.site.kind == Routing::PoolKind::KeyPartitioned)
        acquire.owner = Core::ServerName { backends[random_.below(backends.size())]->name() };
    acquire.route = { "route" };
    acquire.caller = { "caller" + std::to_string(random_.below(callerCount)) };
    acquire.requestClass = random_.unit() < settings_.idempotentShare ? Routing::RequestClass::Idempotent
                                                                      : Routing::RequestClass::NonIdempotent;
    acquire.deadline = now() + settings_.site.deadline;
    acquire.fingerprint = { ++lastFingerprint_, 0 };
    requests_.push_back(std::move(request));
    return requests_.size() - 1;
}

void Fleet::sendCrasher(std::uint64_t fingerprint, std::uint32_t resends, std::uint32_t parallel)
{
    for (std::uint32_t i = 0; i < parallel; ++i) {
        auto const index = addRequest();
        auto& request = requests_[index];
        request.crasher = true;
        request.resends = resends;
        request.acquire.fingerprint = { fingerprint, crasherMark };
        bindToOwner(request.acquire, fingerprint);
        begin(index);
    }
}

/// The same key has the same owner, until that one is lost.
void Fleet::bindToOwner(Policy::AcquireRequest& request, std::uint64_t key) const
{
    if (!request.owner)
        return;
    for (std::size_t step = 0; step < backends.size(); ++step) {
        auto const& backend = *backends[(key + step) % backends.size()];
        if (!backend.isDown()) {
            request.owner = Core::ServerName { backend.name() };
            return;
        }
    }
}

void Fleet::begin(std::size_t index)
{
    ++results.offered;
    simulation.at(requests_[index].acquire.deadline, [this, index] { onDeadline(index); });
    submit(index, AttemptKind::First, std::nullopt);
}

void Fleet::submit(std::size_t index, AttemptKind kind, std::optional<AttemptOutcome> previous)
{
    auto& request = requests_[index];
    Policy::TicketId const ticket { ++lastTicket_ };
    tickets_.emplace(ticket.value, Ticket { index, kind });
    ++request.pending;
    auto const dispatcher = dispatcherFor(request.host);
    if (dispatchers_[dispatcher].lost)
        return;
    Policy::Acquire event { ticket, request.acquire };
    event.request.kind = kind;
    event.request.previousOutcome = previous;
    event.request.excluded = request.tried;
    noteDemand(request);
    simulation.after(delay(request.host, dispatchers_[dispatcher].host),
        [this, dispatcher, event = std::move(event)] { step(dispatcher, event); });
}

void Fleet::onGranted(std::size_t dispatcher, Policy::Granted const& granted)
{
    auto const found = tickets_.find(granted.ticket.value);
    auto const index = found->second.request;
    tickets_.erase(found);
    auto& request = requests_[index];
    --request.pending;
    Attempt attempt { granted.permit, dispatcher, serverIndex_.at(granted.permit.server.value) };
    attempt.sentAt = now();
    if (!hostAlive_[request.host])
        return;
    if (request.done) {
        release(request.host, attempt, AttemptOutcome::NotSent, {}, false);
        return;
    }
    auto const id = granted.permit.id.value;
    knownLimits_[attempt.server] = { backends[attempt.server]->incarnation(), granted.permit.limit, now() };
    request.live.emplace(id, attempt);
    ++request.attemptsMade;
    request.tried.push_back(granted.permit.server);
    ++results.attempts;
    noteInFlight(request.host, attempt.server, 1);
    simulation.after(delayToServer(request.host, attempt.server), [this, index, id] { sendToBackend(index, id); });
    if (granted.permit.hedgeAfter)
        scheduleHedge(index, id, *granted.permit.hedgeAfter);
}

void Fleet::sendToBackend(std::size_t index, std::uint64_t id)
{
    auto& request = requests_[index];
    auto const found = request.live.find(id);
    if (found == request.live.end())
        return;
    auto const server = found->second.server;
    auto const host = request.host;
    found->second.started = true;
    auto const job = backends[server]->start(request.crasher, [this, index, id, server, host](JobEnd end) {
        simulation.after(delayToServer(host, server), [this, index, id, end] { onEnd(index, id, end); });
    });
    found->second.job = job;
}

void Fleet::onEnd(std::size_t index, std::uint64_t id, JobEnd end)
{
    auto& request = requests_[index];
    auto const found = request.live.find(id);
    if (found == request.live.end())
        return;
    auto const attempt = found->second;
    request.live.erase(found);
    release(request.host, attempt, end.outcome, now() - attempt.sentAt, end.unreachable);
    if (request.done)
        return;
    if (end.outcome != AttemptOutcome::Answered) {
        if (request.live.empty())
            retryOrFail(index, end.outcome);
        return;
    }
    request.done = true;
    abandonAttempts(request, AttemptOutcome::Cancelled);
    ++results.answered;
    results.latencies.push_back(std::chrono::duration<double, std::milli>(now() - request.arrival).count());
    auto const interval = static_cast<std::size_t>((now() - resultsSince_) / resultInterval);
    if (results.answeredPerInterval.size() <= interval)
        results.answeredPerInterval.resize(interval + 1);
    ++results.answeredPerInterval[interval];
}

void Fleet::scheduleHedge(std::size_t index, std::uint64_t id, Core::Duration after)
{
    simulation.after(after, [this, index, id, after] {
        auto const& request = requests_[index];
        if (request.done || !request.live.contains(id) || !hostAlive_[request.host])
            return;
        // A refused hedge is asked for again: another server may be free by then.
        if (request.live.size() == 1 && request.pending == 0)
            submit(index, AttemptKind::Hedge, std::nullopt);
        scheduleHedge(index, id, after);
    });
}

void Fleet::onRefused(Policy::Refused const& refused)
{
    auto const found = tickets_.find(refused.ticket.value);
    auto const ticket = found->second;
    tickets_.erase(found);
    auto& request = requests_[ticket.request];
    --request.pending;
    if (refused.refusal.reason == Policy::RefusalReason::Quarantined) {
        ++(request.crasher ? quarantineRefusals : innocentQuarantined);
        request.resends = 0;
    }
    if (!request.done && request.live.empty() && request.pending == 0)
        fail(ticket.request, ticket.kind == AttemptKind::First);
}

void Fleet::retryOrFail(std::size_t index, AttemptOutcome outcome)
{
    auto& request = requests_[index];
    if (request.pending > 0)
        return;
    auto const plan = settings_.retries
        ? Policy::planRetry(now(), request.acquire.deadline, request.acquire.requestClass, outcome,
            request.attemptsMade, settings_.site.backend.meanService, random_)
        : std::nullopt;
    if (!plan) {
        fail(index, false);
        return;
    }
    simulation.after(plan->delay, [this, index, outcome] {
        if (!requests_[index].done)
            submit(index, AttemptKind::Retry, outcome);
    });
}

void Fleet::fail(std::size_t index, bool refused)
{
    auto& request = requests_[index];
    request.done = true;
    ++(refused ? results.refused : results.failed);
    if (request.resends == 0)
        return;
    simulation.after(resendDelay, [this, index] {
        auto const next = addRequest();
        auto& resent = requests_[next];
        resent.crasher = true;
        resent.resends = requests_[index].resends - 1;
        resent.acquire.fingerprint = requests_[index].acquire.fingerprint;
        bindToOwner(resent.acquire, resent.acquire.fingerprint.high);
        begin(next);
    });
}

void Fleet::onDeadline(std::size_t index)
{
    auto& request = requests_[index];
    if (request.done)
        return;
    fail(index, request.live.empty() && request.attemptsMade == 0);
    abandonAttempts(request, AttemptOutcome::TimedOut);
}

void Fleet::abandonAttempts(Request& request, AttemptOutcome outcome)
{
    auto const live = std::move(request.live);
    request.live.clear();
    for (auto const& [id, attempt] : live) {
        if (attempt.started)
            backends[attempt.server]->cancel(attempt.job);
        release(request.host, attempt, outcome, {}, false);
    }
}

} // namespace PolicyBench
