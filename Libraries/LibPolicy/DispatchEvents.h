#pragma once

#include <LibPolicy/Permit.h>

#include <variant>

namespace Policy {

/// Identifies one acquire at one dispatcher. Chosen by the caller of `DispatchGroup::step`; never used twice.
using TicketId = Core::Number<struct TicketIdTag>;

struct Acquire {
    TicketId ticket;
    AcquireRequest request;
};
/// Reports on unknown permits are ignored, so a resent report does no harm.
struct Release {
    ReleaseReport report;
};
/// Withdraws an acquire that still waits. Answered with `Refused` (`Cancelled`); without effect on a granted one, whose
/// permit must be released.
struct Cancel {
    TicketId ticket;
};
/// Adds a server or replaces what is known about it. A new name or a new incarnation starts cold.
struct ServerPresent {
    Core::ServerName server;
    Core::Incarnation incarnation;
    /// Requests that the server runs at the same time, at most.
    std::uint32_t slots { 1 };
    /// A draining server gets no new work.
    bool draining { false };
};
/// The server left. Its permits stay counted until they are released. Work bound to it is refused with `NoServer`.
struct ServerRemoved {
    Core::ServerName server;
};
/// The server is known to have lost its warm state.
struct ServerCold {
    Core::ServerName server;
};
/// A load report of a server. It may lag or be wrong: it only lowers preference between servers, never a limit.
struct LoadReport {
    Core::ServerName server;
    std::uint32_t inFlight { 0 };
};
/// Advances timers. Due every `tickInterval`.
struct Tick { };
/// The holder is lost. Its waiting acquires are refused; its permits stay counted until `countedUntil`, when its view
/// lease has expired.
struct HolderLost {
    Core::HostName holder;
    Core::TimePoint countedUntil;
};
/// A permit that an earlier dispatcher of this group granted and that is still held. Expected before `Start`.
struct RegisterHeld {
    Permit permit;
    Core::HostName holder;
    Core::RouteName route;
    Core::Digest fingerprint;
};
/// The limit that the last permit of this server carried, as an entry host remembers it. Lets a new dispatcher continue
/// with the demonstrated capacity instead of a cold start. Of several reports the youngest counts; one about another
/// incarnation of the server is ignored. Expected after `ServerPresent` and before `Start`.
struct RegisterLimit {
    Core::ServerName server;
    Core::Incarnation incarnation;
    std::uint32_t limit { 0 };
    /// Time since the permit was granted.
    Core::Duration age { 0 };
};
/// All live entry hosts have acknowledged the view that appointed this dispatcher and registered the permits they hold.
/// Nothing is granted before; acquires wait in the queue meanwhile.
struct Start { };
/// This host is no longer the dispatcher. All waiting acquires are refused with `NotDispatcher`.
struct Stop { };
/// The view lease of this host. Nothing is granted at or after its end. Without this event there is no such bound.
struct LeaseExtended {
    Core::TimePoint until;
};
/// Quarantine of a fingerprint, decided by the control hosts from the crashes that all dispatchers reported.
struct QuarantineAdded {
    Core::Digest fingerprint;
    Core::TimePoint until;
};
/// Also forgets the crashes on record, so that the request may run again.
struct QuarantineLifted {
    Core::Digest fingerprint;
};
/// Another dispatcher reported a crash. The fingerprint runs only on a server without other work from now on.
struct SuspicionAdded {
    Core::Digest fingerprint;
    Core::ServerName server;
};

using Event
    = std::variant<Acquire, Release, Cancel, ServerPresent, ServerRemoved, ServerCold, LoadReport, Tick, HolderLost,
        RegisterHeld, RegisterLimit, Start, Stop, LeaseExtended, QuarantineAdded, QuarantineLifted, SuspicionAdded>;

struct Granted {
    TicketId ticket;
    Permit permit;
};
/// The request was not run by this acquire.
struct Refused {
    TicketId ticket;
    Refusal refusal;
};
/// The server was lost while it ran the request. To be reported to the control hosts.
struct CrashSuspected {
    Core::Digest fingerprint;
    Core::ServerName server;
};
/// The suspect ran alone and was answered: the crash is not its fault. To be reported to the control hosts.
struct SuspicionCleared {
    Core::Digest fingerprint;
};
struct ServerEjected {
    Core::ServerName server;
    Core::TimePoint until;
};
/// The server gets work again, beginning with one request.
struct ServerReinstated {
    Core::ServerName server;
};

using Action = std::variant<Granted, Refused, CrashSuspected, SuspicionCleared, ServerEjected, ServerReinstated>;

} // namespace Policy
