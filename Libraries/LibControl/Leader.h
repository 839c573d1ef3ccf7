#pragma once

#include <LibControl/Placement.h>
#include <LibControl/State.h>
#include <LibCore/Time.h>

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace Control {

struct LeaderSettings {
    Core::Duration viewLease { std::chrono::milliseconds(2'000) };
    Core::Duration grantTimeToLive { std::chrono::milliseconds(1'500) };
    /// Largest error of one host's clock rate. The holder's clock may be slow and the leader's fast at the same time,
    /// so the leader waits for `holderBound()` of a lease.
    double maxClockDrift { 0.01 };
    /// The leader grants only within this time after it began a round that a quorum answered. Must be below the
    /// followers' minimum election timeout (400 ms) less drift, so that no new leader counts its wait from an earlier
    /// moment.
    Core::Duration quorumContactValidity { std::chrono::milliseconds(390) };
    /// A proposal that was not applied is made again after this time.
    Core::Duration proposalRetry { std::chrono::milliseconds(500) };
    /// A gap between two steps longer than this means that the leader was paused. Heartbeats that arrived meanwhile are
    /// still to be processed, so nothing counts as lost for the same time again.
    Core::Duration pauseThreshold { std::chrono::milliseconds(600) };
    /// Longest time that requests in flight at the old owner hold up a planned move. The default deadline of a route.
    Core::Duration releaseLimit { std::chrono::seconds(30) };
    /// Moves for balance are planned this often per pool.
    Core::Duration balanceInterval { std::chrono::seconds(1) };
    /// Share of a pool's slots that may move for balance in one interval.
    double balanceBudget { 0.02 };
    /// A server that joined, returned or turned cold reaches its full share of slots after this time.
    Core::Duration rampUp { std::chrono::seconds(20) };
    /// Share of slots that a server starts with.
    double rampUpFrom { 0.1 };
    /// After a pool got its first eligible server, slots without an owner wait this long. Otherwise the first server to
    /// announce itself after a restart of the site would get all slots.
    Core::Duration joinSettle { std::chrono::seconds(1) };
    /// Half-life of the measured load of slots.
    Core::Duration loadHalfLife { std::chrono::seconds(30) };
    /// Time between two `ExpireRecords`.
    Core::Duration expiryInterval { std::chrono::seconds(60) };

    /// How long after granting a lease the leader must assume that the holder believes in it.
    Core::Duration holderBound(Core::Duration lease) const;
};

struct SlotRef {
    Core::PoolName pool;
    Core::SlotNumber slot;

    auto operator<=>(SlotRef const&) const = default;
};

/// A slot with the epoch at which it was granted or released.
struct EpochSlot {
    Core::SlotNumber slot;
    Core::Epoch epoch;

    auto operator<=>(EpochSlot const&) const = default;
};

/// What a backend server announced to an entry host, forwarded.
struct Announcement {
    /// `state` and `coldSince` are ignored.
    Routing::BackendServer server;
    /// The server's caches are empty.
    bool cold { false };
    bool draining { false };
    /// Requests in work at the server.
    double busySlots { 0 };
    /// Slots that the server was asked to release and that it no longer serves.
    std::vector<EpochSlot> released;
};

/// Work that an entry host sent to a slot since its last heartbeat, in busy time.
struct SlotWork {
    SlotRef slot;
    Core::Duration busy { 0 };
};

struct BecameLeader {
    std::uint64_t term { 0 };
};
/// Must be sent as soon as the consensus state is no longer that of a leader, also when this host becomes a candidate
/// and wins again, and when a transfer of leadership begins: from then on a new leader may exist at any time.
struct LostLeadership { };
/// A quorum answered a round of messages that this leader began at `roundBegan`.
struct QuorumContact {
    Core::TimePoint roundBegan;
};
struct Heartbeat {
    Routing::EntryHost host;
    /// Rises with each heartbeat of an incarnation.
    std::uint64_t sequence { 0 };
    /// The view version that the entry host applied.
    Core::ViewVersion appliedVersion;
    std::vector<Announcement> announcements;
    /// Slots in phase `Releasing` of the applied view at whose old owner this host still has requests in flight.
    std::vector<SlotRef> heldReleases;
    std::vector<SlotWork> work;
};
struct Tick { };
/// Commands were applied to the state. Sent once for a batch: after a loss of many servers, planning anew after each
/// command would take most of the time.
struct StateApplied { };
using Event = std::variant<BecameLeader, LostLeadership, QuorumContact, Heartbeat, Tick, StateApplied>;

/// Grant for one announcement. Counted from the moment the backend server sent the announcement.
struct Grant {
    Core::ServerName server;
    Core::Incarnation incarnation;
    /// Zero: no grant, the server may serve nothing beyond its earlier grant.
    Core::Duration timeToLive { 0 };
    /// Replaces the slots of earlier grants.
    std::vector<EpochSlot> slots;
    /// The server must finish its requests for these slots, and then announce them as released.
    std::vector<EpochSlot> release;
};

/// Answer to a heartbeat. The entry host must apply `view` before it counts on `viewLease`. `grants` answers the
/// announcements of that very heartbeat, in their order: an entry host must not pair a grant with a later announcement
/// of the same server, since the grant counts from the sending of the announcement that it answers.
struct HeartbeatAnswer {
    Core::HostName host;
    Core::Incarnation incarnation;
    std::uint64_t sequence { 0 };
    /// False: this host may have been replaced as the leader. The entry host should try another control host.
    bool hasQuorum { false };
    /// Counted from the moment the heartbeat was sent. Zero: no lease.
    Core::Duration viewLease { 0 };
    /// Null when the entry host has the current view.
    std::shared_ptr<Routing::View const> view;
    std::vector<Grant> grants;
};
struct Propose {
    Command command;
};
using Action = std::variant<HeartbeatAnswer, Propose>;

/// The slot has another owner, another epoch, or is about to change.
struct NotCurrentOwner { };

/// The leader's volatile leases, and its decisions on joins, losses and ownership. Not thread-safe.
///
/// `now` must be read after the event was received. `BecameLeader` must be sent after the leader applied the first
/// entry of its own term, so that the state contains all that earlier leaders committed.
class Leader {
public:
    Leader(State const&, std::unique_ptr<Placement const>, LeaderSettings = {});

    std::vector<Action> step(Core::TimePoint now, Event const&);

    bool isLeading() const { return isLeading_; }
    /// The version that every entry host with a live view lease has applied. The state's version without entry hosts;
    /// nothing when this is not the leader.
    std::optional<Core::ViewVersion> effectiveVersion(Core::TimePoint now) const;
    /// Whether a view version is in effect everywhere.
    bool isInEffect(Core::ViewVersion, Core::TimePoint now) const;
    /// The caller has confirmed its leadership by a quorum after the request was received, and applied the commands up
    /// to the commit index of that moment.
    Core::Result<Core::Void, NotCurrentOwner> confirmOwner(Core::PoolName const&, Core::SlotNumber, Core::Epoch) const;
    /// Work of each pool by the latest announcements, for `DrainServer` and `DrainDomain`.
    std::vector<PoolDemand> measuredDemand() const;
    /// The current view. Built once per version.
    std::shared_ptr<Routing::View const> view();

private:
    using ServerIncarnation = std::pair<Core::ServerName, Core::Incarnation>;

    struct HostLease {
        Core::Incarnation incarnation;
        /// The join that the lease belongs to. Zero until the join was applied.
        Core::ViewVersion joinedAt;
        /// The host may believe in its view lease until then.
        Core::TimePoint expiry;
        /// Without a heartbeat until then, the host is removed.
        Core::TimePoint silentUntil;
        Core::ViewVersion appliedVersion;
        std::uint64_t sequence { 0 };
        std::vector<SlotRef> held;
        /// A removal was proposed: no lease until it has been applied.
        bool isLeaving { false };
    };
    struct ServerLease {
        /// The server may believe in its grant until then.
        Core::TimePoint expiry;
        /// Without an announcement until then, the server is lost.
        Core::TimePoint silentUntil;
        double busySlots { 0 };
        /// A loss was proposed: no grant until it has been applied.
        bool isLeaving { false };
        /// Another incarnation took its place. Delayed announcements of this one are ignored while the other one is
        /// heard, so that two processes with one name do not take the slots from each other in turn.
        bool isReplaced { false };
    };
    /// A slot that its owner was asked to release. It is never granted to that owner again.
    struct Handover {
        Core::Epoch epoch;
        /// The last grant that contained the slot expires.
        Core::TimePoint grantExpiry;
        bool isConfirmed { false };
    };
    /// An unassigned slot. The time is kept by slot: a server that returned gets new grants, but none that contains
    /// what it lost.
    struct FreeSlot {
        Core::Epoch epoch;
        /// The last owner's last grant that contained the slot expires.
        Core::TimePoint from;
    };
    struct SlotLoad {
        double load { 0 };
        Core::TimePoint updated;
    };
    struct RampUp {
        Core::ViewVersion coldSince;
        Core::TimePoint began;
    };
    /// Work on the slots of one pool. The lists follow the state at `seenVersion`.
    struct PoolWork {
        std::vector<SlotLoad> loads;
        std::map<std::uint64_t, Handover> handovers;
        std::map<std::uint64_t, Core::TimePoint> releaseBegan;
        std::map<std::uint64_t, FreeSlot> freeSlots;
        std::unordered_map<Core::ServerName, std::vector<std::uint32_t>> slotsOf;
        std::vector<std::uint32_t> unassigned;
        std::vector<std::uint32_t> releasing;
        bool hasDrainedOwners { false };
        /// Since when some server may own slots.
        std::optional<Core::TimePoint> eligibleSince;
        std::optional<Core::ViewVersion> seenVersion;
        std::size_t slotCount { 0 };
        Core::TimePoint nextBalance;
        /// The last proposal that changes owners, and the table's version at that moment.
        std::optional<Core::TimePoint> proposedAt;
        Core::ViewVersion proposedFor;
    };
    /// The slots that may get a new owner now.
    using ReadySlots = std::map<std::uint64_t, ReleaseBasis>;

    void handle(Core::TimePoint now, BecameLeader const&);
    void handle(Core::TimePoint now, LostLeadership const&);
    void handle(Core::TimePoint now, QuorumContact const&);
    void handle(Core::TimePoint now, Heartbeat const&);
    void handle(Core::TimePoint now, Tick const&);
    void handle(Core::TimePoint now, StateApplied const&);

    void clear();
    bool mayGrant(Core::TimePoint now) const;
    HostLease* findHostLease(Core::TimePoint now, Heartbeat const&);
    void proposeJoin(Core::TimePoint now, Heartbeat const&);
    void recordHeartbeat(Core::TimePoint now, Heartbeat const&, HostLease&);
    void recordWork(Core::TimePoint now, Heartbeat const&);
    Grant answerAnnouncement(Core::TimePoint now, Announcement const&);
    bool reconcileServer(Core::TimePoint now, Announcement const&, ServerRecord const*, ServerLease&);
    void recordReleases(Announcement const&);
    void fillGrant(Core::TimePoint now, Grant&, Core::PoolName const&);
    double decayed(SlotLoad const&, Core::TimePoint now) const;

    void evaluate(Core::TimePoint now);
    void detectLostServers(Core::TimePoint now);
    void detectLostHosts(Core::TimePoint now);
    void advanceClock(Core::TimePoint now);
    Core::TimePoint grantExpiry(Core::ServerName const&, Core::Incarnation) const;

    /// Follows the state to its current version. Called before any grant is extended.
    void refreshAll(Core::TimePoint now);
    PoolWork& refresh(Core::TimePoint now, Core::PoolName const&, SlotTable const&);
    void changeOwners(Core::TimePoint now, Core::PoolName const&, SlotTable const&);
    void advanceHandovers(Core::TimePoint now, Core::PoolName const&, SlotTable const&, PoolWork&);
    ReadySlots findReady(Core::TimePoint now, Core::PoolName const&, SlotTable const&, PoolWork const&) const;
    std::optional<ReleaseBasis> readyBasis(
        Core::TimePoint now, SlotRef const&, SlotRecord const&, PoolWork const&, std::set<SlotRef> const& held) const;
    bool canTake(Core::ServerName const&) const;
    PlacementInput placementInput(
        Core::TimePoint now, Core::PoolName const&, SlotTable const&, PoolWork&, ReadySlots const&);
    double rampedCapacity(Core::TimePoint now, ServerRecord const&);
    void proposeChanges(Core::TimePoint now, SlotTable const&, PoolWork&, ReadySlots const&, PlacementInput const&);
    /// Slots whose release an entry host with a live lease holds up.
    std::set<SlotRef> heldSlots(Core::TimePoint now) const;

    /// Makes a proposal unless the same was made within the retry time.
    void propose(Core::TimePoint now, std::string const& subject, Command);

    State const& state_;
    std::unique_ptr<Placement const> placement_;
    LeaderSettings settings_;

    bool isLeading_ { false };
    Core::TimePoint lastStep_;
    std::optional<Core::TimePoint> quorumContact_;
    /// Leases and grants of earlier leaders may be valid until then.
    Core::TimePoint earlierLeasesUntil_;
    Core::TimePoint earlierGrantsUntil_;
    Core::TimePoint noLossBefore_;
    Core::TimePoint nextServerScan_;
    Core::TimePoint nextHostScan_;
    Core::TimePoint clockAdvanced_;
    std::map<Core::HostName, HostLease> hosts_;
    std::map<ServerIncarnation, ServerLease> servers_;
    std::unordered_map<Core::ServerName, RampUp> rampUps_;
    std::map<Core::PoolName, PoolWork> pools_;
    /// When a proposal was made, by its subject.
    std::unordered_map<std::string, Core::TimePoint> proposals_;
    Core::ViewVersion evaluatedVersion_;
    std::optional<Core::ViewVersion> refreshedVersion_;
    std::shared_ptr<Routing::View const> view_;
    std::vector<Action> actions_;
};

} // namespace Control
