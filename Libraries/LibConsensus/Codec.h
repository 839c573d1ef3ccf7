#pragma once

#include <LibConsensus/Message.h>
#include <LibCore/Result.h>

#include <string>
#include <string_view>

namespace Consensus {

/// The bytes are not a Cap'n Proto message, or exceed the limits on size, nesting or traversal.
struct DamagedEncoding { };
/// A union holds a member that this version does not know.
struct UnknownVariant { };
/// A field has a value that no sender produces.
struct InvalidField {
    /// Name of the field in `Consensus.capnp`.
    std::string_view field;
};
using DecodeError = std::variant<DamagedEncoding, UnknownVariant, InvalidField>;

std::string describe(DecodeError const&);

/// Longer input is refused before it is read.
inline constexpr std::size_t maxEncodedBytes = std::size_t { 64 } << 20;

std::string encodeMessage(Message const&);
Core::Result<Message, DecodeError> decodeMessage(std::string_view);

std::string encodeEntry(LogEntry const&);
Core::Result<LogEntry, DecodeError> decodeEntry(std::string_view);

std::string encodeHardState(HardState const&);
Core::Result<HardState, DecodeError> decodeHardState(std::string_view);

std::string encodeSnapshotMetadata(SnapshotMetadata const&);
Core::Result<SnapshotMetadata, DecodeError> decodeSnapshotMetadata(std::string_view);

} // namespace Consensus
