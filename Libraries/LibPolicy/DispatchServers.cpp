#include <LibPolicy/DispatchState.h>

#include <algorithm>

namespace Policy {

namespace {
    // A load report is ignored after this time.
    constexpr Core::Duration loadReportLifetime = std::chrono::seconds(2);
    // Bounds the effect of a wrong load report: it shifts at most this many requests away from a server.
    constexpr double maxExternalLoad = 2;
    // Bounds the latency table: all further routes share the last entry.
    constexpr std::size_t maxRoutes = 256;
    // When a server with requests in flight has made no progress for more than this many average holding times, its
    // slowness is at least the number of these holding times.
    constexpr double stallThreshold = 3;
    // Lower bound of the divisor in `effectiveSlowness`, which keeps the result finite.
    constexpr double minReferenceSlowness = 0.05;
} // namespace

DispatchGroup::State::State(DispatchSettings const& settings, DispatchPolicies policies, std::uint64_t seed)
    : settings_(settings)
    , policies_(std::move(policies))
    , random_(seed)
    , crashes_(settings.quarantine)
    , fingerprintLimiter_(settings.quarantine.serversToQuarantine)
    , sharedQueue_(policies_.makeQueue())
{
}

void DispatchGroup::State::begin(Core::TimePoint now, std::vector<Action>& actions)
{
    now_ = std::max(now_, now);
    actions_ = &actions;
}

void DispatchGroup::State::handle(ServerPresent const& event)
{
    auto const index = ensureServer(event.server);
    auto& server = servers_[index];
    auto const fresh
        = !server.present || server.incarnation != event.incarnation || (server.draining && !event.draining);
    auto const wasUsable = isUsable(server);
    server.present = true;
    server.draining = event.draining;
    server.incarnation = event.incarnation;
    server.slots = std::max(event.slots, 1U);
    server.limit->setSlots(server.slots);
    if (fresh) {
        server.limit->markCold(now_);
        server.slowness = 1;
        server.samples = 0;
        server.failuresInRow = 0;
        server.ejectionsInRow = 0;
        server.ejected = false;
        server.lastProgress = now_;
        server.registeredLimit = 0;
        server.registeredLimitAge = Core::Duration::max();
    }
    usableServers_ += isUsable(server) && !wasUsable ? 1 : 0;
    usableServers_ -= !isUsable(server) && wasUsable ? 1 : 0;
    updateAvailability(index);
    if (server.draining)
        refuseWaitingOnServer(index);
    grantWaiting(index);
}

void DispatchGroup::State::handle(ServerRemoved const& event)
{
    auto const found = serverIndex_.find(event.server);
    if (found == serverIndex_.end() || !servers_[found->second].present)
        return;
    auto const index = found->second;
    auto& server = servers_[index];
    usableServers_ -= isUsable(server) ? 1 : 0;
    server.present = false;
    updateAvailability(index);
    refuseWaitingOnServer(index);
    removeIfUnused(index);
}

void DispatchGroup::State::handle(ServerCold const& event)
{
    auto const found = serverIndex_.find(event.server);
    if (found == serverIndex_.end())
        return;
    servers_[found->second].limit->markCold(now_);
    updateAvailability(found->second);
}

void DispatchGroup::State::handle(LoadReport const& event)
{
    auto const found = serverIndex_.find(event.server);
    if (found == serverIndex_.end())
        return;
    auto& server = servers_[found->second];
    auto const others = event.inFlight > server.inFlight ? event.inFlight - server.inFlight : 0;
    server.externalInFlight = std::min(static_cast<double>(others), maxExternalLoad);
    server.reportedAt = now_;
    updateAvailability(found->second);
}

void DispatchGroup::State::handle(Start const&)
{
    if (started_ || stopped_)
        return;
    started_ = true;
    for (std::size_t index = 0; index < servers_.size(); ++index) {
        auto& server = servers_[index];
        server.limit->raiseLimitTo(std::max(server.inFlight, server.registeredLimit));
        updateAvailability(index);
    }
    for (std::size_t index = 0; index < servers_.size(); ++index)
        grantWaiting(index);
}

void DispatchGroup::State::handle(Stop const&)
{
    stopped_ = true;
    refuseAllWaiting(RefusalReason::NotDispatcher);
}

void DispatchGroup::State::handle(LeaseExtended const& event) { leaseUntil_ = event.until; }

void DispatchGroup::State::handle(RegisterHeld const& event)
{
    if (permits_.contains(event.permit.id))
        return;
    auto const index = ensureServer(event.permit.server);
    HeldPermit held { index, indexOfHolder(event.holder), indexOfRoute(event.route), event.fingerprint };
    held.grantedAt = now_;
    held.registered = true;
    permits_.emplace(event.permit.id, held);
    if (isFingerprintLimited(event.fingerprint))
        fingerprintLimiter_.onGranted(event.fingerprint);
    if (servers_[index].inFlight++ == 0)
        servers_[index].lastProgress = now_;
    updateAvailability(index);
}

void DispatchGroup::State::handle(HolderLost const& event)
{
    auto const holder = indexOfHolder(event.holder);
    for (auto& [id, permit] : permits_) {
        if (permit.holder != holder || permit.countedUntil)
            continue;
        permit.countedUntil = event.countedUntil;
        expiringPermits_.emplace(event.countedUntil, id);
    }
    std::vector<TicketId> tickets;
    for (auto const& [ticket, waiting] : waiting_) {
        if (waiting.request.holder == event.holder)
            tickets.push_back(ticket);
    }
    std::ranges::sort(tickets);
    for (auto const ticket : tickets)
        handle(Cancel { ticket });
}

void DispatchGroup::State::handle(RegisterLimit const& event)
{
    auto const found = serverIndex_.find(event.server);
    if (started_ || found == serverIndex_.end())
        return;
    auto& server = servers_[found->second];
    if (server.incarnation != event.incarnation || event.age >= server.registeredLimitAge)
        return;
    server.registeredLimit = event.limit;
    server.registeredLimitAge = event.age;
}

bool DispatchGroup::State::isAvailable(Server const& server) const
{
    return isUsable(server) && !server.ejected && !server.reserved && server.inFlight < server.limit->current();
}

/// Updates the server choice and the capacity of the group with the state of the server.
void DispatchGroup::State::updateAvailability(std::size_t index)
{
    auto& server = servers_[index];
    auto const limit = isUsable(server) && !server.ejected ? server.limit->current() : 0;
    capacity_ = capacity_ - server.countedLimit + limit;
    server.countedLimit = limit;
    if (isAvailable(server))
        policies_.choice->update(index, { server.inFlight, limit, effectiveSlowness(server), externalLoad(server) });
    else
        policies_.choice->exclude(index);
}

double DispatchGroup::State::effectiveSlowness(Server const& server) const
{
    if (server.inFlight == 0 || holdTime_.count() == 0)
        return server.slowness / referenceSlowness_;
    auto const stall
        = static_cast<double>((now_ - server.lastProgress).count()) / static_cast<double>(holdTime_.count());
    return (stall > stallThreshold ? std::max(server.slowness, stall) : server.slowness) / referenceSlowness_;
}

/// Sets the reference to the lower quartile of the slowness of the servers. The typical latency alone is not a usable
/// reference: with one slow server out of two it lies between the latencies of both.
void DispatchGroup::State::updateReferenceSlowness()
{
    std::vector<double> values;
    for (auto const& server : servers_) {
        if (isUsable(server) && !server.ejected && server.samples > 0)
            values.push_back(server.slowness);
    }
    if (values.empty())
        return;
    auto const quartile = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 4);
    std::ranges::nth_element(values, quartile);
    referenceSlowness_ = std::max(*quartile, minReferenceSlowness);
}

