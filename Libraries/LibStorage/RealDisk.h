#pragma once

#include <LibStorage/Disk.h>

namespace Storage {

/// A directory of the file system.
class RealDisk final : public DiskInterface {
public:
    explicit RealDisk(std::string directory);

    Core::Result<Core::Void, DiskError> createDirectory() override;
    Core::Result<std::unique_ptr<DirectoryLock>, DiskError> lock() override;
    Core::Result<std::vector<std::string>, DiskError> list() override;
    Core::Result<std::string, DiskError> read(std::string const& file) override;
    Core::Result<std::unique_ptr<DiskFile>, DiskError> open(std::string const& file, bool isNew) override;
    Core::Result<Core::Void, DiskError> rename(std::string const& from, std::string const& to) override;
    Core::Result<Core::Void, DiskError> remove(std::string const& file) override;
    Core::Result<Core::Void, DiskError> syncDirectory() override;

private:
    std::string pathOf(std::string const& file) const;

    std::string directory_;
};

} // namespace Storage
