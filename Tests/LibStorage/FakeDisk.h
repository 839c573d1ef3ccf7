#pragma once

#include <LibCore/Random.h>
#include <LibStorage/Disk.h>

#include <map>
#include <optional>

namespace Test {

/// A disk in memory that keeps apart what was written and what was synced. Survives the crash of the process that uses
/// it and then holds what was synced, plus random parts of what was not.
class FakeDisk final : public Storage::DiskInterface {
public:
    explicit FakeDisk(std::uint64_t seed)
        : random_(seed)
    {
    }

    Core::Result<Core::Void, Storage::DiskError> createDirectory() override;
    Core::Result<std::unique_ptr<Storage::DirectoryLock>, Storage::DiskError> lock() override;
    Core::Result<std::vector<std::string>, Storage::DiskError> list() override;
    Core::Result<std::string, Storage::DiskError> read(std::string const& file) override;
    Core::Result<std::unique_ptr<Storage::DiskFile>, Storage::DiskError> open(
        std::string const& file, bool isNew) override;
    Core::Result<Core::Void, Storage::DiskError> rename(std::string const& from, std::string const& to) override;
    Core::Result<Core::Void, Storage::DiskError> remove(std::string const& file) override;
    Core::Result<Core::Void, Storage::DiskError> syncDirectory() override;

    /// The host loses power: unsynced bytes are lost, kept, zeroed or garbled sector by sector, and unsynced changes of
    /// names are lost or kept one by one.
    void crash();
    /// Only the process ends: the page cache stays.
    void endProcess() { dieAt_.reset(); }

    /// The process dies before the given number of further changes and syncs: it and all later calls fail.
    void dieAfter(std::uint64_t operations) { dieAt_ = operations_ + operations; }
    bool isDead() const { return dieAt_ && operations_ >= *dieAt_; }
    /// The sync with this number from now on fails once, counted from 0, as Linux does it: the written pages count as
    /// clean afterwards, so a second sync would succeed without writing them.
    void failSyncAfter(std::uint64_t syncs) { failSyncAt_ = syncs_ + syncs; }
    /// Bytes that still fit on the disk.
    void setFreeBytes(std::optional<std::uint64_t> bytes) { freeBytes_ = bytes; }

    std::uint64_t syncs() const { return syncs_; }
    std::uint64_t operations() const { return operations_; }
    /// Content as a process reads it, to be damaged by a test. The change is durable.
    std::string& contentOf(std::string const& file);

private:
    struct Inode {
        std::string content;
        std::string synced;
    };
    using Names = std::map<std::string, std::shared_ptr<Inode>>;
    struct NameChange {
        std::string name;
        /// Empty for a removal.
        std::shared_ptr<Inode> inode;
        /// The name that a rename takes away.
        std::optional<std::string> from;
    };
    class File;
    class Lock;

    bool countOperation();
    Core::Result<Core::Void, Storage::DiskError> sync(std::string const& name, Inode&);
    std::string afterCrash(Inode const&);

    Core::Random random_;
    bool exists_ { false };
    Names names_;
    Names durableNames_;
    std::vector<NameChange> nameChanges_;
    std::shared_ptr<bool> isLocked_ { std::make_shared<bool>(false) };
    std::uint64_t operations_ { 0 };
    std::uint64_t syncs_ { 0 };
    std::optional<std::uint64_t> dieAt_;
    std::optional<std::uint64_t> failSyncAt_;
    std::optional<std::uint64_t> freeBytes_;
};

} // namespace Test
