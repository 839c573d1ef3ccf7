#include <LibFleet/Coordinator.h>

#include <algorithm>
#include <cmath>

namespace Fleet {

// What the leader plans: loads, first assignment, next owners, splits and balance.

namespace {

    /// No server of a pool has joined for this long: the first assignment can be made.
    constexpr Core::Duration settleTime = std::chrono::milliseconds(1200);
    /// A server without a heartbeat for this many intervals gets no further ranges.
    constexpr int maxMissedBeats = 3;
    /// A range stays this long where it was moved to.
    constexpr Core::Duration moveCooldown = std::chrono::seconds(4);
    /// Weight of the newest interval in the load of a key. Two thirds of a change show after one second.
    constexpr double loadSmoothing = 0.4;
    /// Requests a second that a range counts for beside those measured, so that servers that joined get ranges.
    constexpr double baseLoad = 0.02;
    /// A key whose load has fallen below this is forgotten.
    constexpr double negligibleLoad = 0.02;
    /// Of a request, until any was measured.
    constexpr double assumedServiceSeconds = 0.1;
    /// Parts that a hot range is cut into at once.
    constexpr std::size_t splitParts = 8;
    /// A range is hot if it alone takes this part of what its owner bears.
    constexpr double hotPart = 0.3;
    /// Entry hosts are told a new admitted part if it differs by this part of the old one.
    constexpr double admittedStep = 0.2;
    /// Bounds of the measured speed of a server relative to its pool.
    constexpr double minSpeed = 0.4;
    constexpr double maxSpeed = 2.0;

} // namespace

template <typename Function> void Coordinator::forEachRange(Core::PoolName const& pool, Function const& function)
{
    // Both are sorted by the first key, so the states are found without a search.
    auto& soft = ranges_[pool];
    auto state = soft.begin();
    for (auto const& range : state_.keys(pool)) {
        state = soft.try_emplace(state, range.first);
        function(range, state->second);
        ++state;
    }
}

bool Coordinator::mayOwn(ServerRecord const& server, Core::TimePoint now) const
{
    if (server.isDraining || state_.evacuated().contains(server.domain.value) || isProbablyGone(server.number, now))
        return false;
    auto const found = servers_.find(server.number);
    // A new leader counts servers in until they had time for a heartbeat.
    auto const lastBeat = found != servers_.end() && found->second.hasBeat ? found->second.lastBeat : startedAt_;
    return now - lastBeat <= settings_.heartbeatInterval * maxMissedBeats;
}

/// Requests of the pool's mean service time that a server can run at once.
double Coordinator::capacityOf(ServerRecord const& server, double poolServiceSeconds) const
{
    auto const found = servers_.find(server.number);
    if (found == servers_.end() || found->second.meanMs == 0)
        return server.slots;
    auto const speed = poolServiceSeconds * millisecondsPerSecond / found->second.meanMs;
    return server.slots * std::clamp(speed, minSpeed, maxSpeed);
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
        list.back().delay = std::chrono::duration<double>(nextBeat(number, from) - now) / settings_.heartbeatInterval;
    }
    auto& servers = warm.empty() ? cold : warm;
    auto const soft = ranges_.find(pool);
    if (soft == ranges_.end())
        return std::move(servers);
    auto state = soft->second.begin();
    for (auto const& range : state_.keys(pool)) {
        while (state != soft->second.end() && state->first < range.first)
            ++state;
        auto const hasState = state != soft->second.end() && state->first == range.first;
        auto const holder = hasState && state->second.target != 0 ? state->second.target : range.owner;
        auto const server = std::ranges::lower_bound(servers, holder, {}, &PlacementServer::number);
        if (server == servers.end() || server->number != holder)
            continue;
        server->load += baseLoad + (hasState ? state->second.load : 0);
        ++server->ranges;
    }
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

/// Cuts hot ranges of overloaded servers into parts of about the same load, so that they can be spread.
void Coordinator::splitHotRanges(PoolItem const& pool, std::span<PlacementServer const> servers)
{
    auto const service = meanServiceSeconds(pool.name);
    auto const& loads = keyLoads_[pool.name];
    auto& soft = ranges_[pool.name];
    for (auto const& range : state_.keys(pool.name)) {
        auto const owner = std::ranges::lower_bound(servers, range.owner, {}, &PlacementServer::number);
        if (owner == servers.end() || owner->number != range.owner || range.first == range.last)
            continue;
        if (owner->utilization() * service <= 1 - hotPart)
            continue;
        auto const& state = soft[range.first];
        auto const isHot = state.load * service > hotPart * owner->capacity;
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

Coordinator::ServerStanding const& Coordinator::standingOf(PlanRound& round, ServerNumber number) const
{
    auto const [found, isNew] = round.standings.try_emplace(number);
    auto& standing = found->second;
    if (!isNew)
        return standing;
    auto const* const server = state_.findServer(number);
    standing.isPresent = server != nullptr;
    standing.mayOwn = server && mayOwn(*server, round.now);
    standing.isFree = number == 0 || round.now >= leaseEnd(number);
    return standing;
}

ServerNumber Coordinator::chooseTarget(PlanRound& round, RangeState const& state) const
{
    if (!round.candidates)
        round.candidates = placementServers(round.pool, round.now, round.now + releaseTime);
    auto const* const server = RangePlacement::choose(*round.candidates, baseLoad + state.load);
    return server ? server->number : ServerNumber { 0 };
}

/// Gives a range whose owner cannot keep it a next owner.
void Coordinator::planRange(PlanRound& round, KeyRange const& range, RangeState& state)
{
    if (state.isProposed)
        return;
    auto const owner = standingOf(round, range.owner);
    // The target may have left since it was chosen.
    auto const hasTarget = state.target != 0 && standingOf(round, state.target).mayOwn;
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
    if (state_.keys(pool.name).empty()) {
        layOut(pool, now);
        return;
    }
    PlanRound round { pool.name, now, {}, {} };
    forEachRange(pool.name, [&](KeyRange const& range, RangeState& state) { planRange(round, range, state); });
}

void Coordinator::planServer(PoolItem const& pool, ServerNumber server, Core::TimePoint now)
{
    PlanRound round { pool.name, now, {}, {} };
    auto& soft = ranges_[pool.name];
    for (auto const& range : state_.keys(pool.name)) {
        if (range.owner == server)
            planRange(round, range, soft[range.first]);
    }
}

void Coordinator::layOut(PoolItem const& pool, Core::TimePoint now)
{
    auto const joined = lastJoin_.find(pool.name);
    if (joined == lastJoin_.end() || now - joined->second < settleTime)
        return;
    auto servers = placementServers(pool.name, now, now);
    auto assignments = RangePlacement::layOut(pool.name, servers);
    for (auto& assignment : assignments) {
        auto& state = ranges_[pool.name][assignment.first];
        if (std::exchange(state.isProposed, true))
            return;
        pending_.assignments.push_back(std::move(assignment));
    }
}

void Coordinator::balancePool(PoolItem const& pool, Core::TimePoint now)
{
    auto const keys = state_.keys(pool.name);
    auto& soft = ranges_[pool.name];
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
        auto& state = soft[keys[move.index].first];
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
        if (state.published != 0)
            owned[state.published].push_back({ &range, &state });
    });
    auto const service = meanServiceSeconds(pool.name);
    for (auto const& [number, ranges] : owned) {
        auto const* const server = state_.findServer(number);
        if (!server)
            continue;
        std::vector<double> loads;
        std::ranges::transform(ranges, std::back_inserter(loads), [](auto const& entry) { return entry.state->load; });
        auto const parts = OverloadShares::admittedParts(loads, capacityOf(*server, service) / service);
        for (std::size_t i = 0; i < ranges.size(); ++i) {
            auto& told = ranges[i].state->admittedFraction;
            auto const isBack = parts[i] == 1 && told != 1;
            if (!isBack && std::abs(parts[i] - told) <= admittedStep * told)
                continue;
            told = parts[i];
            rows_.push_back(makeRow(pool.name, *ranges[i].range, *ranges[i].state));
        }
    }
}

} // namespace Fleet
