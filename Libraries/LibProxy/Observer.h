#pragma once

#include <LibPolicy/Permit.h>
#include <LibProxy/Outcome.h>

#include <string>

namespace Proxy {

/// W3C trace context of the span of this hop. `parentSpanId` is zero when the caller sent none.
struct TraceContext {
    Core::RequestId traceId;
    std::uint64_t spanId { 0 };
    std::uint64_t parentSpanId { 0 };
    bool isSampled { false };
};

/// The span of one attempt at one backend server. Its parent is the span of the request.
struct AttemptSpan {
    Core::RequestId requestId;
    /// `spanId` is the span of the attempt, `parentSpanId` the span of the request.
    TraceContext trace;
    Core::RouteName route;
    Core::PoolName pool;
    Core::ServerName server;
    Policy::AttemptKind kind { Policy::AttemptKind::First };
    Core::TimePoint begin;
};

struct AttemptEnd {
    Policy::AttemptOutcome outcome { Policy::AttemptOutcome::Answered };
    Core::TimePoint end;
    /// From the first byte sent to the first byte of the response; zero without a response.
    Core::Duration latency { 0 };
    /// Zero without a response.
    std::uint16_t status { 0 };
    bool reusedConnection { false };
    /// A connection stopped delivering data while a new connection to the same server worked.
    bool halfOpenConnection { false };
    bool serverUnreachable { false };
};

/// One request of a caller, finished.
struct RequestRecord {
    Core::RequestId requestId;
    TraceContext trace;
    /// Names are empty when the request failed before they were known.
    Core::RouteName route;
    Core::PoolName pool;
    Core::CallerName caller;
    /// The server of the last attempt.
    Core::ServerName server;
    std::string method;
    Outcome outcome { Outcome::NotRun };
    Reason reason { Reason::None };
    /// Status sent to the caller, zero when the caller had left.
    std::uint16_t status { 0 };
    /// Body bytes received from the caller and sent to it.
    std::uint64_t bytesIn { 0 };
    std::uint64_t bytesOut { 0 };
    Core::TimePoint begin;
    /// From the complete head to the end of the response.
    Core::Duration total { 0 };
    /// Time in PermitSource::acquire, summed over attempts.
    Core::Duration permitWait { 0 };
    /// From the first byte sent to the first byte of the response of the last attempt.
    Core::Duration serverLatency { 0 };
    std::uint32_t attempts { 0 };
    std::uint32_t retries { 0 };
    std::uint32_t hedges { 0 };
    /// The response ended before its declared end; the caller's connection was closed.
    bool isTruncated { false };
};

/// Input that was rejected before it became a request.
struct RejectedInput {
    std::string remoteAddress;
    Reason reason { Reason::BadRequest };
    /// Text of the parser, free of caller data.
    std::string detail;
};

/// Receives what the data path did. Called from traffic threads; implementations must not block.
class Observer {
public:
    virtual ~Observer() = default;

    virtual void requestFinished(RequestRecord const&) = 0;
    virtual void attemptBegan(AttemptSpan const&) = 0;
    virtual void attemptEnded(AttemptSpan const&, AttemptEnd const&) = 0;
    virtual void inputRejected(RejectedInput const&) = 0;
};

} // namespace Proxy
