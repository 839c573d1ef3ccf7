#include <LibTelemetry/UsageAccount.h>

#include <algorithm>
#include <utility>

namespace Telemetry {

namespace {

    constexpr std::int64_t millisecondsPerDay = 24LL * 3600 * 1000;
    /// Milliseconds.
    constexpr std::int64_t maintenanceInterval = 60'000;
    /// Beyond this, consecutive batches are merged, so that an outage of the control hosts needs little memory.
    constexpr std::size_t maxSeparateUnreported = 256;

} // namespace

Core::Result<std::unique_ptr<UsageAccount>, UsageIoFailed> UsageAccount::open(UsageAccountSettings settings)
{
    auto store = TRY(UsageStore::open(settings.store));
    std::unique_ptr<UsageAccount> account(new UsageAccount(std::move(settings), std::move(store)));
    TRY(account->loadUnreported());
    account->thread_ = std::thread([raw = account.get()] { raw->run(); });
    return account;
}

UsageAccount::UsageAccount(UsageAccountSettings settings, std::unique_ptr<UsageStore> store)
    : settings_(std::move(settings))
    , counter_(settings_.maxKeys)
    , store_(std::move(store))
{
}

UsageAccount::~UsageAccount()
{
    {
        std::scoped_lock const lock(threadMutex_);
        isStopping_ = true;
    }
    wakeThread_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

Core::Result<Core::Void, UsageIoFailed> UsageAccount::loadUnreported()
{
    auto const now = Core::wallClockMilliseconds();
    auto stored = TRY(store_->read(now - millisecondsPerDay, now + millisecondsPerDay));
    std::erase_if(stored.batches, [this](UsageBatch const& batch) { return batch.id.source != settings_.host; });
    unreported_ = mergeWithinHours(std::move(stored.batches));
    return Core::Void {};
}

void UsageAccount::run()
{
    std::unique_lock lock(threadMutex_);
    while (!wakeThread_.wait_for(lock, settings_.syncInterval, [this] { return isStopping_; })) {
        lock.unlock();
        // A failure is kept for `lastFailure`, and the usage for the next interval.
        [[maybe_unused]] auto const status = sync();
        lock.lock();
    }
    lock.unlock();
    [[maybe_unused]] auto const status = sync();
}

void UsageAccount::add(UsageKey const& key, UsageCounters const& counters)
{
    std::scoped_lock const lock(countMutex_);
    counter_.add(key, counters);
}

Core::Result<Core::Void, UsageIoFailed> UsageAccount::sync()
{
    std::scoped_lock const lock(storeMutex_);
    auto status = syncLocked();
    lastFailure_ = status.isError() ? std::optional(status.error()) : std::nullopt;
    return status;
}

Core::Result<Core::Void, UsageIoFailed> UsageAccount::syncLocked()
{
    if (!pending_) {
        std::scoped_lock const lock(countMutex_);
        auto rows = counter_.take();
        if (!rows.empty()) {
            pending_ = UsageBatch { { settings_.host, settings_.incarnation, nextSequence_, nextSequence_ },
                Core::wallClockMilliseconds(), std::move(rows) };
            ++nextSequence_;
        }
    }
    if (pending_) {
        TRY(store_->append({ &*pending_, 1 }));
        keepUnreported(std::move(*pending_));
        pending_.reset();
    }
    auto const now = Core::wallClockMilliseconds();
    if (now - lastMaintained_ < maintenanceInterval)
        return Core::Void {};
    lastMaintained_ = now;
    return store_->maintain(now);
}

void UsageAccount::keepUnreported(UsageBatch batch)
{
    unreported_.push_back(std::move(batch));
    if (unreported_.size() > maxSeparateUnreported)
        unreported_ = mergeWithinHours(std::move(unreported_));
}

Core::Result<Core::Void, UsageIoFailed> UsageAccount::addReported(std::span<UsageBatch const> batches)
{
    std::scoped_lock const lock(storeMutex_);
    return store_->append(batches);
}

std::vector<UsageBatch> UsageAccount::unreportedBatches(std::size_t maxBatches) const
{
    std::scoped_lock const lock(storeMutex_);
    auto const count = static_cast<std::ptrdiff_t>(std::min(maxBatches, unreported_.size()));
    return { unreported_.begin(), unreported_.begin() + count };
}

void UsageAccount::confirmReported(std::span<UsageBatchId const> ids)
{
    std::scoped_lock const lock(storeMutex_);
    // A batch that grew by a merge meanwhile has another id and is reported again as a whole.
    std::erase_if(unreported_, [&](UsageBatch const& batch) { return std::ranges::find(ids, batch.id) != ids.end(); });
}

Core::Result<UsageAccount::QueryResult, UsageIoFailed> UsageAccount::query(
    std::int64_t fromMilliseconds, std::int64_t toMilliseconds, UsageGrouping grouping)
{
    TRY(sync());
    std::scoped_lock const lock(storeMutex_);
    auto const stored = TRY(store_->read(fromMilliseconds, toMilliseconds));
    return QueryResult { groupUsage(std::span<UsageBatch const>(stored.batches), grouping), stored.corruptRecords };
}

std::optional<UsageIoFailed> UsageAccount::lastFailure() const
{
    std::scoped_lock const lock(storeMutex_);
    return lastFailure_;
}

std::uint64_t UsageAccount::boundedAdds() const
{
    std::scoped_lock const lock(countMutex_);
    return counter_.boundedAdds();
}

std::uint64_t UsageAccount::truncatedBytes() const
{
    std::scoped_lock const lock(storeMutex_);
    return store_->truncatedBytes();
}

} // namespace Telemetry
