#include <LibConfig/Units.h>

#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace Config {

namespace {

    using Unit = std::pair<std::string_view, std::uint64_t>;

    constexpr std::uint64_t nanosecondsPerSecond = 1'000'000'000;
    /// In increasing order.
    constexpr std::array<Unit, 7> durationTable { {
        { "ns", 1 },
        { "us", 1'000 },
        { "ms", 1'000'000 },
        { "s", nanosecondsPerSecond },
        { "min", 60ULL * nanosecondsPerSecond },
        { "h", 3600ULL * nanosecondsPerSecond },
        { "d", 24ULL * 3600 * nanosecondsPerSecond },
    } };
    constexpr std::array<Unit, 4> sizeTable { {
        { "B", 1 },
        { "KiB", 1ULL << 10 },
        { "MiB", 1ULL << 20 },
        { "GiB", 1ULL << 30 },
    } };

    std::pair<Quantity<std::uint64_t>, std::string_view> splitNumber(std::string_view text)
    {
        Quantity<std::uint64_t> number;
        auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), number.value);
        if (error == std::errc::result_out_of_range)
            number.error = UnitError::TooLarge;
        else if (error != std::errc {})
            number.error = UnitError::NotANumber;
        auto rest = text.substr(static_cast<std::size_t>(end - text.data()));
        rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
        return { number, rest };
    }

    template <std::size_t N>
    Quantity<std::uint64_t> parseWithUnit(
        std::string_view text, std::array<Unit, N> const& table, std::uint64_t maximum)
    {
        auto [number, suffix] = splitNumber(text);
        if (number.error)
            return number;
        for (auto const& [name, factor] : table) {
            if (suffix != name)
                continue;
            if (number.value > maximum / factor)
                return { 0, UnitError::TooLarge };
            return { number.value * factor, std::nullopt };
        }
        return { 0, UnitError::UnknownUnit };
    }

    template <std::size_t N> std::string formatWithUnit(std::uint64_t value, std::array<Unit, N> const& table)
    {
        auto best = table.front();
        for (auto const& unit : table) {
            if (value != 0 && value % unit.second == 0)
                best = unit;
        }
        return std::to_string(value / best.second) + std::string(best.first);
    }

} // namespace

Quantity<std::uint64_t> parseNumber(std::string_view text)
{
    auto const [number, suffix] = splitNumber(text);
    if (!number.error && !suffix.empty())
        return { 0, UnitError::NotANumber };
    return number;
}

Quantity<Core::Duration> parseDuration(std::string_view text)
{
    auto const maximum = static_cast<std::uint64_t>(std::numeric_limits<Core::Duration::rep>::max());
    auto const nanoseconds = parseWithUnit(text, durationTable, maximum);
    return { Core::Duration(static_cast<Core::Duration::rep>(nanoseconds.value)), nanoseconds.error };
}

Quantity<std::uint64_t> parseSize(std::string_view text)
{
    return parseWithUnit(text, sizeTable, std::numeric_limits<std::uint64_t>::max());
}

std::string formatDuration(Core::Duration duration)
{
    return formatWithUnit(static_cast<std::uint64_t>(duration.count()), durationTable);
}

std::string formatSize(std::uint64_t bytes) { return formatWithUnit(bytes, sizeTable); }

} // namespace Config
