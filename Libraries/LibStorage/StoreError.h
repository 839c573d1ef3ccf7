#pragma once

#include <LibCore/Identifiers.h>
#include <LibStorage/Disk.h>

#include <variant>

namespace Storage {

/// Another process uses the data directory.
struct DirectoryInUse { };
/// The data directory holds no store. A new one needs an explicit `Store::create`.
struct NotInitialized { };
/// The data directory already holds a store.
struct AlreadyInitialized { };
/// The data directory belongs to another cluster or host.
struct IdentityMismatch {
    Core::ClusterId expectedCluster;
    Core::ClusterId foundCluster;
    Core::HostName expectedHost;
    Core::HostName foundHost;
};

enum class CorruptionKind : std::uint8_t {
    /// Checksum, length or number of a record are wrong, and later writes followed it.
    DamagedRecord,
    DamagedFileHeader,
    DamagedSnapshot,
    DamagedIdentity,
    /// A record has a correct checksum and a content that cannot be decoded.
    UndecodableRecord,
    /// A file between two others is missing, or entries do not follow each other.
    MissingEntries,
};

std::string_view toString(CorruptionKind);

/// Stored data is damaged. Nothing is skipped or repaired: the host must be replaced.
struct Corruption {
    CorruptionKind kind { CorruptionKind::DamagedRecord };
    std::string file;
    /// Bytes from the start of the file.
    std::uint64_t offset { 0 };
};

/// Written by a version that this one does not read.
struct UnsupportedVersion {
    std::string file;
    std::uint32_t version { 0 };
};

using StoreError = std::variant<DiskError, DirectoryInUse, NotInitialized, AlreadyInitialized, IdentityMismatch,
    Corruption, UnsupportedVersion>;

/// Whether the cause is a disk that may take writes again later, so that it is worth waiting.
bool isTransient(StoreError const&);

/// A sentence for people. Programs use the type.
std::string describe(StoreError const&);

} // namespace Storage
