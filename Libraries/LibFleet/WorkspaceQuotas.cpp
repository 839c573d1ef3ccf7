#include <LibFleet/WorkspaceQuotas.h>

#include <algorithm>
#include <cmath>

namespace Fleet {

namespace {

    constexpr double sharedFraction = 0.45;
    constexpr double creditFraction = 0.5;
    /// The retry time if a quota allows less than this many credits per second.
    constexpr double minCreditsPerSecond = 0.1;

    double toSeconds(Core::Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

QuotaDivision divideQuota(WorkspaceItem const& workspace, QuotaBounds const& bounds)
{
    auto const window = toSeconds(bounds.window);
    auto const allowed = (workspace.ratePerSecond * window + workspace.burst) * (1 + bounds.excess) + bounds.slack;
    QuotaDivision division;
    division.shared = static_cast<std::size_t>(allowed * sharedFraction);
    // A quota of a few requests is granted by the leader alone, since shares of it would all be zero.
    auto const credits
        = std::max(allowed * creditFraction, std::min(allowed - static_cast<double>(division.shared), 1.0));
    // A credit may be used until its lifetime has passed, which widens the window.
    auto const widened = window + toSeconds(creditLifetime);
    auto const rate = creditFraction * workspace.ratePerSecond * (1 + bounds.excess);
    division.maxCredits = std::max(credits - rate * widened, std::min(credits, 1.0));
    division.creditsPerSecond = std::max((credits - division.maxCredits) / widened, 0.0);
    return division;
}

WorkspaceQuotas::WorkspaceQuotas(QuotaBounds const& bounds, Core::TimePoint startedAt)
    : bounds_(bounds)
    , startedAt_(startedAt)
{
}

QuotaReply WorkspaceQuotas::grant(WorkspaceItem const& workspace, QuotaRequest const& request, Core::TimePoint now)
{
    if (workspace.ratePerSecond <= 0)
        return { request.id, request.count, 0 };
    auto const division = divideQuota(workspace, bounds_);
    auto& bucket = buckets_.try_emplace(workspace.name, Bucket { 0, startedAt_ }).first->second;
    auto const gained = division.creditsPerSecond * toSeconds(now - bucket.updatedAt);
    bucket.credits = std::min(bucket.credits + std::max(gained, 0.0), division.maxCredits);
    bucket.updatedAt = std::max(bucket.updatedAt, now);
    auto const granted = std::min(static_cast<double>(request.count), std::floor(bucket.credits));
    bucket.credits -= granted;
    QuotaReply reply { request.id, static_cast<std::uint32_t>(granted), 0 };
    if (reply.granted < request.count) {
        auto const seconds = (1 - bucket.credits) / std::max(division.creditsPerSecond, minCreditsPerSecond);
        reply.waitMs = std::llround(std::max(seconds, 0.0) * 1000) + 1;
    }
    return reply;
}

} // namespace Fleet
