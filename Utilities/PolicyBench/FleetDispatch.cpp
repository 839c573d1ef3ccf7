#include "Fleet.h"

#include <algorithm>

namespace PolicyBench {

using namespace std::chrono_literals;

namespace {
    constexpr Core::Duration withinDomain = 100us;
    constexpr Core::Duration viewLease = 2s;
    // From the end of the lease until the last entry host has acknowledged the view and registered its permits.
    constexpr Core::Duration viewPropagation = 100ms;
    constexpr Core::Duration announceInterval = 300ms;
    constexpr Core::Duration grantExpiry = 1515ms;
    constexpr Core::Duration quotaInterval = 500ms;
    constexpr Core::Duration crashReportDelay = 50ms;
} // namespace

Fleet::Fleet(FleetSettings const& settings)
    : settings_(settings)
    , random_(settings.seed)
    , hostAlive_(settings.site.entryHosts, true)
    , knownLimits_(settings.site.servers)
{
    auto const& site = settings_.site;
    settings_.dispatch.kind = site.kind;
    for (std::size_t server = 0; server < site.servers; ++server) {
        backends.push_back(std::make_unique<Backend>(
            simulation, site.backend, "server" + std::to_string(server), settings.seed * 1000 + server));
        serverIndex_.emplace(backends[server]->name(), server);
        if (settings_.startWarm)
            backends[server]->becomeWarm();
        backends[server]->onReturn
            = [this, server] { simulation.after(announceInterval, [this, server] { announce(server, false); }); };
        backends[server]->onLost = [this, server] {
            simulation.after(grantExpiry, [this, server] {
                if (backends[server]->isDown())
                    announce(server, true);
            });
        };
    }
    if (settings_.enforcement == Enforcement::Quota) {
        quotas_ = std::make_unique<QuotaAllocator>(site.entryHosts, site.servers, site.backend.slots);
        if (settings_.startWarm)
            quotas_->assumeWarm(site.backend.slots);
        reallocate();
    }
    auto const count = settings_.enforcement == Enforcement::Permits ? 1 : site.entryHosts;
    for (std::size_t host = 0; host < count; ++host) {
        auto const dispatcher = addDispatcher(host);
        if (settings_.startWarm) {
            for (auto const& backend : backends)
                step(dispatcher, Policy::RegisterLimit { { backend->name() }, { 1 }, site.backend.slots });
        }
        step(dispatcher, Policy::Start {});
    }
}

Fleet::~Fleet() = default;

std::size_t Fleet::addDispatcher(std::size_t host)
{
    auto dispatch = settings_.dispatch;
    dispatch.permitPrefix = static_cast<std::uint32_t>(dispatchers_.size() + 1);
    auto decisions = settings_.decisions(dispatch);
    if (settings_.enforcement == Enforcement::Local)
        decisions.makeLimit = [](Core::ServerName const&) { return std::make_unique<AimdLimit>(); };
    if (settings_.enforcement == Enforcement::Quota)
        decisions.makeLimit = [this, host](Core::ServerName const& server) {
            return std::make_unique<QuotaLimit>(*quotas_, host, serverIndex_.at(server.value));
        };
    auto const index = dispatchers_.size();
    dispatchers_.push_back(
        { std::make_unique<Policy::DispatchGroup>(dispatch, std::move(decisions), settings_.seed + index), host });
    for (auto const& backend : backends) {
        if (!backend->isDown())
            step(index,
                Policy::ServerPresent {
                    { backend->name() }, { backend->incarnation() }, settings_.site.backend.slots });
    }
    tick(index);
    return index;
}

void Fleet::tick(std::size_t dispatcher)
{
    if (dispatchers_[dispatcher].lost)
        return;
    step(dispatcher, Policy::Tick {});
    simulation.after(Policy::tickInterval, [this, dispatcher] { tick(dispatcher); });
}

void Fleet::step(std::size_t dispatcher, Policy::Event const& event)
{
    auto& target = dispatchers_[dispatcher];
    if (target.lost)
        return;
    std::vector<Policy::Action> actions;
    target.group->step(now(), event, actions);
    for (auto const& action : actions) {
        if (auto const* granted = std::get_if<Policy::Granted>(&action)) {
            auto const host = requests_[tickets_.at(granted->ticket.value).request].host;
            simulation.after(
                delay(target.host, host), [this, dispatcher, granted = *granted] { onGranted(dispatcher, granted); });
        } else if (auto const* refused = std::get_if<Policy::Refused>(&action)) {
            auto const host = requests_[tickets_.at(refused->ticket.value).request].host;
            simulation.after(delay(target.host, host), [this, refused = *refused] { onRefused(refused); });
        } else if (auto const* crash = std::get_if<Policy::CrashSuspected>(&action)) {
            simulation.after(crashReportDelay, [this, dispatcher, crash = *crash] {
                for (std::size_t other = 0; other < dispatchers_.size(); ++other) {
                    if (other != dispatcher)
                        step(other, Policy::SuspicionAdded { crash.fingerprint, crash.server });
                }
            });
        }
    }
}

void Fleet::release(
    std::size_t host, Attempt const& attempt, Policy::AttemptOutcome outcome, Core::Duration latency, bool unreachable)
{
    if (outcome != Policy::AttemptOutcome::NotSent)
        noteInFlight(host, attempt.server, -1);
    auto const dispatcher = attempt.dispatcher;
    if (dispatchers_[dispatcher].lost || !hostAlive_[host])
        return;
    simulation.after(delay(host, dispatchers_[dispatcher].host),
        [this, dispatcher, report = Policy::ReleaseReport { attempt.permit.id, outcome, latency, unreachable }] {
            step(dispatcher, Policy::Release { report });
        });
}

void Fleet::announce(std::size_t server, bool removed)
{
    auto const& backend = *backends[server];
    for (std::size_t dispatcher = 0; dispatcher < dispatchers_.size(); ++dispatcher) {
        if (removed)
            step(dispatcher, Policy::ServerRemoved { { backend.name() } });
        else
            step(dispatcher,
                Policy::ServerPresent { { backend.name() }, { backend.incarnation() }, settings_.site.backend.slots });
    }
}

void Fleet::killHost(std::size_t host)
{
    hostAlive_[host] = false;
    for (auto& request : requests_) {
        if (request.host != host || request.done)
            continue;
        request.done = true;
        ++results.failed;
        for (auto const& [id, attempt] : request.live) {
            if (attempt.started)
                backends[attempt.server]->cancel(attempt.job);
            noteInFlight(host, attempt.server, -1);
        }
        request.live.clear();
    }
    if (quotas_) {
        quotas_->freeze(host);
        simulation.after(viewLease, [this, host] { quotas_->retire(host); });
    }
    if (settings_.enforcement != Enforcement::Permits) {
        dispatchers_[host].lost = true;
        return;
    }
    auto const current = dispatchers_.size() - 1;
    if (dispatchers_[current].host != host) {
        step(current, Policy::HolderLost { { "entry" + std::to_string(host) }, now() + viewLease });
        return;
    }
    dispatchers_[current].lost = true;
    simulation.after(viewLease + viewPropagation, [this] { takeOver(); });
}

/// A new dispatcher starts after all entry hosts have registered the permits they hold. They ask again for everything
/// that the lost dispatcher had not answered.
void Fleet::takeOver()
{
    auto const host = static_cast<std::size_t>(std::ranges::find(hostAlive_, true) - hostAlive_.begin());
    auto const dispatcher = addDispatcher(host);
    for (auto& request : requests_) {
        for (auto& [id, attempt] : request.live) {
            step(dispatcher,
                Policy::RegisterHeld {
                    attempt.permit, request.acquire.holder, request.acquire.route, request.acquire.fingerprint });
            attempt.dispatcher = dispatcher;
        }
    }
    for (std::size_t server = 0; server < backends.size(); ++server) {
        auto const& known = knownLimits_[server];
        step(dispatcher,
            Policy::RegisterLimit {
                { backends[server]->name() }, { known.incarnation }, known.limit, now() - known.at });
    }
    step(dispatcher, Policy::Start {});
    std::vector<Ticket> unanswered;
    for (auto const& [ticket, content] : tickets_)
        unanswered.push_back(content);
    tickets_.clear();
    std::ranges::sort(unanswered, {}, &Ticket::request);
    for (auto const& ticket : unanswered) {
        auto& request = requests_[ticket.request];
        request.pending = 0;
        if (!request.done && ticket.kind != Policy::AttemptKind::Hedge)
            submit(ticket.request, Policy::AttemptKind::First, std::nullopt);
    }
}

void Fleet::reallocate()
{
    quotas_->allocate();
    simulation.after(quotaInterval, [this] { reallocate(); });
}

void Fleet::noteDemand(Request const& request)
{
    if (!quotas_)
        return;
    if (request.acquire.owner) {
        quotas_->noteDemand(request.host, serverIndex_.at(request.acquire.owner->value));
        return;
    }
    for (std::size_t server = 0; server < backends.size(); ++server)
        quotas_->noteDemand(request.host, server);
}

void Fleet::noteInFlight(std::size_t host, std::size_t server, int change)
{
    if (quotas_)
        quotas_->noteInFlight(host, server, change);
}

std::size_t Fleet::dispatcherFor(std::size_t host) const
{
    return settings_.enforcement == Enforcement::Permits ? dispatchers_.size() - 1 : host;
}

std::size_t Fleet::dispatcherHost() const { return dispatchers_.back().host; }

std::size_t Fleet::aliveHost()
{
    auto host = random_.below(hostAlive_.size());
    while (!hostAlive_[host])
        host = random_.below(hostAlive_.size());
    return host;
}

Core::Duration Fleet::delay(std::size_t hostA, std::size_t hostB) const
{
    if (hostA == hostB)
        return {};
    auto const domains = settings_.site.failureDomains;
    return hostA % domains == hostB % domains ? withinDomain : settings_.site.oneWay;
}

Core::Duration Fleet::delayToServer(std::size_t host, std::size_t server) const
{
    auto const domains = settings_.site.failureDomains;
    return host % domains == server % domains ? withinDomain : settings_.site.oneWay;
}

Backend::Counts Fleet::totals() const
{
    Backend::Counts total;
    for (auto const& backend : backends) {
        total.arrived += backend->counts.arrived;
        total.exceeded += backend->counts.exceeded;
        total.peakRatio = std::max(total.peakRatio, backend->counts.peakRatio);
        total.crashes += backend->counts.crashes;
        total.collapses += backend->counts.collapses;
    }
    return total;
}

Policy::DispatchCounters Fleet::counters() const
{
    Policy::DispatchCounters total;
    for (auto const& dispatcher : dispatchers_) {
        auto const& counters = dispatcher.group->counters();
        total.granted += counters.granted;
        total.retries += counters.retries;
        total.hedges += counters.hedges;
        total.ejections += counters.ejections;
        total.markedCold += counters.markedCold;
    }
    return total;
}

} // namespace PolicyBench
