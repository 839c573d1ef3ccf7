#include <LibTelemetry/EventLine.h>
#include <LibTelemetry/EventLog.h>

#include <fcntl.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/hierarchy.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <unistd.h>

#include <cerrno>
#include <limits>
#include <utility>

namespace Telemetry {

namespace {

    log4cplus::LogLevel toLogLevel(EventLevel level)
    {
        switch (level) {
        case EventLevel::Debug:
            return log4cplus::DEBUG_LOG_LEVEL;
        case EventLevel::Info:
            return log4cplus::INFO_LOG_LEVEL;
        case EventLevel::Warning:
            return log4cplus::WARN_LOG_LEVEL;
        case EventLevel::Error:
            break;
        }
        return log4cplus::ERROR_LOG_LEVEL;
    }

    /// log4cplus reports a file that it cannot open only on standard error.
    std::optional<LogFileNotWritable> checkWritable(std::string const& path)
    {
        auto const file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        if (file < 0)
            return LogFileNotWritable { path, errno };
        ::close(file);
        return std::nullopt;
    }

    log4cplus::SharedAppenderPtr makeAppender(EventLogSettings const& settings)
    {
        log4cplus::SharedAppenderPtr appender;
        if (settings.file.empty()) {
            appender = new log4cplus::ConsoleAppender(!settings.usesStandardOutput, true);
        } else {
            auto const maxBytes
                = static_cast<long>(std::min<std::uint64_t>(settings.maxFileBytes, std::numeric_limits<long>::max()));
            appender = new log4cplus::RollingFileAppender(
                settings.file, maxBytes, static_cast<int>(settings.keptFiles), true, false);
        }
        appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
        return appender;
    }

} // namespace

/// A hierarchy of its own keeps the log apart from other users of log4cplus in the process.
struct EventLog::Output {
    log4cplus::Hierarchy hierarchy;
    log4cplus::Logger logger { hierarchy.getInstance("primroseshift") };
};

Core::Result<std::unique_ptr<EventLog>, LogFileNotWritable> EventLog::open(
    EventLogSettings settings, Core::Clock const& clock)
{
    if (!settings.file.empty()) {
        if (auto fault = checkWritable(settings.file))
            return std::move(*fault);
    }
    return std::unique_ptr<EventLog>(new EventLog(std::move(settings), clock));
}

EventLog::EventLog(EventLogSettings settings, Core::Clock const& clock)
    : settings_(std::move(settings))
    , clock_(clock)
    , output_(std::make_unique<Output>())
{
    output_->logger.setLogLevel(log4cplus::TRACE_LOG_LEVEL);
    output_->logger.addAppender(makeAppender(settings_));
}

EventLog::~EventLog()
{
    std::scoped_lock const lock(mutex_);
    for (auto& [number, burst] : bursts_) {
        if (burst.suppressed > 0)
            writeLine(definitionOf(static_cast<EventId>(number)), {}, burst.suppressed);
    }
    output_->logger.removeAllAppenders();
}

void EventLog::write(EventId id, std::initializer_list<Field> fields)
{
    auto const& definition = definitionOf(id);
    if (definition.level < settings_.level)
        return;
    std::scoped_lock const lock(mutex_);
    auto const now = clock_.now();
    auto& burst = bursts_[static_cast<std::uint16_t>(id)];
    if (burst.lines == 0 || now - burst.start >= settings_.burstInterval) {
        burst.start = now;
        burst.lines = 0;
    }
    if (burst.lines >= settings_.burst) {
        ++burst.suppressed;
        return;
    }
    ++burst.lines;
    writeLine(definition, { fields.begin(), fields.size() }, std::exchange(burst.suppressed, 0));
}

void EventLog::reportSuppressed()
{
    std::scoped_lock const lock(mutex_);
    auto const now = clock_.now();
    for (auto& [number, burst] : bursts_) {
        if (burst.suppressed == 0 || now - burst.start < settings_.burstInterval)
            continue;
        burst.start = now;
        burst.lines = 1;
        writeLine(definitionOf(static_cast<EventId>(number)), {}, std::exchange(burst.suppressed, 0));
    }
}

void EventLog::writeLine(EventDefinition const& definition, std::span<Field const> fields, std::uint64_t suppressed)
{
    EventLine const line { definition, settings_.host, Core::wallClockMilliseconds(), suppressed, fields };
    auto const text = settings_.format == EventFormat::Json ? formatJson(line) : formatKeyValue(line);
    output_->logger.log(toLogLevel(definition.level), text);
}

} // namespace Telemetry
