#include "LocalControl.h"

#include <algorithm>
#include <cstdlib>

namespace Relay {

namespace {

    Routing::RouteDefinition route(std::string name, std::string pool, std::string prefix, std::string method,
        Routing::KeySource key, Routing::RequestClass requestClass)
    {
        return { .name = { std::move(name) },
            .pool = { std::move(pool) },
            .methods = { std::move(method) },
            .pathPrefix = std::move(prefix),
            .key = std::move(key),
            .requestClass = requestClass,
            .maxBodyBytes = 2ULL * 1024 * 1024 * 1024 };
    }

    Routing::RoutingTable buildTable(std::uint32_t fillers)
    {
        using enum Routing::RequestClass;
        Routing::KeyFromPathSegment const key { 1 };
        std::vector<Routing::PoolDefinition> pools {
            { .name = { "letters" }, .kind = Routing::PoolKind::KeyPartitioned }, { .name = { "uploads" } },
            { .name = { "orders" }, .kind = Routing::PoolKind::KeyPartitioned }, { .name = { "scans" } }
        };
        std::vector<Routing::RouteDefinition> routes {
            route("letter-status", "letters", "/letters", "GET", key, Idempotent),
            route("letter-send", "letters", "/letters", "POST", key, NonIdempotent),
            route("upload", "uploads", "/uploads", "PUT", Routing::NoKey {}, Idempotent),
            route("download", "uploads", "/uploads", "GET", Routing::NoKey {}, Idempotent),
            route("stock", "orders", "/stock", "GET", key, Idempotent),
            route("order", "orders", "/orders", "POST", key, NonIdempotent),
            route("scan", "scans", "/scans", "PUT", Routing::NoKey {}, Idempotent),
        };
        for (std::uint32_t i = 0; i < fillers; ++i) {
            auto const name = "filler-" + std::to_string(i);
            pools.push_back({ .name = { name } });
            routes.push_back(route(name, name, "/" + name, "GET", Routing::NoKey {}, Idempotent));
        }
        auto table = Routing::RoutingTable::build(std::move(pools), std::move(routes));
        return std::move(table).value();
    }

