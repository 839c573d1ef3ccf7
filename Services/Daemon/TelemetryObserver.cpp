#include "TelemetryObserver.h"

namespace Daemon {

namespace {

    using Telemetry::EventId;

    std::string_view nameOf(Policy::AttemptOutcome outcome)
    {
        switch (outcome) {
        case Policy::AttemptOutcome::Answered:
            return "answered";
        case Policy::AttemptOutcome::Shed:
            return "shed";
        case Policy::AttemptOutcome::FencingRefused:
            return "fencing-refused";
        case Policy::AttemptOutcome::ConnectFailed:
            return "connect-failed";
        case Policy::AttemptOutcome::ConnectionLost:
            return "connection-lost";
        case Policy::AttemptOutcome::TimedOut:
            return "timed-out";
        case Policy::AttemptOutcome::Cancelled:
            return "cancelled";
        case Policy::AttemptOutcome::NotSent:
            break;
        }
        return "not-sent";
    }

    /// The wall-clock time of a moment on the boot clock, in nanoseconds since the Unix epoch.
    std::int64_t wallNanoseconds(Core::TimePoint moment)
    {
        auto const wall = std::chrono::system_clock::now().time_since_epoch();
        auto const age = Core::BootClock::now() - moment;
        return std::chrono::duration_cast<std::chrono::nanoseconds>(wall).count() - age.count();
    }

    Telemetry::TraceContext toTelemetry(Proxy::TraceContext const& trace)
    {
        return { trace.traceId, trace.spanId, trace.isSampled };
    }

} // namespace

void TelemetryObserver::requestFinished(Proxy::RequestRecord const& record)
{
    metrics_.countRequest(
        record.pool, record.route, Proxy::nameOf(record.outcome), Proxy::nameOf(record.reason), record.total);
    metrics_.countBytes(record.pool, record.bytesIn, record.bytesOut);
    for (std::uint32_t retry = 0; retry < record.retries; ++retry)
        metrics_.countRetry(record.pool);
    countUsage(record);
    logRequest(record);
    writeRequestSpan(record);
}

void TelemetryObserver::countUsage(Proxy::RequestRecord const& record)
{
    if (!usage_)
        return;
    Telemetry::UsageCounters counters;
    counters.answered = record.outcome == Proxy::Outcome::Answered ? 1 : 0;
    counters.notRun = record.outcome == Proxy::Outcome::NotRun ? 1 : 0;
    counters.unknown = record.outcome == Proxy::Outcome::Unknown ? 1 : 0;
    counters.bytesFromCaller = record.bytesIn;
    counters.bytesToCaller = record.bytesOut;
    auto const busy = record.attempts == 0 ? Core::Duration::zero() : record.total - record.permitWait;
    counters.serverBusyMicroseconds = static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::microseconds>(busy).count()));
    counters.retries = record.retries;
    counters.hedges = record.hedges;
    usage_->add({ record.pool, record.route, record.caller }, counters);
}

void TelemetryObserver::logRequest(Proxy::RequestRecord const& record)
{
    auto const id = record.requestId.toString();
    auto const reason = Proxy::nameOf(record.reason);
    if (record.isTruncated)
        events_.write(EventId::ResponseTruncated,
            { { "request", id }, { "route", record.route.value }, { "server", record.server.value } });
    if (record.outcome == Proxy::Outcome::Unknown)
        events_.write(EventId::RequestOutcomeUnknown,
            { { "request", id }, { "route", record.route.value }, { "server", record.server.value },
                { "reason", reason } });
    else if (record.outcome == Proxy::Outcome::NotRun)
        events_.write(
            EventId::RequestRejected, { { "request", id }, { "route", record.route.value }, { "reason", reason } });
}

void TelemetryObserver::writeRequestSpan(Proxy::RequestRecord const& record)
{
    if (!spans_)
        return;
    auto const start = wallNanoseconds(record.begin);
    Telemetry::Span span { toTelemetry(record.trace), record.trace.parentSpanId, "request", Telemetry::SpanKind::Server,
        start, start + record.total.count(), record.outcome != Proxy::Outcome::Answered,
        std::string(Proxy::nameOf(record.reason)),
        { { "request", record.requestId.toString() }, { "route", record.route.value }, { "pool", record.pool.value },
            { "caller", record.caller.value }, { "outcome", std::string(Proxy::nameOf(record.outcome)) } } };
    spans_->submit(std::move(span));
}

void TelemetryObserver::attemptBegan(Proxy::AttemptSpan const& attempt)
{
    if (attempt.kind == Policy::AttemptKind::Hedge)
        metrics_.countHedge(attempt.pool, false);
}

void TelemetryObserver::attemptEnded(Proxy::AttemptSpan const& attempt, Proxy::AttemptEnd const& end)
{
    auto const view = views_.currentView();
    auto const* server = view ? view->findServer(attempt.server) : nullptr;
    metrics_.countAttempt(attempt.pool, attempt.server, server ? server->failureDomain : Core::FailureDomain {},
        nameOf(end.outcome), end.latency);
    if (end.outcome == Policy::AttemptOutcome::Shed)
        metrics_.countShed(attempt.pool, "server");
    if (end.halfOpenConnection)
        events_.write(EventId::ConnectionHalfOpen, { { "server", attempt.server.value } });
    if (!spans_)
        return;
    auto const start = wallNanoseconds(attempt.begin);
    Telemetry::Span span { toTelemetry(attempt.trace), attempt.trace.parentSpanId, "attempt",
        Telemetry::SpanKind::Client, start, start + (end.end - attempt.begin).count(),
        end.outcome != Policy::AttemptOutcome::Answered, std::string(nameOf(end.outcome)),
        { { "server", attempt.server.value }, { "pool", attempt.pool.value },
            { "status", std::to_string(end.status) } } };
    spans_->submit(std::move(span));
}

void TelemetryObserver::inputRejected(Proxy::RejectedInput const& input)
{
    events_.write(EventId::RequestRejected,
        { { "remote", input.remoteAddress }, { "reason", Proxy::nameOf(input.reason) }, { "detail", input.detail } });
}

} // namespace Daemon
