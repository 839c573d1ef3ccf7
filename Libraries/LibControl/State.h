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

/// Maximum number of registered backend servers, including lost ones.
inline constexpr std::size_t maxServers = 16'384;
/// Maximum number of entry hosts in the view.
inline constexpr std::size_t maxEntryHosts = 4'096;
/// Maximum number of quarantined requests.
inline constexpr std::size_t maxQuarantinedRequests = 1'024;
/// Time after which a quarantine expires and the request is admitted again.
inline constexpr Core::Duration quarantineRetention = std::chrono::hours(24);
/// Time after which the record of a lost server, which owns no slots, is removed.
inline constexpr Core::Duration lostServerRetention = std::chrono::hours(1);
/// Time after which the record of a lost server that an operator drained is removed. Longer, so that the drain still
/// applies when the host returns from repair.
inline constexpr Core::Duration drainedServerRetention = std::chrono::hours(7 * 24);
/// Maximum step of the state's clock in one `ExpireRecords`.
inline constexpr Core::Duration maxClockStep = std::chrono::minutes(10);
/// Maximum share of the remaining servers' capacity that the pool's demand may use after a drain. A drain by an
/// operator that would exceed it is refused unless forced.
inline constexpr double maxUtilizationAfterDrain = 0.9;

/// A registered backend server with its replicated status.
struct ServerRecord {
    /// Attributes of the server, with `state` and `coldSince` as in the view.
    Routing::BackendServer server;
    bool lost { false };
    bool drainedByOperator { false };
    bool drainedByAnnouncement { false };
    bool reportedCold { false };
    /// Time of the loss on the state's clock, while `lost` is set.
    Core::Duration lostAt { 0 };
    /// Number of slots that the server owns, including slots in phase `Releasing`.
    std::uint32_t ownedSlots { 0 };
    /// Number of slots that the server owns in phase `Releasing`.
    std::uint32_t releasingSlots { 0 };

    bool operator==(ServerRecord const&) const = default;
};

/// Whether the announced attributes of a server equal the recorded ones, `state` and `coldSince` aside.
bool hasSameAttributes(Routing::BackendServer const& known, Routing::BackendServer const& announced);

/// Whether a server keeps its slots after a change from `known` to `announced` attributes. It loses them when its
/// incarnation, pool or fencing support changes.
bool mayKeepSlots(Routing::BackendServer const& known, Routing::BackendServer const& announced);

/// The replicated control state. Deterministic: the same commands in the same order give the same state and the same
/// outcomes on each control host. Not thread-safe.
class State {
public:
    explicit State(LedgerLimits ledgerLimits = {}, EditLogLimits editLimits = {});

    /// Applies a committed command. `logIndex` must be greater than in all earlier calls; otherwise the command is
    /// rejected with `IndexAlreadyApplied`.
    Outcome apply(std::uint64_t logIndex, Command const&);

    Bytes snapshot() const;
    /// Replaces the whole state by a snapshot. The state is unchanged on error.
    Core::Result<Core::Void, DecodeError> restore(std::span<std::byte const>);

    /// Builds the routing view for entry hosts.
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
    /// Whether the server is drained by an operator, by its own announcement, or with its failure domain.
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

    void advanceViewVersion() { viewVersion_ = { appliedIndex_ }; }
    ServerRecord* findCurrent(Core::ServerName const&, Core::Incarnation);
    void registerNew(RegisterServer const&);
    void updateServer(ServerRecord&, RegisterServer const&);
    void unassignAllSlots(ServerRecord&);
    void markCold(ServerRecord& record) { record.server.coldSince = viewVersion_; }
    std::optional<DrainRefused> checkDrain(
        std::function<bool(ServerRecord const&)> const& isLeaving, std::vector<PoolDemand> const&) const;
    ServerRecord const* findAssignableServer(Core::PoolName const&, Core::ServerName const&) const;
    bool isPoolInUse(Core::PoolName const&) const;
    void applyTables();
    void expireLostServers();
    void expireQuarantine();
    Routing::ServerState viewStateOf(ServerRecord const&) const;

    std::uint64_t appliedIndex_ { 0 };
    Core::ViewVersion viewVersion_;
    /// Logical clock: the sum of the steps of all `ExpireRecords`.
    Core::Duration clock_ { 0 };
    /// First epoch of new slot tables: the highest epoch of any removed table, so that the epochs of a pool that is
    /// created again never repeat.
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
