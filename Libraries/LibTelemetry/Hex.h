#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Telemetry {

/// 16 lower-case hexadecimal digits.
std::string formatHex(std::uint64_t);
/// Lower-case digits only, 1 to 16 of them.
std::optional<std::uint64_t> parseHex(std::string_view);

} // namespace Telemetry
