#pragma once

#include <LibCore/Hash.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibRouting/Route.h>

#include <optional>
#include <vector>

/// Decisions on who may send which request to which backend server, and when.
namespace Policy {

enum class AttemptKind : std::uint8_t { First, Retry, Hedge };

/// How one attempt at a backend server ended.
enum class AttemptOutcome : std::uint8_t {
    /// A complete answer was received, whatever its status.
    Answered,
    /// The backend server shed the request and reported that it did not run it.
    Shed,
    /// The backend server refused the fencing token.
    FencingRefused,
    /// The connection could not be established; no byte was sent.
    ConnectFailed,
    /// Bytes were sent, then the connection broke.
    ConnectionLost,
    TimedOut,
    /// The caller disconnected, or another attempt was answered first.
    Cancelled,
    /// Nothing was sent, for a reason unrelated to the backend server.
    NotSent,
};

/// Asks the dispatcher of a group for the permission to send one request to one backend server.
struct AcquireRequest {
    Core::RequestId requestId;
    /// The entry host that will send the request.
    Core::HostName holder;
    Core::PoolName pool;
    /// The only backend server that may serve the request. Set for key-partitioned pools.
    std::optional<Core::ServerName> owner;
    Core::RouteName route;
    Core::CallerName caller;
    Routing::Priority priority { Routing::Priority::Normal };
    Routing::RequestClass requestClass { Routing::RequestClass::NonIdempotent };
    Core::TimePoint deadline;
    AttemptKind kind { AttemptKind::First };
    /// Digest of route, key, idempotency key and body; ties a request to the crashes it causes. Zero when not known:
    /// such a request is never suspected.
    Core::Digest fingerprint;
    /// Backend servers that earlier attempts of this request used.
    std::vector<Core::ServerName> excluded;
    /// How the preceding attempt ended. A retry of non-idempotent work is refused unless this proves that the request
    /// was not run.
    std::optional<AttemptOutcome> previousOutcome;
};

/// The permission to have one request in flight at one backend server. Must be released exactly once.
struct Permit {
    Core::PermitId id;
    Core::ServerName server;
    /// When set, the holder may acquire a second permit of kind `Hedge` for this request once it has waited this long
    /// for the answer. Set only for idempotent work of any-server pools.
    std::optional<Core::Duration> hedgeAfter;
    /// Limit of the server when the permit was granted. Entry hosts remember the last one of each server and report it
    /// to a new dispatcher with `RegisterLimit`.
    std::uint32_t limit { 0 };
};

enum class RefusalReason : std::uint8_t {
    /// The queue is full or the backend servers are shedding load.
    Overloaded,
    /// The request would miss its deadline in the queue.
    DeadlineUnreachable,
    /// The request crashed backend servers before.
    Quarantined,
    /// No backend server of the group is in service.
    NoServer,
    /// The budget for retries and hedges is used up, or the request may have run and must not be sent again.
    RetryBudgetExhausted,
    /// This host is not, or not yet, the dispatcher of the group.
    NotDispatcher,
    Cancelled,
};

/// The request was not run. `retryAfter` is zero when resending does not help.
struct Refusal {
    RefusalReason reason { RefusalReason::Overloaded };
    Core::Duration retryAfter { 0 };
};

/// Releases a permit and reports the outcome of the attempt.
struct ReleaseReport {
    Core::PermitId permit;
    AttemptOutcome outcome { AttemptOutcome::Answered };
    /// Time from the first byte sent to the first byte of the answer.
    Core::Duration latency { 0 };
    /// Whether, after `ConnectionLost`, a new connection to the server was refused or not answered either.
    bool serverUnreachable { false };
};

using AcquireResult = Core::Result<Permit, Refusal>;

} // namespace Policy
