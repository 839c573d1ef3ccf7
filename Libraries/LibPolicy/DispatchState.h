#pragma once

#include <LibPolicy/CrashTracker.h>
#include <LibPolicy/DispatchGroup.h>
#include <LibPolicy/DispatchPolicies.h>
#include <LibPolicy/FingerprintLimiter.h>
#include <LibPolicy/TypicalLatency.h>

#include <map>
#include <set>
#include <unordered_map>

namespace Policy {

/// Implementation of `DispatchGroup`, internal to LibPolicy.
class DispatchGroup::State {
public:
    State(DispatchSettings const&, DispatchPolicies, std::uint64_t seed);

    void handle(Acquire const&);
    void handle(Release const&);
    void handle(Cancel const&);
    void handle(ServerPresent const&);
    void handle(ServerRemoved const&);
    void handle(ServerCold const&);
    void handle(LoadReport const&);
    void handle(Tick const&);
    void handle(HolderLost const&);
    void handle(RegisterHeld const&);
    void handle(RegisterLimit const&);
    void handle(Start const&);
    void handle(Stop const&);
    void handle(LeaseExtended const&);
    void handle(QuarantineAdded const&);
    void handle(QuarantineLifted const&);
    void handle(SuspicionAdded const&);

    void begin(Core::TimePoint now, std::vector<Action>& actions);
    std::vector<ServerStatus> servers() const;
    DispatchCounters const& counters() const { return counters_; }
    std::size_t waiting() const { return waiting_.size(); }
    std::size_t heldPermits() const { return permits_.size(); }

private:
    static constexpr std::size_t none = static_cast<std::size_t>(-1);

    struct Server {
        Core::ServerName name;
        Core::Incarnation incarnation;
        std::uint32_t slots { 1 };
        bool present { false };
        bool draining { false };
        std::uint32_t inFlight { 0 };
        std::unique_ptr<ServerLimit> limit;
        /// Waiting requests that only this server may serve.
        std::unique_ptr<WaitQueue> queue;
        /// End of the ejection. The server gets no work before, while `ejected` is set.
        Core::TimePoint ejectedUntil;
        bool ejected { false };
        /// Ejected because it could not be reached, so it may have restarted and be cold.
        bool ejectedAsUnreachable { false };
        std::uint32_t ejectionsInRow { 0 };
        std::uint32_t failuresInRow { 0 };
        double slowness { 1 };
        std::uint32_t samples { 0 };
        /// Time of the last release, or of the first grant after the server was idle.
        Core::TimePoint lastProgress;
        Core::Duration holdTime { 0 };
        /// Requests in flight that this dispatcher did not grant, according to the last load report; capped.
        double externalInFlight { 0 };
        Core::TimePoint reportedAt;
        /// The server runs a suspect request, or its other requests are finishing before it runs one. No other work
        /// is granted meanwhile.
        bool reserved { false };
        bool runsSuspect { false };
        std::uint32_t registeredLimit { 0 };
        Core::Duration registeredLimitAge { Core::Duration::max() };
        /// Share of this server in `capacity_`.
        std::uint32_t countedLimit { 0 };
    };

    struct HeldPermit {
        std::size_t server { none };
        std::size_t holder { 0 };
        std::size_t route { 0 };
        Core::Digest fingerprint;
        AttemptKind kind { AttemptKind::First };
        Core::TimePoint grantedAt;
        bool isolated { false };
        /// The permit was granted by an earlier dispatcher, so the time of the grant is not known.
        bool registered { false };
        std::optional<Core::TimePoint> countedUntil;
    };

    struct WaitingRequest {
        AcquireRequest request;
        std::size_t owner { none };
        QueueItem item;
        bool isolated { false };
    };

