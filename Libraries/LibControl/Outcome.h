#pragma once

#include <LibControl/Command.h>

namespace Control {

/// The command changed the state, or the state already was as requested.
struct Accepted {
    bool operator==(Accepted const&) const = default;
};

enum class RejectionReason : std::uint8_t {
    UnknownServer,
    UnknownPool,
    UnknownEntryHost,
    /// The command names an incarnation that is not the current one.
    StaleIncarnation,
    /// The failure domain or server was not drained.
    NotDrained,
    QuarantineFull,
    UnknownFingerprint,
    /// The server's table or the entry hosts' table has reached its bound.
    TooManyServers,
    TooManyEntryHosts,
    /// An attribute is too long or out of range.
    InvalidAttribute,
    /// `ExpireRecords` advances by more than `maxClockStep`, or backwards.
    ClockStepOutOfRange,
    /// The log index is not above that of the last command.
    IndexAlreadyApplied,
};
struct Rejected {
    RejectionReason reason { RejectionReason::UnknownServer };

    bool operator==(Rejected const&) const = default;
};

enum class SlotRejectionReason : std::uint8_t {
    UnknownSlot,
    /// The epoch is not the slot's current epoch.
    StaleEpoch,
    NotOwner,
    TargetNotInService,
    /// The slot is owned or releasing, and nothing shows that the owner stopped.
    ReleaseNotConfirmed,
    /// The slot is owned and no release was begun.
    NotReleasing,
    /// The previous owner does not check fencing tokens, and entry hosts may still send to it.
    EntryHostsNotAcknowledged,
};
struct SlotRejection {
    Core::SlotNumber slot;
    SlotRejectionReason reason { SlotRejectionReason::UnknownSlot };

    bool operator==(SlotRejection const&) const = default;
};
/// Slots of one command are accepted or rejected one by one.
struct SlotsChanged {
    std::uint32_t accepted { 0 };
    std::vector<SlotRejection> rejected;

    bool operator==(SlotsChanged const&) const = default;
};

/// The remaining servers of the pool cannot carry its load.
struct DrainRefused {
    Core::PoolName pool;
    double demand { 0 };
    double remainingCapacity { 0 };

    bool operator==(DrainRefused const&) const = default;
};

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
    /// Kind and slot count of a pool with backend servers in service are fixed: keys would change slots under live
    /// owners.
    PoolShapeInUse,
    PoolMissing,
    RouteMissing,
    PoolExists,
    RouteExists,
    TooManyPools,
    TooManyRoutes,
};
/// One reason why an edit is invalid. `subject` and `other` name pools or routes, as the kind says.
struct EditProblem {
    EditProblemKind kind { EditProblemKind::PoolMissing };
    std::string subject;
    std::string other;

    bool operator==(EditProblem const&) const = default;
};
/// A sentence for people. Programs use the kind.
std::string describe(EditProblem const&);

struct EditAccepted {
    Core::Revision revision;
    /// The edit is in effect everywhere when this version is.
    Core::ViewVersion version;

    bool operator==(EditAccepted const&) const = default;
};
struct EditConflict {
    Core::Revision currentRevision;

    bool operator==(EditConflict const&) const = default;
};
struct EditInvalid {
    std::vector<EditProblem> problems;

    bool operator==(EditInvalid const&) const = default;
};
/// The edit id was used before for an edit with other content.
struct EditIdReused {
    bool operator==(EditIdReused const&) const = default;
};
using EditOutcome = std::variant<EditAccepted, EditConflict, EditInvalid, EditIdReused>;

struct OrderClaimed {
    bool operator==(OrderClaimed const&) const = default;
};
struct OrderInProgress {
    bool operator==(OrderInProgress const&) const = default;
};
/// Empty when the answer was too large to keep.
struct OrderCompleted {
    std::optional<KeptAnswer> answer;

    bool operator==(OrderCompleted const&) const = default;
};
struct OrderUnknown {
    bool operator==(OrderUnknown const&) const = default;
};
/// The key came with a different request before.
struct OrderMismatch {
    bool operator==(OrderMismatch const&) const = default;
};
/// This attempt was abandoned before its claim was applied. It must not run.
struct OrderAbandoned {
    bool operator==(OrderAbandoned const&) const = default;
};
/// The ledger holds as many records within their retention as it may.
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

/// Answer to complete, abandon and mark unknown.
struct OrderRecorded {
    bool operator==(OrderRecorded const&) const = default;
};
/// The order is not claimed by this request.
struct OrderNotClaimed {
    bool operator==(OrderNotClaimed const&) const = default;
};

using Outcome = std::variant<Accepted, Rejected, SlotsChanged, DrainRefused, EditAccepted, EditConflict, EditInvalid,
    EditIdReused, OrderClaimed, OrderInProgress, OrderCompleted, OrderUnknown, OrderMismatch, OrderAbandoned,
    LedgerFull, ClaimantNotLive, OrderInvalid, OrderRecorded, OrderNotClaimed>;

} // namespace Control
