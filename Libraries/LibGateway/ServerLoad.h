#pragma once

#include <LibCore/Time.h>
#include <LibGateway/RequestCodec.h>

namespace Gateway {

/// One entry host's estimate of the load of one backend server.
///
/// Load reports arrive only with answers, so they are old if an entry host rarely sends to a server. The older the last
/// report is, the more the estimate of the control leader counts instead, which is based on the answers that all entry
/// hosts got.
class ServerLoad {
public:
    explicit ServerLoad(std::uint32_t slots)
        : slots_(std::max(slots, 1U))
    {
    }

    /// `cost` is the cost of the request relative to the average one, see `RequestCosts`.
    void onSent(double cost = 1);
    /// Records that a sent request of this cost was answered or abandoned.
    void onDone(double cost = 1);
    void onReport(ServerLoadReport const&, Core::TimePoint now);
    /// Records the control leader's estimate of the requests of all entry hosts at the server, and of the service time,
    /// which is zero if unknown.
    void onEstimate(double requests, Core::Duration serviceTime, Core::TimePoint now);
    /// Records the service time of a request of this relative cost.
    void onServiceTime(Core::Duration, double cost = 1);
    /// Forgets what was measured and reported, so that the server is measured anew. Keeps the requests in flight and
    /// the failures.
    void forgetMeasurements();
    /// Estimates the service time of an answered request without its queueing delay. Uses the queue length that the
    /// server reports: on an overloaded server every request is queued, so that it would otherwise never be measured as
    /// slow. Empty if the server reports no load and may have been busy.
    static std::optional<Core::Duration> serviceTimeOf(
        Core::Duration elapsed, bool wasIdleAtSend, std::optional<ServerLoadReport> const&);
    /// Records that no connection could be established. The server is avoided for a time that doubles with each
    /// failure, up to a maximum.
    void onUnreachable(Core::TimePoint now);
    /// Records an answer of the addressed server, which resets the failure counts.
    void onReachable();
    /// Records an answer that the server does not own the key or is not the addressed server. After several such
    /// answers in a row the addressed server has probably exited, and its address belongs to another one.
    void onMisdirected(Core::TimePoint now);

    /// Records that a request was sent and no readable answer came. Servers without keys are used last after several
    /// such requests in a row.
    void onBrokenAnswer(Core::TimePoint now);
    bool isFailing(Core::TimePoint now) const { return now < failingUntil_; }

    bool isUnreachable(Core::TimePoint now) const { return now < avoidUntil_; }
    Core::TimePoint avoidUntil() const { return avoidUntil_; }
    std::uint32_t inFlight() const { return inFlight_; }
    std::uint32_t slots() const { return slots_; }
    /// The estimated number of requests of all entry hosts at the server.
    double occupancy(Core::TimePoint now) const;
    /// The expected queueing delay of one more request.
    Core::Duration expectedWait(Core::TimePoint now) const;
    /// The smoothed service time: how long an average request takes once it has a slot.
    Core::Duration serviceTime() const { return serviceTime_; }
    /// How long a request of this relative cost takes once it has a slot.
    Core::Duration serviceTimeOf(double cost) const;
    /// How long a request of this relative cost is expected to take now. A server that was not measured counts as an
    /// average one of its pool, whose mean service time is zero if unknown, or as a faster one if it is to be tried.
    Core::Duration expectedServiceTime(
        double cost, Core::Duration poolMean, bool isToBeTried, Core::TimePoint now) const;
    /// How much slower than usual the server is now, according to its last report; 1 is normal. A report counts for a
    /// moment only.
    double currentSlowness(Core::TimePoint now) const;
    /// Whether one more request fits into the slots and a bounded queue, of which `reserved` places are kept for more
    /// urgent requests.
    bool hasRoom(Core::TimePoint now, double reserved) const;

private:
    /// The service time of a server that was not measured.
    static constexpr Core::Duration assumedServiceTime = std::chrono::milliseconds(100);

    std::uint32_t slots_;
    std::uint32_t inFlight_ { 0 };
    /// The sum of the relative costs of the requests in flight.
    double inFlightCost_ { 0 };
    double slowness_ { 1 };
    bool hasServiceTime_ { false };
    double othersAtReport_ { 0 };
    Core::TimePoint reportedAt_;
    double estimatedRequests_ { 0 };
    Core::TimePoint estimatedAt_;
    Core::Duration serviceTime_ { assumedServiceTime };
    std::uint32_t failures_ { 0 };
    std::uint32_t misdirected_ { 0 };
    Core::TimePoint avoidUntil_;
    std::uint32_t brokenAnswers_ { 0 };
    Core::TimePoint failingUntil_;
};

} // namespace Gateway
