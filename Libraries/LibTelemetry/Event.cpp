#include <LibTelemetry/Event.h>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace Telemetry {

namespace {

    using enum EventLevel;

#define PRIMROSESHIFT_EVENT(name, level, meaning, action)                                                              \
    EventDefinition { EventId::name, level, #name, meaning, action }

    // Meta/check-events.sh compares this table with docs/events.md.
    // clang-format off
    constexpr std::array catalogue {
        PRIMROSESHIFT_EVENT(ProcessStarted, Info, "The process accepts work.", "None."),
        PRIMROSESHIFT_EVENT(ProcessStopping, Info, "A graceful stop began.", "None."),
        PRIMROSESHIFT_EVENT(ProcessStopped, Info, "The graceful stop is complete.", "None."),
        PRIMROSESHIFT_EVENT(SettingsRejected, Error, "The settings file has errors.", "Correct the named lines; `primroseshiftctl check` checks offline."),
        PRIMROSESHIFT_EVENT(ListenerFailed, Error, "A listener could not be opened.", "Check that the address exists and the port is free."),
        PRIMROSESHIFT_EVENT(ShutdownGraceExceeded, Error, "Requests were still running at the end of shutdown-grace and were aborted.", "Raise shutdown-grace or look for hanging backend servers."),
        PRIMROSESHIFT_EVENT(SettingsReloaded, Info, "The settings file has changed and was read again.", "None."),
        PRIMROSESHIFT_EVENT(LeaderElected, Info, "This host became the control leader.", "None; frequent changes point at the network or a slow disk."),
        PRIMROSESHIFT_EVENT(LeadershipLost, Warning, "This host is no longer the control leader.", "Look for QuorumLost and PeerUnreachable."),
        PRIMROSESHIFT_EVENT(LeadershipTransferred, Info, "Leadership moved to another host on purpose.", "None."),
        PRIMROSESHIFT_EVENT(QuorumLost, Error, "The control leader reaches no majority.", "Restore control hosts with their data directories."),
        PRIMROSESHIFT_EVENT(QuorumRestored, Info, "The control leader reaches a majority again.", "None."),
        PRIMROSESHIFT_EVENT(MembershipChanged, Info, "A voter or learner was added or removed.", "None."),
        PRIMROSESHIFT_EVENT(SnapshotWritten, Info, "A snapshot of the control state was written.", "None."),
        PRIMROSESHIFT_EVENT(SnapshotInstalled, Info, "A snapshot from the leader replaced the control state.", "None; expected after a long absence."),
        PRIMROSESHIFT_EVENT(StorageFailed, Error, "A write or fsync failed, or the disk is full; the host neither votes nor leads.", "Make space or repair the disk; the host recovers by itself."),
        PRIMROSESHIFT_EVENT(LogTailTruncated, Warning, "An incomplete record at the end of the log was cut off.", "None; expected after a crash."),
        PRIMROSESHIFT_EVENT(LogCorrupted, Error, "A record in the middle of the log is damaged; the host does not start.", "Replace the host; don't reuse its data directory."),
        PRIMROSESHIFT_EVENT(DataDirectoryRejected, Error, "The data directory is locked or belongs to another cluster or host.", "Check data-directory and cluster in the settings."),
        PRIMROSESHIFT_EVENT(PeerUnreachable, Warning, "A control peer does not answer.", "Check the host and the network between the failure domains."),
        PRIMROSESHIFT_EVENT(PeerReachable, Info, "A control peer answers again.", "None."),
        PRIMROSESHIFT_EVENT(StorageRestored, Info, "The whole control state was written anew after a failure of the disk; the host votes again.", "None."),
        PRIMROSESHIFT_EVENT(EditAccepted, Info, "An edit of pools and routes was committed.", "None."),
        PRIMROSESHIFT_EVENT(EditRejected, Info, "An edit was invalid and was rejected as a whole.", "Correct the edit by the reasons."),
        PRIMROSESHIFT_EVENT(EditConflict, Info, "An edit was based on an old revision.", "Apply the change to the current revision."),
        PRIMROSESHIFT_EVENT(RevisionInEffect, Info, "A revision is in effect on every live entry host.", "None."),
        PRIMROSESHIFT_EVENT(BackendJoined, Info, "A backend server announced itself for the first time.", "None."),
        PRIMROSESHIFT_EVENT(BackendLeft, Info, "A backend server left after a drain.", "None."),
        PRIMROSESHIFT_EVENT(BackendLost, Warning, "The grant of a backend server expired.", "Check the server."),
        PRIMROSESHIFT_EVENT(BackendIncarnationChanged, Warning, "A backend server restarted.", "None; frequent restarts point at crashes."),
        PRIMROSESHIFT_EVENT(SlotOwnerChanged, Info, "Slots moved to another owner.", "None."),
        PRIMROSESHIFT_EVENT(SlotsUnassigned, Error, "Slots have no owner because no backend server is in service.", "Start backend servers of the pool."),
        PRIMROSESHIFT_EVENT(DrainStarted, Info, "A backend server or failure domain is being taken out of service.", "None."),
        PRIMROSESHIFT_EVENT(DrainCompleted, Info, "A drain is complete; no request is in flight there.", "The target may be stopped."),
        PRIMROSESHIFT_EVENT(ReturnStarted, Info, "A backend server or failure domain returns to service.", "None."),
        PRIMROSESHIFT_EVENT(EntryHostJoined, Info, "An entry host joined the view.", "None."),
        PRIMROSESHIFT_EVENT(EntryHostLost, Warning, "The view lease of an entry host expired.", "Check the host."),
        PRIMROSESHIFT_EVENT(OrderLedgerFull, Error, "The order ledger is full; non-idempotent requests are rejected as not run.", "Raise orders max-entries or lower its retention."),
        PRIMROSESHIFT_EVENT(QuarantineAdded, Error, "A request crashed several backend servers and is stopped.", "Find the cause, then lift the quarantine."),
        PRIMROSESHIFT_EVENT(QuarantineLifted, Info, "A quarantine expired or was lifted.", "None."),
        PRIMROSESHIFT_EVENT(RequestLimitStated, Warning, "A backend server names the requests per second that it takes, or has changed the number.", "Look at the server; its keys move to others meanwhile."),
        PRIMROSESHIFT_EVENT(RequestLimitEnded, Info, "A backend server no longer names a request limit.", "None."),
        PRIMROSESHIFT_EVENT(EntryHostBehind, Warning, "An entry host lacks a change of the configuration that was made some time ago.", "Look at the host and its link; unsent bytes point at the link."),
        PRIMROSESHIFT_EVENT(BackendReturned, Warning, "A backend server that was removed has gone on sending heartbeats, and is used again.", "Find out who said that it leaves, or why its heartbeats ceased."),
        PRIMROSESHIFT_EVENT(ViewApplied, Debug, "The entry host applied a new view.", "None."),
        PRIMROSESHIFT_EVENT(ViewLeaseLost, Error, "The entry host has no view lease and rejects new work as not run.", "Check the control hosts and the network to them."),
        PRIMROSESHIFT_EVENT(ViewLeaseRestored, Info, "The entry host has a view lease again.", "None."),
        PRIMROSESHIFT_EVENT(AnnouncementRejected, Warning, "An announcement of a backend server is malformed or names an unknown pool.", "Correct the server's settings or add the pool."),
        PRIMROSESHIFT_EVENT(RequestRejected, Info, "A request was rejected as not run.", "Look at the reason."),
        PRIMROSESHIFT_EVENT(RequestOutcomeUnknown, Warning, "A request may have run and its response is lost.", "For orders, check at the backend server whether it ran."),
        PRIMROSESHIFT_EVENT(ResponseTruncated, Warning, "A response broke off after its head was forwarded.", "Check the backend server."),
        PRIMROSESHIFT_EVENT(ConnectionHalfOpen, Warning, "A connection stopped delivering data while new ones work.", "Check middleboxes between the hosts."),
        PRIMROSESHIFT_EVENT(CallerConnectionsExhausted, Warning, "Connections beyond max-caller-connections were rejected.", "Add entry hosts or raise the bound."),
        PRIMROSESHIFT_EVENT(RequestUnfinished, Error, "A request was still open when the process ended.", "Look at the server and at what the request waited for."),
        PRIMROSESHIFT_EVENT(AnswerCutOff, Warning, "A caller's connection was closed before its whole answer was sent.", "Look at the host's link; the caller has no complete answer."),
        PRIMROSESHIFT_EVENT(AdmissionRefused, Info, "A request was refused because its server was expected to answer too late.", "Compare the estimates with the service times of the server."),
        PRIMROSESHIFT_EVENT(RequestLimitUnreadable, Warning, "A backend server names a request limit that is not a number; it is ignored.", "Correct the server. Logged once for each server."),
        PRIMROSESHIFT_EVENT(ServerLeaving, Info, "A backend server says in an answer that it leaves; it gets no further requests.", "None. Logged once for each server."),
        PRIMROSESHIFT_EVENT(ServerLeavingUnreadable, Warning, "A backend server says something unreadable about leaving; it is ignored.", "Correct the server. Logged once for each server."),
        PRIMROSESHIFT_EVENT(ServerSilent, Info, "A backend server turned a request away and wants none from this entry host for a time.", "Look at the server if it repeats."),
        PRIMROSESHIFT_EVENT(ServerSilenceUnreadable, Warning, "A backend server asks for silence for a time that cannot be read; it is ignored.", "Correct the server. Logged once for each server."),
        PRIMROSESHIFT_EVENT(MemoryLimitReached, Warning, "A request that was being read was refused, since requests and answers take the memory that they may.", "Look for callers that send large bodies and stay open; add entry hosts if the load is legitimate."),
        PRIMROSESHIFT_EVENT(ServerReturned, Info, "A backend server that had left the view is in it again, and what it asked of callers holds on.", "Compare with BackendReturned of the control leader."),
        PRIMROSESHIFT_EVENT(DispatcherAppointed, Info, "This host dispatches a group of backend servers.", "None."),
        PRIMROSESHIFT_EVENT(DispatcherDismissed, Info, "This host no longer dispatches a group.", "None."),
        PRIMROSESHIFT_EVENT(QueueFull, Warning, "A dispatch queue is full; work is rejected as overloaded.", "Add backend servers to the pool."),
        PRIMROSESHIFT_EVENT(BackendEjected, Warning, "A straggling or failing backend server gets no work for a while.", "Check the server."),
        PRIMROSESHIFT_EVENT(BackendReinstated, Info, "An ejected backend server gets work again.", "None."),
        PRIMROSESHIFT_EVENT(BackendColdAgain, Warning, "A backend server sheds load as after a cold start; its limit was reduced.", "None; frequent cases point at evictions on the server."),
        PRIMROSESHIFT_EVENT(RetryBudgetExhausted, Warning, "Retries were refused because the budget is used up.", "Look for the failing backend servers."),
        PRIMROSESHIFT_EVENT(CrashReported, Warning, "A backend server was lost while it ran a request.", "Look at the fingerprint if it repeats."),
        PRIMROSESHIFT_EVENT(SpansDropped, Warning, "Spans were dropped because the queue was full.", "Lower sampled-per-mille or use a faster disk."),
        PRIMROSESHIFT_EVENT(SpanFileFailed, Warning, "The span file could not be written.", "Check the path and the free space."),
        PRIMROSESHIFT_EVENT(UsageTailTruncated, Warning, "An incomplete usage record was cut off.", "None; expected after a crash."),
        PRIMROSESHIFT_EVENT(UsageRecordsCorrupted, Error, "Usage records have wrong checksums and were left out.", "Check the disk; the other stores may hold the records."),
        PRIMROSESHIFT_EVENT(UsageWriteFailed, Error, "Usage could not be written and stays in memory.", "Check the data directory and the free space."),
        PRIMROSESHIFT_EVENT(UsageNamesBounded, Warning, "Usage of further callers is counted as 'other'.", "Raise usage max-names or look for wrong caller names."),
        PRIMROSESHIFT_EVENT(OperatorRequestServed, Info, "A request to the operator API that changes something was served.", "None."),
        PRIMROSESHIFT_EVENT(OperatorRequestFailed, Warning, "A request to the operator API failed on this side.", "Look at the status."),
        PRIMROSESHIFT_EVENT(OperatorRequestForwarded, Debug, "A request to the operator API was forwarded to the leader.", "None."),
    };
    // clang-format on
#undef PRIMROSESHIFT_EVENT

    static_assert(std::ranges::is_sorted(catalogue, {}, &EventDefinition::id));

} // namespace

std::span<EventDefinition const> eventCatalogue() { return catalogue; }

EventDefinition const& definitionOf(EventId id)
{
    auto const found = std::ranges::lower_bound(catalogue, id, {}, &EventDefinition::id);
    if (found == catalogue.end() || found->id != id)
        std::abort();
    return *found;
}

std::string_view toString(EventLevel level)
{
    switch (level) {
    case Debug:
        return "debug";
    case Info:
        return "info";
    case Warning:
        return "warning";
    case Error:
        return "error";
    }
    std::abort();
}

} // namespace Telemetry
