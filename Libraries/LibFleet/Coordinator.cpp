#include <LibFleet/Coordinator.h>
#include <LibFleet/View.h>

#include <algorithm>

namespace Fleet {

namespace {

    /// How long heartbeats may be late in addition to the hold and the drift, for the time until they are handled.
    constexpr Core::Duration leaseMargin = std::chrono::milliseconds(150);
    /// A server without any heartbeat for this long is forgotten.
    constexpr Core::Duration forgetAfter = std::chrono::seconds(25);
    /// Answers over which the service time of a server is averaged. Work varies by its own mean, so that 30 answers
    /// give an error of a fifth; a server of two slots has them in some five seconds.
    constexpr double averagedAnswers = 30;
    /// Answers that the mean of the pool counts for until a server's own are there.
    constexpr double assumedAnswers = 8;
    /// A new owner is worth waiting a heartbeat for if it is told within this time after the old one.
    constexpr Core::Duration goodHandover = std::chrono::milliseconds(500);
    /// Entry hosts stop sending to a draining owner after this time.
    constexpr Core::Duration drainPatience = View::drainGrace;
    /// A move for another reason waits this long for a good moment. Entry hosts give an evacuated owner longer.
    constexpr Core::Duration movePatience = std::chrono::milliseconds(2200);
    static_assert(movePatience < View::evacuationGrace);
    /// Refused connections after which a process has probably ended, if nothing was heard of it for this long.
    constexpr std::uint32_t refusalsOfGone = 3;
    constexpr Core::Duration refusalTime = std::chrono::milliseconds(900);
    /// The answer to a heartbeat has at most 4 KiB; its frame needs a little.
    constexpr std::size_t maxGrantBytes = 3900;
    /// Length of a range in that answer without its handover text.
    constexpr std::size_t bytesPerRange = 25;
    /// A crash counts against a request if the server's end is confirmed within this time.
    constexpr Core::Duration suspicionTime = std::chrono::seconds(20);

