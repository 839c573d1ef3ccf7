#include <LibStorage/StoreError.h>

#include <cerrno>
#include <system_error>

namespace Storage {

std::string_view toString(CorruptionKind kind)
{
    switch (kind) {
    case CorruptionKind::DamagedRecord:
        return "damaged record";
    case CorruptionKind::DamagedFileHeader:
        return "damaged file header";
    case CorruptionKind::DamagedSnapshot:
        return "damaged snapshot";
    case CorruptionKind::DamagedIdentity:
        return "damaged identity";
    case CorruptionKind::UndecodableRecord:
        return "undecodable record";
    case CorruptionKind::MissingEntries:
        return "missing entries";
    }
    return "unknown";
}

bool isTransient(StoreError const& error)
{
    auto const* const disk = std::get_if<DiskError>(&error);
    return disk && (disk->isDiskFull() || disk->errorNumber == EIO);
}

std::string describe(StoreError const& error)
{
    return std::visit(
        Core::Overloaded {
            [](DiskError const& disk) {
                return "cannot " + std::string(toString(disk.operation)) + " " + disk.file + ": "
                    + std::generic_category().message(disk.errorNumber);
            },
            [](DirectoryInUse const&) { return std::string("another process uses the data directory"); },
            [](NotInitialized const&) { return std::string("the data directory holds no store"); },
            [](AlreadyInitialized const&) { return std::string("the data directory already holds a store"); },
            [](IdentityMismatch const& mismatch) {
                return "the data directory belongs to cluster " + mismatch.foundCluster.value + ", host "
                    + mismatch.foundHost.value + ", not to cluster " + mismatch.expectedCluster.value + ", host "
                    + mismatch.expectedHost.value;
            },
            [](Corruption const& corruption) {
                return std::string(toString(corruption.kind)) + " in " + corruption.file + " at offset "
                    + std::to_string(corruption.offset);
            },
            [](UnsupportedVersion const& version) {
                return version.file + " has version " + std::to_string(version.version);
            },
        },
        error);
}

} // namespace Storage