    // Requests (DispatchRequests.cpp)
    std::optional<RefusalReason> findRefusalReason(AcquireRequest const&);
    bool isQuarantined(AcquireRequest const&) const;
    bool isSuspect(AcquireRequest const&) const;
    bool exceedsFingerprintLimit(AcquireRequest const&) const;
    bool isFingerprintLimited(Core::Digest const& fingerprint) const;
    std::size_t resolveOwner(AcquireRequest const&) const;
    bool decideImmediately(TicketId, AcquireRequest const&, std::size_t owner);
    void enqueue(TicketId, AcquireRequest const&, std::size_t owner);
    void enqueueSuspect(TicketId, AcquireRequest const&, std::size_t owner);
    void grant(TicketId, AcquireRequest const&, std::size_t server, bool isolated);
    void refuse(TicketId, RefusalReason, Core::Duration retryAfter = {});
    void refuseCharged(TicketId, AcquireRequest const&, RefusalReason, Core::Duration retryAfter = {});
    void refuseWaiting(TicketId, RefusalReason, Core::Duration retryAfter = {});
    void eraseWaiting(TicketId);
    /// Whether the request can be answered in time after `wait`. `margin` is the time reserved for the service, as a
    /// multiple of the typical latency of the route.
    bool canMeetDeadline(AcquireRequest const&, Core::Duration wait, std::int64_t margin);
    Core::Duration estimatedWait(QueueItem const&, std::size_t owner) const;
    Core::Duration jittered(Core::Duration);
    WaitQueue& queueFor(std::size_t owner);
    void grantWaiting(std::size_t server);
    void grantShared();
    void grantSuspects();
    bool tryGrantSuspect(TicketId);
    bool tryGrantIsolated(TicketId, std::size_t server);
    void releaseReservation(std::size_t server);
    void releaseUnusedReservations();
    void processNext(WaitQueue&, std::size_t owner);
    bool canGrant() const { return started_ && !stopped_ && now_ < leaseUntil_; }
    std::size_t chooseServer(AcquireRequest const&, bool strict);

    // Servers (DispatchServers.cpp)
    static bool isUsable(Server const& server) { return server.present && !server.draining; }
    bool isAvailable(Server const&) const;
    void updateAvailability(std::size_t server);
    double effectiveSlowness(Server const&) const;
    void updateReferenceSlowness();
    double externalLoad(Server const&) const;
    std::size_t ensureServer(Core::ServerName const&);
    void removeIfUnused(std::size_t server);
    void refuseWaitingOnServer(std::size_t server);
    void refuseAllWaiting(RefusalReason);
    std::size_t indexOfHolder(Core::HostName const&);
    std::size_t indexOfRoute(Core::RouteName const&);

    // Outcomes and timers (DispatchOutcomes.cpp)
    HeldPermit takePermit(std::unordered_map<Core::PermitId, HeldPermit>::iterator);
    void updateEstimates(Server&, HeldPermit const&, ReleaseReport const&, std::uint32_t inFlightBefore);
    double observeLatency(Server&, HeldPermit const&, ReleaseReport const&);
    void updateHealth(std::size_t server, HeldPermit const&, ReleaseReport const&);
    void recordCrash(std::size_t server, HeldPermit const&);
    void eject(std::size_t server, bool unreachable);
    void reinstateExpiredEjections();
    void evaluateEjection();
    void expirePermits();
    void expireWaiting();

    DispatchSettings settings_;
    DispatchPolicies policies_;
    Core::Random random_;
    CrashTracker crashes_;
    FingerprintLimiter fingerprintLimiter_;
    Core::TimePoint now_;
    std::vector<Action>* actions_ { nullptr };
    bool started_ { false };
    bool stopped_ { false };
    Core::TimePoint leaseUntil_ { Core::TimePoint::max() };

    std::vector<Server> servers_;
    std::unordered_map<Core::ServerName, std::size_t> serverIndex_;
    std::vector<std::size_t> freeIndexes_;
    std::size_t usableServers_ { 0 };
    /// Sum of the limits of all usable servers that are not ejected.
    std::uint32_t capacity_ { 0 };
    Core::Duration holdTime_ { 0 };
    double referenceSlowness_ { 1 };
    Core::TimePoint nextEjectionCheck_;

    std::unordered_map<Core::PermitId, HeldPermit> permits_;
    std::uint64_t permitCount_ { 0 };
    std::set<std::pair<Core::TimePoint, Core::PermitId>> expiringPermits_;

    std::unique_ptr<WaitQueue> sharedQueue_;
    std::unordered_map<TicketId, WaitingRequest> waiting_;
    std::set<std::pair<Core::TimePoint, TicketId>> deadlines_;
    /// Waiting requests that are suspected of a crash, or are over the limit of their fingerprint, in order of arrival.
    std::vector<TicketId> suspects_;
    /// The server reserved for suspects without owner: it runs one, or finishes its other requests before it does.
    std::size_t suspectServer_ { none };
    std::size_t reservedServers_ { 0 };

    std::unordered_map<Core::HostName, std::size_t> holderIndex_;
    std::vector<TypicalLatency> routes_;
    std::unordered_map<Core::RouteName, std::size_t> routeIndex_;
    DispatchCounters counters_;
};

} // namespace Policy
