#pragma once

#include <LibFleet/Model.h>
#include <LibFleet/RequestLimit.h>

#include <deque>
#include <map>

namespace Fleet {

/// The limit of a server in a message between two hosts, with the age of the statement, in milliseconds, instead of
/// times of the sender's clock.
struct RequestLimitRow {
    ServerNumber server { 0 };
    /// Requests per second. Empty if the server names no limit any more.
    std::optional<double> perSecond;
    std::int64_t earliestAgoMs { 0 };
    std::int64_t latestAgoMs { 0 };
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RequestLimitRow, server, perSecond, earliestAgoMs, latestAgoMs)

RequestLimitRow toRow(ServerNumber, LimitStatement const&, Core::TimePoint now);
LimitStatement toStatement(RequestLimitRow const&, Core::TimePoint now);

/// The answer to an entry host that wants to send a request to a server that names a limit.
struct Reservation {
    bool isGranted { false };
    /// The time until the request may be sent or, if it was refused, until the next request could be sent.
    Core::Duration wait {};
};

/// The rate of requests to a server that names a limit.
struct SendRate {
    double perSecond { 0 };
    /// The number of requests in any time as long as the window for which the platform checks limits. Binds only after
    /// the limit has fallen.
    std::size_t maxInWindow { 0 };
};

/// Spaces the requests of all entry hosts to one backend server evenly, so that the rate holds over any interval.
class SendSchedule {
public:
    /// Allows the first request one interval after `start`.
    explicit SendSchedule(Core::TimePoint start)
        : latest_(start)
    {
    }

    /// Reserves the next free time if it is at most `patience` away.
    Reservation reserve(Core::TimePoint now, Core::Duration patience, SendRate const&);

private:
    /// The latest time that was reserved.
    Core::TimePoint latest_;
    /// The reserved times within the last window.
    std::deque<Core::TimePoint> reserved_;
};

/// The request rate limits of all backend servers as the control leader knows them, and the reservations within them.
///
/// A server names one limit for all entry hosts together. With many entry hosts the share of one host is far below one
/// request a second, and the requests for the keys of the server arrive at any host, so fixed shares would leave the
/// server idle. The leader instead grants each request that an entry host wants to send. A new leader starts with an
/// empty schedule and learns the limits from the entry hosts.
class RequestLimits {
public:
    void update(ServerNumber, LimitStatement const&, Core::TimePoint now);
    void remove(ServerNumber server) { servers_.erase(server); }

    /// The rate at which requests are sent to the server; empty if it is not limited. It is slightly below the limit
    /// that the server names, but high enough to notice when the server no longer names it.
    std::optional<double> sendRateOf(ServerNumber) const;
    /// Whether the server has ceased to name a limit within the last few seconds.
    bool hasEndedLately(ServerNumber, Core::TimePoint now) const;
    /// Grants requests to servers that are not limited immediately.
    Reservation reserve(ServerNumber, Core::Duration patience, Core::TimePoint now);

    /// Returns the limits that began, ended or changed noticeably since the last call.
    std::vector<RequestLimitRow> takeChanges(Core::TimePoint now);
    /// Returns all limits that are in force.
    std::vector<RequestLimitRow> all(Core::TimePoint now) const;

private:
    struct Server {
        RequestLimit limit;
        std::optional<double> published;
        std::optional<SendSchedule> schedule;
        /// When the limit ended; the epoch if there was none.
        Core::TimePoint endedAt;
    };

    std::map<ServerNumber, Server> servers_;
};

} // namespace Fleet
