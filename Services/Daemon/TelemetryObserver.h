#pragma once

#include <LibProxy/Observer.h>
#include <LibProxy/Server.h>
#include <LibTelemetry/EventLog.h>
#include <LibTelemetry/Metrics.h>
#include <LibTelemetry/SpanWriter.h>
#include <LibTelemetry/UsageAccount.h>

namespace Daemon {

/// Passes what the data path did to metrics, spans, usage and the event log. Thread-safe.
class TelemetryObserver final : public Proxy::Observer {
public:
    /// `spans` and `usage` may be null: then nothing is written there.
    TelemetryObserver(Proxy::ViewSource const& views, Telemetry::EventLog& events, Telemetry::Metrics& metrics,
        Telemetry::SpanWriter* spans, Telemetry::UsageAccount* usage)
        : views_(views)
        , events_(events)
        , metrics_(metrics)
        , spans_(spans)
        , usage_(usage)
    {
    }

    void requestFinished(Proxy::RequestRecord const&) override;
    void attemptBegan(Proxy::AttemptSpan const&) override;
    void attemptEnded(Proxy::AttemptSpan const&, Proxy::AttemptEnd const&) override;
    void inputRejected(Proxy::RejectedInput const&) override;

private:
    void countUsage(Proxy::RequestRecord const&);
    void writeRequestSpan(Proxy::RequestRecord const&);
    void logRequest(Proxy::RequestRecord const&);

    Proxy::ViewSource const& views_;
    Telemetry::EventLog& events_;
    Telemetry::Metrics& metrics_;
    Telemetry::SpanWriter* spans_;
    Telemetry::UsageAccount* usage_;
};

} // namespace Daemon
