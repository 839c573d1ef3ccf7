#include <LibFleet/Coordinator.h>
#include <LibFleet/View.h>

#include <algorithm>
#include <cmath>

namespace Fleet {

namespace {

    /// The margin that is added to a lease, beside the clock drift, for the delay until heartbeats are processed.
    constexpr Core::Duration leaseMargin = std::chrono::milliseconds(150);
    /// The time without heartbeats after which a server is removed.
    constexpr Core::Duration serverExpiry = std::chrono::seconds(25);
    /// The number of answers over which the service time of a server is averaged. The standard deviation of the service
    /// time is about its mean, so that 30 answers give an error of a fifth. A server of two slots needs about five
    /// seconds for 30 answers.
    constexpr double averagedAnswers = 30;
    /// The weight, in answers, of the pool's mean as the initial estimate of a server's service time.
    constexpr double assumedAnswers = 8;
    /// The revocation of a range is deferred to a later heartbeat of the owner, unless the next owner's heartbeat
    /// follows within this time.
    constexpr Core::Duration maxHandoverGap = std::chrono::milliseconds(500);
    /// The maximum delay of a revocation from a draining owner, after which entry hosts stop sending requests to it.
    constexpr Core::Duration maxDrainDelay = View::drainGrace;
    /// The maximum delay of a revocation for any other reason. It is shorter than the time for which entry hosts still
    /// send requests to an owner whose failure domain is out of service.
    constexpr Core::Duration maxMoveDelay = std::chrono::milliseconds(2200);
    static_assert(maxMoveDelay < View::evacuationGrace);
    /// The number of refused connections, and the time without a heartbeat or answer, after which the process of a
    /// server has probably ended.
    constexpr std::uint32_t minRefusals = 3;
    constexpr Core::Duration minRefusalTime = std::chrono::milliseconds(900);
    /// The maximum size of the ranges in the answer to a heartbeat, which is limited to 4 KiB including its framing.
    constexpr std::size_t maxGrantBytes = 3900;
    /// The size of a range in the answer to a heartbeat without its handover text.
    constexpr std::size_t bytesPerRange = 25;
    bool covers(std::uint32_t first, std::uint32_t last, KeyRange const& range)
    {
        return first <= range.first && range.last <= last;
    }