double DispatchGroup::State::externalLoad(Server const& server) const
{
    if (server.externalInFlight <= 0)
        return 0;
    auto const age = static_cast<double>((now_ - server.reportedAt).count());
    return server.externalInFlight * std::max(0.0, 1 - age / static_cast<double>(loadReportLifetime.count()));
}

std::size_t DispatchGroup::State::ensureServer(Core::ServerName const& name)
{
    auto const found = serverIndex_.find(name);
    if (found != serverIndex_.end())
        return found->second;
    auto index = servers_.size();
    if (freeIndexes_.empty()) {
        servers_.emplace_back();
    } else {
        index = freeIndexes_.back();
        freeIndexes_.pop_back();
        servers_[index] = Server {};
    }
    servers_[index].name = name;
    servers_[index].limit = policies_.makeLimit(name);
    servers_[index].queue = policies_.makeQueue();
    serverIndex_.emplace(name, index);
    updateAvailability(index);
    return index;
}

void DispatchGroup::State::removeIfUnused(std::size_t index)
{
    auto& server = servers_[index];
    if (server.present || server.inFlight > 0 || server.name.isEmpty())
        return;
    if (server.reserved)
        releaseReservation(index);
    serverIndex_.erase(server.name);
    server.name = {};
    freeIndexes_.push_back(index);
}

/// Refuses the waiting requests that only this leaving server may serve, and the requests of the shared queue as well
/// when it was the last usable server.
void DispatchGroup::State::refuseWaitingOnServer(std::size_t index)
{
    std::vector<TicketId> tickets;
    for (auto const& [ticket, waiting] : waiting_) {
        if (waiting.owner == index || (waiting.owner == none && usableServers_ == 0))
            tickets.push_back(ticket);
    }
    std::ranges::sort(tickets);
    for (auto const ticket : tickets) {
        auto const& waiting = waiting_.at(ticket);
        if (!waiting.isolated)
            queueFor(waiting.owner).remove(waiting.item);
        refuseWaiting(ticket, RefusalReason::NoServer);
    }
    releaseUnusedReservations();
}

void DispatchGroup::State::refuseAllWaiting(RefusalReason reason)
{
    while (!deadlines_.empty()) {
        auto const ticket = deadlines_.begin()->second;
        auto const& waiting = waiting_.at(ticket);
        if (!waiting.isolated)
            queueFor(waiting.owner).remove(waiting.item);
        refuseWaiting(ticket, reason);
    }
}

std::size_t DispatchGroup::State::indexOfHolder(Core::HostName const& holder)
{
    return holderIndex_.try_emplace(holder, holderIndex_.size()).first->second;
}

std::size_t DispatchGroup::State::indexOfRoute(Core::RouteName const& route)
{
    auto const found = routeIndex_.find(route);
    if (found != routeIndex_.end())
        return found->second;
    if (routes_.size() >= maxRoutes)
        return maxRoutes - 1;
    routeIndex_.emplace(route, routes_.size());
    routes_.emplace_back();
    return routes_.size() - 1;
}

std::vector<ServerStatus> DispatchGroup::State::servers() const
{
    std::vector<ServerStatus> result;
    for (auto const& server : servers_) {
        if (server.name.isEmpty())
            continue;
        result.push_back({ server.name, server.slots, server.limit->current(), server.inFlight, server.present,
            server.draining, server.limit->isCold(), server.ejected, server.slowness });
    }
    return result;
}

} // namespace Policy
