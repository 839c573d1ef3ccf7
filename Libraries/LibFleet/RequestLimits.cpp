#include <LibFleet/RequestLimits.h>

#include <algorithm>
#include <cmath>

namespace Fleet {

namespace {

    /// The fraction of a limit that is used. Requests travel for different times, so more of them may arrive within an
    /// interval than were sent within one of the same length.
    constexpr double usedFraction = 0.95;
    /// The lowest rate of requests per second to a limited server. An entry host learns only from an answer that the
    /// server no longer names a limit, also if that limit is zero.
    constexpr double minRate = 0.7;
    /// The platform checks limits over any 4 s, and a request may be sent up to 250 ms after its reserved time.
    constexpr Core::Duration checkedWindow = std::chrono::milliseconds(4250);
    /// The most that is sent within the window, in seconds of the limit, and in requests besides. The platform allows
    /// 6 s and five requests; requests that were reserved before a fall of the limit was known use the rest.
    constexpr double maxWindowSeconds = 6;
    constexpr std::size_t minInWindow = 3;
    /// Limits above this many requests per second count as this many.
    constexpr double maxLimit = 1e6;
    /// The smallest relative change of a limit that entry hosts are told.
    constexpr double minRelativeChange = 0.05;
    /// The time for which a server gets ranges again after it has named a limit.
    constexpr Core::Duration recoveryTime = std::chrono::seconds(8);
    /// The time that a message may take between two hosts. Statements in it may be older than it says by this much.
    constexpr Core::Duration transitTime = std::chrono::milliseconds(100);

    bool isNoticeable(std::optional<double> published, std::optional<double> limit)
    {
        if (published.has_value() != limit.has_value())
            return true;
        return limit && std::abs(*limit - *published) > minRelativeChange * *published;
    }

} // namespace

RequestLimitRow toRow(ServerNumber server, LimitStatement const& statement, Core::TimePoint now)
{
    return { server, statement.perSecond, Core::toMilliseconds(now - statement.earliest),
        Core::toMilliseconds(now - statement.latest) };
}

LimitStatement toStatement(RequestLimitRow const& row, Core::TimePoint now)
{
    return { row.perSecond, now - std::chrono::milliseconds(row.earliestAgoMs) - transitTime,
        now - std::chrono::milliseconds(row.latestAgoMs) };
}

Reservation SendSchedule::reserve(Core::TimePoint now, Core::Duration patience, SendRate const& rate)
{
    auto const interval = std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(1 / rate.perSecond));
    while (!reserved_.empty() && now - reserved_.front() >= checkedWindow)
        reserved_.pop_front();
    auto next = std::max(now, latest_ + interval);
    if (reserved_.size() >= rate.maxInWindow)
        next = std::max(next, reserved_[reserved_.size() - rate.maxInWindow] + checkedWindow);
    if (next - now > patience)
        return { false, next - now };
    latest_ = next;
    reserved_.push_back(next);
    return { true, next - now };
}

void RequestLimits::update(ServerNumber number, LimitStatement const& statement, Core::TimePoint now)
{
    auto& server = servers_[number];
    server.limit.update(statement);
    if (server.limit.perSecond()) {
        if (!server.schedule)
            server.schedule.emplace(now);
    } else if (server.schedule) {
        server.schedule.reset();
        server.endedAt = now;
    }
}

bool RequestLimits::hasEndedLately(ServerNumber number, Core::TimePoint now) const
{
    auto const found = servers_.find(number);
    return found != servers_.end() && !found->second.limit.perSecond() && now - found->second.endedAt < recoveryTime;
}

std::optional<double> RequestLimits::sendRateOf(ServerNumber number) const
{
    auto const found = servers_.find(number);
    if (found == servers_.end() || !found->second.limit.perSecond())
        return std::nullopt;
    return std::max(*found->second.limit.perSecond() * usedFraction, minRate);
}

Reservation RequestLimits::reserve(ServerNumber number, Core::Duration patience, Core::TimePoint now)
{
    auto const rate = sendRateOf(number);
    if (!rate)
        return { true, {} };
    auto& server = servers_[number];
    auto const limit = std::min(*server.limit.perSecond(), maxLimit);
    auto const maxInWindow = static_cast<std::size_t>(limit * maxWindowSeconds) + minInWindow;
    return server.schedule->reserve(now, patience, { *rate, maxInWindow });
}

std::vector<RequestLimitRow> RequestLimits::takeChanges(Core::TimePoint now)
{
    std::vector<RequestLimitRow> changes;
    for (auto& [number, server] : servers_) {
        if (!isNoticeable(server.published, server.limit.perSecond()))
            continue;
        server.published = server.limit.perSecond();
        changes.push_back(toRow(number, server.limit.newest(), now));
    }
    return changes;
}

std::vector<RequestLimitRow> RequestLimits::all(Core::TimePoint now) const
{
    std::vector<RequestLimitRow> rows;
    for (auto const& [number, server] : servers_) {
        if (server.limit.perSecond())
            rows.push_back(toRow(number, server.limit.newest(), now));
    }
    return rows;
}

} // namespace Fleet
