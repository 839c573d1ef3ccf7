#include <LibConfig/TableText.h>
#include <LibConfig/Units.h>
#include <LibCore/Result.h>

#include <algorithm>
#include <charconv>
#include <limits>

namespace Config {

namespace {

    constexpr std::size_t maxTokenBytes = 64;
    constexpr std::string_view hexDigits = "0123456789abcdef";

    bool isPlainCharacter(char c) { return static_cast<unsigned char>(c) >= ' ' && c != '\x7f'; }

    bool isPlain(std::string_view text)
    {
        return !text.empty() && text.front() != '"' && text.front() != ' ' && text.back() != ' '
            && std::ranges::all_of(text, isPlainCharacter);
    }

    /// Reads one character of a quoted text and removes it.
    std::optional<char> takeQuoted(std::string_view& text)
    {
        auto const first = text.front();
        text.remove_prefix(1);
        if (first == '"' || !isPlainCharacter(first))
            return std::nullopt;
        if (first != '\\')
            return first;
        if (text.starts_with('\\') || text.starts_with('"')) {
            auto const escaped = text.front();
            text.remove_prefix(1);
            return escaped;
        }
        if (!text.starts_with('x') || text.size() < 3)
            return std::nullopt;
        unsigned value = 0;
        auto const digits = text.substr(1, 2);
        auto const [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
        if (error != std::errc {} || end != digits.data() + digits.size())
            return std::nullopt;
        text.remove_prefix(3);
        return static_cast<char>(value);
    }

} // namespace

bool isToken(std::string_view text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    auto const isAllowed = [&](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
            || marks.find(c) != std::string_view::npos;
    };
    return !text.empty() && text.size() <= maxTokenBytes && std::ranges::all_of(text, isAllowed);
}

std::optional<std::string> parseTableText(std::string_view value)
{
    std::string text;
    if (!value.starts_with('"')) {
        text = value;
    } else {
        if (value.size() < 2 || value.back() != '"')
            return std::nullopt;
        auto rest = value.substr(1, value.size() - 2);
        while (!rest.empty()) {
            auto const character = takeQuoted(rest);
            if (!character)
                return std::nullopt;
            text += *character;
        }
    }
    if (text.size() > maxTableTextBytes)
        return std::nullopt;
    return text;
}

std::string formatTableText(std::string_view text)
{
    if (isPlain(text))
        return std::string(text);
    std::string quoted = "\"";
    for (auto const c : text) {
        if (c == '"' || c == '\\') {
            quoted += '\\';
            quoted += c;
        } else if (isPlainCharacter(c)) {
            quoted += c;
        } else {
            auto const byte = static_cast<unsigned char>(c);
            quoted += "\\x";
            quoted += hexDigits[byte >> 4];
            quoted += hexDigits[byte & 15];
        }
    }
    return quoted + '"';
}

std::optional<std::vector<std::string>> parseMethods(std::string_view text)
{
    std::vector<std::string> methods;
    while (!text.empty()) {
        auto const comma = text.find(", ");
        auto const method = text.substr(0, comma);
        if (!isToken(method) || methods.size() == maxMethods)
            return std::nullopt;
        methods.emplace_back(method);
        if (comma == std::string_view::npos)
            return methods;
        text.remove_prefix(comma + 2);
    }
    return std::nullopt;
}

std::string formatMethods(std::vector<std::string> const& methods)
{
    std::string text;
    for (auto const& method : methods)
        text += (text.empty() ? "" : ", ") + method;
    return text;
}

std::optional<Routing::KeySource> parseKeySource(std::string_view text)
{
    if (text == "none")
        return Routing::NoKey {};
    auto const space = text.find(' ');
    if (space == std::string_view::npos)
        return std::nullopt;
    auto const kind = text.substr(0, space);
    auto const argument = text.substr(space + 1);
    if (kind == "path-segment") {
        auto const index = parseNumber(argument);
        if (index.error || index.value > std::numeric_limits<std::uint32_t>::max())
            return std::nullopt;
        return Routing::KeyFromPathSegment { static_cast<std::uint32_t>(index.value) };
    }
    if (kind == "header")
        return isToken(argument) ? std::optional<Routing::KeySource>(Routing::KeyFromHeader { std::string(argument) })
                                 : std::nullopt;
    auto parameter = kind == "query" ? parseTableText(argument) : std::nullopt;
    if (!parameter || parameter->empty())
        return std::nullopt;
    return Routing::KeyFromQuery { std::move(*parameter) };
}

std::string formatKeySource(Routing::KeySource const& source)
{
    return std::visit(
        Core::Overloaded {
            [](Routing::NoKey const&) { return std::string("none"); },
            [](Routing::KeyFromPathSegment const& key) { return "path-segment " + std::to_string(key.index); },
            [](Routing::KeyFromQuery const& key) { return "query " + formatTableText(key.parameter); },
            [](Routing::KeyFromHeader const& key) { return "header " + key.header; },
        },
        source);
}

} // namespace Config
