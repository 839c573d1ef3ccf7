#include <LibTelemetry/UsageStore.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

namespace Telemetry {

namespace {

    constexpr std::int64_t millisecondsPerHour = 3'600'000;
    constexpr std::int64_t millisecondsPerDay = 24 * millisecondsPerHour;
    constexpr std::string_view prefix = "usage-";
    constexpr std::string_view suffix = ".log";

    using Status = Core::Result<Core::Void, UsageIoFailed>;

    std::int64_t dayOf(std::int64_t milliseconds) { return milliseconds / millisecondsPerDay; }

    template <typename T> bool takeNumber(std::string_view& text, T& number)
    {
        auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        text.remove_prefix(static_cast<std::size_t>(end - text.data()));
        return error == std::errc {};
    }

    bool writeAll(int file, std::string_view data)
    {
        while (!data.empty()) {
            auto const written = ::write(file, data.data(), data.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written <= 0)
                return false;
            data.remove_prefix(static_cast<std::size_t>(written));
        }
        return true;
    }

    std::string formatLines(std::span<UsageBatch const> batches)
    {
        std::string lines;
        for (auto const& batch : batches)
            lines += formatUsageBatch(batch) + "\n";
        return lines;
    }

    Core::Result<std::string, UsageIoFailed> readWhole(std::string const& path)
    {
        errno = 0;
        std::ifstream stream(path, std::ios::binary);
        std::ostringstream content;
        if (!stream)
            return UsageIoFailed { path, errno };
        if (stream.peek() != std::ifstream::traits_type::eof())
            content << stream.rdbuf();
        if (stream.bad() || content.fail())
            return UsageIoFailed { path, errno };
        return content.str();
    }

