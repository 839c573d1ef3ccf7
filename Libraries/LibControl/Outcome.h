#pragma once

#include <LibControl/Command.h>

namespace Control {

/// The command changed the state, or the state was already as requested.
struct Accepted {
    bool operator==(Accepted const&) const = default;
};

/// Why a command was rejected.
enum class RejectionReason : std::uint8_t {
    UnknownServer,
    UnknownPool,
    UnknownEntryHost,
    /// The command refers to an incarnation that is not the current one.
    StaleIncarnation,
    /// The failure domain or server was not drained.
    NotDrained,
    /// The number of quarantined requests has reached `maxQuarantinedRequests`.
    QuarantineFull,
    UnknownFingerprint,
    /// The number of backend servers has reached `maxServers`.
    TooManyServers,
    /// The number of entry hosts has reached `maxEntryHosts`.
    TooManyEntryHosts,
    /// An attribute is empty, too long or out of range.
    InvalidAttribute,
    /// `ExpireRecords` advances the clock by more than `maxClockStep`, or backwards.
    ClockStepOutOfRange,
    /// The log index is not greater than that of the last applied command.
    IndexAlreadyApplied,
};
struct Rejected {
    RejectionReason reason { RejectionReason::UnknownServer };

    bool operator==(Rejected const&) const = default;
};

/// Why the change of one slot was rejected.
enum class SlotRejectionReason : std::uint8_t {
    UnknownSlot,
    /// The epoch is not the slot's current epoch.
    StaleEpoch,
    /// The server named as the owner does not own the slot, or the slot is already being released.
    NotOwner,
    /// The new owner is unknown, lost, drained, in another pool, or already the owner.
    TargetNotInService,
    /// There is no sufficient evidence that the previous owner stopped.
    ReleaseNotConfirmed,
    /// The slot is owned and its release has not begun.
    NotReleasing,
    /// The previous owner does not check fencing tokens, and entry hosts may still send requests to it.
    EntryHostsNotAcknowledged,
};
struct SlotRejection {
    Core::SlotNumber slot;
    SlotRejectionReason reason { SlotRejectionReason::UnknownSlot };

    bool operator==(SlotRejection const&) const = default;
};
/// Outcome of a command on several slots, each of which is accepted or rejected on its own.
struct SlotsChanged {
    std::uint32_t accepted { 0 };
    std::vector<SlotRejection> rejected;

    bool operator==(SlotsChanged const&) const = default;
};

/// The drain was refused since the remaining servers of a pool cannot carry its load.
struct DrainRefused {
    Core::PoolName pool;
    /// Measured demand of the pool, in busy request slots as in `PoolDemand`.
    double demand { 0 };
    /// Total number of request slots of the remaining servers.
    double remainingCapacity { 0 };

    bool operator==(DrainRefused const&) const = default;
};

/// Why an edit is invalid.
enum class EditProblemKind : std::uint8_t {
    RouteToMissingPool,
    DuplicatePool,
    DuplicateRoute,
    OverlappingRoutes,
    KeySourceMismatch,
    SlotCountOutOfRange,
    InvalidPathPrefix,
    /// A pool with backend servers in service cannot be removed.
    PoolInUse,
    /// The kind and slot count of a pool with backend servers in service cannot change: keys would move to other slots
    /// while the slots have live owners.
    PoolShapeInUse,
    PoolMissing,
    RouteMissing,
    PoolExists,
    RouteExists,
    TooManyPools,
    TooManyRoutes,
};
/// One reason why an edit is invalid. `subject` is the affected pool or route; `other` is a second pool or route, a
/// slot count or a path prefix, depending on the kind.
struct EditProblem {
    EditProblemKind kind { EditProblemKind::PoolMissing };
    std::string subject;
    std::string other;

    bool operator==(EditProblem const&) const = default;
};
/// Human-readable description of the problem. Programs should use the kind instead.
std::string describe(EditProblem const&);

struct EditAccepted {
    Core::Revision revision;
    /// View version that contains the edit. The edit is in effect everywhere once this version is.
    Core::ViewVersion version;

    bool operator==(EditAccepted const&) const = default;
};
/// The base revision of the edit is not the current revision.
struct EditConflict {
    Core::Revision currentRevision;

    bool operator==(EditConflict const&) const = default;
};
/// The edit was rejected as a whole for the listed reasons.
struct EditInvalid {
    std::vector<EditProblem> problems;

    bool operator==(EditInvalid const&) const = default;
};
/// The edit id was used before for an edit with different content.
struct EditIdReused {
    bool operator==(EditIdReused const&) const = default;
};
using EditOutcome = std::variant<EditAccepted, EditConflict, EditInvalid, EditIdReused>;

/// The claim was granted: this attempt may run.
struct OrderClaimed {
    bool operator==(OrderClaimed const&) const = default;
};
/// Another attempt has claimed the order and has not finished.
struct OrderInProgress {
    bool operator==(OrderInProgress const&) const = default;
};
/// The order has run.
struct OrderCompleted {
    /// Stored response. Empty when there was none or it was too large to store.
    std::optional<KeptAnswer> answer;

    bool operator==(OrderCompleted const&) const = default;
};
/// An earlier attempt may or may not have run.
struct OrderUnknown {
    bool operator==(OrderUnknown const&) const = default;
};
/// The key was used before for a different request.
struct OrderMismatch {
    bool operator==(OrderMismatch const&) const = default;
};
/// This attempt was abandoned before its claim was applied. It must not run.
struct OrderAbandoned {
    bool operator==(OrderAbandoned const&) const = default;
};
/// The ledger holds the maximum number of records and none has passed its retention.
struct LedgerFull {
    bool operator==(LedgerFull const&) const = default;
};
/// The claiming entry host is not in the view with this incarnation.
struct ClaimantNotLive {
    bool operator==(ClaimantNotLive const&) const = default;
};
/// The key or an attribute is too long.
struct OrderInvalid {
    bool operator==(OrderInvalid const&) const = default;
};
using ClaimOutcome = std::variant<OrderClaimed, OrderInProgress, OrderCompleted, OrderUnknown, OrderMismatch,
    OrderAbandoned, LedgerFull, ClaimantNotLive, OrderInvalid>;

/// `CompleteOrder`, `AbandonOrder` or `MarkOrderUnknown` was recorded.
struct OrderRecorded {
    bool operator==(OrderRecorded const&) const = default;
};
/// The order is not claimed by the request that the command names.
struct OrderNotClaimed {
    bool operator==(OrderNotClaimed const&) const = default;
};

using Outcome = std::variant<Accepted, Rejected, SlotsChanged, DrainRefused, EditAccepted, EditConflict, EditInvalid,
    EditIdReused, OrderClaimed, OrderInProgress, OrderCompleted, OrderUnknown, OrderMismatch, OrderAbandoned,
    LedgerFull, ClaimantNotLive, OrderInvalid, OrderRecorded, OrderNotClaimed>;

} // namespace Control
