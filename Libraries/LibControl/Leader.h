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
    /// Duration of the view lease of an entry host.
    Core::Duration viewLease { std::chrono::milliseconds(2'000) };
    /// Duration of a grant to a backend server.
    Core::Duration grantTimeToLive { std::chrono::milliseconds(1'500) };
    /// Maximum relative error of a host's clock rate. The holder's clock may be slow and the leader's fast at the same
    /// time, so the leader waits for `leaseUpperBound()` of a lease.
    double maxClockDrift { 0.01 };
    /// Time after the start of a message round that a quorum answered during which the leader may grant leases. Must be
    /// less than the followers' minimum election timeout (400 ms) minus clock drift: otherwise a new leader could start
    /// its wait for earlier leases before the old leader granted its last one.
    Core::Duration quorumContactValidity { std::chrono::milliseconds(390) };
    /// Time after which a proposal that was not applied is repeated.
    Core::Duration proposalRetryInterval { std::chrono::milliseconds(500) };
    /// Maximum gap between two steps of a running leader. After a longer gap the leader assumes that it was paused:
    /// heartbeats that arrived in the meantime are still queued, so loss detection stays off for this time again.
    Core::Duration pauseThreshold { std::chrono::milliseconds(600) };
    /// Maximum time for which requests in flight at the old owner delay a planned move. Equals the default deadline of
    /// a route.
    Core::Duration releaseTimeout { std::chrono::seconds(30) };
    /// Interval between two rebalancing plans of a pool.
    Core::Duration balanceInterval { std::chrono::seconds(1) };
    /// Share of a pool's slots that may move for rebalancing in one interval.
    double balanceBudget { 0.02 };
    /// Time after which a server that joined, returned or became cold reaches its full share of slots.
    Core::Duration rampUpDuration { std::chrono::seconds(20) };
    /// Fraction of its full share of slots that a server has at the start of its ramp-up.
    double rampUpInitialShare { 0.1 };
    /// Delay between the arrival of a pool's first eligible server and the assignment of slots without an owner.
    /// Without it the first server to announce itself after a restart of the site would get all slots.
    Core::Duration joinSettleTime { std::chrono::seconds(1) };
    /// Half-life of the exponentially decaying load of a slot.
    Core::Duration loadHalfLife { std::chrono::seconds(30) };
    /// Interval between two `ExpireRecords` commands.
    Core::Duration expiryInterval { std::chrono::seconds(60) };

    /// Time, on the leader's clock, after which a lease has expired on its holder's clock at any drift up to
    /// `maxClockDrift`.
    Core::Duration leaseUpperBound(Core::Duration lease) const;
};

/// Slot of a pool.
struct SlotRef {
    Core::PoolName pool;
    Core::SlotNumber slot;

    auto operator<=>(SlotRef const&) const = default;
};

/// Slot with the epoch at which it was granted or released.
struct EpochSlot {
    Core::SlotNumber slot;
    Core::Epoch epoch;

    auto operator<=>(EpochSlot const&) const = default;
};

/// Announcement of a backend server, forwarded by the entry host that received it.
struct Announcement {
    /// `state` and `coldSince` are ignored.
    Routing::BackendServer server;
    /// The server's caches are empty.
    bool cold { false };
    bool draining { false };
    /// Number of busy request slots of the server.
    double busySlots { 0 };
    /// Slots that the server was asked to release and no longer serves.
    std::vector<EpochSlot> released;
};

/// Load that an entry host sent to a slot since its last heartbeat, as busy time.
struct SlotWork {
    SlotRef slot;
    Core::Duration busy { 0 };
};

/// This control host became the leader and applied the first entry of its own term, so that the state contains all
/// commands committed by earlier leaders.
struct BecameLeader {
    std::uint64_t term { 0 };
};
/// This control host is no longer the leader. Must be sent as soon as the consensus module leaves the leader role, also
/// when this host becomes a candidate and wins again, and when a leadership transfer begins: from then on another
/// leader may exist at any time.
struct LostLeadership { };
/// A quorum answered the round of messages that this leader started at `roundBegan`.
struct QuorumContact {
    Core::TimePoint roundBegan;
};
/// Heartbeat of an entry host.
struct Heartbeat {
    Routing::EntryHost host;
    /// Sequence number, which increases with each heartbeat of an incarnation.
    std::uint64_t sequence { 0 };
    /// View version that the entry host has applied.
    Core::ViewVersion appliedVersion;
    std::vector<Announcement> announcements;
    /// Slots in phase `Releasing` in the applied view for which this host still has requests in flight at the old
    /// owner.
    std::vector<SlotRef> heldReleases;
    std::vector<SlotWork> work;
};
/// Periodic timer event: checks deadlines and plans ownership changes.
struct Tick { };
/// Commands were applied to the state. Sent once per batch: after the loss of many servers, planning again after each
/// command would take most of the time.
struct StateApplied { };
using Event = std::variant<BecameLeader, LostLeadership, QuorumContact, Heartbeat, Tick, StateApplied>;

/// Answer to one announcement of a backend server: its lease on the slots that it may serve.
struct Grant {
    Core::ServerName server;
    Core::Incarnation incarnation;
    /// Validity, counted from the moment when the backend server sent the announcement. Zero means that nothing is
    /// granted; an earlier grant stays valid until it expires.
    Core::Duration timeToLive { 0 };
    /// Slots that the server may serve. Replaces the slots of earlier grants.
    std::vector<EpochSlot> slots;
    /// Slots for which the server must finish its requests and which it must then announce as released.
    std::vector<EpochSlot> release;
};

/// Answer to a heartbeat. The entry host must apply `view` before it relies on `viewLease`. `grants` answers the
/// announcements of that same heartbeat, in their order: an entry host must not pair a grant with a later announcement
/// of the same server, since the validity of a grant starts when the announcement that it answers was sent.
struct HeartbeatAnswer {
    Core::HostName host;
    Core::Incarnation incarnation;
    std::uint64_t sequence { 0 };
    /// Whether the leader had recent contact with a quorum. If false, another leader may exist and the entry host
    /// should try another control host.
    bool hasQuorum { false };
    /// Duration of the view lease, counted from the moment when the heartbeat was sent. Zero means no lease.
    Core::Duration viewLease { 0 };
    /// Current view, or null when the entry host has already applied it.
    std::shared_ptr<Routing::View const> view;
    std::vector<Grant> grants;
};
/// Asks the consensus module to append a command to the log.
struct Propose {
    Command command;
};
using Action = std::variant<HeartbeatAnswer, Propose>;

/// The slot has another owner or epoch, is being released, or this control host is not the leader.
struct NotCurrentOwner { };

/// Leader of the control hosts: grants leases, which are not replicated, and decides on joins, losses and slot
/// ownership. Not thread-safe.
///
/// `now` must be read after the event was received. `BecameLeader` must be sent after the leader applied the first
/// entry of its own term, so that the state contains all commands committed by earlier leaders.
class Leader {
public:
    Leader(State const&, std::unique_ptr<Placement const>, LeaderSettings = {});

    /// Handles one event and returns the resulting actions, in order.
    std::vector<Action> step(Core::TimePoint now, Event const&);

    bool isLeading() const { return isLeading_; }
    /// Highest view version that every entry host with a valid view lease has applied; the state's version if there is
    /// no such host. Empty when this control host is not the leader.
    std::optional<Core::ViewVersion> effectiveVersion(Core::TimePoint now) const;
    /// Whether all entry hosts with a valid view lease have applied a view version. False when this control host is not
    /// the leader.
    bool isInEffect(Core::ViewVersion, Core::TimePoint now) const;
    /// Checks that a slot is owned at an epoch. Before the call, the caller must have confirmed its leadership with a
    /// quorum after it received the request, and have applied the commands up to the commit index of that moment.
    Core::Result<Core::Void, NotCurrentOwner> confirmOwner(Core::PoolName const&, Core::SlotNumber, Core::Epoch) const;
    /// Demand of each pool according to the latest announcements, for `DrainServer` and `DrainDomain`.
    std::vector<PoolDemand> measuredDemand() const;
    /// Returns the current view, which is built once per version.
    std::shared_ptr<Routing::View const> view();

private:
    using ServerIncarnation = std::pair<Core::ServerName, Core::Incarnation>;

    struct HostLease {
        Core::Incarnation incarnation;
        /// View version of the join that the lease belongs to. Zero until the join has been applied.
        Core::ViewVersion joinedAt;
        /// Time until which the host may consider its view lease valid.
        Core::TimePoint expiry;
        /// Time at which the host is removed if no heartbeat arrives earlier.
        Core::TimePoint contactDeadline;
        Core::ViewVersion appliedVersion;
        std::uint64_t sequence { 0 };
        std::vector<SlotRef> held;
        /// Whether the removal of the host was proposed. No lease is granted until the removal has been applied.
        bool isRemovalProposed { false };
    };
    struct ServerLease {
        /// Time until which the server may consider its grant valid.
        Core::TimePoint expiry;
        /// Time at which the server counts as lost if no announcement arrives earlier.
        Core::TimePoint contactDeadline;
        double busySlots { 0 };
        /// Whether the loss of the server was proposed. Nothing is granted until the loss has been applied.
        bool isRemovalProposed { false };
        /// Whether another incarnation replaced this one. Announcements of this incarnation are then ignored while the
        /// other one keeps announcing itself, so that two processes with the same name do not alternately take over
        /// the slots.
        bool isReplaced { false };
    };
    /// Handover of a slot that its owner was asked to release. The slot is never granted to that owner again at this
    /// epoch.
    struct Handover {
        Core::Epoch epoch;
        /// Expiry of the last grant that contained the slot.
        Core::TimePoint grantExpiry;
        /// Whether the owner announced that it released the slot.
        bool isConfirmed { false };
    };
    /// Slot without an owner. The expiry is stored per slot rather than per server: a server that returned gets new
    /// grants, but these do not contain the slots that it lost.
    struct UnassignedSlot {
        Core::Epoch epoch;
        /// Expiry of the last grant that contained the slot.
        Core::TimePoint lastGrantExpiry;
    };
    /// Measured load of a slot at time `updated`, which decays with `loadHalfLife`.
    struct SlotLoad {
        double load { 0 };
        Core::TimePoint updated;
    };
    /// Ramp-up of a server, which restarts whenever the `coldSince` of the server changes.
    struct RampUp {
        Core::ViewVersion coldSince;
        Core::TimePoint began;
    };
    /// The leader's bookkeeping for the slots of one pool. The slot lists reflect the state at `seenVersion`.
    struct PoolOwnership {
        std::vector<SlotLoad> loads;
        std::map<std::uint64_t, Handover> handovers;
        std::map<std::uint64_t, Core::TimePoint> releaseBegan;
        std::map<std::uint64_t, UnassignedSlot> unassignedSlots;
        std::unordered_map<Core::ServerName, std::vector<std::uint32_t>> slotsOf;
        std::vector<std::uint32_t> unassigned;
        std::vector<std::uint32_t> releasing;
        bool hasDrainedOwners { false };
        /// Time since which at least one server of the pool may own slots.
        std::optional<Core::TimePoint> eligibleSince;
        std::optional<Core::ViewVersion> seenVersion;
        std::size_t slotCount { 0 };
        Core::TimePoint nextBalance;
        /// Time of the last proposal of ownership changes, and the version of the slot table at that time.
        std::optional<Core::TimePoint> proposedAt;
        Core::ViewVersion proposedFor;
    };
    /// Slots that may get a new owner now, with the evidence that the previous owner stopped.
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

    /// Updates the bookkeeping of all pools to the current state. Must be called before a grant is extended.
    void refreshAll(Core::TimePoint now);
    PoolOwnership& refresh(Core::TimePoint now, Core::PoolName const&, SlotTable const&);
    void changeOwners(Core::TimePoint now, Core::PoolName const&, SlotTable const&);
    void advanceHandovers(Core::TimePoint now, Core::PoolName const&, SlotTable const&, PoolOwnership&);
    ReadySlots findReadySlots(Core::TimePoint now, Core::PoolName const&, SlotTable const&, PoolOwnership const&) const;
    std::optional<ReleaseBasis> findReleaseBasis(Core::TimePoint now, SlotRef const&, SlotRecord const&,
        PoolOwnership const&, std::set<SlotRef> const& held) const;
    bool canOwnSlots(Core::ServerName const&) const;
    PlacementInput placementInput(
        Core::TimePoint now, Core::PoolName const&, SlotTable const&, PoolOwnership&, ReadySlots const&);
    double rampedCapacity(Core::TimePoint now, ServerRecord const&);
    void proposeChanges(
        Core::TimePoint now, SlotTable const&, PoolOwnership&, ReadySlots const&, PlacementInput const&);
    /// Slots whose release is delayed by requests in flight at an entry host with a valid view lease.
    std::set<SlotRef> heldSlots(Core::TimePoint now) const;

    /// Proposes a command unless a proposal with the same subject was made within `proposalRetryInterval`.
    void propose(Core::TimePoint now, std::string const& subject, Command);

    State const& state_;
    std::unique_ptr<Placement const> placement_;
    LeaderSettings settings_;

    bool isLeading_ { false };
    Core::TimePoint lastStep_;
    std::optional<Core::TimePoint> quorumContact_;
    /// Time until which view leases of earlier leaders may be valid.
    Core::TimePoint earlierLeaseExpiry_;
    /// Time until which grants of earlier leaders may be valid.
    Core::TimePoint earlierGrantExpiry_;
    /// Time before which no host or server is considered lost.
    Core::TimePoint lossDetectionStart_;
    Core::TimePoint nextServerScan_;
    Core::TimePoint nextHostScan_;
    Core::TimePoint clockAdvanced_;
    std::map<Core::HostName, HostLease> hosts_;
    std::map<ServerIncarnation, ServerLease> servers_;
    std::unordered_map<Core::ServerName, RampUp> rampUps_;
    std::map<Core::PoolName, PoolOwnership> pools_;
    /// Time of the last proposal on each subject.
    std::unordered_map<std::string, Core::TimePoint> proposals_;
    Core::ViewVersion evaluatedVersion_;
    std::optional<Core::ViewVersion> refreshedVersion_;
    std::shared_ptr<Routing::View const> view_;
    std::vector<Action> actions_;
};

} // namespace Control
