#pragma once

#include <LibCore/Result.h>
#include <LibTelemetry/Usage.h>

#include <memory>

namespace Telemetry {

struct UsageIoFailed {
    std::string path;
    int errorNumber { 0 };
};

struct UsageStoreSettings {
    /// Folder below the data directory. Created when missing.
    std::string folder;
    /// Growth of a day's file after which its completed hours are merged.
    std::uint64_t compactAfterBytes { 16ULL * 1024 * 1024 };
    Core::Duration retention { std::chrono::hours(24 * 400) };
};

struct UsageReadResult {
    /// Without repetitions.
    std::vector<UsageBatch> batches;
    /// Records with a wrong checksum. They are left out.
    std::uint64_t corruptRecords { 0 };
};

/// Append-only usage batches, one file for each UTC day of the batches' time: `usage-DAY-GENERATION.log`, where DAY
/// counts from 1970. Used by an entry host for its own usage and by a control host for the batches reported to it. Not
/// synchronized.
class UsageStore {
public:
    static Core::Result<std::unique_ptr<UsageStore>, UsageIoFailed> open(UsageStoreSettings);
    ~UsageStore();

    UsageStore(UsageStore const&) = delete;
    UsageStore& operator=(UsageStore const&) = delete;

    /// Appends batches and syncs them. After a failure nothing is assumed of the file: the next append begins a new
    /// generation, and the caller appends the same batches again.
    Core::Result<Core::Void, UsageIoFailed> append(std::span<UsageBatch const>);

    /// Merges the completed hours of files that have grown, and removes files past the retention.
    Core::Result<Core::Void, UsageIoFailed> maintain(std::int64_t nowMilliseconds);

    /// All batches with `from <= time < to`.
    Core::Result<UsageReadResult, UsageIoFailed> read(std::int64_t fromMilliseconds, std::int64_t toMilliseconds) const;

    /// Bytes of incomplete records, as a crash during an append leaves them, that were cut off.
    std::uint64_t truncatedBytes() const { return truncatedBytes_; }

private:
    struct FileName {
        std::int64_t day { 0 };
        std::uint32_t generation { 0 };

        auto operator<=>(FileName const&) const = default;
    };

    explicit UsageStore(UsageStoreSettings);
    std::string pathOf(FileName const&) const;
    Core::Result<std::vector<FileName>, UsageIoFailed> listFiles() const;
    Core::Result<Core::Void, UsageIoFailed> openFile(std::int64_t day);
    Core::Result<Core::Void, UsageIoFailed> truncateTornTail();
    Core::Result<Core::Void, UsageIoFailed> appendToOpenFile(std::string_view lines);
    bool shouldCompact(FileName const&, std::span<FileName const>, std::int64_t nowMilliseconds);
    Core::Result<Core::Void, UsageIoFailed> compact(FileName const&, std::int64_t nowMilliseconds);
    Core::Result<Core::Void, UsageIoFailed> syncFolder() const;
    UsageIoFailed failure(std::string path);
    void closeFile();

    UsageStoreSettings settings_;
    FileName openName_;
    int file_ { -1 };
    bool needsNewGeneration_ { false };
    std::uint64_t truncatedBytes_ { 0 };
    /// Size of each file after its last compaction.
    std::map<FileName, std::uint64_t> compactedBytes_;
};

} // namespace Telemetry
