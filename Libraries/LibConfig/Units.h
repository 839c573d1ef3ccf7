#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Config {

/// Units of durations: `ns`, `us`, `ms`, `s`, `min`, `h`, `d`. Whole numbers only.
inline constexpr std::string_view durationUnits = "ns, us, ms, s, min, h, d";
/// Units of sizes: `B`, `KiB`, `MiB`, `GiB`. Whole numbers only.
inline constexpr std::string_view sizeUnits = "B, KiB, MiB, GiB";

enum class UnitError : std::uint8_t { NotANumber, UnknownUnit, TooLarge };

template <typename T> struct Quantity {
    T value {};
    std::optional<UnitError> error;
};

Quantity<std::uint64_t> parseNumber(std::string_view);
Quantity<Core::Duration> parseDuration(std::string_view);
Quantity<std::uint64_t> parseSize(std::string_view);

/// The largest unit that represents the value exactly.
std::string formatDuration(Core::Duration);
std::string formatSize(std::uint64_t bytes);

} // namespace Config
