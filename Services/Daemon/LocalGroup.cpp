#include "LocalGroup.h"

#include <algorithm>

namespace Daemon {

namespace {

    constexpr std::uint64_t permitPrefixMask = 0xFFFFFF;
    /// The view repeats what is quarantined, so the time only bounds what outlives a lost connection to the leader.
    constexpr Core::Duration quarantineTime = std::chrono::hours(24);

    Policy::DispatchSettings settingsFor(Routing::PoolDefinition const& pool, Core::ViewVersion appointedAt)
    {
        Policy::DispatchSettings settings;
        settings.kind = pool.kind;
        settings.permitPrefix = static_cast<std::uint32_t>(appointedAt.value & permitPrefixMask);
        return settings;
    }

} // namespace

LocalGroup::LocalGroup(GroupId id, Routing::PoolDefinition const& pool, Core::ViewVersion appointedAt,
    std::uint64_t seed, Listener listener)
    : id_(std::move(id))
    , pool_(pool)
    , appointedAt_(appointedAt)
    , listener_(std::move(listener))
    , group_(settingsFor(pool, appointedAt), seed)
{
}

Policy::TicketId LocalGroup::acquire(Policy::AcquireRequest const& request, Completion completion)
{
    std::scoped_lock const lock(mutex_);
    Policy::TicketId const ticket { nextTicket_++ };
    waiting_.emplace(ticket, std::move(completion));
    step(Policy::Acquire { ticket, request });
    return ticket;
}

void LocalGroup::cancel(Policy::TicketId ticket) { handle(Policy::Cancel { ticket }); }

void LocalGroup::release(Policy::ReleaseReport const& report) { handle(Policy::Release { report }); }

void LocalGroup::handle(Policy::Event const& event)
{
    std::scoped_lock const lock(mutex_);
    step(event);
}

void LocalGroup::step(Policy::Event const& event)
{
    actions_.clear();
    group_.step(Core::BootClock::now(), event, actions_);
    dispatchActions();
}

void LocalGroup::dispatchActions()
{
    auto const answer = [this](Policy::TicketId ticket, Policy::AcquireResult result) {
        auto const found = waiting_.find(ticket);
        if (found == waiting_.end())
            return;
        auto const completion = std::move(found->second);
        waiting_.erase(found);
        completion(std::move(result));
    };
    for (auto& action : actions_) {
        if (auto* granted = std::get_if<Policy::Granted>(&action))
            answer(granted->ticket, std::move(granted->permit));
        else if (auto* refused = std::get_if<Policy::Refused>(&action))
            answer(refused->ticket, refused->refusal);
        else
            listener_(id_, action);
    }
}

bool LocalGroup::contains(Routing::BackendServer const& server) const
{
    return server.pool == id_.pool && Routing::dispatchGroupOf(server.name, pool_) == id_.group;
}

void LocalGroup::follow(Routing::View const& before, Routing::View const& now, Core::Duration holderCountedFor)
{
    std::scoped_lock const lock(mutex_);
    followServers(before, now);
    for (auto const& host : before.entryHosts) {
        auto const isLive = std::ranges::any_of(now.entryHosts,
            [&](auto const& other) { return other.name == host.name && other.incarnation == host.incarnation; });
        if (!isLive)
            step(Policy::HolderLost { host.name, Core::BootClock::now() + holderCountedFor });
    }
    for (auto const& request : now.quarantine) {
        if (std::ranges::find(before.quarantine, request) == before.quarantine.end())
            step(Policy::QuarantineAdded { request.fingerprint, Core::BootClock::now() + quarantineTime });
    }
    for (auto const& request : before.quarantine) {
        if (std::ranges::find(now.quarantine, request) == now.quarantine.end())
            step(Policy::QuarantineLifted { request.fingerprint });
    }
}

void LocalGroup::followServers(Routing::View const& before, Routing::View const& now)
{
    using Routing::ServerState;
    for (auto const& server : now.servers) {
        auto const* earlier = before.findServer(server.name);
        if (!contains(server) || (earlier && *earlier == server))
            continue;
        if (server.state == ServerState::OutOfService) {
            step(Policy::ServerRemoved { server.name });
            continue;
        }
        // The owner of a slot serves it until the slot is handed over, also while the server drains.
        auto const drains = server.state == ServerState::Draining && pool_.kind == Routing::PoolKind::AnyServer;
        step(Policy::ServerPresent { server.name, server.incarnation, server.slots, drains });
        if (earlier && earlier->incarnation == server.incarnation && earlier->coldSince < server.coldSince)
            step(Policy::ServerCold { server.name });
    }
    for (auto const& server : before.servers) {
        if (contains(server) && !now.findServer(server.name))
            step(Policy::ServerRemoved { server.name });
    }
}

void LocalGroup::startIfInEffect(Core::ViewVersion effective)
{
    std::scoped_lock const lock(mutex_);
    if (isStarted_ || effective < appointedAt_)
        return;
    isStarted_ = true;
    step(Policy::Start {});
}

std::vector<Policy::ServerStatus> LocalGroup::servers() const
{
    std::scoped_lock const lock(mutex_);
    return group_.servers();
}

std::size_t LocalGroup::waiting() const
{
    std::scoped_lock const lock(mutex_);
    return group_.waiting();
}

Policy::DispatchCounters LocalGroup::counters() const
{
    std::scoped_lock const lock(mutex_);
    return group_.counters();
}

} // namespace Daemon
