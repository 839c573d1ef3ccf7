#include <LibPolicy/DispatchState.h>

#include <algorithm>

namespace Policy {

namespace {
    // Inverse weight of a new sample in the moving average of the holding time.
    constexpr std::int64_t holdTimeDivisor = 16;
    // Weight of a new sample in the moving average of a server's slowness. High, because slow phases are short.
    constexpr double slownessWeight = 0.3;
    // Upper bound of a slowness sample, so that a single very slow request does not keep a server out of use for
    // minutes.
    constexpr double maxSlowness = 100;
    // Answers of servers slower than this are left out of the hedge delay, which must not grow during a slow phase.
    constexpr double maxSlownessForHedgeDelay = 2;
    // Decay of the slowness per tick without work. An idle server that was slow gets work again within one or two
    // seconds.
    constexpr double slownessDecay = 0.99;
    constexpr Core::Duration idleBeforeDecay = std::chrono::milliseconds(50);
    constexpr Core::Duration ejectionCheckInterval = std::chrono::milliseconds(50);
    // After more samples than this an answer resets the exponential backoff of the ejection time.
    constexpr std::uint32_t samplesToResetEjections = 100;
    // The holding time of an attempt that timed out or was cancelled is only a lower bound of its latency. It is used
    // as a sample from this multiple of the typical latency on.
    constexpr double minCensoredRatio = 1.5;

