#include <LibGateway/Admission.h>

#include <algorithm>

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

    std::int32_t priorityStep(std::int32_t priority) { return std::clamp(priority, 0, maxPriorityStep); }

    /// How long the wait and the work may take together if the request has to wait.
    Core::Duration waitLimit(AdmissionQuery const& query)
    {
        // A request that has missed its target waits for half as long as it still may.
        return query.leftToTarget > Core::Duration::zero() ? query.leftToTarget : query.left / 2;
    }

} // namespace

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
