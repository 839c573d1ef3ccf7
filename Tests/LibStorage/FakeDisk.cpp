#include "FakeDisk.h"

#include <algorithm>
#include <cerrno>

namespace Test {

using Storage::DiskError;
using Storage::DiskOperation;

namespace {

    constexpr std::size_t sectorBytes = 64;

} // namespace

class FakeDisk::File final : public Storage::DiskFile {
public:
    File(FakeDisk& disk, std::string name, std::shared_ptr<Inode> inode)
        : disk_(disk)
        , name_(std::move(name))
        , inode_(std::move(inode))
    {
    }

    Core::Result<Core::Void, DiskError> append(std::string_view bytes) override
    {
        if (!disk_.countOperation())
            return DiskError { DiskOperation::Write, name_, EIO };
        auto const fitting = std::min<std::uint64_t>(bytes.size(), disk_.freeBytes_.value_or(bytes.size()));
        inode_->content += bytes.substr(0, fitting);
        if (disk_.freeBytes_)
            *disk_.freeBytes_ -= fitting;
        if (fitting < bytes.size())
            return DiskError { DiskOperation::Write, name_, ENOSPC };
        return Core::Void {};
    }

    Core::Result<Core::Void, DiskError> sync() override { return disk_.sync(name_, *inode_); }

private:
    FakeDisk& disk_;
    std::string name_;
    std::shared_ptr<Inode> inode_;
};

class FakeDisk::Lock final : public Storage::DirectoryLock {
public:
    explicit Lock(std::shared_ptr<bool> isLocked)
        : isLocked_(std::move(isLocked))
    {
        *isLocked_ = true;
    }
    ~Lock() override { *isLocked_ = false; }

private:
    std::shared_ptr<bool> isLocked_;
};

bool FakeDisk::countOperation()
{
    if (isDead())
        return false;
    ++operations_;
    return true;
}

Core::Result<Core::Void, DiskError> FakeDisk::createDirectory()
{
    exists_ = true;
    return Core::Void {};
}

Core::Result<std::unique_ptr<Storage::DirectoryLock>, DiskError> FakeDisk::lock()
{
    if (!exists_)
        return DiskError { DiskOperation::Lock, {}, ENOENT };
    if (*isLocked_)
        return DiskError { DiskOperation::Lock, {}, EWOULDBLOCK };
    return std::unique_ptr<Storage::DirectoryLock>(std::make_unique<Lock>(isLocked_));
}

Core::Result<std::vector<std::string>, DiskError> FakeDisk::list()
{
    std::vector<std::string> names;
    for (auto const& [name, inode] : names_)
        names.push_back(name);
    return names;
}

Core::Result<std::string, DiskError> FakeDisk::read(std::string const& file)
{
    auto const found = names_.find(file);
    if (found == names_.end())
        return DiskError { DiskOperation::Open, file, ENOENT };
    return found->second->content;
}

Core::Result<std::unique_ptr<Storage::DiskFile>, DiskError> FakeDisk::open(std::string const& file, bool isNew)
{
    if (isNew) {
        if (!countOperation())
            return DiskError { DiskOperation::Open, file, EIO };
        auto inode = std::make_shared<Inode>();
        names_[file] = inode;
        nameChanges_.push_back({ file, inode, std::nullopt });
    }
    auto const found = names_.find(file);
    if (found == names_.end())
        return DiskError { DiskOperation::Open, file, ENOENT };
    return std::unique_ptr<Storage::DiskFile>(std::make_unique<File>(*this, file, found->second));
}

Core::Result<Core::Void, DiskError> FakeDisk::rename(std::string const& from, std::string const& to)
{
    auto const found = names_.find(from);
    if (!countOperation() || found == names_.end())
        return DiskError { DiskOperation::Rename, from, isDead() ? EIO : ENOENT };
    nameChanges_.push_back({ to, found->second, from });
    names_[to] = found->second;
    names_.erase(from);
    return Core::Void {};
}

Core::Result<Core::Void, DiskError> FakeDisk::remove(std::string const& file)
{
    if (!countOperation() || names_.erase(file) == 0)
        return DiskError { DiskOperation::Remove, file, isDead() ? EIO : ENOENT };
    nameChanges_.push_back({ file, nullptr, std::nullopt });
    return Core::Void {};
}

Core::Result<Core::Void, DiskError> FakeDisk::syncDirectory()
{
    if (!countOperation())
        return DiskError { DiskOperation::SyncDirectory, {}, EIO };
    auto const number = syncs_++;
    if (failSyncAt_ == number)
        return DiskError { DiskOperation::SyncDirectory, {}, EIO };
    durableNames_ = names_;
    nameChanges_.clear();
    return Core::Void {};
}

Core::Result<Core::Void, DiskError> FakeDisk::sync(std::string const& name, Inode& inode)
{
    if (!countOperation())
        return DiskError { DiskOperation::Sync, name, EIO };
    auto const number = syncs_++;
    if (failSyncAt_ == number) {
        // The unsynced bytes stay readable until the host restarts, and are never written.
        inode.synced.resize(inode.content.size());
        return DiskError { DiskOperation::Sync, name, EIO };
    }
    auto const common = std::min(inode.synced.size(), inode.content.size());
    auto const isPrefix = inode.content.compare(0, common, inode.synced, 0, common) == 0;
    if (isPrefix)
        inode.synced = inode.content;
    else
        inode.synced.append(inode.content, common, std::string::npos);
    return Core::Void {};
}

std::string FakeDisk::afterCrash(Inode const& inode)
{
    auto const& content = inode.content;
    auto const& synced = inode.synced;
    auto const shorter = std::min(content.size(), synced.size());
    auto const longer = std::max(content.size(), synced.size());
    auto result = synced.substr(0, shorter);
    result.resize(shorter + random_.below(longer - shorter + 1));
    for (auto start = shorter; start < result.size(); start += sectorBytes) {
        auto const end = std::min(start + sectorBytes, result.size());
        auto const fate = random_.below(4);
        for (auto i = start; i < end; ++i) {
            if (i < synced.size())
                result[i] = synced[i];
            else if (fate == 0)
                result[i] = '\0';
            else if (fate == 1)
                result[i] = static_cast<char>(random_.below(256));
            else
                result[i] = content[i];
        }
    }
    return result;
}

void FakeDisk::crash()
{
    auto names = durableNames_;
    for (auto const& change : nameChanges_) {
        if (random_.below(2) == 0)
            continue;
        if (change.from)
            names.erase(*change.from);
        if (change.inode)
            names[change.name] = change.inode;
        else
            names.erase(change.name);
    }
    names_ = std::move(names);
    for (auto& [name, inode] : names_) {
        inode->content = afterCrash(*inode);
        inode->synced = inode->content;
    }
    durableNames_ = names_;
    nameChanges_.clear();
    dieAt_.reset();
}

std::string& FakeDisk::contentOf(std::string const& file) { return names_.at(file)->content; }

} // namespace Test