    void updateMovingAverage(Core::Duration& value, Core::Duration sample)
    {
        value = value.count() == 0 ? sample : value + (sample - value) / holdTimeDivisor;
    }

} // namespace

void DispatchGroup::State::handle(Release const& event)
{
    auto const found = permits_.find(event.report.permit);
    if (found == permits_.end()) {
        ++counters_.unknownReleases;
        return;
    }
    auto const permit = takePermit(found);
    auto& server = servers_[permit.server];
    if (isFingerprintLimited(permit.fingerprint))
        fingerprintLimiter_.onReleased(permit.fingerprint, event.report.outcome == AttemptOutcome::Answered);
    updateEstimates(server, permit, event.report, server.inFlight + 1);
    updateHealth(permit.server, permit, event.report);
    updateAvailability(permit.server);
    grantWaiting(permit.server);
    removeIfUnused(permit.server);
}

/// Removes the permit from all counts.
DispatchGroup::State::HeldPermit DispatchGroup::State::takePermit(
    std::unordered_map<Core::PermitId, HeldPermit>::iterator found)
{
    auto const permit = found->second;
    if (permit.countedUntil)
        expiringPermits_.erase({ *permit.countedUntil, found->first });
    permits_.erase(found);
    auto& server = servers_[permit.server];
    --server.inFlight;
    server.lastProgress = now_;
    if (permit.isolated) {
        server.runsSuspect = false;
        releaseUnusedReservations();
    }
    return permit;
}

void DispatchGroup::State::updateEstimates(
    Server& server, HeldPermit const& permit, ReleaseReport const& report, std::uint32_t inFlightBefore)
{
    auto const ran = report.outcome == AttemptOutcome::Answered || report.outcome == AttemptOutcome::TimedOut
        || report.outcome == AttemptOutcome::Cancelled;
    if (ran && !permit.registered) {
        updateMovingAverage(holdTime_, now_ - permit.grantedAt);
        updateMovingAverage(server.holdTime, now_ - permit.grantedAt);
    }
    auto const ratio = observeLatency(server, permit, report);
    if (server.limit->observe({ now_, report.outcome, ratio, inFlightBefore }))
        ++counters_.markedCold;
}

/// Records the latency of the attempt. Returns it relative to the typical latency of the route, 1 when it is unknown.
double DispatchGroup::State::observeLatency(Server& server, HeldPermit const& permit, ReleaseReport const& report)
{
    auto& route = routes_[permit.route];
    auto ratio = 1.0;
    if (report.outcome == AttemptOutcome::Answered) {
        auto const latency = report.latency.count() > 0 ? report.latency : now_ - permit.grantedAt;
        if (latency.count() <= 0)
            return ratio;
        ratio = route.ratio(latency);
        route.observe(now_, latency);
        if (server.slowness < maxSlownessForHedgeDelay)
            policies_.hedge->observe(ratio);
    } else if (!permit.registered
        && (report.outcome == AttemptOutcome::TimedOut || report.outcome == AttemptOutcome::Cancelled)) {
        ratio = route.ratio(now_ - permit.grantedAt);
        if (ratio < std::max(server.slowness, minCensoredRatio))
            return ratio;
    } else {
        return ratio;
    }
    server.slowness += slownessWeight * (std::min(ratio, maxSlowness) - server.slowness);
    ++server.samples;
    return ratio;
}

void DispatchGroup::State::updateHealth(std::size_t index, HeldPermit const& permit, ReleaseReport const& report)
{
    auto& server = servers_[index];
    switch (report.outcome) {
    case AttemptOutcome::Answered:
        server.failuresInRow = 0;
        if (server.samples > samplesToResetEjections)
            server.ejectionsInRow = 0;
        if (permit.isolated && crashes_.isSuspect(now_, permit.fingerprint)) {
            crashes_.clearSuspicion(permit.fingerprint);
            actions_->emplace_back(SuspicionCleared { permit.fingerprint });
        }
        return;
    case AttemptOutcome::ConnectFailed:
        if (++server.failuresInRow >= settings_.ejection.failuresToEject && !server.ejected)
            eject(index, true);
        break;
    case AttemptOutcome::ConnectionLost:
        if (report.serverUnreachable)
            recordCrash(index, permit);
        break;
    default:
        return;
    }
    // The server was taken for warm because of a permit of an earlier dispatcher. After a connection failure this can
    // no longer be assumed.
    if (permit.registered)
        server.limit->markCold(now_);
}

void DispatchGroup::State::recordCrash(std::size_t index, HeldPermit const& permit)
{
    auto& server = servers_[index];
    ++counters_.crashes;
    server.limit->markCold(now_);
    if (!server.ejected)
        eject(index, true);
    actions_->emplace_back(CrashSuspected { permit.fingerprint, server.name });
    if (policies_.quarantineCrashingRequests && permit.fingerprint != Core::Digest {})
        crashes_.recordCrash(now_, permit.fingerprint, server.name);
}

void DispatchGroup::State::eject(std::size_t index, bool unreachable)
{
    auto& server = servers_[index];
    auto const exponent = std::min(server.ejectionsInRow, 10U);
    server.ejected = true;
    server.ejectedAsUnreachable = unreachable;
    server.ejectedUntil
        = now_ + std::min(settings_.ejection.baseTime * (std::int64_t { 1 } << exponent), settings_.ejection.maxTime);
    ++server.ejectionsInRow;
    ++counters_.ejections;
    if (server.reserved && !server.runsSuspect)
        releaseReservation(index);
    actions_->emplace_back(ServerEjected { server.name, server.ejectedUntil });
    updateAvailability(index);
}

void DispatchGroup::State::handle(Tick const&)
{
    expirePermits();
    expireWaiting();
    reinstateExpiredEjections();
    crashes_.expire(now_);
    if (now_ >= nextEjectionCheck_) {
        nextEjectionCheck_ = now_ + ejectionCheckInterval;
        evaluateEjection();
    }
    updateReferenceSlowness();
    for (std::size_t index = 0; index < servers_.size(); ++index) {
        auto& server = servers_[index];
        if (server.inFlight == 0 && now_ - server.lastProgress > idleBeforeDecay)
            server.slowness = 1 + (server.slowness - 1) * slownessDecay;
        updateAvailability(index);
        grantWaiting(index);
    }
}

void DispatchGroup::State::reinstateExpiredEjections()
{
    for (std::size_t index = 0; index < servers_.size(); ++index) {
        auto& server = servers_[index];
        if (!server.ejected || server.ejectedUntil > now_)
            continue;
        server.ejected = false;
        server.slowness = 1;
        server.samples = 0;
        if (server.ejectedAsUnreachable)
            server.limit->markCold(now_);
        else
            server.limit->beginProbation(now_);
        actions_->emplace_back(ServerReinstated { server.name });
        updateAvailability(index);
    }
}

/// Ejects stragglers. Done only in pools where another server can serve the requests: ejecting the owner of a key would
/// make the key unavailable.
void DispatchGroup::State::evaluateEjection()
{
    if (settings_.kind != Routing::PoolKind::AnyServer)
        return;
    std::vector<ServerHealth> health;
    for (std::size_t index = 0; index < servers_.size(); ++index) {
        auto const& server = servers_[index];
        if (isUsable(server))
            health.push_back({ index, server.ejected, server.slowness, server.samples });
    }
    for (auto const index : policies_.ejection->evaluate(health))
        eject(index, false);
}

void DispatchGroup::State::expirePermits()
{
    while (!expiringPermits_.empty() && expiringPermits_.begin()->first <= now_) {
        auto const permit = takePermit(permits_.find(expiringPermits_.begin()->second));
        if (isFingerprintLimited(permit.fingerprint))
            fingerprintLimiter_.onReleased(permit.fingerprint, false);
        ++counters_.expiredPermits;
        updateAvailability(permit.server);
        removeIfUnused(permit.server);
    }
}

void DispatchGroup::State::handle(QuarantineAdded const& event)
{
    crashes_.quarantine(event.fingerprint, event.until);
    grantSuspects();
}

void DispatchGroup::State::handle(QuarantineLifted const& event) { crashes_.lift(event.fingerprint); }

void DispatchGroup::State::handle(SuspicionAdded const& event)
{
    crashes_.recordCrash(now_, event.fingerprint, event.server);
    grantSuspects();
}

} // namespace Policy
