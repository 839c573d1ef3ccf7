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
    auto const hasRoom = server.hasRoom(now, givenUp);
    if (hasRoom && needed <= query.left)
        return std::nullopt;
    return Refusal { retryAfter(wait, server.serviceTime(), query.lot) };
}

} // namespace Gateway
