#pragma once

#include <cstdint>
#include <string_view>

namespace Proxy {

/// What a caller may conclude about its request.
enum class Outcome : std::uint8_t {
    /// The complete response of the backend server.
    Answered,
    /// No byte was sent to a backend server, or the server reported that it did not run the request.
    NotRun,
    /// Bytes were sent and no complete response was received.
    Unknown,
};

/// Why a request was not answered. Closed set; each reason has one outcome and one HTTP status.
enum class Reason : std::uint8_t {
    None,
    NoRoute,
    NoKey,
    BadRequest,
    BodyTooLarge,
    HeadersTooLarge,
    /// No valid view lease.
    NotReady,
    NoOwner,
    Draining,
    Overloaded,
    DeadlineUnreachable,
    Quarantined,
    /// The backend server reported that it did not run the request.
    ServerRefused,
    ConnectFailed,
    /// The Idempotency-Key was used before for a different request.
    KeyReused,
    /// The caller left before anything was sent.
    CallerLeft,
    /// The first attempt with this Idempotency-Key is running.
    InProgress,
    DeadlineExceeded,
    ConnectionLost,
    FirstAttemptUnknown,
    AnswerNotKept,
    /// The caller's body became invalid or too large after a part of it was sent.
    BodyBroken,
    /// The caller left after bytes were sent.
    Cancelled,
};

Outcome outcomeOf(Reason);
std::uint16_t statusOf(Reason);
/// The value of `Primroseshift-Reason`.
std::string_view nameOf(Reason);
/// The value of `Primroseshift-Outcome`.
std::string_view nameOf(Outcome);

} // namespace Proxy
