#include <LibGateway/Admission.h>

#include <algorithm>
#include <array>

namespace Gateway {

namespace {

    /// Part of the usual service time that must be left once a slot is free. Work varies, so most requests take less
    /// than the mean.
    constexpr double neededServicePart = 0.8;
    /// Places at the server that each step of priority below the most urgent gives up, as a part of its slots.
    constexpr double placesPerPriority = 0.25;
    constexpr std::int32_t maxPriorityStep = 3;
    constexpr Core::Duration minRetryAfter = std::chrono::milliseconds(60);
    constexpr Core::Duration maxRetryAfter = std::chrono::seconds(2);

    /// Odds of requests of each priority on an overloaded range, the most urgent first, relative to the admitted part.
    constexpr std::array<double, 4> priorityOdds { 1.6, 1.3, 0.9, 0.7 };
    static_assert(priorityOdds.size() == maxPriorityStep + 1);
    /// Mean time until a refused caller of an overloaded range comes back. A hot range is split and moved within one to
    /// three heartbeats of a second or so.
    constexpr Core::Duration overloadReturn = std::chrono::milliseconds(1000);

    std::int32_t priorityStep(std::int32_t priority) { return std::clamp(priority, 0, maxPriorityStep); }

    /// How long the wait and the work may take together if the request has to wait.
    Core::Duration waitLimit(AdmissionQuery const& query)
    {
        // A request that has missed its target waits for half as long as it still may.
        return query.leftToTarget > Core::Duration::zero() ? query.leftToTarget : query.left / 2;
    }

} // namespace

bool Admission::isAdmitted(double admittedPart, std::int32_t priority, double lot)
{
    if (admittedPart >= 1)
        return true;
    return lot < admittedPart * priorityOdds.at(static_cast<std::size_t>(priorityStep(priority)));
}

Core::Duration Admission::overloadRetryAfter(double lot)
{
    return std::chrono::duration_cast<Core::Duration>(overloadReturn * (0.5 + lot));
}

Core::Duration Admission::retryAfter(Core::Duration expectedWait, Core::Duration serviceTime, double lot)
{
    auto const base = expectedWait + serviceTime / 2;
    // Returns are spread over as long again as the wait.
    auto const spread = std::chrono::duration_cast<Core::Duration>(base * (0.5 + lot));
    return std::clamp(spread, minRetryAfter, maxRetryAfter);
}

std::optional<Refusal> Admission::check(AdmissionQuery const& query, ServerLoad const& server, Core::TimePoint now)
{
    auto const wait = server.expectedWait(now);
    auto const needed = wait + std::chrono::duration_cast<Core::Duration>(server.serviceTime() * neededServicePart);
    auto const givenUp = placesPerPriority * priorityStep(query.priority) * server.slots();
    auto const patience = wait > Core::Duration::zero() ? std::min(query.left, waitLimit(query)) : query.left;
    if (server.hasRoom(now, givenUp) && needed <= patience)
        return std::nullopt;
    return Refusal { retryAfter(wait, server.serviceTime(), query.lot) };
}

} // namespace Gateway
