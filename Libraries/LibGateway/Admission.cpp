#include <LibGateway/Admission.h>

#include <algorithm>
#include <array>

namespace Gateway {

namespace {

    /// Fraction of the mean service time that must remain once a slot is free. Service times vary, and most requests
    /// take less than the mean.
    constexpr double minServiceTimeFraction = 0.8;
    /// Queue places that a request may not use for each priority step below the most urgent, as a fraction of the
    /// slots.
    constexpr double reservedPerPriorityStep = 0.25;
    /// Fraction of the remaining time of a returning caller that queueing and service may be expected to take. Service
    /// times vary, and the answer of a request that misses its deadline is lost.
    constexpr double maxReturningFraction = 0.75;
    constexpr std::int32_t maxPriorityStep = 3;
    constexpr Core::Duration minRetryAfter = std::chrono::milliseconds(60);
    constexpr Core::Duration maxRetryAfter = std::chrono::seconds(2);

    /// Admission probability on an overloaded key range relative to the admitted fraction, by priority, the most urgent
    /// first.
    constexpr std::array<double, 4> priorityOdds { 1.6, 1.3, 0.9, 0.7 };
    static_assert(priorityOdds.size() == maxPriorityStep + 1);
    /// Mean Retry-After time for a refused request on an overloaded key range. A hot range is split and moved within
    /// one to three heartbeats of about a second each.
    constexpr Core::Duration meanOverloadRetryAfter = std::chrono::milliseconds(1000);

    /// Longest wait for a send to a server that names a limit.
    constexpr Core::Duration maxReservedWait = std::chrono::milliseconds(500);

    /// The time over which callers return after a server's time of silence, which is half of it within these limits.
    constexpr Core::Duration minSilenceSpread = std::chrono::milliseconds(250);
    constexpr Core::Duration maxSilenceSpread = std::chrono::seconds(2);

    std::int32_t priorityStep(std::int32_t priority) { return std::clamp(priority, 0, maxPriorityStep); }

    /// The longest queueing delay plus service time that a queued request may have.
    Core::Duration waitLimit(AdmissionQuery const& query)
    {
        if (query.isReturning)
            return std::chrono::duration_cast<Core::Duration>(query.remaining * maxReturningFraction);
        // A request that has exceeded its target latency may use half of its remaining time.
        return query.remainingToTarget > Core::Duration::zero() ? query.remainingToTarget : query.remaining / 2;
    }

} // namespace

bool Admission::isAdmitted(double admittedFraction, std::int32_t priority, double sample)
{
    if (admittedFraction >= 1)
        return true;
    return sample < admittedFraction * priorityOdds.at(static_cast<std::size_t>(priorityStep(priority)));
}

Core::Duration Admission::overloadRetryAfter(double jitter)
{
    return std::chrono::duration_cast<Core::Duration>(meanOverloadRetryAfter * (0.5 + jitter));
}

Core::Duration Admission::silenceRetryAfter(Core::Duration left, double jitter)
{
    auto const spread = std::clamp(left / 2, minSilenceSpread, maxSilenceSpread);
    return left + std::chrono::duration_cast<Core::Duration>(spread * jitter);
}

Core::Duration Admission::quotaRetryAfter(Core::Duration wait, double jitter)
{
    // One caller may take the first place, so the others return over a second after it.
    auto const spread = std::max(wait, meanOverloadRetryAfter);
    return wait + std::chrono::duration_cast<Core::Duration>(spread * jitter);
}

Core::Duration Admission::maxReservationWait(AdmissionQuery const& query, ServerLoad const& server)
{
    auto const service
        = std::chrono::duration_cast<Core::Duration>(server.serviceTimeOf(query.cost) * minServiceTimeFraction);
    auto const reserved = query.isReturning ? 0.0 : reservedPerPriorityStep * priorityStep(query.priority);
    auto const wait = std::min(query.remaining, waitLimit(query)) - service;
    return std::clamp(
        std::chrono::duration_cast<Core::Duration>(wait * (1 - reserved)), Core::Duration::zero(), maxReservedWait);
}

Core::Duration Admission::retryAfter(Core::Duration expectedWait, Core::Duration serviceTime, double jitter)
{
    auto const base = expectedWait + serviceTime / 2;
    // Spreads the retries over an interval as long as the expected wait.
    auto const spread = std::chrono::duration_cast<Core::Duration>(base * (0.5 + jitter));
    return std::clamp(spread, minRetryAfter, maxRetryAfter);
}

std::optional<Refusal> Admission::check(AdmissionQuery const& query, ServerLoad const& server, Core::TimePoint now)
{
    auto const wait = server.expectedWait(now);
    auto const needed
        = wait + std::chrono::duration_cast<Core::Duration>(server.serviceTimeOf(query.cost) * minServiceTimeFraction);
    auto const reserved
        = query.isReturning ? 0.0 : reservedPerPriorityStep * priorityStep(query.priority) * server.slots();
    auto const limit = wait > Core::Duration::zero() ? std::min(query.remaining, waitLimit(query)) : query.remaining;
    if (server.hasRoom(now, reserved) && needed <= limit)
        return std::nullopt;
    return Refusal { retryAfter(wait, server.serviceTime(), query.jitter), wait, server.serviceTime(),
        server.occupancy(now) };
}

} // namespace Gateway
