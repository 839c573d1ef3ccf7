#include <LibGateway/KnownServers.h>

namespace Gateway {

namespace {

    /// The time for which a process that has left the view is remembered. Control hosts follow the heartbeats of
    /// removed servers for as long.
    constexpr Core::Duration retention = std::chrono::minutes(10);
    /// The number of processes that are remembered after they have left the view.
    constexpr std::size_t maxRemoved = 4096;

} // namespace

KnownServer& KnownServers::at(Fleet::ServerRecord const& record)
{
    auto const [found, isNew] = servers_.try_emplace(record.process(), record);
    if (isNew)
        processes_[record.number] = record.process();
    return found->second;
}

KnownServer* KnownServers::find(Fleet::ServerNumber process)
{
    auto const found = servers_.find(process);
    return found == servers_.end() ? nullptr : &found->second;
}

KnownServer* KnownServers::onRecord(Fleet::ServerRecord const& record)
{
    auto* const server = find(record.process());
    if (!server)
        return nullptr;
    auto const hasReturned = !server->isInView || server->record.number != record.number;
    processes_.erase(server->record.number);
    processes_[record.number] = record.process();
    server->record = record;
    server->isInView = true;
    // Measured before it left, which may be long ago.
    if (hasReturned)
        server->load.forgetMeasurements();
    return hasReturned ? server : nullptr;
}

void KnownServers::onRemoved(Fleet::ServerNumber number, Core::TimePoint now)
{
    auto const process = processes_.find(number);
    if (process != processes_.end()) {
        servers_.at(process->second).isInView = false;
        removals_.push_back({ process->second, now });
    }
    forget(now);
}

void KnownServers::forget(Core::TimePoint now)
{
    while (!removals_.empty() && (now - removals_.front().at >= retention || removals_.size() > maxRemoved)) {
        auto const found = servers_.find(removals_.front().process);
        removals_.pop_front();
        // It may have returned.
        if (found == servers_.end() || found->second.isInView)
            continue;
        processes_.erase(found->second.record.number);
        servers_.erase(found);
    }
}

} // namespace Gateway
