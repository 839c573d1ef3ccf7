#pragma once

#include <LibProxy/RequestBody.h>
#include <LibProxy/Server.h>
#include <LibProxy/ServerConnections.h>
#include <LibProxy/SlotUsage.h>
#include <LibProxy/StopDeadline.h>
#include <LibProxy/WorkerThreads.h>

#include <algorithm>
#include <atomic>

namespace Proxy {

/// What all requests of one server share.
struct Environment {
    /// Concurrent probes; beyond it a probe runs on the thread of its request.
    static constexpr std::uint32_t maxProbes = 8;

    ServerSettings const& settings;
    Collaborators collaborators;
    ServerConnections connections;
    SlotUsage slots;
    /// Run the probes that tell half-open connections from failed servers.
    WorkerThreads probes { maxProbes };
    StopDeadline stopDeadline;
    std::atomic<bool> isDraining { false };
    std::atomic<bool> isStopping { false };
    std::atomic<std::uint32_t> requestsInFlight { 0 };
    /// Requests that wait for an owner; bounded, since each one occupies a thread.
    std::atomic<std::uint32_t> requestsHeld { 0 };
};

/// Why a request ends without a response of a backend server.
struct Rejection {
    Reason reason { Reason::None };
    Core::Duration retryAfter { 0 };
};

/// A request that matched a route.
struct RequestContext {
    MessageHead const& head;
    RequestBody& body;
    Socket& caller;
    RequestRecord& record;
    StopDeadline const& stopDeadline;
    /// Keeps `route` and `pool` alive.
    std::shared_ptr<Routing::View const> view;
    Routing::RouteDefinition const* route { nullptr };
    Routing::PoolDefinition const* pool { nullptr };
    std::string key;
    /// Key-partitioned pools only.
    std::optional<Core::SlotNumber> slot;
    std::string idempotencyKey;
    /// Of the caller and its route.
    Core::TimePoint callerDeadline;
    Core::Digest fingerprint;
    /// A claimed order goes on without its caller, so that a resend gets the answer.
    bool isClaimed { false };

    /// Every wait for the request ends by this time, which a stop moves forward.
    Core::TimePoint deadline() const { return std::min(callerDeadline, stopDeadline.value()); }
    bool hasPassed() const { return Core::BootClock::now() >= deadline(); }
    /// Waits until one of the descriptors is ready. False when the given time or the deadline passed.
    bool waitFor(std::span<pollfd> polled, Core::TimePoint limit) const
    {
        return stopDeadline.waitFor(polled, std::min(limit, callerDeadline));
    }
    bool waitFor(std::span<pollfd> polled) const { return waitFor(polled, callerDeadline); }
    bool isIdempotent() const { return route->requestClass == Routing::RequestClass::Idempotent; }
};

/// Random numbers of the calling thread, for identifiers and jitter.
Core::Random& threadRandom();

/// Adopts the caller's trace context or begins a new trace.
TraceContext traceOf(MessageHead const&);
/// The value of `traceparent` for the next hop.
std::string toTraceParent(TraceContext const&, std::uint64_t spanId);

/// Checks the request against the view and fills the context. Nothing has been sent when it fails.
Core::Result<Core::Void, Rejection> admit(Environment&, RequestContext&);
/// Matches the request again after an edit of the pools and routes. True when it still goes to the same pool in the
/// same way. A request that changed its route after it claimed an order is rejected.
Core::Result<bool, Rejection> matchAgain(RequestContext&, std::shared_ptr<Routing::View const>);
/// Computes the fingerprint from the route, the key, the idempotency key and the buffered body.
Core::Digest fingerprintOf(RequestContext const&);

} // namespace Proxy
