#pragma once

#include <LibStorage/StoreError.h>

#include <functional>

namespace Storage {

/// Content of a file that is written as a whole: magic number, version, length and XXH64, then the payload.
std::string encodeFrame(std::string_view payload);
/// What precedes the payload in a framed file.
std::string encodeFrameHeader(std::string_view payload);

/// The payload of a framed file. Damage is reported with the given kind and the file's name.
Core::Result<std::string_view, StoreError> decodeFrame(std::string_view bytes, std::string const& file, CorruptionKind);

/// Makes a file durable under its name as a whole or not at all: temporary name, sync, rename, sync of the directory.
Core::Result<Core::Void, DiskError> writeFileAtomically(
    DiskInterface&, std::string const& file, std::string_view bytes);

/// The same for content that is written in parts. An error of the writer leaves the file as it was.
Core::Result<Core::Void, DiskError> writeFileAtomically(
    DiskInterface&, std::string const& file, std::function<Core::Result<Core::Void, DiskError>(DiskFile&)> const&);

/// Ending of temporary names. Such files are removed when a store is opened.
inline constexpr std::string_view temporarySuffix = ".tmp";

} // namespace Storage
