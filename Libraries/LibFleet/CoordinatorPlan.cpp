#include <LibFleet/Coordinator.h>

#include <algorithm>
#include <cmath>

namespace Fleet {

// The planning part of the coordinator: loads, first assignment, next owners, range splits and rebalancing.

namespace {

    /// The time without a new server in a pool after which its first assignment is made. Longer than a heartbeat
    /// interval, so that a new leader has heard from all servers by then.
    constexpr Core::Duration joinQuietTime = std::chrono::milliseconds(1200);
    /// The time since the first server of a pool after which its first assignment is made even if more servers join.
    /// They get their share by rebalancing.
    constexpr Core::Duration maxJoinWait = std::chrono::milliseconds(2500);
    /// The number of heartbeat intervals without a heartbeat after which a server gets no further ranges.
    constexpr int maxMissedHeartbeats = 3;
    /// The minimum time between two moves of a range.
    constexpr Core::Duration moveCooldown = std::chrono::seconds(4);
    /// The weight of the latest interval in the moving average of the load of a key, which follows two thirds of a
    /// change within one second.
    constexpr double loadSmoothing = 0.4;
    /// Requests per second that are added to the measured load of each range, so that servers that joined get ranges
    /// even without load.
    constexpr double baseLoad = 0.02;
    /// Requests per second below which the load of a key is no longer tracked.
    constexpr double negligibleLoad = 0.02;
    /// The service time of a request that is assumed before the first measurement.
    constexpr double assumedServiceSeconds = 0.1;
    /// The maximum number of parts that a hot range is split into at once.
    constexpr std::size_t splitParts = 8;
    /// The fraction of the capacity of its owner above which the load of a range makes it hot.
    constexpr double hotFraction = 0.3;
    /// The relative change above which a new admitted fraction is published to entry hosts.
    constexpr double admittedStep = 0.2;
    /// The limits of the measured speed of a server relative to its pool.
    constexpr double minSpeed = 0.4;
    constexpr double maxSpeed = 2.0;
    /// The fraction of the rate of a limited server that counts as its capacity. Ranges move until the utilization of
    /// the server is a quarter above the mean, which is then all that it takes.
    constexpr double limitedFraction = 0.8;
    /// The load in requests per second that a limited server keeps however low its limit is, but at most this fraction
    /// of its normal load. Without requests for its keys, the end of the limit would not be noticed.
    constexpr double minLimitedLoad = 3;
    constexpr double maxKeptFraction = 0.25;

} // namespace

template <typename Function> void Coordinator::forEachRange(Core::PoolName const& pool, Function const& function)
{
    // Ranges and states are both sorted by the first key, so the states are found without a search.
    auto& rangeStates = ranges_[pool];
    auto state = rangeStates.begin();
    for (auto const& range : state_.keyRanges(pool)) {
        state = rangeStates.try_emplace(state, range.first);
        function(range, state->second);
        ++state;
    }
}

bool Coordinator::hasSentHeartbeat(ServerNumber number) const
{
    auto const found = servers_.find(number);
    return found != servers_.end() && found->second.hasHeartbeat;
}

bool Coordinator::mayOwn(ServerRecord const& server, Core::TimePoint now) const
{
    if (server.isDraining || state_.evacuated().contains(server.domain.value) || isPresumedDown(server.number, now))
        return false;
    auto const found = servers_.find(server.number);
    // A new leader includes servers until they have had time to send a heartbeat.
    auto const lastHeartbeat
        = found != servers_.end() && found->second.hasHeartbeat ? found->second.lastHeartbeat : startedAt_;
    return now - lastHeartbeat <= settings_.heartbeatInterval * maxMissedHeartbeats;
}

double Coordinator::capacityOf(ServerRecord const& server, double poolServiceSeconds) const
{
    auto const found = servers_.find(server.number);
    // Logs of earlier software versions may contain servers without slots.
    auto const slots = std::max(server.slots, 1U);
    if (found == servers_.end() || found->second.meanMs == 0)
        return slots;
    auto const speed = poolServiceSeconds * millisecondsPerSecond / found->second.meanMs;
    return slots * std::clamp(speed, minSpeed, maxSpeed);
}

void Coordinator::limitCapacities(std::span<PlacementServer> servers, Core::TimePoint now) const
{
    double load = 0;
    double capacity = 0;
    for (auto const& server : servers) {
        if (limits_.sendRateOf(server.number))
            continue;
        load += server.load;
        capacity += server.capacity;
    }
    // Only the ratios of the capacities matter if all servers name limits.
    auto const mean = capacity > 0 ? load / capacity : 1;
    for (auto& server : servers) {
        server.isRecovering = limits_.hasEndedLately(server.number, now);
        auto const rate = limits_.sendRateOf(server.number);
        if (!rate)
            continue;
        auto const normalLoad = server.capacity * mean;
        auto const allowed = std::max(*rate, std::min(minLimitedLoad, normalLoad * maxKeptFraction)) * limitedFraction;
        server.isLimited = allowed < normalLoad;
        if (server.isLimited)
            server.capacity = allowed / mean;
    }
}

double Coordinator::meanServiceSeconds(Core::PoolName const& pool) const
{
    double sum = 0;
    std::size_t count = 0;
    for (auto const& [number, server] : state_.servers()) {
        auto const found = servers_.find(number);
        if (server.pool != pool || found == servers_.end() || found->second.meanMs == 0)
            continue;
        sum += found->second.meanMs;
        ++count;
    }
    return count == 0 ? assumedServiceSeconds : sum / static_cast<double>(count) / millisecondsPerSecond;
}

std::vector<PlacementServer> Coordinator::placementServers(
    Core::PoolName const& pool, Core::TimePoint now, Core::TimePoint from) const
{
    std::vector<PlacementServer> warm;
    std::vector<PlacementServer> cold;
    auto const service = meanServiceSeconds(pool);
    for (auto const& [number, server] : state_.servers()) {
        if (server.pool != pool || !mayOwn(server, now))
            continue;
        auto& list = isCold(number, now) ? cold : warm;
        list.push_back({ number, capacityOf(server, service) });
        list.back().delay
            = std::chrono::duration<double>(nextHeartbeat(number, from) - now) / settings_.heartbeatInterval;
    }
    auto& servers = warm.empty() ? cold : warm;
    auto const rangeStates = ranges_.find(pool);
    if (rangeStates == ranges_.end())
        return std::move(servers);
    auto state = rangeStates->second.begin();
    for (auto const& range : state_.keyRanges(pool)) {
        while (state != rangeStates->second.end() && state->first < range.first)
            ++state;
        auto const hasState = state != rangeStates->second.end() && state->first == range.first;
        auto const holder = hasState && state->second.target != 0 ? state->second.target : range.owner;
        auto const server = std::ranges::lower_bound(servers, holder, {}, &PlacementServer::number);
        if (server == servers.end() || server->number != holder)
            continue;
        server->load += baseLoad + (hasState ? state->second.load : 0);
        ++server->ranges;
    }
    limitCapacities(servers, now);
    return std::move(servers);
}

void Coordinator::updateLoads()
{
    auto const seconds = std::chrono::duration<double>(balanceInterval).count();
    for (auto const& [pool, counts] : keyArrivals_) {
        auto& loads = keyLoads_[pool];
        for (auto const& [key, count] : counts)
            loads.try_emplace(key, 0);
        for (auto& [key, load] : loads) {
            auto const arrived = counts.find(key);
            auto const rate = arrived == counts.end() ? 0 : arrived->second / seconds;
            load += loadSmoothing * (rate - load);
        }
        std::erase_if(loads, [](auto const& entry) { return entry.second < negligibleLoad; });
    }
    for (auto& [pool, counts] : keyArrivals_)
        counts.clear();
    for (auto const& [pool, states] : ranges_) {
        auto const& loads = keyLoads_[pool];
        auto key = loads.begin();
        // Ranges cover all keys in order.
        forEachRange(pool, [&](KeyRange const& range, RangeState& state) {
            state.load = 0;
            for (; key != loads.end() && key->first <= range.last; ++key)
                state.load += key->second;
        });
    }
}

/// Splits hot ranges of overloaded servers into parts of about equal load, so that they can be distributed.
void Coordinator::splitHotRanges(PoolItem const& pool, std::span<PlacementServer const> servers)
{
    auto const service = meanServiceSeconds(pool.name);
    auto const& loads = keyLoads_[pool.name];
    auto& rangeStates = ranges_[pool.name];
    for (auto const& range : state_.keyRanges(pool.name)) {
        auto const owner = std::ranges::lower_bound(servers, range.owner, {}, &PlacementServer::number);
        if (owner == servers.end() || owner->number != range.owner || range.first == range.last)
            continue;
        // Ranges of a server that names a limit are hot only in relation to the limit. They move as a whole.
        if (limits_.sendRateOf(range.owner) || owner->utilization() * service <= 1 - hotFraction)
            continue;
        auto const& state = rangeStates[range.first];
        auto const isHot = state.load * service > hotFraction * owner->capacity;
        if (!isHot || state.isProposed || owner->ranges + splitParts > RangePlacement::maxRangesPerServer)
            continue;
        double sum = 0;
        std::size_t part = 1;
        for (auto key = loads.lower_bound(range.first); key != loads.end() && key->first <= range.last; ++key) {
            auto const border = state.load * static_cast<double>(part) / splitParts;
            if (sum >= border && key->first > range.first) {
                pending_.splits.push_back({ pool.name, key->first });
                ++part;
            }
            sum += key->second;
        }
    }
}

void Coordinator::plan(Core::TimePoint now)
{
    for (auto const& [name, pool] : state_.pools()) {
        if (pool.item && pool.item->isKeyDivided)
            planPool(*pool.item, now);
    }
}

Coordinator::ServerEligibility const& Coordinator::eligibilityOf(PlanningRound& round, ServerNumber number) const
{
    auto const [found, isNew] = round.eligibilities.try_emplace(number);
    auto& eligibility = found->second;
    if (!isNew)
        return eligibility;
    auto const* const server = state_.findServer(number);
    eligibility.isPresent = server != nullptr;
    eligibility.mayOwn = server && mayOwn(*server, round.now);
    eligibility.isFree = number == 0 || round.now >= leaseEnd(number);
    return eligibility;
}

ServerNumber Coordinator::chooseTarget(PlanningRound& round, RangeState const& state) const
{
    if (!round.candidates)
        round.candidates = placementServers(round.pool, round.now, round.now + releaseTime);
    auto const* const server = RangePlacement::chooseOwner(*round.candidates, baseLoad + state.load);
    return server ? server->number : ServerNumber { 0 };
}

/// Chooses a next owner for a range whose owner cannot keep it.
void Coordinator::planRange(PlanningRound& round, KeyRange const& range, RangeState& state)
{
    if (state.isProposed)
        return;
    auto const owner = eligibilityOf(round, range.owner);
    // The target may have been removed since it was chosen.
    auto const hasTarget = state.target != 0 && eligibilityOf(round, state.target).mayOwn;
    if (owner.isPresent && !owner.isFree && owner.mayOwn) {
        if (!hasTarget)
            state.target = state.isRevoked ? chooseTarget(round, state) : 0;
        return;
    }
    if (!hasTarget || state.target == range.owner) {
        state.target = chooseTarget(round, state);
        state.targetSince = round.now;
    }
    if (owner.isFree && state.target != 0)
        propose(round.pool, range, state, state.target, {});
}

void Coordinator::planPool(PoolItem const& pool, Core::TimePoint now)
{
    if (state_.keyRanges(pool.name).empty()) {
        assignInitially(pool, now);
        return;
    }
    PlanningRound round { pool.name, now, {}, {} };
    forEachRange(pool.name, [&](KeyRange const& range, RangeState& state) { planRange(round, range, state); });
}

void Coordinator::planServer(PoolItem const& pool, ServerNumber server, Core::TimePoint now)
{
    PlanningRound round { pool.name, now, {}, {} };
    auto& rangeStates = ranges_[pool.name];
    for (auto const& range : state_.keyRanges(pool.name)) {
        if (range.owner == server)
            planRange(round, range, rangeStates[range.first]);
    }
}

void Coordinator::assignInitially(PoolItem const& pool, Core::TimePoint now)
{
    auto servers = placementServers(pool.name, now, now);
    // A server that registered with an earlier leader may have ended since.
    std::erase_if(servers, [&](auto const& server) { return !hasSentHeartbeat(server.number); });
    if (servers.empty())
        return;
    auto const& joins = joins_.try_emplace(pool.name, PoolJoins { now, startedAt_ }).first->second;
    if (now - joins.latest < joinQuietTime && now - joins.firstHeard < maxJoinWait)
        return;
    auto assignments = RangePlacement::makeInitialAssignments(pool.name, servers);
    for (auto& assignment : assignments) {
        auto& state = ranges_[pool.name][assignment.first];
        if (std::exchange(state.isProposed, true))
            return;
        pending_.assignments.push_back(std::move(assignment));
    }
}

void Coordinator::balancePool(PoolItem const& pool, Core::TimePoint now)
{
    auto const keys = state_.keyRanges(pool.name);
    auto& rangeStates = ranges_[pool.name];
    std::vector<PlacementRange> movable;
    std::size_t index = 0;
    forEachRange(pool.name, [&](KeyRange const& range, RangeState const& state) {
        if (state.target == 0 && !state.isProposed && state.isGranted && now - state.movedAt >= moveCooldown)
            movable.push_back({ index, range.owner, baseLoad + state.load });
        ++index;
    });
    auto servers = placementServers(pool.name, now, now);
    splitHotRanges(pool, servers);
    for (auto const& move : RangePlacement::balance(servers, std::move(movable), meanServiceSeconds(pool.name))) {
        auto& state = rangeStates[keys[move.index].first];
        state.target = move.to;
        state.targetSince = now;
    }
}

void Coordinator::limitOverload(PoolItem const& pool)
{
    struct OwnedRange {
        KeyRange const* range;
        RangeState* state;
    };
    std::unordered_map<ServerNumber, std::vector<OwnedRange>> owned;
    forEachRange(pool.name, [&](KeyRange const& range, RangeState& state) {
        if (state.publishedOwner != 0)
            owned[state.publishedOwner].push_back({ &range, &state });
    });
    auto const service = meanServiceSeconds(pool.name);
    for (auto const& [number, ranges] : owned) {
        auto const* const server = state_.findServer(number);
        if (!server)
            continue;
        std::vector<double> loads;
        std::ranges::transform(ranges, std::back_inserter(loads), [](auto const& entry) { return entry.state->load; });
        auto capacity = capacityOf(*server, service) / service;
        if (auto const limit = limits_.sendRateOf(number))
            capacity = std::min(capacity, *limit);
        auto const fractions = OverloadShares::admittedFractions(loads, capacity);
        for (std::size_t i = 0; i < ranges.size(); ++i) {
            auto& current = ranges[i].state->admittedFraction;
            auto const isRecovered = fractions[i] == 1 && current != 1;
            if (!isRecovered && std::abs(fractions[i] - current) <= admittedStep * current)
                continue;
            current = fractions[i];
            rows_.push_back(makeRow(pool.name, *ranges[i].range, *ranges[i].state));
        }
    }
}

} // namespace Fleet