    /// Reads complete records. An incomplete one at the end is left out; it was never acknowledged.
    void parseRecords(std::string_view content, UsageReadResult& result)
    {
        for (auto end = content.find('\n'); end != std::string_view::npos; end = content.find('\n')) {
            if (auto batch = parseUsageBatch(content.substr(0, end)))
                result.batches.push_back(std::move(*batch));
            else
                ++result.corruptRecords;
            content.remove_prefix(end + 1);
        }
    }

} // namespace

Core::Result<std::unique_ptr<UsageStore>, UsageIoFailed> UsageStore::open(UsageStoreSettings settings)
{
    std::unique_ptr<UsageStore> store(new UsageStore(std::move(settings)));
    std::error_code error;
    auto const& folder = store->settings_.folder;
    std::filesystem::create_directories(folder, error);
    if (error)
        return UsageIoFailed { folder, error.value() };
    // Files of the newest two days may have completed hours that are not merged yet.
    auto const files = TRY(store->listFiles());
    for (auto const& file : files) {
        auto const bytes = std::filesystem::file_size(store->pathOf(file), error);
        auto const isRecent = file.day + 1 >= files.back().day;
        store->compactedBytes_[file] = error || isRecent ? 0 : bytes;
    }
    return store;
}

UsageStore::UsageStore(UsageStoreSettings settings)
    : settings_(std::move(settings))
{
}

UsageStore::~UsageStore() { closeFile(); }

void UsageStore::closeFile()
{
    if (file_ >= 0)
        ::close(std::exchange(file_, -1));
}

UsageIoFailed UsageStore::failure(std::string path)
{
    UsageIoFailed failed { std::move(path), errno };
    closeFile();
    needsNewGeneration_ = true;
    return failed;
}

std::string UsageStore::pathOf(FileName const& name) const
{
    return settings_.folder + "/" + std::string(prefix) + std::to_string(name.day) + "-"
        + std::to_string(name.generation) + std::string(suffix);
}

Core::Result<std::vector<UsageStore::FileName>, UsageIoFailed> UsageStore::listFiles() const
{
    std::error_code error;
    std::vector<FileName> files;
    for (auto const& entry : std::filesystem::directory_iterator(settings_.folder, error)) {
        auto const name = entry.path().filename().string();
        std::string_view rest = name;
        if (!rest.starts_with(prefix))
            continue;
        rest.remove_prefix(prefix.size());
        FileName file;
        auto const hasDay = takeNumber(rest, file.day) && rest.starts_with('-');
        rest.remove_prefix(hasDay ? 1 : 0);
        if (hasDay && takeNumber(rest, file.generation) && rest == suffix)
            files.push_back(file);
    }
    if (error)
        return UsageIoFailed { settings_.folder, error.value() };
    std::ranges::sort(files);
    return files;
}

Status UsageStore::syncFolder() const
{
    auto const folder = ::open(settings_.folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0)
        return UsageIoFailed { settings_.folder, errno };
    auto const failed = ::fsync(folder) != 0;
    auto const errorNumber = errno;
    ::close(folder);
    if (failed)
        return UsageIoFailed { settings_.folder, errorNumber };
    return Core::Void {};
}

Status UsageStore::openFile(std::int64_t day)
{
    if (file_ >= 0 && openName_.day == day && !needsNewGeneration_)
        return Core::Void {};
    closeFile();
    FileName name { day, 0 };
    for (auto const& file : TRY(listFiles())) {
        if (file.day == day)
            name.generation = file.generation + (needsNewGeneration_ ? 1 : 0);
    }
    file_ = ::open(pathOf(name).c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0640);
    if (file_ < 0)
        return failure(pathOf(name));
    openName_ = name;
    needsNewGeneration_ = false;
    compactedBytes_.try_emplace(name, 0);
    if (auto status = syncFolder(); status.isError()) {
        needsNewGeneration_ = true;
        return status;
    }
    return truncateTornTail();
}

Status UsageStore::truncateTornTail()
{
    auto const path = pathOf(openName_);
    auto const content = TRY(readWhole(path));
    auto const lastNewline = content.rfind('\n');
    auto const complete = lastNewline == std::string::npos ? 0 : lastNewline + 1;
    if (complete == content.size())
        return Core::Void {};
    if (::ftruncate(file_, static_cast<off_t>(complete)) != 0)
        return failure(path);
    truncatedBytes_ += content.size() - complete;
    return Core::Void {};
}

Status UsageStore::appendToOpenFile(std::string_view lines)
{
    if (!writeAll(file_, lines) || ::fdatasync(file_) != 0)
        return failure(pathOf(openName_));
    return Core::Void {};
}

Status UsageStore::append(std::span<UsageBatch const> batches)
{
    std::map<std::int64_t, std::vector<UsageBatch>> byDay;
    for (auto const& batch : batches)
        byDay[dayOf(batch.wallMilliseconds)].push_back(batch);
    for (auto const& [day, ofDay] : byDay) {
        TRY(openFile(day));
        TRY(appendToOpenFile(formatLines(ofDay)));
    }
    return Core::Void {};
}

Status UsageStore::maintain(std::int64_t nowMilliseconds)
{
    auto const oldestKept = dayOf(nowMilliseconds - Core::toMilliseconds(settings_.retention));
    auto const files = TRY(listFiles());
    for (auto const& file : files) {
        if (file.day < oldestKept) {
            compactedBytes_.erase(file);
            if (::unlink(pathOf(file).c_str()) != 0)
                return UsageIoFailed { pathOf(file), errno };
        } else if (shouldCompact(file, files, nowMilliseconds)) {
            TRY(compact(file, nowMilliseconds));
        }
    }
    return Core::Void {};
}

bool UsageStore::shouldCompact(FileName const& file, std::span<FileName const> files, std::int64_t nowMilliseconds)
{
    // Several generations may hold the same batches, and merged batches that overlap in part cannot be told apart.
    auto const generations = std::ranges::count(files, file.day, &FileName::day);
    std::error_code error;
    auto const bytes = std::filesystem::file_size(pathOf(file), error);
    if (error || generations > 1)
        return false;
    auto const growth = bytes - std::min(bytes, compactedBytes_[file]);
    auto const isPastDay = file.day < dayOf(nowMilliseconds - millisecondsPerHour);
    return growth > settings_.compactAfterBytes || (isPastDay && growth > 0);
}

Status UsageStore::compact(FileName const& file, std::int64_t nowMilliseconds)
{
    UsageReadResult content;
    auto const path = pathOf(file);
    parseRecords(TRY(readWhole(path)), content);
    // A file with damaged records stays as it is, so that they can be examined.
    if (content.corruptRecords > 0) {
        std::error_code error;
        compactedBytes_[file] = std::filesystem::file_size(path, error);
        return Core::Void {};
    }
    auto const currentHour = nowMilliseconds / millisecondsPerHour * millisecondsPerHour;
    auto const isComplete = [&](UsageBatch const& batch) { return batch.wallMilliseconds < currentHour; };
    // clang-tidy 14 cannot parse the subrange that std::ranges::stable_partition returns.
    auto const firstOpen = std::stable_partition(content.batches.begin(), content.batches.end(), isComplete);
    std::vector<UsageBatch> const open(firstOpen, content.batches.end());
    content.batches.erase(firstOpen, content.batches.end());
    auto const lines = formatLines(mergeWithinHours(std::move(content.batches))) + formatLines(open);

    if (openName_ == file)
        closeFile();
    auto const temporary = path + ".tmp";
    auto const target = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0640);
    if (target < 0)
        return UsageIoFailed { temporary, errno };
    auto const written = writeAll(target, lines) && ::fsync(target) == 0;
    auto const errorNumber = errno;
    ::close(target);
    if (!written)
        return UsageIoFailed { temporary, errorNumber };
    if (::rename(temporary.c_str(), path.c_str()) != 0)
        return UsageIoFailed { path, errno };
    compactedBytes_[file] = lines.size();
    return syncFolder();
}

Core::Result<UsageReadResult, UsageIoFailed> UsageStore::read(
    std::int64_t fromMilliseconds, std::int64_t toMilliseconds) const
{
    UsageReadResult result;
    for (auto const& file : TRY(listFiles())) {
        if (file.day < dayOf(fromMilliseconds) || file.day > dayOf(toMilliseconds))
            continue;
        parseRecords(TRY(readWhole(pathOf(file))), result);
    }
    std::erase_if(result.batches, [&](UsageBatch const& batch) {
        return batch.wallMilliseconds < fromMilliseconds || batch.wallMilliseconds >= toMilliseconds;
    });
    result.batches = withoutRepeatedBatches(std::move(result.batches));
    return result;
}

} // namespace Telemetry
