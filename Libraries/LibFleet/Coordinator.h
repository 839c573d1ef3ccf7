#pragma once

#include <LibCore/Time.h>
#include <LibFleet/CrashSuspects.h>
#include <LibFleet/OccupancyEstimates.h>
#include <LibFleet/OverloadShares.h>
#include <LibFleet/RangePlacement.h>
#include <LibFleet/Reservation.h>
#include <LibFleet/ReturningServers.h>
#include <LibFleet/State.h>
#include <LibFleet/WorkspaceQuotas.h>

#include <unordered_map>

namespace Fleet {

/// A key range that a backend server reports as held, or for which it still has requests in progress.
struct HeldKeys {
    std::uint32_t first { 0 };
    std::uint32_t last { 0 };
    std::uint64_t fence { 0 };
};

/// A key range that a backend server has released since its last acknowledged heartbeat.
struct ReleasedKeys {
    std::uint32_t first { 0 };
    std::uint32_t last { 0 };
    std::string handover;
};

struct Heartbeat {
    /// The sender's record. Its number is zero, since the sender does not know it.
    ServerRecord server;
    /// A sequence number that increases with each heartbeat of one server incarnation.
    std::uint64_t sequence { 0 };
    bool isDraining { false };
    Core::Duration warmupLeft {};
    std::vector<HeldKeys> holds;
    std::vector<ReleasedKeys> released;
};

/// All key ranges that a backend server owns after a heartbeat, with a lease that starts when the heartbeat was sent.
struct Grant {
    std::vector<KeyRange> ranges;
    Core::Duration leaseDuration {};
};

struct CoordinatorSettings {
    /// The time for which a backend server owns its keys after a heartbeat; 5 s by default. It must be longer than a
    /// change of the control leader, which takes about two seconds. Keys of a failed server are unavailable for this
    /// long.
    Core::Duration leaseDuration { std::chrono::milliseconds(5000) };
    /// The largest fraction by which the clock of a backend server may run slow.
    double clockDrift { 0.02 };
    Core::Duration heartbeatInterval { std::chrono::seconds(1) };
    QuotaBounds quotas;
};

/// The measurements that an entry host reports to the leader every half second.
struct LoadReport {
    struct Arrivals {
        Core::PoolName pool;
        /// Pairs of a key and the number of requests for it.
        std::vector<std::pair<std::uint32_t, std::uint32_t>> keys;
    };
    struct Latency {
        ServerNumber server { 0 };
        /// The number of answers, whose service times add up to `sumMs` milliseconds. The time in the server's queue is
        /// not included.
        std::uint32_t answers { 0 };
        double sumMs { 0 };
    };
    /// A request that was in progress when the connection to its server was lost.
    struct Suspicion {
        std::string fingerprint;
        ServerNumber server { 0 };
    };
    /// Evidence since the last report of whether a server is reachable.
    struct Contact {
        ServerNumber server { 0 };
        std::uint32_t answers { 0 };
        /// The number of connection attempts that failed because nothing listened at the server's address.
        std::uint32_t refusals { 0 };
    };
    /// What a server stated about its load in its answers since the last report.
    struct Occupancy {
        ServerNumber server { 0 };
        std::uint32_t reports { 0 };
        /// The sum of the running and waiting requests that the server stated.
        std::uint32_t requests { 0 };
    };
    std::vector<Arrivals> arrivals;
    std::vector<Contact> contacts;
    std::vector<Latency> latencies;
    std::vector<Suspicion> suspicions;
    /// The suspected or quarantined requests that a server has answered.
    std::vector<std::string> harmless;
    std::vector<Occupancy> occupancies;
    /// The limits of the servers whose answers said something about them since the last report.
    std::vector<RequestLimitRow> requestLimits;
    /// The servers that said in an answer that they leave.
    std::vector<ServerNumber> leaving;
    /// The revision of the configuration items that the entry host has; zero if it does not say.
    std::uint64_t itemRevision { 0 };

