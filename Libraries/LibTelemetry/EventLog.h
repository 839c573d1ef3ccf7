#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibTelemetry/Event.h>

#include <concepts>
#include <initializer_list>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>

namespace Telemetry {

/// The value of a field of a log event.
using FieldValue = std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>;

struct Field {
    Field(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(text)
    {
    }
    Field(std::string_view fieldName, char const* text)
        : name(fieldName)
        , value(std::string_view(text))
    {
    }
    Field(std::string_view fieldName, std::string const& text)
        : name(fieldName)
        , value(std::string_view(text))
    {
    }
    Field(std::string_view fieldName, bool flag)
        : name(fieldName)
        , value(flag)
    {
    }
    Field(std::string_view fieldName, double number)
        : name(fieldName)
        , value(number)
    {
    }
    template <std::signed_integral T>
    Field(std::string_view fieldName, T number)
        : name(fieldName)
        , value(static_cast<std::int64_t>(number))
    {
    }
    template <std::unsigned_integral T>
    requires(!std::same_as<T, bool>) Field(std::string_view fieldName, T number)
        : name(fieldName)
        , value(static_cast<std::uint64_t>(number))
    {
    }

    std::string_view name;
    FieldValue value;
};

enum class EventFormat : std::uint8_t { Json, KeyValue };

struct EventLogSettings {
    /// Events below this level are not written.
    EventLevel level { EventLevel::Info };
    EventFormat format { EventFormat::Json };
    /// Empty writes to standard error, or to standard output if `usesStandardOutput`.
    std::string file;
    bool usesStandardOutput { false };
    std::uint64_t maxFileBytes { 64ULL * 1024 * 1024 };
    std::uint32_t keptFiles { 5 };
    /// Lines of one event per interval; more are counted and the count is added to the next line of the event.
    std::uint32_t burst { 10 };
    Core::Duration burstInterval { std::chrono::seconds(1) };
    /// Name of the host, a field of each line.
    std::string host;
};

struct LogFileNotWritable {
    std::string path;
    int errorNumber { 0 };
};

/// Writes one line for each log event. Thread-safe.
class EventLog {
public:
    /// `clock` measures the burst interval and must outlive the log.
    static Core::Result<std::unique_ptr<EventLog>, LogFileNotWritable> open(EventLogSettings, Core::Clock const& clock);
    /// Reports the remaining counts of suppressed lines.
    ~EventLog();

    EventLog(EventLog const&) = delete;
    EventLog& operator=(EventLog const&) = delete;

    void write(EventId, std::initializer_list<Field> fields = {});
    /// Reports the counts of events whose interval is over. Call about once a second.
    void reportSuppressed();

private:
    struct Output;
    struct Burst {
        Core::TimePoint start;
        std::uint32_t lines { 0 };
        std::uint64_t suppressed { 0 };
    };

    EventLog(EventLogSettings, Core::Clock const&);
    void writeLine(EventDefinition const&, std::span<Field const>, std::uint64_t suppressed);

    EventLogSettings settings_;
    Core::Clock const& clock_;
    std::unique_ptr<Output> output_;
    std::mutex mutex_;
    std::unordered_map<std::uint16_t, Burst> bursts_;
};

} // namespace Telemetry
