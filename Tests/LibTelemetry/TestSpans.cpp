#include "../Support/TemporaryFolder.h"

#include <LibTelemetry/SpanWriter.h>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sys/stat.h>
#include <unistd.h>

using namespace Telemetry;

namespace {

Span makeSpan(std::uint64_t id, bool isSampled = true)
{
    Span span { .context = { { 1, 2 }, id, isSampled }, .parentSpanId = 9, .name = "relay", .kind = SpanKind::Client };
    span.startNanoseconds = 1'796'349'123'456'789'012;
    span.endNanoseconds = span.startNanoseconds + 5;
    span.attributes = { { "pool", "letter" } };
    return span;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Spans)

// Guards against joining a trace under ids that other participants reject.
BOOST_AUTO_TEST_CASE(TraceparentFollowsTheSpecification)
{
    std::string const valid = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    auto const context = TraceContext::parse(valid);
    BOOST_REQUIRE(context.has_value());
    BOOST_TEST(context->isSampled);
    BOOST_TEST(context->spanId == 0xb7ad6b7169203331U);
    BOOST_TEST(context->format() == valid);
    auto const replaced = [&](std::size_t at, std::string_view with) {
        auto text = valid;
        return text.replace(at, with.size(), with);
    };
    BOOST_TEST(!TraceContext::parse(replaced(0, "ff")).has_value());
    BOOST_TEST(!TraceContext::parse(replaced(3, "0AF7")).has_value());
    BOOST_TEST(!TraceContext::parse(replaced(3, std::string(32, '0'))).has_value());
    BOOST_TEST(!TraceContext::parse(replaced(36, std::string(16, '0'))).has_value());
    BOOST_TEST(!TraceContext::parse(replaced(35, "_")).has_value());
    BOOST_TEST(!TraceContext::parse(valid + "-01").has_value());
    BOOST_TEST(!TraceContext::parse(valid.substr(1)).has_value());
    BOOST_TEST(TraceContext::parse(replaced(0, "01") + "-more").has_value());
    BOOST_TEST(!TraceContext::parse(replaced(0, "01") + "more").has_value());
    BOOST_TEST(!TraceContext::parse(replaced(53, "02"))->isSampled);
}

BOOST_AUTO_TEST_CASE(SamplingFollowsTheShareAndChildrenKeepTheTrace)
{
    Core::Random random(3);
    int sampled = 0;
    for (int trace = 0; trace < 10'000; ++trace)
        sampled += TraceContext::start(random, 100).isSampled ? 1 : 0;
    BOOST_TEST(sampled > 850);
    BOOST_TEST(sampled < 1150);
    BOOST_TEST(!TraceContext::start(random, 0).isSampled);
    auto const root = TraceContext::start(random, 1000);
    auto const child = root.child(random);
    BOOST_TEST((child.traceId == root.traceId && child.spanId != root.spanId && child.isSampled));
}

// Guards against losing the spans of failures, which are those that are looked for.
BOOST_AUTO_TEST_CASE(SampledSpansAndErrorsAreWritten)
{
    TemporaryFolder const folder;
    auto const file = folder.file("spans.jsonl");
    {
        auto writer = SpanWriter::open({ .file = file, .host = "e1" });
        BOOST_REQUIRE(!writer.isError());
        BOOST_TEST(writer.value()->submit(makeSpan(1)));
        BOOST_TEST(writer.value()->submit(makeSpan(2, false)));
        auto failed = makeSpan(3, false);
        failed.isError = true;
        failed.statusMessage = "connection-lost";
        BOOST_TEST(writer.value()->submit(failed));
    }
    auto const lines = readLines(file);
    BOOST_REQUIRE_EQUAL(lines.size(), 2U);
    std::string host;
    auto const span = parseOtlpLine(lines[0], host);
    BOOST_REQUIRE(span.has_value());
    BOOST_TEST(host == "e1");
    BOOST_TEST((span->context == makeSpan(1).context));
    BOOST_TEST(span->parentSpanId == 9U);
    BOOST_TEST((span->kind == SpanKind::Client));
    BOOST_TEST(span->startNanoseconds == 1'796'349'123'456'789'012);
    BOOST_TEST(span->attributes.front().value == "letter");
    BOOST_TEST(parseOtlpLine(lines[1], host)->statusMessage == "connection-lost");
    BOOST_TEST(nlohmann::json::parse(lines[0])["resourceSpans"][0]["scopeSpans"][0]["spans"][0]["startTimeUnixNano"]
        == "1796349123456789012");
    BOOST_TEST(!parseOtlpLine("{\"resourceSpans\":[]}", host).has_value());
}

// Guards against callers that wait for the disk: a writer that is stuck must cost dropped spans only.
BOOST_AUTO_TEST_CASE(FullQueueDropsAndCounts)
{
    TemporaryFolder const folder;
    auto const fifo = folder.file("fifo");
    BOOST_REQUIRE(mkfifo(fifo.c_str(), 0600) == 0);
    auto const reader = ::open(fifo.c_str(), O_RDONLY | O_NONBLOCK);
    auto result = SpanWriter::open({ .file = fifo, .maxQueuedSpans = 8 });
    BOOST_REQUIRE(!result.isError());
    auto& writer = *result.value();
    // A pipe holds 64 KiB, so the writer blocks after a few hundred spans and its queue fills up.
    std::uint64_t accepted = 0;
    while (writer.droppedSpans() < 100) {
        accepted += writer.submit(makeSpan(1)) ? 1 : 0;
        BOOST_REQUIRE(accepted < 1'000'000);
    }
    BOOST_TEST(!writer.submit(makeSpan(1)));
    BOOST_TEST(writer.droppedSpans() >= 101U);
    std::thread drain([&] {
        std::array<char, 65'536> buffer {};
        fcntl(reader, F_SETFL, 0);
        while (::read(reader, buffer.data(), buffer.size()) > 0) { }
    });
    result.value().reset();
    drain.join();
    ::close(reader);
}

BOOST_AUTO_TEST_CASE(FilesAreRotatedWithinTheirBounds)
{
    TemporaryFolder const folder;
    auto const file = folder.file("spans.jsonl");
    constexpr std::uint64_t maxBytes = 4096;
    {
        auto writer = SpanWriter::open({ .file = file, .maxFileBytes = maxBytes, .keptFiles = 2 });
        BOOST_REQUIRE(!writer.isError());
        for (std::uint64_t id = 1; id <= 100; ++id)
            writer.value()->submit(makeSpan(id));
        writer.value()->flush();
    }
    BOOST_TEST(folder.files().size() == 3U);
    for (auto const& path : folder.files())
        BOOST_TEST(std::filesystem::file_size(path) <= maxBytes);
    std::string host;
    BOOST_TEST(parseOtlpLine(readLines(file).back(), host)->context.spanId == 100U);
    auto const newestOfRotated = parseOtlpLine(readLines(file + ".1").back(), host)->context.spanId;
    BOOST_TEST(newestOfRotated + 1 == parseOtlpLine(readLines(file).front(), host)->context.spanId);
}

BOOST_AUTO_TEST_SUITE_END()