    Policy::QuarantineSettings quarantineSettings()
    {
        Policy::QuarantineSettings settings;
        // Two servers may be lost at once for a reason of their own.
        settings.serversToQuarantine = 3;
        settings.suspicionTime = std::chrono::minutes(1);
        return settings;
    }

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
    , lastBalance_(now)
    , crashes_(quarantineSettings())
{
    for (auto const& [name, pool] : state_.pools()) {
        for (auto const& range : state_.keys({ name })) {
            auto& soft = ranges_[{ name }][range.first];
            soft.isGranted = range.owner != 0;
            soft.published = range.owner;
        }
    }
}

Core::TimePoint Coordinator::leaseEnd(ServerNumber number) const
{
    auto const found = leases_.find(number);
    if (found != leases_.end())
        return found->second;
    // The previous leader may have renewed its hold until this one took over.
    auto const hold = std::chrono::duration_cast<Core::Duration>(settings_.leaseDuration * (1 + settings_.clockDrift));
    return startedAt_ + hold + leaseMargin;
}

bool Coordinator::isStale(ServerRecord const& known, Heartbeat const& beat) const
{
    if (beat.server.bornMs < known.bornMs)
        return true;
    // A life keeps its address and pool; another writer sent this.
    if (beat.server.bornMs == known.bornMs && (beat.server.address != known.address || beat.server.pool != known.pool))
        return true;
    auto const found = servers_.find(known.number);
    return beat.server.bornMs == known.bornMs && found != servers_.end() && beat.sequence <= found->second.lastSequence;
}

bool Coordinator::isProbablyGone(ServerNumber number, Core::TimePoint now) const
{
    auto const found = servers_.find(number);
    if (found == servers_.end() || !found->second.hasBeat)
        return false;
    auto const& server = found->second;
    auto const isOverdue = now - server.lastBeat > settings_.heartbeatInterval * 5 / 4;
    return server.refusals >= refusalsOfGone && now - server.refusedSince >= refusalTime && isOverdue;
}

Core::TimePoint Coordinator::nextBeat(ServerNumber number, Core::TimePoint from) const
{
    auto const found = servers_.find(number);
    if (found == servers_.end() || !found->second.hasBeat)
        return from + settings_.heartbeatInterval;
    auto const since = from - found->second.lastBeat;
    if (since <= Core::Duration::zero())
        return found->second.lastBeat;
    auto const beats = (since + settings_.heartbeatInterval - Core::Duration(1)) / settings_.heartbeatInterval;
    return found->second.lastBeat + beats * settings_.heartbeatInterval;
}

/// Whether a range that has a next owner is taken away with this heartbeat of its owner, or with a later one that the
/// next owner's heartbeat follows sooner.
bool Coordinator::mustRevokeNow(RangeState const& state, ServerRecord const& owner, Core::TimePoint now) const
{
    if (state.isRevoked || state.isProposed)
        return true;
    auto const patience = owner.isDraining ? drainPatience : movePatience;
    // The next heartbeat would be too late.
    if (now - state.targetSince + settings_.heartbeatInterval >= patience)
        return true;
    return nextBeat(state.target, now + releaseTime) - now <= goodHandover;
}

std::optional<Command> Coordinator::admit(Heartbeat const& beat) const
{
    auto const* const known = state_.findServer(beat.server.name);
    Command command;
    if (known && beat.server.bornMs <= known->bornMs) {
        if (isStale(*known, beat) || known->isDraining || !beat.isDraining)
            return std::nullopt;
        command.servers.draining.push_back(known->number);
        return command;
    }
    if (state_.hasDeparted(beat.server.name, beat.server.bornMs))
        return std::nullopt;
    auto const isSuperseded = std::ranges::any_of(state_.servers(), [&](auto const& entry) {
        return entry.second.address == beat.server.address && entry.second.bornMs >= beat.server.bornMs;
    });
    if (isSuperseded)
        return std::nullopt;
    command.servers.joined.push_back(beat.server);
    command.servers.joined.back().isDraining = beat.isDraining;
    return command;
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

std::optional<Grant> Coordinator::answer(Core::TimePoint receivedAt, Core::TimePoint now, Heartbeat const& beat)
{
    auto const* const known = state_.findServer(beat.server.name);
    if (!known || known->bornMs != beat.server.bornMs || isStale(*known, beat))
        return std::nullopt;
    auto& server = servers_[known->number];
    server.lastSequence = beat.sequence;
    server.lastBeat = now;
    server.hasBeat = true;
    server.refusals = 0;
    auto const coldUntil = beat.warmupLeft > Core::Duration::zero() ? now + beat.warmupLeft : Core::TimePoint {};
    if ((coldUntil > now) != (server.coldUntil > now))
        coldChanges_.push_back(known->number);
    server.coldUntil = coldUntil;
    auto const* const pool = state_.findPool(known->pool);
    if (!pool || !pool->isKeyDivided)
        return std::nullopt;
    settleReleases(*known, beat);
    if (known->isDraining || !mayOwn(*known, now))
        planServer(*pool, known->number, now);
    auto grant = makeGrant(*known, beat, now);
    auto const hold = std::chrono::duration_cast<Core::Duration>(settings_.leaseDuration * (1 + settings_.clockDrift));
    leases_[known->number] = receivedAt + hold + leaseMargin;
    return grant;
}

/// Commits the next owner of ranges that the server has given back.
void Coordinator::settleReleases(ServerRecord const& server, Heartbeat const& beat)
{
    auto& soft = ranges_[server.pool];
    for (auto const& range : state_.keys(server.pool)) {
        if (range.owner != server.number)
            continue;
        auto& state = soft[range.first];
        if (!state.isRevoked || state.isProposed || state.target == 0)
            continue;
        auto const isHeld
            = std::ranges::any_of(beat.holds, [&](auto const& held) { return overlaps(held.first, held.last, range); });
        if (isHeld)
            continue;
        auto const release = std::ranges::find_if(
            beat.released, [&](auto const& released) { return covers(released.first, released.last, range); });
        propose(server.pool, range, state, state.target, release == beat.released.end() ? "" : release->handover);
    }
}

Grant Coordinator::makeGrant(ServerRecord const& server, Heartbeat const& beat, Core::TimePoint now)
{
    Grant grant;
    grant.leaseDuration = settings_.leaseDuration;
    auto& soft = ranges_[server.pool];
    std::size_t bytes = 0;
    for (auto const& range : state_.keys(server.pool)) {
        if (range.owner != server.number)
            continue;
        auto& state = soft[range.first];
        auto const isLeaving = (state.target != 0 && state.target != server.number) || state.isProposed;
        if (isLeaving && mustRevokeNow(state, server, now)) {
            state.isRevoked = true;
            publish(server.pool, range, state);
            continue;
        }
        auto const isHeld = std::ranges::any_of(beat.holds, [&](auto const& held) {
            return held.fence == range.fence && held.first <= range.first && range.last <= held.last;
        });
        auto const handover = isHeld ? std::string() : range.handover;
        auto const needed = bytesPerRange + handover.size();
        // What does not fit follows with the next heartbeat; the server gives up what is left out, held or not.
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
    if (owner == state.published)
        return;
    state.published = owner;
    // What a new owner can do with the range is not known yet.
    state.admittedFraction = 1;
    rows_.push_back(makeRow(pool, range, state));
}

RangeRow Coordinator::makeRow(Core::PoolName const& pool, KeyRange const& range, RangeState const& state) const
{
    auto const wait = state.isRevoked || !state.isGranted ? settings_.heartbeatInterval : settings_.leaseDuration;
    auto const waitMs = state.published == 0 ? Core::toMilliseconds(wait) : 0;
    return { pool, range.first, range.last, state.published, waitMs, state.admittedFraction };
}

void Coordinator::onApplied(Core::TimePoint now, Command const& command, Applied const& applied)
{
    for (auto const number : applied.joined) {
        auto const* const server = state_.findServer(number);
        if (server)
            lastJoin_[server->pool] = now;
    }
    for (auto const number : applied.removedServers)
        confirmSuspicions(number, now);
    if (!applied.removedServers.empty()) {
        for (auto& [pool, states] : ranges_) {
            for (auto const& range : state_.keys(pool))
                publish(pool, range, states[range.first]);
        }
    }
    for (auto const& split : command.splits) {
        auto& soft = ranges_[split.pool];
        auto const next = soft.upper_bound(split.before - 1);
        if (next == soft.begin() || (next != soft.end() && next->first == split.before))
            continue;
        soft[split.before] = std::prev(next)->second;
        wasSplit_ = true;
        for (auto const& range : state_.keys(split.pool)) {
            // Entry hosts learn the new borders.
            if (range.first == split.before || range.last + 1 == split.before)
                rows_.push_back(makeRow(split.pool, range, soft[range.first]));
        }
    }
    for (auto const& assignment : command.assignments) {
        auto& state = ranges_[assignment.pool][assignment.first];
        state.isProposed = false;
        state.isRevoked = false;
        state.isGranted = false;
        state.target = 0;
        state.movedAt = now;
        auto const keys = state_.keys(assignment.pool);
        auto const range = std::ranges::lower_bound(keys, assignment.first, {}, &KeyRange::last);
        if (range != keys.end())
            publish(assignment.pool, *range, state);
    }
    if (command.domain && !command.domain->isEvacuated) {
        // Its servers may have become cold while they were out of service, until their next heartbeat tells.
        for (auto const& [number, server] : state_.servers()) {
            auto const* const pool = state_.findPool(server.pool);
            if (server.domain != command.domain->domain || !pool)
                continue;
            servers_[number].coldUntil = now + std::chrono::milliseconds(pool->warmupMs);
            coldChanges_.push_back(number);
        }
    }
}

void Coordinator::confirmSuspicions(ServerNumber number, Core::TimePoint now)
{
    auto const found = suspicions_.extract(number);
    if (found.empty())
        return;
    for (auto const& suspicion : found.mapped()) {
        if (now - suspicion.at > suspicionTime)
            continue;
        auto const digest = Core::digest128(suspicion.fingerprint);
        fingerprints_[digest] = suspicion.fingerprint;
        if (crashes_.recordCrash(now, digest, { std::to_string(number) }))
            hasNewQuarantine_ = true;
    }
}

std::vector<std::string> Coordinator::quarantined(Core::TimePoint now) const
{
    std::vector<std::string> result;
    for (auto const& entry : crashes_.quarantined(now)) {
        auto const found = fingerprints_.find(entry.fingerprint);
        if (found != fingerprints_.end())
            result.push_back(found->second);
    }
    return result;
}

void Coordinator::onReport(Core::TimePoint now, LoadReport const& report)
{
    for (auto const& arrivals : report.arrivals) {
        auto& counts = keyArrivals_[arrivals.pool];
        for (auto const& [key, count] : arrivals.keys)
            counts[key] += count;
    }
    for (auto const& contact : report.contacts) {
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
    for (auto const& suspicion : report.suspicions)
        suspicions_[suspicion.server].push_back({ suspicion.fingerprint, now });
}

bool Coordinator::isCold(ServerNumber number, Core::TimePoint now) const
{
    return coldLeft(number, now) > Core::Duration::zero();
}

Core::Duration Coordinator::coldLeft(ServerNumber number, Core::TimePoint now) const
{
    auto const found = servers_.find(number);
    if (found == servers_.end() || found->second.coldUntil <= now)
        return Core::Duration::zero();
    return found->second.coldUntil - now;
}

void Coordinator::tick(Core::TimePoint now)
{
    for (auto const& [number, server] : state_.servers()) {
        auto const found = servers_.find(number);
        auto const lastBeat = found != servers_.end() && found->second.hasBeat ? found->second.lastBeat : startedAt_;
        if (now - lastBeat > forgetAfter)
            pending_.servers.removed.push_back(number);
    }
    plan(now);
    auto const isDue = now - lastBalance_ >= balanceInterval;
    if (!isDue && !std::exchange(wasSplit_, false))
        return;
    if (isDue) {
        lastBalance_ = now;
        updateLoads();
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
    auto const isEmpty = pending_.assignments.empty() && pending_.splits.empty() && pending_.servers.removed.empty();
    if (isEmpty)
        return std::nullopt;
    return std::exchange(pending_, {});
}

std::vector<RangeRow> Coordinator::takeRows() { return std::exchange(rows_, {}); }

std::vector<ServerNumber> Coordinator::takeColdChanges() { return std::exchange(coldChanges_, {}); }

std::vector<RangeRow> Coordinator::allRows() const
{
    std::vector<RangeRow> rows;
    for (auto const& [pool, states] : ranges_) {
        for (auto const& range : state_.keys(pool)) {
            auto const state = states.find(range.first);
            if (state != states.end())
                rows.push_back(makeRow(pool, range, state->second));
        }
    }
    return rows;
}

} // namespace Fleet
