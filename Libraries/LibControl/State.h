#pragma once

#include <LibControl/Codec.h>
#include <LibControl/EditLog.h>
#include <LibControl/Ledger.h>
#include <LibControl/SlotTable.h>

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace Control {

inline constexpr std::size_t maxServers = 16'384;
inline constexpr std::size_t maxEntryHosts = 4'096;
inline constexpr std::size_t maxQuarantined = 1'024;
/// Quarantined requests are let through again after this time.
inline constexpr Core::Duration quarantineRetention = std::chrono::hours(24);
/// Lost servers that own nothing are forgotten after this time.
inline constexpr Core::Duration lostServerRetention = std::chrono::hours(1);
/// As above for servers that an operator drained: the drain outlasts a repair of the host.
inline constexpr Core::Duration drainedServerRetention = std::chrono::hours(7 * 24);
/// Largest step of the state's clock in one `ExpireRecords`.
inline constexpr Core::Duration maxClockStep = std::chrono::minutes(10);
/// Share of the remaining capacity that a drain may fill.
inline constexpr double drainHeadroom = 0.9;

/// A registered backend server with what the log knows about it.
struct ServerRecord {
    /// `state` and `coldSince` are as in the view.
    Routing::BackendServer server;
    bool lost { false };
    bool drainedByOperator { false };
    bool drainedByAnnouncement { false };
    bool reportedCold { false };
    /// On the state's clock.
    Core::Duration lostAt { 0 };
    /// Slots that it owns, including those being released.
    std::uint32_t ownedSlots { 0 };
    std::uint32_t releasingSlots { 0 };

    bool operator==(ServerRecord const&) const = default;
};

/// Whether a server announces the attributes that are on record.
bool hasSameAttributes(Routing::BackendServer const& known, Routing::BackendServer const& announced);

/// Whether a server may keep the slots it owns when it announces other attributes.
bool keepsSlots(Routing::BackendServer const& known, Routing::BackendServer const& announced);

/// The replicated control state. Deterministic: the same commands in the same order give the same state and the same
/// outcomes on each control host. Not thread-safe.
class State {
public:
    explicit State(LedgerLimits ledgerLimits = {}, EditLogLimits editLimits = {});

    /// Applies a committed command. `logIndex` must be greater than in all earlier calls.
    Outcome apply(std::uint64_t logIndex, Command const&);

    Bytes snapshot() const;
    /// Replaces the whole state. The state is unchanged on error.
    Core::Result<Core::Void, DecodeError> restore(std::span<std::byte const>);

    /// What entry hosts route by.
    Routing::View buildView() const;

    std::uint64_t appliedIndex() const { return appliedIndex_; }
    Core::ViewVersion viewVersion() const { return viewVersion_; }
    Core::Revision revision() const { return edits_.revision(); }
    std::shared_ptr<Routing::RoutingTable const> const& table() const { return edits_.table(); }
    EditLog const& edits() const { return edits_; }
    Ledger const& ledger() const { return ledger_; }
    std::map<Core::ServerName, ServerRecord> const& servers() const { return servers_; }
    std::map<Core::HostName, Routing::EntryHost> const& entryHosts() const { return entryHosts_; }
    std::set<Core::FailureDomain> const& drainedDomains() const { return drainedDomains_; }
    std::map<Core::PoolName, SlotTable> const& slots() const { return slots_; }

    ServerRecord const* findServer(Core::ServerName const&) const;
    SlotTable const* findSlots(Core::PoolName const&) const;
    /// Whether an operator, the server itself or its failure domain takes it out of service.
    bool isDrained(ServerRecord const&) const;
    /// Whether slots may be assigned to the server.
    bool canOwn(ServerRecord const&) const;

private:
    friend class SnapshotCodec;

    struct Quarantined {
        Core::RouteName route;
        Core::Duration addedAt { 0 };
        bool operator==(Quarantined const&) const = default;
    };

    Outcome handle(RegisterServer const&);
    Outcome handle(ServerLost const&);
    Outcome handle(DrainServer const&);
    Outcome handle(ReturnServer const&);
    Outcome handle(DrainDomain const&);
    Outcome handle(ReturnDomain const&);
    Outcome handle(JoinEntryHost const&);
    Outcome handle(RemoveEntryHost const&);
    Outcome handle(BeginRelease const&);
    Outcome handle(AssignSlots const&);
    Outcome handle(SubmitEdit const&);
    Outcome handle(ClaimOrder const&);
    Outcome handle(CompleteOrder const&);
    Outcome handle(AbandonOrder const&);
    Outcome handle(MarkOrderUnknown const&);
    Outcome handle(AddQuarantine const&);
    Outcome handle(LiftQuarantine const&);
    Outcome handle(ExpireRecords const&);

    void changeView() { viewVersion_ = { appliedIndex_ }; }
    ServerRecord* findCurrent(Core::ServerName const&, Core::Incarnation);
    void registerNew(RegisterServer const&);
    void updateServer(ServerRecord&, RegisterServer const&);
    void vacateSlotsOf(ServerRecord&);
    void markCold(ServerRecord& record) { record.server.coldSince = viewVersion_; }
    std::optional<DrainRefused> checkDrain(
        std::function<bool(ServerRecord const&)> const& isLeaving, std::vector<PoolDemand> const&) const;
    ServerRecord const* findTarget(Core::PoolName const&, Core::ServerName const&) const;
    bool isPoolInUse(Core::PoolName const&) const;
    void adoptTables();
    void forgetLostServers();
    void expireQuarantine();
    Routing::ServerState viewStateOf(ServerRecord const&) const;

    std::uint64_t appliedIndex_ { 0 };
    Core::ViewVersion viewVersion_;
    /// Sum of the steps in `ExpireRecords`.
    Core::Duration clock_ { 0 };
    /// Epochs of a pool that is created again start here, so that they never repeat.
    Core::Epoch epochFloor_;
    EditLog edits_;
    Ledger ledger_;
    std::map<Core::ServerName, ServerRecord> servers_;
    std::map<Core::HostName, Routing::EntryHost> entryHosts_;
    std::set<Core::FailureDomain> drainedDomains_;
    std::map<Core::PoolName, SlotTable> slots_;
    std::map<Core::Digest, Quarantined> quarantine_;
};

} // namespace Control