    std::string toText(Proxy::OrderKey const& key)
    {
        return key.route.value + '\n' + key.caller.value + '\n' + key.idempotencyKey;
    }

} // namespace

LocalControl::LocalControl(std::uint32_t fillers)
    : table_(std::make_shared<Routing::RoutingTable const>(buildTable(fillers)))
{
    for (std::uint32_t i = 0; i < fillers; ++i) {
        auto const name = "filler-" + std::to_string(i);
        servers_[name] = { .name = { name }, .pool = { name }, .endpoint = { "127.0.0.1", 9 }, .slots = 4 };
    }
    for (auto const& pool : table_->pools())
        groups_[pool.name.value].next = 0;
    publish(buildView());
}

std::shared_ptr<Routing::View const> LocalControl::currentView() const
{
    // One LocalControl per process, so one cache per thread is enough.
    thread_local std::uint64_t seen = 0;
    thread_local std::shared_ptr<Routing::View const> view;
    if (seen != published_.load(std::memory_order_acquire)) {
        std::scoped_lock const lock(publishedMutex_);
        view = view_;
        seen = published_;
    }
    return view;
}

void LocalControl::publish(std::shared_ptr<Routing::View const> view)
{
    std::scoped_lock const lock(publishedMutex_);
    view_ = std::move(view);
    ++published_;
}

LocalControl::Group& LocalControl::groupOf(Core::PoolName const& pool) { return groups_.at(pool.value); }

std::shared_ptr<Routing::View> LocalControl::buildView() const
{
    auto view = std::make_shared<Routing::View>();
    view->version = { version_ };
    view->table = table_;
    std::ranges::transform(servers_, std::back_inserter(view->servers), [](auto const& entry) { return entry.second; });
    view->entryHosts.push_back({ .name = { "local" } });
    for (auto const& pool : table_->pools()) {
        if (pool.kind != Routing::PoolKind::KeyPartitioned)
            continue;
        std::vector<std::uint32_t> members;
        for (std::uint32_t i = 0; i < view->servers.size(); ++i) {
            if (view->servers[i].pool == pool.name)
                members.push_back(i);
        }
        auto& slots = view->slots[pool.name];
        slots.resize(pool.slotCount);
        for (std::size_t i = 0; !members.empty() && i < slots.size(); ++i)
            slots[i] = { Routing::SlotPhase::Owned, { version_ }, members[i % members.size()] };
    }
    return view;
}

Core::Result<Proxy::AnnounceReply, Proxy::AnnounceRefusal> LocalControl::announce(
    Proxy::Announcement const& announcement)
{
    if (!table_->findPool(announcement.pool))
        return Proxy::AnnounceRefusal::UnknownPool;
    std::scoped_lock const lock(viewMutex_);
    auto const [found, isNew] = servers_.try_emplace(announcement.name.value);
    if (isNew) {
        found->second = { .name = announcement.name,
            .pool = announcement.pool,
            .endpoint = announcement.endpoint,
            .failureDomain = announcement.failureDomain,
            .incarnation = announcement.incarnation,
            .slots = announcement.slots,
            .connections = announcement.connections,
            .checksFencing = announcement.checksFencing };
        ++version_;
        publish(buildView());
    }
    Proxy::AnnounceReply reply;
    auto const view = currentView();
    auto const slots = view->slots.find(announcement.pool);
    for (std::uint64_t i = 0; slots != view->slots.end() && i < slots->second.size(); ++i) {
        auto const& slot = slots->second[i];
        if (slot.phase == Routing::SlotPhase::Owned && view->servers[slot.server].name == announcement.name)
            reply.grants.push_back({ { i }, { i }, slot.epoch });
    }
    return reply;
}

Policy::AcquireResult LocalControl::acquire(Policy::AcquireRequest const& request)
{
    auto const view = currentView();
    auto& group = groupOf(request.pool);
    std::unique_lock lock(group.mutex);
    auto const deadline = std::chrono::steady_clock::now()
        + std::min<Core::Duration>(request.deadline - Core::BootClock::now(), std::chrono::seconds(60));
    auto const choose = [&]() -> Routing::BackendServer const* {
        if (request.owner) {
            auto const* server = view->findServer(*request.owner);
            return server && group.inFlight[server->name.value] < server->slots ? server : nullptr;
        }
        for (std::size_t i = 0; i < view->servers.size(); ++i) {
            auto const& server = view->servers[(group.next + i) % view->servers.size()];
            auto const isExcluded = std::ranges::find(request.excluded, server.name) != request.excluded.end();
            if (server.pool == request.pool && !isExcluded && group.inFlight[server.name.value] < server.slots) {
                group.next = (group.next + i + 1) % view->servers.size();
                return &server;
            }
        }
        return nullptr;
    };
    Routing::BackendServer const* server = nullptr;
    if (!group.changed.wait_until(lock, deadline, [&] { return (server = choose()) != nullptr; }))
        return Policy::Refusal { Policy::RefusalReason::DeadlineUnreachable, std::chrono::seconds(1) };
    ++group.inFlight[server->name.value];
    return Policy::Permit { { 1 }, server->name };
}

void LocalControl::release(Core::PoolName const& pool, Core::ServerName const& server, Policy::ReleaseReport const&)
{
    auto& group = groupOf(pool);
    {
        std::scoped_lock const lock(group.mutex);
        --group.inFlight[server.value];
    }
    group.changed.notify_all();
}

Core::Result<Proxy::ClaimResult, Proxy::OrderGateUnavailable> LocalControl::claim(
    Proxy::OrderKey const& key, Core::Digest const& fingerprint, Core::RequestId, Core::TimePoint)
{
    std::scoped_lock const lock(ordersMutex_);
    auto const [found, isNew] = orders_.try_emplace(toText(key), Order { fingerprint, Proxy::OrderInProgress {} });
    if (isNew)
        return Proxy::ClaimResult { Proxy::OrderClaimed {} };
    if (found->second.fingerprint != fingerprint)
        return Proxy::ClaimResult { Proxy::OrderMismatch {} };
    return found->second.state;
}

void LocalControl::setOrder(Proxy::OrderKey const& key, Proxy::ClaimResult state)
{
    std::scoped_lock const lock(ordersMutex_);
    orders_[toText(key)].state = std::move(state);
}

void LocalControl::complete(Proxy::OrderKey const& key, Core::RequestId, std::optional<Proxy::KeptAnswer> answer)
{
    setOrder(key, Proxy::OrderCompleted { std::move(answer) });
}

void LocalControl::abandon(Proxy::OrderKey const& key, Core::RequestId)
{
    std::scoped_lock const lock(ordersMutex_);
    orders_.erase(toText(key));
}

void LocalControl::markUnknown(Proxy::OrderKey const& key, Core::RequestId) { setOrder(key, Proxy::OrderUnknown {}); }

Core::Result<Core::Void, Proxy::ConfirmError> LocalControl::confirmOwner(
    Core::PoolName const&, Core::SlotNumber, Core::Epoch, Core::TimePoint)
{
    return Core::Void {};
}

} // namespace Relay
