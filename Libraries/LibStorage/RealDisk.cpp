#include <LibStorage/RealDisk.h>

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace Storage {

namespace {

    constexpr mode_t directoryMode = 0750;
    constexpr mode_t fileMode = 0640;

    DiskError lastError(DiskOperation operation, std::string file) { return { operation, std::move(file), errno }; }

    class Descriptor {
    public:
        explicit Descriptor(int number)
            : number_(number)
        {
        }
        ~Descriptor()
        {
            if (number_ >= 0)
                ::close(number_);
        }
        Descriptor(Descriptor&& other) noexcept
            : number_(std::exchange(other.number_, -1))
        {
        }
        Descriptor& operator=(Descriptor&&) = delete;

        bool isOpen() const { return number_ >= 0; }
        int number() const { return number_; }

    private:
        int number_;
    };

    class RealFile final : public DiskFile {
    public:
        RealFile(Descriptor descriptor, std::string name)
            : descriptor_(std::move(descriptor))
            , name_(std::move(name))
        {
        }

        Core::Result<Core::Void, DiskError> append(std::string_view bytes) override
        {
            while (!bytes.empty()) {
                auto const written = ::write(descriptor_.number(), bytes.data(), bytes.size());
                if (written < 0 && errno == EINTR)
                    continue;
                if (written < 0)
                    return lastError(DiskOperation::Write, name_);
                bytes.remove_prefix(static_cast<std::size_t>(written));
            }
            return Core::Void {};
        }

        Core::Result<Core::Void, DiskError> sync() override
        {
            if (::fsync(descriptor_.number()) != 0)
                return lastError(DiskOperation::Sync, name_);
            return Core::Void {};
        }

    private:
        Descriptor descriptor_;
        std::string name_;
    };

    class RealLock final : public DirectoryLock {
    public:
        explicit RealLock(Descriptor descriptor)
            : descriptor_(std::move(descriptor))
        {
        }

    private:
        Descriptor descriptor_;
    };

} // namespace

RealDisk::RealDisk(std::string directory)
    : directory_(std::move(directory))
{
}

std::string RealDisk::pathOf(std::string const& file) const { return directory_ + "/" + file; }

Core::Result<Core::Void, DiskError> RealDisk::createDirectory()
{
    if (::mkdir(directory_.c_str(), directoryMode) != 0 && errno != EEXIST)
        return lastError(DiskOperation::CreateDirectory, {});
    // The new name is durable only once the parent directory is synced.
    auto const slash = directory_.find_last_of('/');
    auto const parent = slash == std::string::npos ? "." : directory_.substr(0, std::max<std::size_t>(slash, 1));
    Descriptor const descriptor(::open(parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!descriptor.isOpen() || ::fsync(descriptor.number()) != 0)
        return lastError(DiskOperation::CreateDirectory, {});
    return Core::Void {};
}

Core::Result<std::unique_ptr<DirectoryLock>, DiskError> RealDisk::lock()
{
    Descriptor descriptor(::open(directory_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!descriptor.isOpen() || ::flock(descriptor.number(), LOCK_EX | LOCK_NB) != 0)
        return lastError(DiskOperation::Lock, {});
    return std::unique_ptr<DirectoryLock>(std::make_unique<RealLock>(std::move(descriptor)));
}

Core::Result<std::vector<std::string>, DiskError> RealDisk::list()
{
    std::unique_ptr<DIR, int (*)(DIR*)> const directory(::opendir(directory_.c_str()), ::closedir);
    if (!directory)
        return lastError(DiskOperation::List, {});
    std::vector<std::string> names;
    while (true) {
        errno = 0;
        // The stream is not shared with another thread.
        auto const* entry = ::readdir(directory.get()); // NOLINT(concurrency-mt-unsafe)
        if (!entry)
            break;
        if (entry->d_type == DT_REG || entry->d_type == DT_UNKNOWN)
            names.emplace_back(entry->d_name);
    }
    if (errno != 0)
        return lastError(DiskOperation::List, {});
    std::erase_if(names, [](auto const& name) { return name == "." || name == ".."; });
    std::ranges::sort(names);
    return names;
}

Core::Result<std::string, DiskError> RealDisk::read(std::string const& file)
{
    Descriptor const descriptor(::open(pathOf(file).c_str(), O_RDONLY | O_CLOEXEC));
    struct stat status { };
    if (!descriptor.isOpen() || ::fstat(descriptor.number(), &status) != 0)
        return lastError(DiskOperation::Open, file);
    std::string bytes(static_cast<std::size_t>(status.st_size), '\0');
    std::size_t size = 0;
    while (size < bytes.size()) {
        auto const count = ::read(descriptor.number(), bytes.data() + size, bytes.size() - size);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return lastError(DiskOperation::Read, file);
        if (count == 0)
            break;
        size += static_cast<std::size_t>(count);
    }
    bytes.resize(size);
    return bytes;
}

Core::Result<std::unique_ptr<DiskFile>, DiskError> RealDisk::open(std::string const& file, bool isNew)
{
    auto const flags = O_WRONLY | O_APPEND | O_CLOEXEC | (isNew ? O_CREAT | O_TRUNC : 0);
    Descriptor descriptor(::open(pathOf(file).c_str(), flags, fileMode));
    if (!descriptor.isOpen())
        return lastError(DiskOperation::Open, file);
    return std::unique_ptr<DiskFile>(std::make_unique<RealFile>(std::move(descriptor), file));
}

Core::Result<Core::Void, DiskError> RealDisk::rename(std::string const& from, std::string const& to)
{
    if (::rename(pathOf(from).c_str(), pathOf(to).c_str()) != 0)
        return lastError(DiskOperation::Rename, from);
    return Core::Void {};
}

Core::Result<Core::Void, DiskError> RealDisk::remove(std::string const& file)
{
    if (::unlink(pathOf(file).c_str()) != 0)
        return lastError(DiskOperation::Remove, file);
    return Core::Void {};
}

Core::Result<Core::Void, DiskError> RealDisk::syncDirectory()
{
    Descriptor const descriptor(::open(directory_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!descriptor.isOpen() || ::fsync(descriptor.number()) != 0)
        return lastError(DiskOperation::SyncDirectory, {});
    return Core::Void {};
}

} // namespace Storage
