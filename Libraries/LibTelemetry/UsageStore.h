#pragma once

#include <LibCore/Result.h>
#include <LibTelemetry/Usage.h>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <variant>

namespace Telemetry {

struct UsageIoFailed {
    std::string path;
    int errorNumber { 0 };
};
/// A record before the tail of a segment has a wrong checksum.
struct UsageCorrupted {
    std::string path;
    std::uint64_t line { 0 };
};
using UsageStoreError = std::variant<UsageIoFailed, UsageCorrupted>;

struct UsageStoreSettings {
    /// Folder below the data directory. Created when missing.
    std::string folder;
    std::uint64_t segmentBytes { 16ULL * 1024 * 1024 };
    Core::Duration retention { std::chrono::hours(24 * 400) };
};

/// Append-only usage batches in segment files `usage-NNNNNNNN.log`. Used by an entry host for its own usage and by a
/// control host for the batches reported to it. Not synchronized.
class UsageStore {
public:
    /// Cuts off an incomplete record at the end of the last segment, which a crash during an append leaves.
    static Core::Result<std::unique_ptr<UsageStore>, UsageStoreError> open(UsageStoreSettings);
    ~UsageStore();

    UsageStore(UsageStore const&) = delete;
    UsageStore& operator=(UsageStore const&) = delete;

    /// Appends a batch; one that is already stored is skipped. Durable after `sync`.
    Core::Result<Core::Void, UsageStoreError> append(UsageBatch const&);
    Core::Result<Core::Void, UsageStoreError> sync();
    /// Removes segments whose newest batch is older than the retention.
    Core::Result<Core::Void, UsageStoreError> removeExpired(std::int64_t nowMilliseconds);

    /// All batches with `from <= time < to`.
    Core::Result<std::vector<UsageBatch>, UsageStoreError> read(
        std::int64_t fromMilliseconds, std::int64_t toMilliseconds) const;

    /// Bytes cut off when the store was opened.
    std::uint64_t truncatedBytes() const { return truncatedBytes_; }

private:
    struct Segment {
        std::uint64_t number { 0 };
        std::int64_t oldest { 0 };
        std::int64_t newest { 0 };
        bool isEmpty { true };
    };
    using Source = std::pair<std::string, std::uint64_t>;

    explicit UsageStore(UsageStoreSettings);
    std::string segmentPath(std::uint64_t number) const;
    Core::Result<Core::Void, UsageStoreError> loadSegments();
    Core::Result<Core::Void, UsageStoreError> loadSegment(Segment&, bool isLast);
    Core::Result<Core::Void, UsageStoreError> openSegment(std::uint64_t number);
    Core::Result<Core::Void, UsageStoreError> syncFolder() const;
    static void noteBatch(Segment&, UsageBatch const&);

    UsageStoreSettings settings_;
    std::vector<Segment> segments_;
    int file_ { -1 };
    std::uint64_t fileBytes_ { 0 };
    bool hasFailed_ { false };
    /// Sequence numbers stored, by source and incarnation, as ranges [first, last] keyed by first.
    std::map<Source, std::map<std::uint64_t, std::uint64_t>> stored_;
    std::uint64_t truncatedBytes_ { 0 };
};

struct UsageAccountSettings {
    UsageStoreSettings store;
    Core::HostName host;
    Core::Incarnation incarnation;
    /// A killed process loses at most the usage of this time plus the duration of one sync.
    Core::Duration syncInterval { std::chrono::seconds(5) };
    std::uint32_t maxKeys { 4096 };
    /// Batches kept for reports to the control hosts.
    std::uint32_t maxUnreportedBatches { 1024 };
};

/// The usage of one process: counts, writes and syncs from a thread of its own, and hands out batches for reports.
/// Thread-safe.
class UsageAccount {
public:
    static Core::Result<std::unique_ptr<UsageAccount>, UsageStoreError> open(UsageAccountSettings);
    /// Writes and syncs what was counted.
    ~UsageAccount();

    UsageAccount(UsageAccount const&) = delete;
    UsageAccount& operator=(UsageAccount const&) = delete;

    void add(UsageKey const&, UsageCounters const&);
    /// Writes and syncs now, also called by the thread at each interval.
    Core::Result<Core::Void, UsageStoreError> sync();

    /// Stores a batch that another host reported, at a control host.
    Core::Result<Core::Void, UsageStoreError> addReported(UsageBatch const&);
    /// The oldest batches that no control host has confirmed. They are durable here.
    std::vector<UsageBatch> unreportedBatches(std::size_t maxBatches) const;
    /// Forgets batches up to this sequence number.
    void confirmReported(std::uint64_t sequence);

    /// Usage of all sources in this store.
    Core::Result<std::vector<UsageRow>, UsageStoreError> query(
        std::int64_t fromMilliseconds, std::int64_t toMilliseconds, UsageGrouping);
    /// Whether the last sync failed. Counting goes on in memory and the next sync retries with a new segment.
    bool hasFailed() const;
    std::uint64_t boundedAdds() const;

private:
    UsageAccount(UsageAccountSettings, std::unique_ptr<UsageStore>);
    void run();

    UsageAccountSettings settings_;
    mutable std::mutex countMutex_;
    UsageCounter counter_;
    mutable std::mutex storeMutex_;
    std::unique_ptr<UsageStore> store_;
    std::uint64_t nextSequence_ { 1 };
    std::vector<UsageBatch> unreported_;
    bool hasFailed_ { false };
    std::mutex threadMutex_;
    std::condition_variable wakeThread_;
    bool isStopping_ { false };
    std::thread thread_;
};

} // namespace Telemetry
