#include <LibGateway/ServerLoad.h>

#include <algorithm>
#include <cmath>

namespace Gateway {

namespace {

    /// The weight of a report halves in this time, about the time in which a server drains a full queue.
    constexpr std::chrono::duration<double> reportHalfLife { 0.4 };
    /// An estimate of the control leader is disregarded after this time. The leader repeats it every three seconds.
    constexpr Core::Duration maxEstimateAge = std::chrono::seconds(5);
    constexpr double serviceTimeSmoothing = 0.2;
    /// Maximum number of requests at a server for each of its slots. A server refuses, or never answers, requests that
    /// exceed its own queue, and all entry hosts fill that queue without knowing of each other.
    constexpr double maxOccupancyPerSlot = 4.0;
    constexpr Core::Duration firstAvoidance = std::chrono::milliseconds(200);
    constexpr std::uint32_t maxDoublings = 3;
    /// Requests without a readable answer in a row after which a server is used last. A sound server may lose a single
    /// connection.
    constexpr std::uint32_t maxBrokenAnswers = 2;
    constexpr Core::Duration firstFailingTime = std::chrono::milliseconds(400);
    /// Misdirected answers in a row after which a server is avoided. One or two occur while a key is being moved.
    constexpr std::uint32_t maxMisdirected = 3;

} // namespace

void ServerLoad::onReport(ServerLoadReport const& report, Core::TimePoint now)
{
    if (report.slots > 0)
        slots_ = report.slots;
    othersAtReport_ = std::max(0.0, static_cast<double>(report.running) + report.waiting - inFlight_);
    reportedAt_ = now;
}

void ServerLoad::onEstimate(double requests, Core::Duration serviceTime, Core::TimePoint now)
{
    estimatedRequests_ = requests;
    estimatedAt_ = now;
    if (serviceTime > Core::Duration::zero())
        serviceTime_ = serviceTime;
}

std::optional<Core::Duration> ServerLoad::serviceTimeOf(
    Core::Duration elapsed, bool wasIdleAtSend, std::optional<ServerLoadReport> const& report)
{
    if (!report)
        return wasIdleAtSend ? std::optional(elapsed) : std::nullopt;
    // In a queue of steady length, as many requests were ahead of this one as are waiting now.
    auto const ahead = static_cast<double>(report->waiting) / std::max(report->slots, 1U);
    return std::chrono::duration_cast<Core::Duration>(elapsed / (1 + ahead));
}

void ServerLoad::onServiceTime(Core::Duration time)
{
    auto const difference = static_cast<double>((time - serviceTime_).count()) * serviceTimeSmoothing;
    serviceTime_ += Core::Duration(static_cast<Core::Duration::rep>(difference));
}

void ServerLoad::onUnreachable(Core::TimePoint now)
{
    avoidUntil_ = now + firstAvoidance * (1U << std::min(failures_, maxDoublings));
    ++failures_;
}

void ServerLoad::onBrokenAnswer(Core::TimePoint now)
{
    if (++brokenAnswers_ < maxBrokenAnswers)
        return;
    failingUntil_ = now + firstFailingTime * (1U << std::min(brokenAnswers_ - maxBrokenAnswers, maxDoublings));
}

void ServerLoad::onReachable()
{
    brokenAnswers_ = 0;
    failingUntil_ = {};
    failures_ = 0;
    misdirected_ = 0;
}

void ServerLoad::onMisdirected(Core::TimePoint now)
{
    if (++misdirected_ >= maxMisdirected)
        onUnreachable(now);
}

double ServerLoad::occupancy(Core::TimePoint now) const
{
    auto const age = std::chrono::duration<double>(now - reportedAt_);
    auto const reportWeight = std::exp2(-age / reportHalfLife);
    auto const hasEstimate = now - estimatedAt_ < maxEstimateAge;
    auto const estimatedOthers = hasEstimate ? std::max(0.0, estimatedRequests_ - inFlight_) : 0.0;
    return inFlight_ + othersAtReport_ * reportWeight + estimatedOthers * (1 - reportWeight);
}

Core::Duration ServerLoad::expectedWait(Core::TimePoint now) const
{
    auto const ahead = occupancy(now) + 1 - slots_;
    if (ahead <= 0)
        return {};
    return std::chrono::duration_cast<Core::Duration>(serviceTime_ * (ahead / slots_));
}

bool ServerLoad::hasRoom(Core::TimePoint now, double reserved) const
{
    return occupancy(now) + 1 <= maxOccupancyPerSlot * slots_ - reserved;
}

} // namespace Gateway
