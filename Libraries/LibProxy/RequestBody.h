#pragma once

#include <LibProxy/HttpMessage.h>
#include <LibProxy/StopDeadline.h>

namespace Proxy {

enum class BodyError : std::uint8_t { Malformed, TooLarge, CallerLeft, DeadlinePassed };

/// The body of a caller's request: a buffered beginning that can be sent again, and the rest as a stream.
class RequestBody {
public:
    RequestBody(MessageReader& reader, InputBuffer& input, Socket& caller)
        : reader_(reader)
        , input_(input)
        , caller_(caller)
    {
    }

    /// Bodies up to this size are read completely before a permit is acquired, so that a slow caller of a small request
    /// holds none, and can be sent again.
    static constexpr std::size_t bufferedBytes = 64UL * 1024;

    void setLimit(std::uint64_t bytes) { limit_ = bytes; }
    /// Buffers the body up to `bufferedBytes` or its end.
    Core::Result<Core::Void, BodyError> buffer(std::size_t bytes, Core::TimePoint deadline, StopDeadline const&);
    std::string_view buffered() const { return buffered_; }
    /// The whole body was read from the caller.
    bool isDone() const { return reader_.isDone(); }
    /// Nothing beyond the buffered part was handed out, so another attempt sees the same body.
    bool canBeSentAgain() const { return !isStreamed_; }
    /// Reads what has arrived beyond the buffered part. Zero: wait for the caller's descriptor, or done.
    Core::Result<std::size_t, BodyError> read(std::span<char> output);
    std::uint64_t bytesRead() const { return bytesRead_; }

private:
    Core::Result<std::size_t, BodyError> decode(std::span<char> output);

    MessageReader& reader_;
    InputBuffer& input_;
    Socket& caller_;
    std::string buffered_;
    std::uint64_t limit_ { 0 };
    std::uint64_t bytesRead_ { 0 };
    bool isStreamed_ { false };
};

} // namespace Proxy
