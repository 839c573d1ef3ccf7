#include <LibCore/Identifiers.h>
#include <LibCore/Random.h>

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace Core {

namespace {

    constexpr std::size_t hexDigitsPerHalf = 16;

    std::string toHex(std::uint64_t value)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        std::string text(hexDigitsPerHalf, '0');
        std::generate(text.rbegin(), text.rend(), [&] {
            auto const digit = digits[value & 0xF];
            value >>= 4;
            return digit;
        });
        return text;
    }

    std::optional<std::uint64_t> parseHex(std::string_view text)
    {
        std::uint64_t value = 0;
        auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
        if (error != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    bool isAddress(std::string const& address, int family)
    {
        std::array<unsigned char, sizeof(in6_addr)> buffer {};
        return inet_pton(family, address.c_str(), buffer.data()) == 1;
    }

} // namespace

RequestId RequestId::generate(Random& random) { return { random.next(), random.next() }; }

std::string RequestId::toString() const { return toHex(high) + toHex(low); }

std::optional<RequestId> RequestId::parse(std::string_view text)
{
    if (text.size() != 2 * hexDigitsPerHalf)
        return std::nullopt;
    auto const high = parseHex(text.substr(0, hexDigitsPerHalf));
    auto const low = parseHex(text.substr(hexDigitsPerHalf));
    if (!high || !low)
        return std::nullopt;
    return RequestId { *high, *low };
}

std::string Endpoint::toString() const
{
    auto const isIpv6 = address.find(':') != std::string::npos;
    return (isIpv6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
}

std::optional<Endpoint> Endpoint::parse(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto host = text.substr(0, colon);
    auto const portText = text.substr(colon + 1);
    auto const isBracketed = host.size() >= 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);

    Endpoint endpoint { std::string(host), 0 };
    auto const [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), endpoint.port);
    if (error != std::errc {} || end != portText.data() + portText.size() || endpoint.port == 0)
        return std::nullopt;
    if (!isAddress(endpoint.address, isBracketed ? AF_INET6 : AF_INET))
        return std::nullopt;
    return endpoint;
}

} // namespace Core
