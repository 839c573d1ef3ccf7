#include <LibTelemetry/Hex.h>

namespace Telemetry {

namespace {

    constexpr std::size_t hexDigitsOf64Bits = 16;
    constexpr std::string_view digits = "0123456789abcdef";

} // namespace

std::string formatHex(std::uint64_t value)
{
    std::string text(hexDigitsOf64Bits, '0');
    for (auto position = text.rbegin(); position != text.rend(); ++position, value >>= 4)
        *position = digits[value & 15];
    return text;
}

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    if (text.empty() || text.size() > hexDigitsOf64Bits)
        return std::nullopt;
    std::uint64_t value = 0;
    for (auto const c : text) {
        auto const digit = digits.find(c);
        if (digit == std::string_view::npos)
            return std::nullopt;
        value = value << 4 | digit;
    }
    return value;
}

} // namespace Telemetry
