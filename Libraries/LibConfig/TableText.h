#pragma once

#include <LibRouting/Pool.h>
#include <LibRouting/Route.h>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Config {

/// Bound for the host, path and header values of a route. Four times as many bytes, which quoting may need, fit a line.
inline constexpr std::size_t maxTableTextBytes = 1024;
inline constexpr std::uint64_t maxDispatchGroups = 1024;
inline constexpr std::size_t maxMethods = 32;

// In the order of the enumerators.
inline constexpr std::array<std::string_view, 2> poolKindWords { "key-partitioned", "any-server" };
inline constexpr std::array<std::string_view, 2> requestClassWords { "idempotent", "non-idempotent" };
inline constexpr std::array<std::string_view, 3> priorityWords { "bulk", "normal", "interactive" };

/// A token of RFC 9110: the form of methods and header names, up to 64 bytes.
bool isToken(std::string_view);

/// Plain text, or text in double quotes with the escapes `\\`, `\"` and `\xHH`.
std::optional<std::string> parseTableText(std::string_view);
/// Quoted only when the plain form would not be read back as it is.
std::string formatTableText(std::string_view);

std::optional<std::vector<std::string>> parseMethods(std::string_view);
std::string formatMethods(std::vector<std::string> const&);

std::optional<Routing::KeySource> parseKeySource(std::string_view);
std::string formatKeySource(Routing::KeySource const&);

} // namespace Config
