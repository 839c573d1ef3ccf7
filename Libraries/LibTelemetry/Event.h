#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

/// Numbered log events, metrics, spans, and usage by name.
namespace Telemetry {

enum class EventLevel : std::uint8_t { Debug, Info, Warning, Error };

/// Log events by number. A number is never reused for another meaning. The catalogue for operators is docs/events.md.
enum class EventId : std::uint16_t {
    // Process: 100 to 199.
    ProcessStarted = 100,
    ProcessStopping = 101,
    ProcessStopped = 102,
    SettingsRejected = 103,
    ListenerFailed = 104,
    ShutdownGraceExceeded = 105,
    SettingsReloaded = 106,
    // Consensus and storage: 200 to 299.
    LeaderElected = 200,
    LeadershipLost = 201,
    LeadershipTransferred = 202,
    QuorumLost = 203,
    QuorumRestored = 204,
    MembershipChanged = 205,
    SnapshotWritten = 206,
    SnapshotInstalled = 207,
    StorageFailed = 208,
    LogTailTruncated = 209,
    LogCorrupted = 210,
    DataDirectoryRejected = 211,
    PeerUnreachable = 212,
    PeerReachable = 213,
    StorageRestored = 214,
    // Control state: 300 to 399.
    EditAccepted = 300,
    EditRejected = 301,
    EditConflict = 302,
    RevisionInEffect = 303,
    BackendJoined = 304,
    BackendLeft = 305,
    BackendLost = 306,
    BackendIncarnationChanged = 307,
    SlotOwnerChanged = 308,
    SlotsUnassigned = 309,
    DrainStarted = 310,
    DrainCompleted = 311,
    ReturnStarted = 312,
    EntryHostJoined = 313,
    EntryHostLost = 314,
    OrderLedgerFull = 315,
    QuarantineAdded = 316,
    QuarantineLifted = 317,
    RequestLimitStated = 318,
    RequestLimitEnded = 319,
    EntryHostBehind = 320,
    BackendReturned = 321,
    // Entry host: 400 to 499.
    ViewApplied = 400,
    ViewLeaseLost = 401,
    ViewLeaseRestored = 402,
    AnnouncementRejected = 403,
    RequestRejected = 404,
    RequestOutcomeUnknown = 405,
    ResponseTruncated = 406,
    ConnectionHalfOpen = 407,
    CallerConnectionsExhausted = 408,
    RequestUnfinished = 409,
    AnswerCutOff = 410,
    AdmissionRefused = 411,
    RequestLimitUnreadable = 412,
    ServerLeaving = 413,
    ServerLeavingUnreadable = 414,
    ServerSilent = 415,
    ServerSilenceUnreadable = 416,
    MemoryLimitReached = 417,
    ServerReturned = 418,
    // Dispatch: 500 to 599.
    DispatcherAppointed = 500,
    DispatcherDismissed = 501,
    QueueFull = 502,
    BackendEjected = 503,
    BackendReinstated = 504,
    BackendColdAgain = 505,
    RetryBudgetExhausted = 506,
    CrashReported = 507,
    // Telemetry: 600 to 699.
    SpansDropped = 600,
    SpanFileFailed = 601,
    UsageTailTruncated = 602,
    UsageRecordsCorrupted = 603,
    UsageWriteFailed = 604,
    UsageNamesBounded = 605,
    // Operator API: 700 to 799.
    OperatorRequestServed = 700,
    OperatorRequestFailed = 701,
    OperatorRequestForwarded = 702,
};

struct EventDefinition {
    EventId id;
    EventLevel level;
    /// The name of the enumerator.
    std::string_view name;
    std::string_view meaning;
    /// What an operator should do.
    std::string_view action;
};

/// All events, in the order of their numbers.
std::span<EventDefinition const> eventCatalogue();

/// Aborts for a number that is not in the catalogue.
EventDefinition const& definitionOf(EventId);

std::string_view toString(EventLevel);

} // namespace Telemetry
