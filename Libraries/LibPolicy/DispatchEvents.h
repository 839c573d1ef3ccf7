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
/// Releases a permit. Reports on unknown permits are ignored, so a report may be resent.
struct Release {
    ReleaseReport report;
};
/// Withdraws a waiting acquire, which is answered with `Refused` (`Cancelled`). Has no effect on a granted one, whose
/// permit must be released.
struct Cancel {
    TicketId ticket;
};
/// Adds a server or replaces what is known about it. A new name or a new incarnation starts cold.
struct ServerPresent {
    Core::ServerName server;
    Core::Incarnation incarnation;
    /// Maximum number of requests that the server runs concurrently.
    std::uint32_t slots { 1 };
    /// A draining server gets no new work.
    bool draining { false };
};
/// The server left. Its permits stay counted until they are released. Waiting requests that only this server may serve
/// are refused with `NoServer`.
struct ServerRemoved {
    Core::ServerName server;
};
/// The server is known to have lost its warm state.
struct ServerCold {
    Core::ServerName server;
};
/// A load report of a server. As it may be late or wrong, it only lowers the preference for the server, never a limit.
struct LoadReport {
    Core::ServerName server;
    std::uint32_t inFlight { 0 };
};
/// Advances the timers. Must be sent at least every `tickInterval`.
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
/// with the demonstrated capacity instead of a cold start. Of several reports the latest counts; one about another
/// incarnation of the server is ignored. Expected after `ServerPresent` and before `Start`.
struct RegisterLimit {
    Core::ServerName server;
    Core::Incarnation incarnation;
    std::uint32_t limit { 0 };
    /// Time since the permit was granted.
    Core::Duration age { 0 };
};
/// All live entry hosts have acknowledged the view that appointed this dispatcher and registered the permits they hold.
/// Nothing is granted before this event; acquires wait in the queue.
struct Start { };
/// This host is no longer the dispatcher. All waiting acquires are refused with `NotDispatcher`.
struct Stop { };
/// The view lease of this host ends at `until`. Nothing is granted at or after that time. Without this event grants are
/// not limited by a lease.
struct LeaseExtended {
    Core::TimePoint until;
};
/// Quarantine of a fingerprint, decided by the control hosts from the crashes that all dispatchers reported.
struct QuarantineAdded {
    Core::Digest fingerprint;
    Core::TimePoint until;
};
/// Lifts the quarantine of a fingerprint and erases its crashes on record, so that the request may run again.
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
/// The acquire was refused, so the request was not run.
struct Refused {
    TicketId ticket;
    Refusal refusal;
};
/// The server was lost while it ran a request with this fingerprint. Must be reported to the control hosts.
struct CrashSuspected {
    Core::Digest fingerprint;
    Core::ServerName server;
};
/// The suspect ran alone and was answered, so it did not cause the crash. Must be reported to the control hosts.
struct SuspicionCleared {
    Core::Digest fingerprint;
};
struct ServerEjected {
    Core::ServerName server;
    Core::TimePoint until;
};
/// The ejection of the server has ended. It gets work again, beginning with the cold limit.
struct ServerReinstated {
    Core::ServerName server;
};

using Action = std::variant<Granted, Refused, CrashSuspected, SuspicionCleared, ServerEjected, ServerReinstated>;

} // namespace Policy
