#include "Backend.h"

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <thread>

namespace Emulator {

namespace {

    constexpr auto pollInterval = std::chrono::milliseconds(1);
    constexpr auto frozenPollInterval = std::chrono::milliseconds(10);
    constexpr Core::Duration loadHistoryLength = std::chrono::seconds(60);
    /// Distinct ids that are counted; beyond it the counts are dropped and the execution log remains.
    constexpr std::size_t maxCountedIds = 1'000'000;
    constexpr int crashExitCode = 3;

} // namespace

Backend::Backend(Settings settings)
    : settings_(std::move(settings))
{
    if (!settings_.executionLog.empty())
        log_.open(settings_.executionLog, std::ios::app);
    switches_.set(Switch::Slots, settings_.identity.slots);
}

void Backend::waitWhileFrozen() const
{
    while (switches_[Switch::Freeze] != 0)
        std::this_thread::sleep_for(frozenPollInterval);
}

bool Backend::isFenced(Work const& work)
{
    if (!work.slot)
        return true;
    if (grants_.begin(*work.slot, work.epoch, Core::BootClock::now()))
        return true;
    if (settings_.identity.checksFencing) {
        std::scoped_lock const lock(mutex_);
        ++fencingRefused_;
        return false;
    }
    grants_.beginUnchecked(*work.slot);
    std::scoped_lock const lock(mutex_);
    ++ranWithoutGrant_;
    return true;
}

WorkResult Backend::run(Work const& work)
{
    waitWhileFrozen();
    if (!acquireSlot(work)) {
        std::scoped_lock const lock(mutex_);
        ++shed_;
        return WorkResult::Shed;
    }
    if (!isFenced(work)) {
        releaseSlot();
        return WorkResult::FencingRefused;
    }
    countRun(work);
    auto const isServed = serve(work);
    if (work.slot)
        grants_.end(*work.slot);
    releaseSlot();
    // A resumed process goes on as if nothing had happened, so the response of frozen work is sent late.
    waitWhileFrozen();
    auto const isCancelled = work.isCancelled();
    std::scoped_lock const lock(mutex_);
    cancelled_ += isCancelled ? 1 : 0;
    failed_ += isServed ? 0 : 1;
    if (isCancelled)
        return WorkResult::Cancelled;
    return isServed ? WorkResult::Done : WorkResult::Failed;
}

bool Backend::acquireSlot(Work const& work)
{
    std::unique_lock lock(mutex_);
    if (switches_[Switch::Shed] != 0)
        return false;
    if (running_ >= switches_[Switch::Slots] && waiting_ >= switches_[Switch::Queue])
        return false;
    auto const limit = Core::BootClock::now() + work.deadline.value_or(std::chrono::seconds(60));
    ++waiting_;
    while (running_ >= switches_[Switch::Slots] && Core::BootClock::now() < limit && !work.isCancelled())
        slotFree_.wait_for(lock, std::chrono::milliseconds(10));
    --waiting_;
    if (running_ >= switches_[Switch::Slots] || work.isCancelled())
        return false;
    maxRunning_ = std::max(maxRunning_, ++running_);
    return true;
}

void Backend::releaseSlot()
{
    {
        std::scoped_lock const lock(mutex_);
        --running_;
    }
    slotFree_.notify_one();
}

void Backend::countRun(Work const& work)
{
    if (work.isMarkedToCrash && switches_[Switch::CrashOnMarked] != 0)
        _exit(crashExitCode);
    std::scoped_lock const lock(mutex_);
    ++runs_;
    if (log_.is_open() && !work.loadId.empty())
        log_ << work.loadId << ' ' << (work.idempotencyKey.empty() ? "-" : work.idempotencyKey) << ' ' << work.requestId
             << std::endl; // Flushed, since the process may crash at the next request.
    auto const count = [](auto& runs, std::string const& id) {
        if (id.empty() || runs.size() >= maxCountedIds)
            return false;
        return ++runs[id] == 2;
    };
    repeatedRequests_ += count(runsByRequest_, work.requestId) ? 1 : 0;
    repeatedKeys_ += count(runsByKey_, work.idempotencyKey) ? 1 : 0;
}

bool Backend::serve(Work const& work)
{
    auto isCold = false;
    auto isOverloaded = false;
    {
        std::scoped_lock const lock(mutex_);
        auto const cold = switches_[Switch::ColdRequests];
        isCold = cold > 0;
        if (isCold)
            switches_.set(Switch::ColdRequests, cold - 1);
        isOverloaded = isCold && running_ > switches_[Switch::ColdConcurrency];
    }
    auto const milliseconds = switches_[isCold ? Switch::ColdServiceMs : Switch::ServiceMs];
    auto const end = Core::BootClock::now() + std::chrono::milliseconds(milliseconds);
    while (Core::BootClock::now() < end && !work.isCancelled())
        std::this_thread::sleep_for(std::min<Core::Duration>(end - Core::BootClock::now(), 5 * pollInterval));
    if (auto const late = switches_[Switch::LateMs]; late > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(late));
    return !isOverloaded;
}

Proxy::LoadReport Backend::currentLoad() const
{
    std::scoped_lock const lock(mutex_);
    auto const slots = std::max<std::int64_t>(1, switches_[Switch::Slots]);
    return { .inFlight = static_cast<std::uint32_t>(running_),
        .queued = static_cast<std::uint32_t>(waiting_),
        .utilization = static_cast<double>(running_) / static_cast<double>(slots) };
}

void Backend::sampleLoad(Core::TimePoint now)
{
    auto const report = currentLoad();
    std::scoped_lock const lock(mutex_);
    loadHistory_.emplace_back(now, report);
    while (now - loadHistory_.front().first > loadHistoryLength)
        loadHistory_.pop_front();
}

Proxy::LoadReport Backend::load() const
{
    auto report = currentLoad();
    auto const delay = std::chrono::milliseconds(switches_[Switch::LoadDelayMs]);
    if (delay.count() > 0) {
        std::scoped_lock const lock(mutex_);
        auto const limit = Core::BootClock::now() - delay;
        auto const past = std::find_if(
            loadHistory_.rbegin(), loadHistory_.rend(), [&](auto const& sample) { return sample.first <= limit; });
        report = past == loadHistory_.rend() ? Proxy::LoadReport {} : past->second;
    }
    if (auto const lie = switches_[Switch::LoadLiePercent]; lie >= 0)
        report = { .utilization = static_cast<double>(lie) / 100 };
    return report;
}

std::string Backend::countsJson() const
{
    std::scoped_lock const lock(mutex_);
    return nlohmann::json {
        { "runs", runs_ }, { "shed", shed_ }, { "fencingRefused", fencingRefused_ },
        { "ranWithoutGrant", ranWithoutGrant_ }, { "cancelled", cancelled_ }, { "failed", failed_ },
        { "repeatedRequests", repeatedRequests_ }, { "repeatedKeys", repeatedKeys_ }, { "running", running_ },
        { "waiting", waiting_ }, { "maxRunning", maxRunning_ }, { "grants", grants_.count(Core::BootClock::now()) }
    }.dump();
}

} // namespace Emulator
