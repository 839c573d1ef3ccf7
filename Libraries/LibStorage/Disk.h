#pragma once

#include <LibCore/Result.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// The durable state of a control host: write-ahead log, snapshots and the identity of the data directory.
namespace Storage {

enum class DiskOperation : std::uint8_t {
    CreateDirectory,
    List,
    Open,
    Read,
    Write,
    Sync,
    SyncDirectory,
    Rename,
    Remove,
    Lock,
};

std::string_view toString(DiskOperation);

/// A system call failed.
struct DiskError {
    DiskOperation operation { DiskOperation::Open };
    /// Name within the data directory; empty for the directory itself.
    std::string file;
    /// The value of `errno`.
    int errorNumber { 0 };

    /// No space or quota left, or the file size limit was reached.
    bool isDiskFull() const;
    /// The change was refused for lack of space, so that what was durable before is unchanged. False for a sync, after
    /// which the content is unknown whatever the reason was.
    bool isRefusal() const;
};

/// An open file. Closed by the destructor, which does not sync.
class DiskFile {
public:
    virtual ~DiskFile() = default;

    /// Writes all bytes at the end of the file. After an error any part of them may have been written.
    virtual Core::Result<Core::Void, DiskError> append(std::string_view) = 0;
    /// Makes content and size durable. After an error the content is undefined and must not be used.
    virtual Core::Result<Core::Void, DiskError> sync() = 0;
};

/// Held by the one process that uses the data directory. Released by the destructor or the end of the process.
class DirectoryLock {
public:
    virtual ~DirectoryLock() = default;
};

/// The files of one data directory, without subdirectories. Creating, renaming and removing a file is durable only
/// after `syncDirectory`.
class DiskInterface {
public:
    virtual ~DiskInterface() = default;

    /// Creates the data directory if it is missing.
    virtual Core::Result<Core::Void, DiskError> createDirectory() = 0;
    /// Fails with `EWOULDBLOCK` when another process holds the lock.
    virtual Core::Result<std::unique_ptr<DirectoryLock>, DiskError> lock() = 0;
    /// Names of regular files, sorted.
    virtual Core::Result<std::vector<std::string>, DiskError> list() = 0;
    virtual Core::Result<std::string, DiskError> read(std::string const& file) = 0;
    /// Opens an existing file, or with `isNew` creates an empty one in place of any older one.
    virtual Core::Result<std::unique_ptr<DiskFile>, DiskError> open(std::string const& file, bool isNew) = 0;
    virtual Core::Result<Core::Void, DiskError> rename(std::string const& from, std::string const& to) = 0;
    virtual Core::Result<Core::Void, DiskError> remove(std::string const& file) = 0;
    virtual Core::Result<Core::Void, DiskError> syncDirectory() = 0;
};

} // namespace Storage