    bool isEmpty() const
    {
        return arrivals.empty() && contacts.empty() && suspicions.empty() && harmless.empty() && requestLimits.empty()
            && leaving.empty();
    }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoadReport::Arrivals, pool, keys)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoadReport::Latency, server, answers, sumMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoadReport::Suspicion, fingerprint, server)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoadReport::Contact, server, answers, refusals)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoadReport::Occupancy, server, reports, requests)
// An entry host of an earlier version sends only the first of these.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    LoadReport, arrivals, contacts, latencies, suspicions, harmless, occupancies, requestLimits, leaving, itemRevision)

/// The owner to which entry hosts send requests for a key range. While there is no owner, they queue or reject
/// requests.
struct RangeRow {
    Core::PoolName pool;
    std::uint32_t first { 0 };
    std::uint32_t last { 0 };
    ServerNumber owner { 0 };
    /// The estimated time in milliseconds until the range has an owner; zero if it has one.
    std::int64_t waitMs { 0 };
    /// The fraction of the requests that the owner has capacity for. The others are rejected immediately.
    double admittedFraction { 1 };
};

/// Why a heartbeat is acknowledged and has no effect.
enum class IgnoredHeartbeat : std::uint8_t {
    /// A newer one of the same incarnation, or one of a newer incarnation, was received before.
    Stale,
    /// Its incarnation was removed and is not known to run.
    Removed,
    /// Its process is known to have ended, or another one uses its address.
    Superseded,
};
std::string_view describe(IgnoredHeartbeat);

/// What a heartbeat leads to before it is answered.
struct Admission {
    /// The command that must be committed before the heartbeat may be acknowledged, if any.
    std::optional<Command> command;
    /// Whether the command registers an incarnation again that had been removed.
    bool isReturn { false };
    /// Why the heartbeat has no effect, if it has none.
    std::optional<IgnoredHeartbeat> ignored;
};

/// Decides for the control leader about backend servers and the keys that they own. A new instance is created for each
/// leadership term. It is deterministic and uses no clocks or sockets.
///
/// A range moves in four steps: the owner is told to release it; the owner confirms the release; the new owner is
/// committed with a higher fencing token; the new owner learns of it in the answer to its next heartbeat. If the owner
/// sends no heartbeats, its lease must have expired before a new owner is committed.
class Coordinator {
public:
    Coordinator(State const&, CoordinatorSettings const&, Core::TimePoint now);

    Admission admit(Core::TimePoint now, Heartbeat const&);
    /// Returns the grant that answers a heartbeat, once the command from `admit`, if any, is committed. Empty if no
    /// lease is renewed.
    std::optional<Grant> answer(Core::TimePoint receivedAt, Core::TimePoint now, Heartbeat const&);
    /// Returns the command that must be committed before the deregistration of a server is acknowledged, if any.
    std::optional<Command> leave(Core::ServerName const&) const;

    void onApplied(Core::TimePoint now, Command const&, ApplyResult const&);
    void onLoadReport(Core::TimePoint now, LoadReport const&);
    void tick(Core::TimePoint now);

