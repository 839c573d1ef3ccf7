#pragma once

#include <LibControl/Command.h>
#include <LibCore/Result.h>

#include <cstddef>
#include <span>

namespace Control {

/// Maximum length of an encoded command, in bytes.
inline constexpr std::size_t maxCommandBytes = 16UL * 1024 * 1024;
/// Maximum length of a name, address or key in a command, in bytes.
inline constexpr std::size_t maxNameBytes = 1024;

enum class DecodeErrorKind : std::uint8_t {
    /// The input is empty, longer than the limit, or not a whole number of 8-byte words.
    InvalidLength,
    /// The input is not a Cap'n Proto message, is truncated, or exceeds the traversal limit.
    Malformed,
    /// A union has a variant that this version does not know.
    UnknownVariant,
    /// A number or enumeration value is out of range, or a text is too long.
    ValueOutOfRange,
    /// The snapshot has another format version.
    UnsupportedVersion,
    /// The snapshot violates an invariant of the state.
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
