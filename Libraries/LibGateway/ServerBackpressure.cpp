#include <LibGateway/ServerBackpressure.h>

#include <algorithm>

namespace Gateway {

namespace {

    /// The time for which the platform checks limits.
    constexpr double limitSeconds = 4;
    /// The fraction of the limit that fixed shares use, since the shares change when entry hosts join or leave.
    constexpr double sharedFraction = 0.9;
    /// The smallest number of requests that all entry hosts may send within the window, also if the limit is zero: the
    /// end of a limit shows only in an answer.
    constexpr std::size_t minShared = 3;
    /// The platform allows half of the limit beyond what the leader grants.
    constexpr double leaderlessFraction = 0.5;
    constexpr std::size_t minLeaderless = 1;

} // namespace

void ServerBackpressure::onAnswer(Fleet::LimitStatement const& statement)
{
    auto const hadLimit = limit_.perSecond().has_value();
    limit_.update(statement);
    isReportDue_ = isReportDue_ || hadLimit || limit_.perSecond();
}

bool ServerBackpressure::onLeaving(Core::TimePoint now)
{
    if (leavingSince_)
        return false;
    leavingSince_ = now;
    isLeavingReportDue_ = true;
    return true;
}

bool ServerBackpressure::hasBeenLeavingFor(Core::Duration time, Core::TimePoint now) const
{
    return leavingSince_ && now - *leavingSince_ >= time;
}

bool ServerBackpressure::onSilence(Core::TimePoint now, Core::Duration silence)
{
    auto const isNew = silenceLeft(now) == Core::Duration::zero();
    silentUntil_ = std::max(silentUntil_, now + silence);
    return isNew;
}

std::optional<Core::Duration> ServerBackpressure::refusedFor(Core::TimePoint now, Core::Duration patience) const
{
    if (now >= refusedUntil_ || patience > refusedPatience_)
        return std::nullopt;
    return refusedUntil_ - now + refusedPatience_;
}

void ServerBackpressure::onRefused(Core::TimePoint now, Core::Duration patience, Core::Duration wait)
{
    refusedUntil_ = now + wait - patience;
    refusedPatience_ = patience;
}

SendShare ServerBackpressure::shareOf(EntryHostShare const& host, double fraction, std::size_t min) const
{
    SendShare share;
    // Without a place in the list of entry hosts, the shares of the others may already use the whole limit.
    if (!host.rank)
        return share;
    share.total = std::max(static_cast<std::size_t>(*limit_.perSecond() * limitSeconds * fraction), min);
    share.entryHosts = host.entryHosts;
    share.rank = host.rank;
    return share;
}

bool ServerBackpressure::hasShare(Core::TimePoint now, EntryHostShare const& host) const
{
    return !limit_.perSecond() || shares_.hasRoom(now, shareOf(host, sharedFraction, minShared));
}

bool ServerBackpressure::isShareDue(Core::TimePoint now, EntryHostShare const& host) const
{
    if (!limit_.perSecond())
        return false;
    auto const allowed = shareOf(host, sharedFraction, minShared).allowed();
    return allowed > 0 && now - shares_.latest() >= shareWindow / allowed;
}

bool ServerBackpressure::tryAcquireLeaderlessShare(Core::TimePoint now, EntryHostShare const& host)
{
    return !limit_.perSecond() || shares_.tryAcquire(now, shareOf(host, leaderlessFraction, minLeaderless));
}

} // namespace Gateway
