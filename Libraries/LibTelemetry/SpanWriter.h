#pragma once

#include <LibCore/Result.h>
#include <LibTelemetry/Trace.h>

#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>

namespace Telemetry {

struct SpanWriterSettings {
    std::string file;
    std::uint64_t maxFileBytes { 64ULL * 1024 * 1024 };
    /// Rotated files, `FILE.1` being the youngest.
    std::uint32_t keptFiles { 3 };
    std::uint32_t maxQueuedSpans { 4096 };
    /// Attributes of the resource of each line.
    std::string serviceName { "primroseshift" };
    std::string host;
};

struct SpanFileNotWritable {
    std::string path;
    int errorNumber { 0 };
};

/// Writes spans as OTLP/JSON, one `resourceSpans` object a line, from a thread of its own. Thread-safe. Callers never
/// wait for the disk: spans beyond the queue's bound are dropped and counted.
class SpanWriter {
public:
    static Core::Result<std::unique_ptr<SpanWriter>, SpanFileNotWritable> open(SpanWriterSettings);
    /// Writes what is queued.
    ~SpanWriter();

    SpanWriter(SpanWriter const&) = delete;
    SpanWriter& operator=(SpanWriter const&) = delete;

    /// Queues a span that is sampled or an error. Returns false when it was dropped because the queue is full.
    bool submit(Span);
    /// Waits until everything that was queued before is written.
    void flush();

    std::uint64_t droppedSpans() const { return dropped_.load(std::memory_order_relaxed); }
    /// Spans lost because the file could not be written.
    std::uint64_t failedSpans() const { return failed_.load(std::memory_order_relaxed); }

private:
    explicit SpanWriter(SpanWriterSettings);
    void run();
    bool openStream();
    void writeSpan(Span const&);
    void rotate();

    SpanWriterSettings settings_;
    std::FILE* stream_ { nullptr };
    std::uint64_t fileBytes_ { 0 };
    std::mutex mutex_;
    std::condition_variable wakeWriter_;
    std::condition_variable written_;
    std::deque<Span> queue_;
    bool isWriting_ { false };
    bool isStopping_ { false };
    std::atomic<std::uint64_t> dropped_ { 0 };
    std::atomic<std::uint64_t> failed_ { 0 };
    std::thread thread_;
};

/// The line that `SpanWriter` writes for a span, without the newline.
std::string formatOtlpLine(Span const&, std::string_view serviceName, std::string_view host);
/// Reads back a line of `formatOtlpLine`. Empty for anything else.
std::optional<Span> parseOtlpLine(std::string_view line, std::string& host);

} // namespace Telemetry
