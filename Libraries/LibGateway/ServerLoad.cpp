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
    /// Servers share their machines with others, whose load changes several times a second.
    constexpr std::chrono::duration<double> slownessHalfLife { 0.2 };
    /// A server that is to be tried counts as faster than the mean of its pool by this.
    constexpr double triedFraction = 0.7;
    constexpr double minSlowness = 0.2;
    constexpr double maxSlowness = 10;
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

void ServerLoad::onSent(double cost)
{
    ++inFlight_;
    inFlightCost_ += cost;
}

void ServerLoad::onDone(double cost)
{
    inFlight_ -= std::min(inFlight_, 1U);
    inFlightCost_ = inFlight_ == 0 ? 0 : std::max(inFlightCost_ - cost, 0.0);
}

Core::Duration ServerLoad::serviceTimeOf(double cost) const
{
    return std::chrono::duration_cast<Core::Duration>(serviceTime_ * cost);
}

Core::Duration ServerLoad::expectedServiceTime(
    double cost, Core::Duration poolMean, bool isToBeTried, Core::TimePoint now) const
{
    if (hasServiceTime_ || poolMean == Core::Duration::zero())
        return std::chrono::duration_cast<Core::Duration>(serviceTimeOf(cost) * currentSlowness(now));
    return std::chrono::duration_cast<Core::Duration>(poolMean * (cost * (isToBeTried ? triedFraction : 1)));
}

double ServerLoad::currentSlowness(Core::TimePoint now) const
{
    auto const age = std::chrono::duration<double>(now - reportedAt_);
    return 1 + (slowness_ - 1) * std::exp2(-age / slownessHalfLife);
}

void ServerLoad::onReport(ServerLoadReport const& report, Core::TimePoint now)
{
    if (report.slots > 0)
        slots_ = report.slots;
    othersAtReport_ = std::max(0.0, static_cast<double>(report.running) + report.waiting - inFlight_);
    slowness_ = std::clamp(report.slowness, minSlowness, maxSlowness);
    reportedAt_ = now;
}

void ServerLoad::onEstimate(double requests, Core::Duration serviceTime, Core::TimePoint now)
{
    estimatedRequests_ = requests;
    estimatedAt_ = now;
    if (serviceTime > Core::Duration::zero()) {
        serviceTime_ = serviceTime;
        hasServiceTime_ = true;
    }
}

void ServerLoad::forgetMeasurements()
{
    slowness_ = 1;
    hasServiceTime_ = false;
    serviceTime_ = assumedServiceTime;
    othersAtReport_ = 0;
    reportedAt_ = {};
    estimatedRequests_ = 0;
    estimatedAt_ = {};
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

void ServerLoad::onServiceTime(Core::Duration time, double cost)
{
    auto const average = std::chrono::duration_cast<Core::Duration>(time / cost);
    auto const difference = static_cast<double>((average - serviceTime_).count()) * serviceTimeSmoothing;
    serviceTime_ += Core::Duration(static_cast<Core::Duration::rep>(difference));
    hasServiceTime_ = true;
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
    auto const requests = occupancy(now);
    auto const ahead = requests + 1 - slots_;
    if (ahead <= 0)
        return {};
    // The requests of other hosts count as average ones.
    auto const costOfEach = requests > 0 ? (requests - inFlight_ + inFlightCost_) / requests : 1.0;
    return std::chrono::duration_cast<Core::Duration>(serviceTime_ * (costOfEach * ahead / slots_));
}

bool ServerLoad::hasRoom(Core::TimePoint now, double reserved) const
{
    return occupancy(now) + 1 <= maxOccupancyPerSlot * slots_ - reserved;
}

} // namespace Gateway
