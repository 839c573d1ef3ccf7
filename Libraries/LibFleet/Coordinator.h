#pragma once

#include <LibCore/Time.h>
#include <LibFleet/OverloadShares.h>
#include <LibFleet/RangePlacement.h>
#include <LibFleet/State.h>
#include <LibPolicy/CrashTracker.h>

#include <unordered_map>

namespace Fleet {

/// Keys that a backend server says it holds or is still working on.
struct HeldKeys {
    std::uint32_t first { 0 };
    std::uint32_t last { 0 };
    std::uint64_t fence { 0 };
};

/// Keys that a backend server has given back since its last acknowledged heartbeat.
struct ReleasedKeys {
    std::uint32_t first { 0 };
    std::uint32_t last { 0 };
    std::string handover;
};

struct Heartbeat {
    /// Without a number: the sender does not know it.
    ServerRecord server;
    /// Rises with each heartbeat of one life.
    std::uint64_t sequence { 0 };
    bool isDraining { false };
    Core::Duration warmupLeft {};
    std::vector<HeldKeys> holds;
    std::vector<ReleasedKeys> released;
};

/// Everything that a backend server is to hold, counted from when it sent its heartbeat.
struct Grant {
    std::vector<KeyRange> ranges;
    Core::Duration leaseDuration {};
};

struct CoordinatorSettings {
    /// How long a backend server holds keys after a heartbeat. Must outlast a change of the control leader, which takes
    /// about two seconds, and is the time that keys of a lost server are not served.
    Core::Duration leaseDuration { std::chrono::milliseconds(5000) };
    /// A clock of a backend server may run this much slow.
    double clockDrift { 0.02 };
    Core::Duration heartbeatInterval { std::chrono::seconds(1) };
};

/// What entry hosts report to the leader every half second.
struct LoadReport {
    struct Arrivals {
        Core::PoolName pool;
        /// Requests by key.
        std::vector<std::pair<std::uint32_t, std::uint32_t>> keys;
    };
    struct Latency {
        ServerNumber server { 0 };
        /// Answers, and the sum of their service times in milliseconds, without the wait at the server.
        std::uint32_t answers { 0 };
        double sumMs { 0 };
    };
    /// A request was running when its server's connection broke off.
    struct Suspicion {
        std::string fingerprint;
        ServerNumber server { 0 };
    };
    /// How a server was met since the last report.
    struct Contact {
        ServerNumber server { 0 };
        std::uint32_t answers { 0 };
        /// Connections that its address refused since nothing listened there.
        std::uint32_t refusals { 0 };
    };
    std::vector<Arrivals> arrivals;
    std::vector<Contact> contacts;
    std::vector<Latency> latencies;
    std::vector<Suspicion> suspicions;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoadReport::Arrivals, pool, keys)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoadReport::Latency, server, answers, sumMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoadReport::Suspicion, fingerprint, server)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoadReport::Contact, server, answers, refusals)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoadReport, arrivals, contacts, latencies, suspicions)

/// Where entry hosts send requests on a range of keys. Without an owner they wait or refuse.
struct RangeRow {
    Core::PoolName pool;
    std::uint32_t first { 0 };
    std::uint32_t last { 0 };
    ServerNumber owner { 0 };
    /// How long it takes about until an owner is there, if there is none.
    std::int64_t waitMs { 0 };
    /// The part of the requests that the owner can do. The others are refused at once.
    double admittedFraction { 1 };
};

/// The decisions of the control leader over backend servers and the keys that they own. Made anew for each term of
/// leadership. Deterministic, without clocks or sockets.
///
/// A range moves in steps: its owner is told to give it up, reports that it did, the new owner is committed with a
/// higher fencing token, and is told with its next heartbeat. Where the owner is silent, its hold must have run out.
class Coordinator {
public:
    Coordinator(State const&, CoordinatorSettings const&, Core::TimePoint now);

    /// What has to be committed before the heartbeat may be acknowledged.
    std::optional<Command> admit(Heartbeat const&) const;
    /// The answer to a heartbeat whose admission, if any, is committed. Empty if nothing is to be renewed.
    std::optional<Grant> answer(Core::TimePoint receivedAt, Core::TimePoint now, Heartbeat const&);
    /// What has to be committed before a server's notice that it leaves is acknowledged.
    std::optional<Command> leave(Core::ServerName const&) const;

    void onApplied(Core::TimePoint now, Command const&, Applied const&);
    void onReport(Core::TimePoint now, LoadReport const&);
    void tick(Core::TimePoint now);

