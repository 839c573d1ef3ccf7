#include "../Support/TemporaryFolder.h"

#include <LibTelemetry/EventLine.h>
#include <LibTelemetry/EventLog.h>

#include <nlohmann/json.hpp>

using namespace Telemetry;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Events)

// Guards against fields that break the line format, since log lines carry text from callers.
BOOST_AUTO_TEST_CASE(LinesKeepTheirFormForAnyText)
{
    std::vector<Field> const fields { { "text", "a\n\"b\" \xff" }, { "count", 3U }, { "left", -4 }, { "ratio", 0.5 },
        { "ok", true }, { "plain", "x" } };
    EventLine const line { definitionOf(EventId::BackendLost), "c1", 1'796'349'123'456, 7, fields };
    auto const text = formatJson(line);
    BOOST_TEST((text.find('\n') == std::string::npos));
    auto const json = nlohmann::json::parse(text);
    BOOST_TEST(json["time"] == "2026-12-04T01:52:03.456Z");
    BOOST_TEST(json["event"] == 306);
    BOOST_TEST(json["name"] == "BackendLost");
    BOOST_TEST(json["level"] == "warning");
    BOOST_TEST(json["suppressed"] == 7);
    BOOST_TEST(json["fields"]["text"] == "a\n\"b\" \uFFFD");
    BOOST_TEST(json["fields"]["left"] == -4);
    BOOST_TEST(json["fields"]["ok"] == true);
    BOOST_TEST(formatKeyValue(line)
        == "time=2026-12-04T01:52:03.456Z level=warning event=306 name=BackendLost host=c1 suppressed=7 "
           "text=\"a\\n\\\"b\\\" \uFFFD\" count=3 left=-4 ratio=0.5 ok=true plain=x");
}

// Guards against a flood of one event that hides other events, and against suppressed lines that are not counted.
BOOST_AUTO_TEST_CASE(EachEventIsLimitedAndSuppressedLinesAreCounted)
{
    TemporaryFolder const folder;
    auto const file = folder.file("event.log");
    Core::ManualClock clock;
    {
        auto result = EventLog::open({ .file = file, .burst = 3, .burstInterval = 1s, .host = "c1" }, clock);
        BOOST_REQUIRE(!result.isError());
        auto& log = *result.value();
        for (int repetition = 0; repetition < 10; ++repetition)
            log.write(EventId::QueueFull, { { "pool", "letter" } });
        log.write(EventId::BackendLost);
        log.write(EventId::ViewApplied);
        BOOST_TEST(readLines(file).size() == 4U);
        clock.advance(999ms);
        log.write(EventId::QueueFull);
        log.reportSuppressed();
        BOOST_TEST(readLines(file).size() == 4U);
        clock.advance(1ms);
        log.write(EventId::QueueFull);
        BOOST_TEST(nlohmann::json::parse(readLines(file).back())["suppressed"] == 8);
        for (int repetition = 0; repetition < 4; ++repetition)
            log.write(EventId::QueueFull);
        clock.advance(1s);
        log.reportSuppressed();
        BOOST_TEST(readLines(file).size() == 8U);
        BOOST_TEST(nlohmann::json::parse(readLines(file).back())["suppressed"] == 2);
        for (int repetition = 0; repetition < 5; ++repetition)
            log.write(EventId::QueueFull);
    }
    BOOST_TEST(nlohmann::json::parse(readLines(file).back())["suppressed"] == 3);
}

BOOST_AUTO_TEST_CASE(UnwritableFileIsAnError)
{
    Core::ManualClock const clock;
    auto const result = EventLog::open({ .file = "/nonexistent/event.log" }, clock);
    BOOST_REQUIRE(result.isError());
    BOOST_TEST(result.error().errorNumber == ENOENT);
}

BOOST_AUTO_TEST_SUITE_END()
