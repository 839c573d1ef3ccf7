#pragma once

#include <LibCore/Result.h>
#include <LibProxy/InputBuffer.h>

#include <memory>
#include <optional>
#include <string>

namespace Proxy {

struct HeaderField {
    std::string name;
    std::string value;
};

/// The first line and the headers of a request or a response, with names and values unchanged.
struct MessageHead {
    /// Requests only.
    std::string method;
    std::string target;
    /// Responses only.
    std::uint16_t status { 0 };
    std::string reason;

    bool isHttp10 { false };
    std::vector<HeaderField> fields;
    std::optional<std::uint64_t> contentLength;
    bool isChunked { false };
    /// Whether the sender keeps the connection open after this message.
    bool keepsAlive { true };

    /// The value of the first field with this name, compared without case.
    std::optional<std::string_view> find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
};

bool equalsIgnoringCase(std::string_view, std::string_view);

enum class ParseErrorKind : std::uint8_t { Malformed, HeadTooLarge, Truncated };

struct ParseError {
    ParseErrorKind kind { ParseErrorKind::Malformed };
    /// Text of the parser, free of the peer's data.
    std::string detail;
};

enum class MessageKind : std::uint8_t { Request, Response };

/// Parses one message from an input buffer.
///
/// cpp-httplib 0.11.4 percent-decodes header values and accepts ambiguous framing (checked by
/// Tests/LibProxy/TestLibraryPitfalls.cpp), so a relay on its codec would change headers and could disagree with the
/// backend server about where a request ends. The codec is Boost.Beast's parser, which rejects such messages.
class MessageReader {
public:
    MessageReader(MessageKind, std::uint32_t maxHeadBytes);
    ~MessageReader();
    MessageReader(MessageReader&&) noexcept;
    MessageReader& operator=(MessageReader&&) noexcept;

    /// Call before the head is parsed: the response to a HEAD request has no body whatever its headers say.
    void expectNoBody();
    /// True once the head is complete; false when more input is needed.
    Core::Result<bool, ParseError> readHead(InputBuffer&);
    MessageHead const& head() const { return head_; }
    /// Decodes body bytes from the input to the output and returns their number. Zero: more input is needed, or done.
    Core::Result<std::size_t, ParseError> readBody(InputBuffer&, std::span<char> output);
    /// The whole message was read.
    bool isDone() const;
    /// Tells that the peer ended its stream. True when that completes the message.
    bool finishAtEndOfStream();
    /// The body ends where the peer ends its stream.
    bool endsWithStream() const;

private:
    struct Parser;
    std::unique_ptr<Parser> parser_;
    bool isResponse_;
    MessageHead head_;
};

} // namespace Proxy