    /// Returns and clears the pending decisions that the leader has to commit; empty if there are none.
    std::optional<Command> takeCommand();
    std::vector<RangeRow> takeRows();
    std::vector<RangeRow> allRows() const;
    /// Returns and clears the servers that became cold or warm.
    std::vector<ServerNumber> takeColdChanges();
    /// Returns the estimated occupancies that entry hosts need to learn. The estimates change every half second.
    std::vector<ServerOccupancy> takeOccupancyChanges();
    std::vector<ServerOccupancy> allOccupancies() const;
    /// Grants or refuses a send to a server that names a request rate limit.
    Reservation reserve(Core::TimePoint now, ReservationRequest const&);
    /// Grants credits of the quota of a workspace.
    QuotaReply grantQuota(Core::TimePoint now, QuotaRequest const&);
    /// Returns the request rate limits that began, ended or changed noticeably since the last call.
    std::vector<RequestLimitRow> takeRequestLimitChanges(Core::TimePoint now) { return limits_.takeChanges(now); }
    std::vector<RequestLimitRow> allRequestLimits(Core::TimePoint now) const { return limits_.all(now); }
    /// Empty until this leader has heard from the server.
    std::optional<Core::Duration> remainingColdTime(ServerNumber, Core::TimePoint now) const;
    /// The requests that crash the servers that run them.
    CrashSuspects& crashSuspects() { return crashSuspects_; }
    CrashSuspects const& crashSuspects() const { return crashSuspects_; }

private:
    struct ServerState {
        /// The incarnation, once it has sent a heartbeat to this leader.
        std::int64_t bornMs { 0 };
        std::uint64_t lastSequence { 0 };
        Core::TimePoint lastHeartbeat;
        /// Empty if unknown.
        std::optional<Core::TimePoint> coldUntil;
        /// The mean service time of an answer in milliseconds; zero before the first report.
        double meanMs { 0 };
        /// The number of recent answers that `meanMs` is averaged over.
        double answers { 0 };
        bool hasHeartbeat { false };
        /// Whether a command that marks the server as draining awaits its commit.
        bool isDrainProposed { false };
        /// The number of refused connections since the last heartbeat or answer of the server. `refusedSince` is when
        /// the first of them was reported.
        std::uint32_t refusals { 0 };
        Core::TimePoint refusedSince;
    };
    struct RangeState {
        /// The server that will own the range next; zero for none.
        ServerNumber target { 0 };
        /// Whether the owner was told to release the range.
        bool isRevoked { false };
        /// Whether an assignment to the next owner awaits its commit.
        bool isProposed { false };
        /// Whether the range was part of a grant to its owner.
        bool isGranted { false };
        Core::TimePoint movedAt;
        /// When a move of the range to another server was first planned.
        Core::TimePoint targetSince;
        double load { 0 };
        ServerNumber publishedOwner { 0 };
        /// The admitted fraction that was last published to entry hosts.
        double admittedFraction { 1 };
    };
    using RangeStates = std::map<std::uint32_t, RangeState>;
    /// The state of a server that planning depends on. It is computed once a round, since a server has many ranges.
    struct ServerEligibility {
        bool isPresent { false };
        bool mayOwn { false };
        /// Whether the server's lease has expired, so that its ranges can be reassigned.
        bool isFree { false };
    };
    /// When the servers of a pool joined, as far as this leader knows. Servers that joined under an earlier leader
    /// count as joined when this one started.
    struct PoolJoins {
        /// When the leader first heard from a server of the pool.
        Core::TimePoint firstHeard;
        Core::TimePoint latest;
    };
    /// One round of planning for one pool.
    struct PlanningRound {
        Core::PoolName const& pool;
        Core::TimePoint now;
        std::unordered_map<ServerNumber, ServerEligibility> eligibilities;
        std::optional<std::vector<PlacementServer>> candidates;
    };

