#include <LibProxy/HeaderRules.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Proxy {

namespace {

    /// RFC 9110 section 7.6.1, and fields that describe the framing, which each hop sets anew.
    constexpr std::array<std::string_view, 11> hopByHopFields { "Connection", "Keep-Alive", "Proxy-Connection",
        "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
        "Expect" };

    /// Set by this hop; the other side must not be able to set them.
    constexpr std::array<std::string_view, 7> ownFields { "Primroseshift-Request-Id", "Primroseshift-Deadline-Ms",
        "Primroseshift-Slot", "Primroseshift-Epoch", "Primroseshift-Outcome", "Primroseshift-Reason", "traceparent" };

    bool isListed(std::span<std::string_view const> names, std::string_view name)
    {
        return std::ranges::any_of(names, [&](auto listed) { return equalsIgnoringCase(listed, name); });
    }

    /// Whether a token of the Connection header makes this field hop-by-hop.
    bool isNominated(std::string_view connection, std::string_view name)
    {
        while (!connection.empty()) {
            auto const comma = connection.find(',');
            auto token = connection.substr(0, comma);
            token.remove_prefix(std::min(token.find_first_not_of(" \t"), token.size()));
            token = token.substr(0, token.find_last_not_of(" \t") + 1);
            if (equalsIgnoringCase(token, name))
                return true;
            connection = comma == std::string_view::npos ? std::string_view {} : connection.substr(comma + 1);
        }
        return false;
    }

} // namespace

std::string chunkHeader(std::size_t bytes)
{
    std::array<char, 2 * sizeof bytes> digits {};
    auto const [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), bytes, 16);
    return std::string(digits.data(), end).append("\r\n");
}

std::string encodeChunk(std::string_view data)
{
    return data.empty() ? std::string() : chunkHeader(data.size()).append(data).append("\r\n");
}

void appendField(std::string& text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

bool isHopByHop(std::string_view name, std::string_view connection)
{
    return isListed(hopByHopFields, name) || isNominated(connection, name);
}

void appendForwardedFields(std::string& text, MessageHead const& head)
{
    auto const isNominatedField = [&](std::string_view name) {
        return std::ranges::any_of(head.fields, [&](auto const& field) {
            return equalsIgnoringCase(field.name, "Connection") && isNominated(field.value, name);
        });
    };
    auto const hasNominations = std::ranges::any_of(head.fields, [](auto const& field) {
        return equalsIgnoringCase(field.name, "Connection") && !equalsIgnoringCase(field.value, "keep-alive")
            && !equalsIgnoringCase(field.value, "close");
    });
    for (auto const& field : head.fields) {
        if (isListed(hopByHopFields, field.name) || isListed(ownFields, field.name))
            continue;
        if (hasNominations && isNominatedField(field.name) && !equalsIgnoringCase(field.name, "Host"))
            continue;
        appendField(text, field.name, field.value);
    }
}

} // namespace Proxy
