#include <LibFleet/Coordinator.h>
#include <LibFleet/ReturningServers.h>

namespace Fleet {

namespace {

    /// The series of heartbeats that shows that a server which was said to leave still runs. It is longer than the time
    /// for which the heartbeats from before its removal arrive.
    constexpr unsigned minHeartbeats = 3;
    constexpr Core::Duration minSeries = std::chrono::seconds(4);
    /// The same for a server whose heartbeats had ceased. What it sent before has arrived or was lost by then.
    constexpr unsigned minHeartbeatsAfterExpiry = 2;
    /// The number of heartbeat intervals after which a series is broken.
    constexpr int maxGapIntervals = 3;
    constexpr Core::Duration retention = std::chrono::minutes(10);
    constexpr std::size_t maxIncarnations = 4096;

} // namespace

void ReturningServers::onExpired(Core::ServerName const& name, std::int64_t bornMs, std::uint64_t lastSequence)
{
    Evidence evidence;
    evidence.hasExpired = true;
    evidence.lastSequence = lastSequence;
    add(name, bornMs, evidence);
}

void ReturningServers::onLeft(Core::ServerName const& name, std::int64_t bornMs, std::uint64_t lastSequence)
{
    Evidence evidence;
    evidence.lastSequence = lastSequence;
    add(name, bornMs, evidence);
}

void ReturningServers::add(Core::ServerName const& name, std::int64_t bornMs, Evidence const& evidence)
{
    if (incarnations_.size() < maxIncarnations)
        incarnations_[{ name, bornMs }] = evidence;
}

bool ReturningServers::onHeartbeat(Heartbeat const& heartbeat, Core::TimePoint now)
{
    Incarnation const incarnation { heartbeat.server.name, heartbeat.server.bornMs };
    // An earlier leader may have removed it, for whatever reason.
    if (!incarnations_.contains(incarnation))
        add(incarnation.name, incarnation.bornMs, {});
    auto const found = incarnations_.find(incarnation);
    if (found == incarnations_.end() || heartbeat.isDraining)
        return false;
    auto& evidence = found->second;
    if (heartbeat.sequence <= evidence.lastSequence)
        return false;
    evidence.previousSequence = std::exchange(evidence.lastSequence, heartbeat.sequence);
    if (evidence.heartbeats == 0 || now - evidence.last > maxGapIntervals * heartbeatInterval_) {
        evidence.first = now;
        evidence.heartbeats = 0;
    }
    evidence.last = now;
    ++evidence.heartbeats;
    if (evidence.hasExpired)
        return evidence.heartbeats >= minHeartbeatsAfterExpiry;
    return evidence.heartbeats >= minHeartbeats && now - evidence.first >= minSeries;
}

std::uint64_t ReturningServers::takeReturned(Core::ServerName const& name, std::int64_t bornMs)
{
    auto const node = incarnations_.extract({ name, bornMs });
    return node.empty() ? 0 : node.mapped().previousSequence;
}

void ReturningServers::tick(Core::TimePoint now)
{
    std::erase_if(incarnations_,
        [&](auto const& entry) { return entry.second.heartbeats > 0 && now - entry.second.last > retention; });
}

} // namespace Fleet