    Core::TimePoint leaseEnd(ServerNumber) const;
    /// Whether the process of this server incarnation has probably ended: its address refuses connections, and no
    /// heartbeats or answers arrive. Such a server gets no further keys, but keeps those that it has until its lease
    /// expires, because a network partition that resets connections looks the same.
    bool isPresumedDown(ServerNumber, Core::TimePoint now) const;
    /// Returns when the first heartbeat of the server at or after `from` is expected.
    Core::TimePoint nextHeartbeat(ServerNumber, Core::TimePoint from) const;
    bool mustRevokeNow(RangeState const&, ServerRecord const& owner, Core::TimePoint now) const;
    void splitHotRanges(PoolItem const&, std::span<PlacementServer const>);
    bool isStale(ServerRecord const&, Heartbeat const&) const;
    /// Whether the server has sent a heartbeat to this leader.
    bool hasSentHeartbeat(ServerNumber) const;
    bool mayOwn(ServerRecord const&, Core::TimePoint now) const;
    bool isCold(ServerNumber, Core::TimePoint now) const;
    ServerEligibility const& eligibilityOf(PlanningRound&, ServerNumber) const;
    ServerNumber chooseTarget(PlanningRound&, RangeState const&) const;
    void planRange(PlanningRound&, KeyRange const&, RangeState&);
    /// Calls the function with each range of the pool and its state, in key order.
    template <typename Function> void forEachRange(Core::PoolName const&, Function const&);
    /// Returns the servers of the pool that may own ranges. `from` is the earliest time at which a range can be taken
    /// over.
    std::vector<PlacementServer> placementServers(
        Core::PoolName const&, Core::TimePoint now, Core::TimePoint from) const;
    /// Reduces the capacity of servers that name a limit, so that they get the load that it allows when the others have
    /// the mean utilization.
    void limitCapacities(std::span<PlacementServer>, Core::TimePoint now) const;
    double meanServiceSeconds(Core::PoolName const&) const;
    std::vector<ServerOccupancy> withServiceTimes(std::vector<ServerOccupancy>) const;
    void plan(Core::TimePoint now);
    void planPool(PoolItem const&, Core::TimePoint now);
    /// Plans only the ranges of one server, so that the cost of a heartbeat is bounded by the ranges of its sender.
    void planServer(PoolItem const&, ServerNumber, Core::TimePoint now);
    void assignInitially(PoolItem const&, Core::TimePoint now);
    void balancePool(PoolItem const&, Core::TimePoint now);
    /// Publishes to entry hosts which fraction of the requests for the ranges of overloaded servers to admit.
    void limitOverload(PoolItem const&);
    /// Returns the number of requests of the pool's mean service time that a server can process concurrently.
    double capacityOf(ServerRecord const&, double poolServiceSeconds) const;
    RangeRow makeRow(Core::PoolName const&, KeyRange const&, RangeState const&) const;
    void processReleases(ServerRecord const&, Heartbeat const&);
    Grant makeGrant(ServerRecord const&, Heartbeat const&, Core::TimePoint now);
    void propose(Core::PoolName const&, KeyRange const&, RangeState&, ServerNumber to, std::string handover);
    void publish(Core::PoolName const&, KeyRange const&, RangeState&);
    void updateLoads();
    /// Tells crashes from planned ends among the servers that a command changed.
    void noteEnds(Core::TimePoint now, Command const&, ApplyResult const&);
    void noteRemoval(Core::TimePoint now, ServerNumber, Core::ServerName const&);
    void noteJoin(Core::TimePoint now, ServerRecord const&);

    /// The interval at which loads are updated and ranges are rebalanced, the same as that of the reports of entry
    /// hosts.
    static constexpr Core::Duration balanceInterval = std::chrono::milliseconds(500);
    static constexpr double millisecondsPerSecond = 1000;
    /// The expected time from the heartbeat answer that revokes a range until its release is committed: requests in
    /// progress, the next heartbeat within 100 ms, and a write to the disks.
    static constexpr Core::Duration releaseTime = std::chrono::milliseconds(200);

    State const& state_;
    CoordinatorSettings settings_;
    Core::TimePoint startedAt_;
    std::unordered_map<ServerNumber, ServerState> servers_;
    /// The end of the lease of each server, including servers that were removed.
    std::unordered_map<ServerNumber, Core::TimePoint> leases_;
    std::map<Core::PoolName, RangeStates> ranges_;
    std::map<Core::PoolName, PoolJoins> joins_;
    /// Requests per second by key, for keys with recent requests.
    std::map<Core::PoolName, std::map<std::uint32_t, double>> keyLoads_;
    std::map<Core::PoolName, std::map<std::uint32_t, std::uint32_t>> keyArrivals_;
    OccupancyEstimates occupancies_;
    RequestLimits limits_;
    WorkspaceQuotas quotas_;
    Command pending_;
    std::vector<RangeRow> rows_;
    std::vector<ServerNumber> coldChanges_;
    Core::TimePoint lastBalance_;
    bool wasSplit_ { false };
    bool haveOccupanciesAdvanced_ { false };
    CrashSuspects crashSuspects_;
    ReturningServers returning_;
};

} // namespace Fleet
