#pragma once

#include <LibFleet/RequestLimits.h>
#include <LibGateway/SendShareLimiter.h>

namespace Gateway {

/// The position of this entry host among those that share the limit of one server.
struct EntryHostShare {
    std::uint32_t entryHosts { 1 };
    /// Empty if the view does not list this host.
    std::optional<std::uint32_t> rank;
};

/// What one backend server has asked of its callers, and what this entry host may send to it for that reason.
///
/// The limit is kept by reservations of the control leader. While the leader does not answer, each entry host has a
/// fixed share. A server without keys is not needed for any particular request, so that only hosts whose share has room
/// reserve a send to it.
class ServerBackpressure {
public:
    /// Records what an answer to this entry host says.
    void onAnswer(Fleet::LimitStatement const&);
    /// Records what the control leader knows from other entry hosts.
    void onLeaderStatement(Fleet::LimitStatement const& statement) { limit_.update(statement); }

    /// Requests per second from all entry hosts together; empty if the server names no limit.
    std::optional<double> requestLimit() const { return limit_.perSecond(); }
    Fleet::LimitStatement const& newestStatement() const { return limit_.newest(); }
    /// Whether answers to this entry host have said something about the limit since the last call.
    bool takeReportDue() { return std::exchange(isReportDue_, false); }
    /// Reports a limit that is in force again, since a new leader does not know it.
    void repeatReport() { isReportDue_ = isReportDue_ || limit_.perSecond(); }
    /// Returns true for the first unreadable limit of the server.
    bool isFirstUnreadable() { return !std::exchange(hasUnreadable_, true); }

    /// Records that an answer says that the server leaves. It is not taken back by anything: the same server process
    /// cannot return. Returns whether this is the first such answer.
    bool onLeaving(Core::TimePoint now);
    /// Returns true for the first unreadable statement of the server about leaving.
    bool isFirstUnreadableLeaving() { return !std::exchange(hasUnreadableLeaving_, true); }
    bool isLeaving() const { return leavingSince_.has_value(); }
    /// Whether the server said at least this long ago that it leaves.
    bool hasBeenLeavingFor(Core::Duration, Core::TimePoint now) const;
    /// Whether the control leader has to be told that the server leaves.
    bool takeLeavingReportDue() { return std::exchange(isLeavingReportDue_, false); }
    /// Reports a leaving server again, since the leader that was told may be lost.
    void repeatLeavingReport() { isLeavingReportDue_ = isLeaving(); }

    /// Records that the server wants no request from this entry host for a time. Returns whether it did not want any
    /// already.
    bool onSilence(Core::TimePoint now, Core::Duration);
    /// The time for which the server wants no request; zero if it takes requests.
    Core::Duration silenceLeft(Core::TimePoint now) const
    {
        return std::max(silentUntil_ - now, Core::Duration::zero());
    }
    /// Returns true for the first unreadable silence of the server.
    bool isFirstUnreadableSilence() { return !std::exchange(hasUnreadableSilence_, true); }

    /// Whether a reservation with this patience would be refused, as far as an earlier refusal shows. Returns the time
    /// until the next request could be sent.
    std::optional<Core::Duration> refusedFor(Core::TimePoint now, Core::Duration patience) const;
    void onRefused(Core::TimePoint now, Core::Duration patience, Core::Duration wait);
    void recordSend(Core::TimePoint now) { shares_.record(now); }

    /// Whether this host's share of the limit has room for a request. The share only decides which hosts ask the leader
    /// for a reservation: shares alone would let all hosts send at the same moment.
    bool hasShare(Core::TimePoint now, EntryHostShare const&) const;
    /// Whether the next request of this host's share is due, if the share is used evenly over time. Such requests keep
    /// the server in use up to its limit and show whether it still names one.
    bool isShareDue(Core::TimePoint now, EntryHostShare const&) const;
    /// Consumes a request of this host's share for the time without a leader. The share is smaller, since the
    /// reservations of the last leader have used a part of the limit.
    bool tryAcquireLeaderlessShare(Core::TimePoint now, EntryHostShare const&);

private:
    /// The limit of the platform holds for any four seconds. Requests travel for up to 100 ms.
    static constexpr Core::Duration shareWindow = std::chrono::milliseconds(4100);

    SendShare shareOf(EntryHostShare const&, double fraction, std::size_t min) const;

    Fleet::RequestLimit limit_;
    SendShareLimiter shares_ { shareWindow };
    bool isReportDue_ { false };
    bool hasUnreadable_ { false };
    std::optional<Core::TimePoint> leavingSince_;
    bool isLeavingReportDue_ { false };
    bool hasUnreadableLeaving_ { false };
    Core::TimePoint silentUntil_;
    bool hasUnreadableSilence_ { false };
    /// Until when, and up to which patience, the leader has refused reservations.
    Core::TimePoint refusedUntil_;
    Core::Duration refusedPatience_ {};
};

} // namespace Gateway
