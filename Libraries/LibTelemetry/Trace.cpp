#include <LibTelemetry/Hex.h>
#include <LibTelemetry/Trace.h>

namespace Telemetry {

namespace {

    constexpr std::size_t version00Bytes = 55;
    constexpr std::size_t traceIdOffset = 3;
    constexpr std::size_t spanIdOffset = 36;
    constexpr std::size_t flagsOffset = 53;
    constexpr std::uint64_t sampledFlag = 1;
    constexpr std::uint32_t perMille = 1000;

    std::uint64_t nonZero(Core::Random& random)
    {
        auto const value = random.next();
        return value == 0 ? 1 : value;
    }

} // namespace

std::optional<TraceContext> TraceContext::parse(std::string_view text)
{
    if (text.size() < version00Bytes || text[2] != '-' || text[spanIdOffset - 1] != '-' || text[flagsOffset - 1] != '-')
        return std::nullopt;
    auto const version = parseHex(text.substr(0, 2));
    if (!version || *version == 0xff || (*version == 0 && text.size() != version00Bytes))
        return std::nullopt;
    if (text.size() > version00Bytes && text[version00Bytes] != '-')
        return std::nullopt;
    auto const high = parseHex(text.substr(traceIdOffset, 16));
    auto const low = parseHex(text.substr(traceIdOffset + 16, 16));
    auto const spanId = parseHex(text.substr(spanIdOffset, 16));
    auto const flags = parseHex(text.substr(flagsOffset, 2));
    if (!high || !low || !spanId || !flags || (*high == 0 && *low == 0) || *spanId == 0)
        return std::nullopt;
    return TraceContext { { *high, *low }, *spanId, (*flags & sampledFlag) != 0 };
}

std::string TraceContext::format() const
{
    return "00-" + formatHex(traceId.high) + formatHex(traceId.low) + "-" + formatHex(spanId)
        + (isSampled ? "-01" : "-00");
}

TraceContext TraceContext::start(Core::Random& random, std::uint32_t sampledPerMille)
{
    return { { random.next(), nonZero(random) }, nonZero(random), random.below(perMille) < sampledPerMille };
}

TraceContext TraceContext::child(Core::Random& random) const { return { traceId, nonZero(random), isSampled }; }

} // namespace Telemetry
