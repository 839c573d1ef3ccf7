#pragma once

#include <LibConsensus/Message.h>
#include <LibCore/Result.h>

#include <string>
#include <string_view>

namespace Consensus {

/// The bytes are not a Cap'n Proto message, or exceed the limits on size, nesting or traversal.
struct MalformedEncoding { };
/// The message contains a union member that this version does not support.
struct UnknownVariant { };
/// A field has a value that no valid encoder produces.
struct InvalidField {
    /// The name of the field in `Consensus.capnp`.
    std::string_view field;
};
using DecodeError = std::variant<MalformedEncoding, UnknownVariant, InvalidField>;

std::string describe(DecodeError const&);

/// Maximum size of an encoded message in bytes (64 MiB). Longer input is rejected without being parsed.
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
