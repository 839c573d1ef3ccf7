#include <LibTelemetry/SpanWriter.h>

#include <cerrno>
#include <utility>

namespace Telemetry {

Core::Result<std::unique_ptr<SpanWriter>, SpanFileNotWritable> SpanWriter::open(SpanWriterSettings settings)
{
    std::unique_ptr<SpanWriter> writer(new SpanWriter(std::move(settings)));
    if (!writer->openStream())
        return SpanFileNotWritable { writer->settings_.file, errno };
    writer->thread_ = std::thread([raw = writer.get()] { raw->run(); });
    return writer;
}

SpanWriter::SpanWriter(SpanWriterSettings settings)
    : settings_(std::move(settings))
{
}

SpanWriter::~SpanWriter()
{
    {
        std::scoped_lock const lock(mutex_);
        isStopping_ = true;
    }
    wakeWriter_.notify_all();
    if (thread_.joinable())
        thread_.join();
    if (stream_)
        std::fclose(stream_);
}

bool SpanWriter::openStream()
{
    stream_ = std::fopen(settings_.file.c_str(), "ae");
    if (!stream_)
        return false;
    std::fseek(stream_, 0, SEEK_END);
    auto const position = std::ftell(stream_);
    fileBytes_ = position < 0 ? 0 : static_cast<std::uint64_t>(position);
    return true;
}

bool SpanWriter::submit(Span span)
{
    if (!span.context.isSampled && !span.isError)
        return true;
    {
        std::scoped_lock const lock(mutex_);
        if (queue_.size() >= settings_.maxQueuedSpans) {
            dropped_.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        queue_.push_back(std::move(span));
    }
    wakeWriter_.notify_one();
    return true;
}

void SpanWriter::flush()
{
    std::unique_lock lock(mutex_);
    written_.wait(lock, [this] { return queue_.empty() && !isWriting_; });
}

void SpanWriter::run()
{
    std::unique_lock lock(mutex_);
    while (true) {
        wakeWriter_.wait(lock, [this] { return isStopping_ || !queue_.empty(); });
        if (queue_.empty())
            return;
        auto const batch = std::exchange(queue_, {});
        isWriting_ = true;
        lock.unlock();
        for (auto const& span : batch)
            writeSpan(span);
        if (stream_ && std::fflush(stream_) != 0)
            failed_.fetch_add(batch.size(), std::memory_order_relaxed);
        lock.lock();
        isWriting_ = false;
        written_.notify_all();
    }
}

void SpanWriter::writeSpan(Span const& span)
{
    auto const line = formatOtlpLine(span, settings_.serviceName, settings_.host) + "\n";
    if (fileBytes_ > 0 && fileBytes_ + line.size() > settings_.maxFileBytes)
        rotate();
    // After a failed rotation the file is opened again with each span.
    auto const isOpen = stream_ || openStream();
    if (!isOpen || std::fwrite(line.data(), 1, line.size(), stream_) != line.size()) {
        failed_.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    fileBytes_ += line.size();
}

void SpanWriter::rotate()
{
    if (stream_)
        std::fclose(std::exchange(stream_, nullptr));
    auto const rotated = [this](std::uint32_t index) { return settings_.file + "." + std::to_string(index); };
    for (auto index = settings_.keptFiles; index > 1; --index)
        std::rename(rotated(index - 1).c_str(), rotated(index).c_str());
    std::rename(settings_.file.c_str(), rotated(1).c_str());
    fileBytes_ = 0;
    openStream();
}

} // namespace Telemetry
