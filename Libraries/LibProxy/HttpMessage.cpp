#include <LibProxy/HttpMessage.h>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <limits>
#include <variant>

namespace Proxy {

namespace Http = boost::beast::http;

namespace {

    /// The parser takes any three digits.
    constexpr std::uint16_t minStatus = 100;

    using RequestParser = Http::request_parser<Http::buffer_body>;
    using ResponseParser = Http::response_parser<Http::buffer_body>;

    ParseError toParseError(boost::beast::error_code const& error)
    {
        if (error == Http::error::header_limit)
            return { ParseErrorKind::HeadTooLarge, error.message() };
        if (error == Http::error::partial_message || error == Http::error::end_of_stream)
            return { ParseErrorKind::Truncated, error.message() };
        return { ParseErrorKind::Malformed, error.message() };
    }

    bool isWaiting(boost::beast::error_code const& error)
    {
        return error == Http::error::need_more || error == Http::error::need_buffer;
    }

    std::string toString(boost::beast::string_view text) { return { text.data(), text.size() }; }

    template <bool IsRequest> MessageHead toHead(Http::parser<IsRequest, Http::buffer_body> const& parser)
    {
        auto const& message = parser.get();
        MessageHead head;
        if constexpr (IsRequest) {
            head.method = toString(message.method_string());
            head.target = toString(message.target());
        } else {
            head.status = static_cast<std::uint16_t>(message.result_int());
            head.reason = toString(message.reason());
        }
        head.isHttp10 = message.version() == 10;
        head.isChunked = parser.chunked();
        head.keepsAlive = parser.keep_alive();
        if (auto const length = parser.content_length())
            head.contentLength = *length;
        head.fields.reserve(16);
        for (auto const& field : message)
            head.fields.push_back({ toString(field.name_string()), toString(field.value()) });
        return head;
    }

    /// A transfer coding other than `chunked` alone has no framing that both sides are known to agree on.
    bool hasUnsupportedFraming(MessageHead const& head)
    {
        auto const coding = head.find("Transfer-Encoding");
        if (!coding)
            return false;
        return head.count("Transfer-Encoding") != 1 || !equalsIgnoringCase(*coding, "chunked")
            || head.find("Content-Length").has_value();
    }

} // namespace

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    auto const lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; };
    return a.size() == b.size()
        && std::equal(a.begin(), a.end(), b.begin(), [&](char x, char y) { return lower(x) == lower(y); });
}

std::optional<std::string_view> MessageHead::find(std::string_view name) const
{
    auto const found
        = std::ranges::find_if(fields, [&](auto const& field) { return equalsIgnoringCase(field.name, name); });
    if (found == fields.end())
        return std::nullopt;
    return std::string_view(found->value);
}

std::size_t MessageHead::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(fields, [&](auto const& field) { return equalsIgnoringCase(field.name, name); }));
}

struct MessageReader::Parser {
    std::variant<RequestParser, ResponseParser> parser;

    template <typename F> decltype(auto) visit(F&& function) { return std::visit(std::forward<F>(function), parser); }
};

MessageReader::MessageReader(MessageKind kind, std::uint32_t maxHeadBytes)
    : parser_(std::make_unique<Parser>())
    , isResponse_(kind == MessageKind::Response)
{
    if (kind == MessageKind::Response)
        parser_->parser.emplace<ResponseParser>();
    parser_->visit([&](auto& parser) {
        parser.header_limit(maxHeadBytes);
        // Not boost::none: Boost 1.74 compares the length with an empty optional, which rejects every body.
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        parser.eager(false);
    });
}

MessageReader::~MessageReader() = default;
MessageReader::MessageReader(MessageReader&&) noexcept = default;
MessageReader& MessageReader::operator=(MessageReader&&) noexcept = default;

void MessageReader::expectNoBody()
{
    parser_->visit([](auto& parser) { parser.skip(true); });
}

Core::Result<bool, ParseError> MessageReader::readHead(InputBuffer& input)
{
    return parser_->visit([&](auto& parser) -> Core::Result<bool, ParseError> {
        boost::beast::error_code error;
        auto const bytes = input.view();
        input.consume(parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error));
        if (error && !isWaiting(error))
            return toParseError(error);
        if (!parser.is_header_done()) {
            if (input.isFull())
                return ParseError { ParseErrorKind::HeadTooLarge, "head exceeds the input buffer" };
            return false;
        }
        head_ = toHead(parser);
        if (isResponse_ && head_.status < minStatus)
            return ParseError { ParseErrorKind::Malformed, "status below 100" };
        if (hasUnsupportedFraming(head_))
            return ParseError { ParseErrorKind::Malformed, "unsupported transfer coding" };
        parser.eager(true);
        return true;
    });
}

Core::Result<std::size_t, ParseError> MessageReader::readBody(InputBuffer& input, std::span<char> output)
{
    return parser_->visit([&](auto& parser) -> Core::Result<std::size_t, ParseError> {
        if (parser.is_done())
            return std::size_t { 0 };
        auto& body = parser.get().body();
        body.data = output.data();
        body.size = output.size();
        boost::beast::error_code error;
        auto const bytes = input.view();
        input.consume(parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error));
        auto const produced = output.size() - body.size;
        if (error && !isWaiting(error))
            return toParseError(error);
        if (produced == 0 && input.isFull() && !parser.is_done())
            return ParseError { ParseErrorKind::Malformed, "chunk header exceeds the input buffer" };
        return produced;
    });
}

bool MessageReader::isDone() const
{
    return parser_->visit([](auto const& parser) { return parser.is_done(); });
}

bool MessageReader::finishAtEndOfStream()
{
    return parser_->visit([](auto& parser) {
        boost::beast::error_code error;
        if (!parser.is_header_done())
            return false;
        if (!parser.is_done())
            parser.put_eof(error);
        return !error && parser.is_done();
    });
}

bool MessageReader::endsWithStream() const
{
    return parser_->visit([](auto const& parser) { return parser.need_eof(); });
}

} // namespace Proxy