    /// What the leader has decided and is to commit; empty when there is nothing.
    std::optional<Command> takeCommand();
    std::vector<RangeRow> takeRows();
    std::vector<RangeRow> allRows() const;
    /// Servers whose cold time changed.
    std::vector<ServerNumber> takeColdChanges();
    Core::Duration coldLeft(ServerNumber, Core::TimePoint now) const;
    /// Fingerprints of requests that crashed several servers.
    std::vector<std::string> quarantined(Core::TimePoint now) const;
    bool hasNewQuarantine() { return std::exchange(hasNewQuarantine_, false); }

private:
    struct ServerState {
        std::uint64_t lastSequence { 0 };
        Core::TimePoint lastBeat;
        Core::TimePoint coldUntil;
        /// Mean service time of an answer in milliseconds; zero before the first report.
        double meanMs { 0 };
        /// Answers that it is made of, the newest ones.
        double answers { 0 };
        bool hasBeat { false };
        /// Refusals since the server was last heard of in any way, and when the first of them was reported.
        std::uint32_t refusals { 0 };
        Core::TimePoint refusedSince;
    };
    struct RangeState {
        /// Who is to own the range next.
        ServerNumber target { 0 };
        /// The owner was told to give the range up.
        bool isRevoked { false };
        /// The next owner waits to be committed.
        bool isProposed { false };
        /// The owner was told that it holds the range.
        bool isGranted { false };
        Core::TimePoint movedAt;
        /// When the range was first to move to another server.
        Core::TimePoint targetSince;
        double load { 0 };
        ServerNumber published { 0 };
        /// As entry hosts were told.
        double admittedFraction { 1 };
    };
    using RangeStates = std::map<std::uint32_t, RangeState>;
    struct Suspicion {
        std::string fingerprint;
        Core::TimePoint at;
    };
    /// What planning has to know of a server, found out once a round: a server has many ranges.
    struct ServerStanding {
        bool isPresent { false };
        bool mayOwn { false };
        /// It holds no key any more.
        bool isFree { false };
    };
    /// One round of planning for one pool.
    struct PlanRound {
        Core::PoolName const& pool;
        Core::TimePoint now;
        std::unordered_map<ServerNumber, ServerStanding> standings;
        std::optional<std::vector<PlacementServer>> candidates;
    };

    Core::TimePoint leaseEnd(ServerNumber) const;
    /// The process of this life has probably ended: its address refuses connections, and nothing else is heard. It gets
    /// no further keys, but those that it has stay until its hold has run out: a cut that resets connections looks the
    /// same.
    bool isProbablyGone(ServerNumber, Core::TimePoint now) const;
    /// When the server's next heartbeat from a point in time on is expected.
    Core::TimePoint nextBeat(ServerNumber, Core::TimePoint from) const;
    bool mustRevokeNow(RangeState const&, ServerRecord const& owner, Core::TimePoint now) const;
    void splitHotRanges(PoolItem const&, std::span<PlacementServer const>);
    bool isStale(ServerRecord const&, Heartbeat const&) const;
    bool mayOwn(ServerRecord const&, Core::TimePoint now) const;
    bool isCold(ServerNumber, Core::TimePoint now) const;
    ServerStanding const& standingOf(PlanRound&, ServerNumber) const;
    ServerNumber chooseTarget(PlanRound&, RangeState const&) const;
    void planRange(PlanRound&, KeyRange const&, RangeState&);
    /// Calls with each range of the pool and its state, in order.
    template <typename Function> void forEachRange(Core::PoolName const&, Function const&);
    /// `from` is when a range could be taken over.
    std::vector<PlacementServer> placementServers(
        Core::PoolName const&, Core::TimePoint now, Core::TimePoint from) const;
    double meanServiceSeconds(Core::PoolName const&) const;
    void plan(Core::TimePoint now);
    void planPool(PoolItem const&, Core::TimePoint now);
    /// Plans only the ranges of one server. A heartbeat costs no more than a look at the ranges of its sender.
    void planServer(PoolItem const&, ServerNumber, Core::TimePoint now);
    void layOut(PoolItem const&, Core::TimePoint now);
    void balancePool(PoolItem const&, Core::TimePoint now);
    /// Tells entry hosts what part of the requests on the ranges of overloaded servers to admit.
    void limitOverload(PoolItem const&);
    double capacityOf(ServerRecord const&, double poolServiceSeconds) const;
    RangeRow makeRow(Core::PoolName const&, KeyRange const&, RangeState const&) const;
    void settleReleases(ServerRecord const&, Heartbeat const&);
    Grant makeGrant(ServerRecord const&, Heartbeat const&, Core::TimePoint now);
    void propose(Core::PoolName const&, KeyRange const&, RangeState&, ServerNumber to, std::string handover);
    void publish(Core::PoolName const&, KeyRange const&, RangeState&);
    void updateLoads();
    void confirmSuspicions(ServerNumber, Core::TimePoint now);

    /// Of loads and of the search for better owners; the reports of entry hosts come as often.
    static constexpr Core::Duration balanceInterval = std::chrono::milliseconds(500);
    static constexpr double millisecondsPerSecond = 1000;
    /// From the answer that takes a range away until its release is committed: the work that is under way, the next
    /// heartbeat within 100 ms, and a write to the disks.
    static constexpr Core::Duration releaseTime = std::chrono::milliseconds(200);

    State const& state_;
    CoordinatorSettings settings_;
    Core::TimePoint startedAt_;
    std::unordered_map<ServerNumber, ServerState> servers_;
    /// Also of servers that have left.
    std::unordered_map<ServerNumber, Core::TimePoint> leases_;
    std::map<Core::PoolName, RangeStates> ranges_;
    std::map<Core::PoolName, Core::TimePoint> lastJoin_;
    /// Requests a second by key, of keys that had any lately.
    std::map<Core::PoolName, std::map<std::uint32_t, double>> keyLoads_;
    std::map<Core::PoolName, std::map<std::uint32_t, std::uint32_t>> keyArrivals_;
    Command pending_;
    std::vector<RangeRow> rows_;
    std::vector<ServerNumber> coldChanges_;
    Core::TimePoint lastBalance_;
    bool wasSplit_ { false };
    std::unordered_map<ServerNumber, std::vector<Suspicion>> suspicions_;
    Policy::CrashTracker crashes_;
    std::map<Core::Digest, std::string> fingerprints_;
    bool hasNewQuarantine_ { false };
};

} // namespace Fleet
