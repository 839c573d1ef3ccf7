#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Net {

/// Compresses for a small link: fast rather than small.
std::string compress(std::string_view);

/// Empty for bytes that are not compressed, damaged, or longer than `maxBytes` once expanded.
std::optional<std::string> expand(std::string_view, std::size_t maxBytes);

} // namespace Net