    bool overlaps(std::uint32_t first, std::uint32_t last, KeyRange const& range)
    {
        return first <= range.last && range.first <= last;
    }

} // namespace

Coordinator::Coordinator(State const& state, CoordinatorSettings const& settings, Core::TimePoint now)
    : state_(state)
    , settings_(settings)
    , startedAt_(now)
    , quotas_(settings.quotas, now)
    , lastBalance_(now)
    , returning_(settings.heartbeatInterval)
{
    for (auto const& [number, server] : state_.servers()) {
        if (server.isDraining)
            crashSuspects_.onLeaving(number);
    }
    for (auto const& [name, pool] : state_.pools()) {
        for (auto const& range : state_.keyRanges({ name })) {
            auto& rangeState = ranges_[{ name }][range.first];
            rangeState.isGranted = range.owner != 0;
            rangeState.publishedOwner = range.owner;
        }
    }
}

Core::TimePoint Coordinator::leaseEnd(ServerNumber number) const
{
    auto const found = leases_.find(number);
    if (found != leases_.end())
        return found->second;
    // The previous leader may have renewed the lease until this leader took over.
    auto const lease = std::chrono::duration_cast<Core::Duration>(settings_.leaseDuration * (1 + settings_.clockDrift));
    return startedAt_ + lease + leaseMargin;
}

bool Coordinator::isStale(ServerRecord const& known, Heartbeat const& heartbeat) const
{
    if (heartbeat.server.bornMs < known.bornMs)
        return true;
    // An incarnation never changes its address or pool, so another process sent this heartbeat.
    if (heartbeat.server.bornMs == known.bornMs
        && (heartbeat.server.address != known.address || heartbeat.server.pool != known.pool))
        return true;
    auto const found = servers_.find(known.number);
    return heartbeat.server.bornMs == known.bornMs && found != servers_.end()
        && heartbeat.sequence <= found->second.lastSequence;
}

bool Coordinator::isPresumedDown(ServerNumber number, Core::TimePoint now) const
{
    auto const found = servers_.find(number);
    if (found == servers_.end() || !found->second.hasHeartbeat)
        return false;
    auto const& server = found->second;
    auto const isOverdue = now - server.lastHeartbeat > settings_.heartbeatInterval * 5 / 4;
    return server.refusals >= minRefusals && now - server.refusedSince >= minRefusalTime && isOverdue;
}

Core::TimePoint Coordinator::nextHeartbeat(ServerNumber number, Core::TimePoint from) const
{
    auto const found = servers_.find(number);
    if (found == servers_.end() || !found->second.hasHeartbeat)
        return from + settings_.heartbeatInterval;
    auto const since = from - found->second.lastHeartbeat;
    if (since <= Core::Duration::zero())
        return found->second.lastHeartbeat;
    auto const intervals = (since + settings_.heartbeatInterval - Core::Duration(1)) / settings_.heartbeatInterval;
    return found->second.lastHeartbeat + intervals * settings_.heartbeatInterval;
}

/// Whether a range that has a next owner is revoked in the answer to this heartbeat of its owner, rather than to a
/// later one that is followed sooner by a heartbeat of the next owner.
bool Coordinator::mustRevokeNow(RangeState const& state, ServerRecord const& owner, Core::TimePoint now) const
{
    if (state.isRevoked || state.isProposed)
        return true;
    auto const maxDelay = owner.isDraining ? maxDrainDelay : maxMoveDelay;
    // The next heartbeat would exceed the maximum delay.
    if (now - state.targetSince + settings_.heartbeatInterval >= maxDelay)
        return true;
    return nextHeartbeat(state.target, now + releaseTime) - now <= maxHandoverGap;
}

std::string_view describe(IgnoredHeartbeat reason)
{
    switch (reason) {
    case IgnoredHeartbeat::Stale:
        return "stale";
    case IgnoredHeartbeat::Removed:
        return "removed";
    case IgnoredHeartbeat::Superseded:
        return "superseded";
    }
    return "";
}

Admission Coordinator::admit(Core::TimePoint now, Heartbeat const& heartbeat)
{
    auto const& name = heartbeat.server.name;
    auto const bornMs = heartbeat.server.bornMs;
    auto const* const known = state_.findServer(name);
    if (known && bornMs <= known->bornMs) {
        if (isStale(*known, heartbeat))
            return { std::nullopt, false, IgnoredHeartbeat::Stale };
        if (known->isDraining || !heartbeat.isDraining)
            return {};
        Command command;
        command.servers.draining.push_back(known->number);
        return { std::move(command), false, std::nullopt };
    }
    auto const isSuperseded = std::ranges::any_of(state_.servers(), [&](auto const& entry) {
        return entry.second.address == heartbeat.server.address && entry.second.bornMs >= heartbeat.server.bornMs;
    });
    if (isSuperseded || state_.isSuperseded(name, bornMs))
        return { std::nullopt, false, IgnoredHeartbeat::Superseded };
    auto const isReturn = state_.hasDeparted(name, bornMs);
    if (isReturn && !returning_.onHeartbeat(heartbeat, now))
        return { std::nullopt, false, IgnoredHeartbeat::Removed };
    Command command;
    auto& joined = command.servers.joined.emplace_back(heartbeat.server);
    joined.isDraining = heartbeat.isDraining;
    // A process that drains ends; its later heartbeats cannot take that back.
    if (auto const* const departed = state_.findDeparted(name, bornMs)) {
        joined.firstNumber = departed->process;
        joined.isDraining = joined.isDraining || departed->wasDraining;
    }
    return { std::move(command), isReturn, std::nullopt };
}

std::optional<Command> Coordinator::leave(Core::ServerName const& name) const
{
    auto const* const known = state_.findServer(name);
    if (!known)
        return std::nullopt;
    Command command;
    command.servers.removed.push_back(known->number);
    return command;
}

std::optional<Grant> Coordinator::answer(Core::TimePoint receivedAt, Core::TimePoint now, Heartbeat const& heartbeat)
{
    auto const* const known = state_.findServer(heartbeat.server.name);
    if (!known || known->bornMs != heartbeat.server.bornMs || isStale(*known, heartbeat))
        return std::nullopt;
    auto& server = servers_[known->number];
    server.bornMs = known->bornMs;
    server.lastSequence = heartbeat.sequence;
    server.lastHeartbeat = now;
    auto const isFirst = !std::exchange(server.hasHeartbeat, true);
    server.refusals = 0;
    auto const coldUntil
        = heartbeat.warmupLeft > Core::Duration::zero() ? now + heartbeat.warmupLeft : Core::TimePoint {};
    auto const wasCold = server.coldUntil.value_or(Core::TimePoint {}) > now;
    // Entry hosts that know nothing of the server take it for cold until they are told.
    if (isFirst || (coldUntil > now) != wasCold)
        coldChanges_.push_back(known->number);
    server.coldUntil = coldUntil;
    auto const* const pool = state_.findPool(known->pool);
    if (!pool || !pool->isKeyDivided)
        return std::nullopt;
    processReleases(*known, heartbeat);
    if (known->isDraining || !mayOwn(*known, now))
        planServer(*pool, known->number, now);
    auto grant = makeGrant(*known, heartbeat, now);
    auto const lease = std::chrono::duration_cast<Core::Duration>(settings_.leaseDuration * (1 + settings_.clockDrift));
    leases_[known->number] = receivedAt + lease + leaseMargin;
    return grant;
}

/// Proposes the next owner of the ranges that the server has released.
void Coordinator::processReleases(ServerRecord const& server, Heartbeat const& heartbeat)
{
    auto& rangeStates = ranges_[server.pool];
    for (auto const& range : state_.keyRanges(server.pool)) {
        if (range.owner != server.number)
            continue;
        auto& state = rangeStates[range.first];
        if (!state.isRevoked || state.isProposed || state.target == 0)
            continue;
        auto const isHeld = std::ranges::any_of(
            heartbeat.holds, [&](auto const& held) { return overlaps(held.first, held.last, range); });
        if (isHeld)
            continue;
        auto const release = std::ranges::find_if(
            heartbeat.released, [&](auto const& released) { return covers(released.first, released.last, range); });
        propose(server.pool, range, state, state.target, release == heartbeat.released.end() ? "" : release->handover);
    }
}

Grant Coordinator::makeGrant(ServerRecord const& server, Heartbeat const& heartbeat, Core::TimePoint now)
{
    Grant grant;
    grant.leaseDuration = settings_.leaseDuration;
    auto& rangeStates = ranges_[server.pool];
    std::size_t bytes = 0;
    for (auto const& range : state_.keyRanges(server.pool)) {
        if (range.owner != server.number)
            continue;
        auto& state = rangeStates[range.first];
        auto const isLeaving = (state.target != 0 && state.target != server.number) || state.isProposed;
        if (isLeaving && mustRevokeNow(state, server, now)) {
            state.isRevoked = true;
            publish(server.pool, range, state);
            continue;
        }
        auto const isHeld = std::ranges::any_of(heartbeat.holds, [&](auto const& held) {
            return held.fence == range.fence && held.first <= range.first && range.last <= held.last;
        });
        auto const handover = isHeld ? std::string() : range.handover;
        auto const needed = bytesPerRange + handover.size();
        // Ranges that do not fit are granted with the next heartbeat. The server releases every range that is omitted,
        // even if it holds it.
        if (bytes + needed > maxGrantBytes) {
            state.isGranted = false;
            publish(server.pool, range, state);
            continue;
        }
        bytes += needed;
        grant.ranges.push_back({ range.first, range.last, range.owner, range.fence, handover });
        state.isGranted = true;
        if (!isLeaving)
            state.target = 0;
        state.isRevoked = false;
        publish(server.pool, range, state);
    }
    return grant;
}

void Coordinator::propose(
    Core::PoolName const& pool, KeyRange const& range, RangeState& state, ServerNumber to, std::string handover)
{
    state.isProposed = true;
    pending_.assignments.push_back({ pool, range.first, range.last, to, std::move(handover) });
}

void Coordinator::publish(Core::PoolName const& pool, KeyRange const& range, RangeState& state)
{
    auto const isServed = state.isGranted && !state.isRevoked && state_.findServer(range.owner);
    auto const owner = isServed ? range.owner : 0;
    if (owner == state.publishedOwner)
        return;
    state.publishedOwner = owner;
    // The load that a new owner can handle is not known yet.
    state.admittedFraction = 1;
    rows_.push_back(makeRow(pool, range, state));
}

RangeRow Coordinator::makeRow(Core::PoolName const& pool, KeyRange const& range, RangeState const& state) const
{
    auto const wait = state.isRevoked || !state.isGranted ? settings_.heartbeatInterval : settings_.leaseDuration;
    auto const waitMs = state.publishedOwner == 0 ? Core::toMilliseconds(wait) : 0;
    return { pool, range.first, range.last, state.publishedOwner, waitMs, state.admittedFraction };
}

void Coordinator::onApplied(Core::TimePoint now, Command const& command, ApplyResult const& applied)
{
    noteEnds(now, command, applied);
    for (auto const number : applied.joined) {
        if (auto const* const server = state_.findServer(number))
            noteJoin(now, *server);
    }
    for (std::size_t i = 0; i < applied.removedServers.size(); ++i)
        noteRemoval(now, applied.removedServers[i], applied.removedNames[i]);
    if (!applied.removedServers.empty()) {
        for (auto& [pool, states] : ranges_) {
            for (auto const& range : state_.keyRanges(pool))
                publish(pool, range, states[range.first]);
        }
    }
    for (auto const& split : command.splits) {
        auto& rangeStates = ranges_[split.pool];
        auto const next = rangeStates.upper_bound(split.before - 1);
        if (next == rangeStates.begin() || (next != rangeStates.end() && next->first == split.before))
            continue;
        rangeStates[split.before] = std::prev(next)->second;
        wasSplit_ = true;
        for (auto const& range : state_.keyRanges(split.pool)) {
            // Entry hosts need the new range boundaries.
            if (range.first == split.before || range.last + 1 == split.before)
                rows_.push_back(makeRow(split.pool, range, rangeStates[range.first]));
        }
    }
    for (auto const& assignment : command.assignments) {
        auto& state = ranges_[assignment.pool][assignment.first];
        state.isProposed = false;
        state.isRevoked = false;
        state.isGranted = false;
        state.target = 0;
        state.movedAt = now;
        auto const keys = state_.keyRanges(assignment.pool);
        auto const range = std::ranges::lower_bound(keys, assignment.first, {}, &KeyRange::last);
        if (range != keys.end())
            publish(assignment.pool, *range, state);
    }
    if (command.domain && !command.domain->isEvacuated) {
        // The domain's servers may have become cold while they were out of service, so they count as cold until their
        // next heartbeat.
        for (auto const& [number, server] : state_.servers()) {
            auto const* const pool = state_.findPool(server.pool);
            if (server.domain != command.domain->domain || !pool)
                continue;
            servers_[number].coldUntil = now + std::chrono::milliseconds(pool->warmupMs);
            coldChanges_.push_back(number);
        }
    }
}

void Coordinator::noteJoin(Core::TimePoint now, ServerRecord const& server)
{
    joins_.try_emplace(server.pool, PoolJoins { now, now }).first->second.latest = now;
    // Heartbeats from before a return are as old as they were.
    if (auto const sequence = returning_.takeReturned(server.name, server.bornMs))
        servers_[server.number].lastSequence = sequence;
}

void Coordinator::noteRemoval(Core::TimePoint now, ServerNumber number, Core::ServerName const& name)
{
    occupancies_.remove(number);
    limits_.remove(number);
    auto const found = servers_.find(number);
    if (found == servers_.end() || !found->second.hasHeartbeat)
        return;
    auto const& server = found->second;
    if (now - server.lastHeartbeat > serverExpiry)
        returning_.onExpired(name, server.bornMs, server.lastSequence);
    else
        returning_.onLeft(name, server.bornMs, server.lastSequence);
}

void Coordinator::noteEnds(Core::TimePoint now, Command const& command, ApplyResult const& applied)
{
    for (auto const number : applied.changedServers)
        crashSuspects_.onLeaving(number);
    for (auto const number : applied.joined) {
        if (auto const* const server = state_.findServer(number); server && server->isDraining)
            crashSuspects_.onLeaving(number);
    }
    for (auto const number : applied.removedServers) {
        // A server that is replaced by a newer incarnation has not said that it ends.
        if (std::ranges::count(command.servers.removed, number) == 0)
            crashSuspects_.onCrash(number, now);
        crashSuspects_.onRemoved(number);
    }
}

void Coordinator::onLoadReport(Core::TimePoint now, LoadReport const& report)
{
    for (auto const& arrivals : report.arrivals) {
        auto& counts = keyArrivals_[arrivals.pool];
        for (auto const& [key, count] : arrivals.keys)
            counts[key] += count;
    }
    for (auto const& contact : report.contacts) {
        if (!state_.findServer(contact.server))
            continue;
        auto& server = servers_[contact.server];
        if (contact.answers > 0)
            server.refusals = 0;
        else if (std::exchange(server.refusals, server.refusals + contact.refusals) == 0)
            server.refusedSince = now;
    }
    for (auto const& latency : report.latencies) {
        if (latency.answers == 0)
            continue;
        auto const* const known = state_.findServer(latency.server);
        if (!known)
            continue;
        auto& server = servers_[latency.server];
        if (server.answers == 0) {
            server.meanMs = meanServiceSeconds(known->pool) * millisecondsPerSecond;
            server.answers = assumedAnswers;
        }
        auto const sum = server.meanMs * server.answers + latency.sumMs;
        server.answers += latency.answers;
        server.meanMs = sum / server.answers;
        server.answers = std::min(server.answers, averagedAnswers);
    }
    for (auto const& occupancy : report.occupancies) {
        if (state_.findServer(occupancy.server))
            occupancies_.add(occupancy.server, occupancy.reports, occupancy.requests);
    }
    for (auto const& row : report.requestLimits) {
        if (state_.findServer(row.server))
            limits_.update(row.server, toStatement(row, now), now);
    }
    for (auto const number : report.leaving) {
        auto const* const known = state_.findServer(number);
        if (known)
            crashSuspects_.onLeaving(number);
        if (known && !known->isDraining && !std::exchange(servers_[number].isDrainProposed, true))
            pending_.servers.draining.push_back(number);
    }
    for (auto const& suspicion : report.suspicions)
        crashSuspects_.suspect(suspicion.server, suspicion.fingerprint, now);
    for (auto const& fingerprint : report.harmless)
        crashSuspects_.clear(fingerprint, now);
}

Reservation Coordinator::reserve(Core::TimePoint now, ReservationRequest const& request)
{
    auto const& limit = request.limit;
    // The view of the entry host still contains a server that was removed.
    if (!state_.findServer(limit.server))
        return { false, settings_.heartbeatInterval };
    limits_.update(limit.server, toStatement(limit, now), now);
    return limits_.reserve(limit.server, std::chrono::milliseconds(request.patienceMs), now);
}

QuotaReply Coordinator::grantQuota(Core::TimePoint now, QuotaRequest const& request)
{
    auto const found = state_.workspaces().find(request.workspace.value);
    if (found != state_.workspaces().end() && found->second.item)
        return quotas_.grant(*found->second.item, request, now);
    // The view of the entry host still contains a workspace that was removed.
    quotas_.remove(request.workspace);
    return { request.id, 0, Core::toMilliseconds(settings_.quotas.window) };
}

bool Coordinator::isCold(ServerNumber number, Core::TimePoint now) const
{
    return remainingColdTime(number, now).value_or(Core::Duration::zero()) > Core::Duration::zero();
}

std::optional<Core::Duration> Coordinator::remainingColdTime(ServerNumber number, Core::TimePoint now) const
{
    auto const found = servers_.find(number);
    if (found == servers_.end() || !found->second.coldUntil)
        return std::nullopt;
    return std::max(*found->second.coldUntil - now, Core::Duration::zero());
}

void Coordinator::tick(Core::TimePoint now)
{
    for (auto const& [number, server] : state_.servers()) {
        auto const found = servers_.find(number);
        auto const lastHeartbeat
            = found != servers_.end() && found->second.hasHeartbeat ? found->second.lastHeartbeat : startedAt_;
        if (now - lastHeartbeat > serverExpiry)
            pending_.servers.removed.push_back(number);
    }
    for (auto const number : crashSuspects_.suspectedServers()) {
        if (isPresumedDown(number, now))
            crashSuspects_.onCrash(number, now);
    }
    crashSuspects_.tick(now);
    returning_.tick(now);
    plan(now);
    auto const isDue = now - lastBalance_ >= balanceInterval;
    if (!isDue && !std::exchange(wasSplit_, false))
        return;
    if (isDue) {
        lastBalance_ = now;
        updateLoads();
        occupancies_.advance();
        haveOccupanciesAdvanced_ = true;
    }
    for (auto const& [name, pool] : state_.pools()) {
        if (!pool.item || !pool.item->isKeyDivided)
            continue;
        balancePool(*pool.item, now);
        if (isDue)
            limitOverload(*pool.item);
    }
}

std::optional<Command> Coordinator::takeCommand()
{
    auto const isEmpty = pending_.assignments.empty() && pending_.splits.empty() && pending_.servers.removed.empty()
        && pending_.servers.draining.empty();
    if (isEmpty)
        return std::nullopt;
    return std::exchange(pending_, {});
}

std::vector<RangeRow> Coordinator::takeRows() { return std::exchange(rows_, {}); }

std::vector<ServerNumber> Coordinator::takeColdChanges() { return std::exchange(coldChanges_, {}); }

std::vector<ServerOccupancy> Coordinator::takeOccupancyChanges()
{
    if (!std::exchange(haveOccupanciesAdvanced_, false))
        return {};
    return withServiceTimes(occupancies_.takeChanges());
}

std::vector<ServerOccupancy> Coordinator::allOccupancies() const { return withServiceTimes(occupancies_.all()); }

std::vector<ServerOccupancy> Coordinator::withServiceTimes(std::vector<ServerOccupancy> occupancies) const
{
    for (auto& occupancy : occupancies) {
        auto const server = servers_.find(occupancy.server);
        if (server != servers_.end())
            occupancy.serviceMs = static_cast<std::uint32_t>(std::lround(server->second.meanMs));
    }
    return occupancies;
}

std::vector<RangeRow> Coordinator::allRows() const
{
    std::vector<RangeRow> rows;
    for (auto const& [pool, states] : ranges_) {
        for (auto const& range : state_.keyRanges(pool)) {
            auto const state = states.find(range.first);
            if (state != states.end())
                rows.push_back(makeRow(pool, range, state->second));
        }
    }
    return rows;
}

} // namespace Fleet
