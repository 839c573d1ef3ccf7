#pragma once

#include <LibControl/Command.h>
#include <LibCore/Result.h>

#include <cstddef>
#include <span>

namespace Control {

/// Longest accepted encoded command.
inline constexpr std::size_t maxCommandBytes = 16UL * 1024 * 1024;
/// Longest accepted name, address or key in a command.
inline constexpr std::size_t maxNameBytes = 1024;

enum class DecodeErrorKind : std::uint8_t {
    /// Empty, not a whole number of words, or longer than the bound.
    InvalidLength,
    /// Not a Cap'n Proto message, truncated, or beyond the traversal limit.
    Malformed,
    /// A union or enumeration value that this version does not know.
    UnknownVariant,
    /// A number or text out of its range.
    ValueOutOfRange,
    /// A snapshot of another format version.
    UnsupportedVersion,
    /// A snapshot that breaks a rule of the state.
    Inconsistent,
};
struct DecodeError {
    DecodeErrorKind kind { DecodeErrorKind::Malformed };

    bool operator==(DecodeError const&) const = default;
};

using Bytes = std::vector<std::byte>;

Bytes encodeCommand(Command const&);
Core::Result<Command, DecodeError> decodeCommand(std::span<std::byte const>);

} // namespace Control
