#pragma once

#include <LibTelemetry/EventLog.h>

namespace Telemetry {

/// The content of one line of the event log.
struct EventLine {
    EventDefinition const& definition;
    std::string_view host;
    std::int64_t wallMilliseconds { 0 };
    /// Lines of this event that the rate limit left out before this one. Not written when zero.
    std::uint64_t suppressed { 0 };
    std::span<Field const> fields;
};

/// `{"time":...,"level":...,"event":...,"name":...,"host":...,"fields":{...}}`. Invalid UTF-8 is replaced.
std::string formatJson(EventLine const&);
/// `time=... level=... event=... name=... host=... key=value`; texts that need it are quoted as in JSON.
std::string formatKeyValue(EventLine const&);

/// ISO 8601 in UTC with milliseconds.
std::string formatUtc(std::int64_t wallMilliseconds);

} // namespace Telemetry
