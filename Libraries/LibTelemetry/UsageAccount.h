#pragma once

#include <LibTelemetry/UsageStore.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace Telemetry {

struct UsageAccountSettings {
    UsageStoreSettings store;
    Core::HostName host;
    /// Must differ from that of every earlier run of this host.
    Core::Incarnation incarnation;
    /// A killed process loses the usage of at most this time plus the duration of one sync.
    Core::Duration syncInterval { std::chrono::seconds(5) };
    std::uint32_t maxKeys { 4096 };
};

/// The usage of one process: counts, writes and syncs from a thread of its own, and hands out batches for reports to
/// the control hosts, where they outlive this host. Thread-safe.
class UsageAccount {
public:
    static Core::Result<std::unique_ptr<UsageAccount>, UsageIoFailed> open(UsageAccountSettings);
    /// Writes and syncs what was counted.
    ~UsageAccount();

    UsageAccount(UsageAccount const&) = delete;
    UsageAccount& operator=(UsageAccount const&) = delete;

    void add(UsageKey const&, UsageCounters const&);
    /// Writes and syncs now. Called by the thread at each interval. After a failure the usage stays in memory and the
    /// next call tries again.
    Core::Result<Core::Void, UsageIoFailed> sync();

    /// Stores batches that another host reported, at a control host. Durable when this returns without an error.
    Core::Result<Core::Void, UsageIoFailed> addReported(std::span<UsageBatch const>);
    /// Durable batches of this host, oldest first, that were not confirmed, including those of an earlier run from the
    /// last day. Sending one twice does no harm.
    std::vector<UsageBatch> unreportedBatches(std::size_t maxBatches) const;
    /// Called when a control host has stored these batches.
    void confirmReported(std::span<UsageBatchId const>);

    struct QueryResult {
        std::vector<UsageRow> rows;
        std::uint64_t corruptRecords { 0 };
    };
    /// Usage of all sources in this store, `from <= time < to` in milliseconds since the Unix epoch. The resolution is
    /// the sync interval, and one hour for hours that were merged.
    Core::Result<QueryResult, UsageIoFailed> query(
        std::int64_t fromMilliseconds, std::int64_t toMilliseconds, UsageGrouping);

    /// The failure of the last sync, if it failed.
    std::optional<UsageIoFailed> lastFailure() const;
    std::uint64_t boundedAdds() const;
    std::uint64_t truncatedBytes() const;

private:
    UsageAccount(UsageAccountSettings, std::unique_ptr<UsageStore>);
    Core::Result<Core::Void, UsageIoFailed> loadUnreported();
    Core::Result<Core::Void, UsageIoFailed> syncLocked();
    void keepUnreported(UsageBatch);
    void run();

    UsageAccountSettings settings_;
    mutable std::mutex countMutex_;
    UsageCounter counter_;

    /// Taken before `countMutex_`.
    mutable std::mutex storeMutex_;
    std::unique_ptr<UsageStore> store_;
    std::uint64_t nextSequence_ { 1 };
    /// Taken from the counter, not durable yet.
    std::optional<UsageBatch> pending_;
    std::vector<UsageBatch> unreported_;
    std::optional<UsageIoFailed> lastFailure_;
    /// Wall-clock time in milliseconds.
    std::int64_t lastMaintained_ { 0 };

    std::mutex threadMutex_;
    std::condition_variable wakeThread_;
    bool isStopping_ { false };
    std::thread thread_;
};

} // namespace Telemetry
