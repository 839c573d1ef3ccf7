#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Random.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Telemetry {

/// The position of a request in a trace: W3C Trace Context, `traceparent`, version 00.
struct TraceContext {
    Core::RequestId traceId;
    std::uint64_t spanId { 0 };
    bool isSampled { false };

    bool operator==(TraceContext const&) const = default;

    /// Empty for malformed values, for zero ids and for the forbidden version ff. Later versions are accepted when they
    /// begin with the fields of version 00.
    static std::optional<TraceContext> parse(std::string_view traceparent);
    std::string format() const;
    /// A new trace. `sampledPerMille` of 1000 traces are sampled.
    static TraceContext start(Core::Random&, std::uint32_t sampledPerMille);
    /// Same trace, new span id.
    TraceContext child(Core::Random&) const;
};

struct SpanAttribute {
    std::string key;
    std::string value;
};

enum class SpanKind : std::uint8_t { Internal = 1, Server = 2, Client = 3 };

/// One hop of a request.
struct Span {
    TraceContext context;
    /// Zero for the root of a trace.
    std::uint64_t parentSpanId { 0 };
    std::string name;
    SpanKind kind { SpanKind::Internal };
    /// Nanoseconds since the Unix epoch.
    std::int64_t startNanoseconds { 0 };
    std::int64_t endNanoseconds { 0 };
    bool isError { false };
    std::string statusMessage;
    std::vector<SpanAttribute> attributes;
};

} // namespace Telemetry
