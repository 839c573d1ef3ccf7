#include <LibGateway/Exchange.h>

#include <algorithm>

namespace Gateway {

namespace {

    /// Part of the connections that a server accepts from all callers; health checks and reconnections need the rest.
    constexpr double usedConnectionPart = 0.8;
    /// Part of the bound on requests to a cold server that is used.
    constexpr double usedColdPart = 0.9;
    /// Bodies of requests, and of answers that are being read or sent. A host may have 160 MB.
    constexpr std::uint64_t maxHeldBodyBytes = 96UL * 1024 * 1024;
    constexpr std::size_t maxSuspicions = 1000;

} // namespace

Gateway::Gateway(Net::EventLoop& loop, Telemetry::EventLog& events, Telemetry::Metrics& metrics,
    RequestCodec const& codec, GatewaySettings const& settings)
    : loop_(loop)
    , events_(events)
    , metrics_(metrics)
    , codec_(codec)
    , settings_(settings)
    , random_(Core::Random::fromSystemEntropy())
    , links_(loop, codec, settings.linkBytesPerSecond)
{
}

Gateway::~Gateway() = default;

bool Gateway::listen(Core::Endpoint const& endpoint)
{
    server_ = Net::HttpServer::open(loop_, endpoint, *this);
    return server_ != nullptr;
}

void Gateway::startDraining(Core::TimePoint endsAt)
{
    endsAt_ = endsAt;
    server_->startDraining();
    forEachExchange([endsAt](Exchange& exchange) { exchange.limitDeadline(endsAt); });
}

void Gateway::forEachExchange(std::function<void(Exchange&)> const& function)
{
    std::vector<Net::ExchangeId> ids;
    std::ranges::transform(exchanges_, std::back_inserter(ids), [](auto const& entry) { return entry.first; });
    for (auto const& id : ids) {
        auto const found = exchanges_.find(id);
        if (found != exchanges_.end())
            function(*found->second);
    }
}

void Gateway::stopTaking()
{
    isTaking_ = false;
    server_->stopListening();
}

void Gateway::apply(Fleet::ViewUpdate const& update)
{
    for (auto const number : view_.apply(update, loop_.now())) {
        links_.forget(number);
        loads_.erase(number);
        coldGates_.erase(number);
    }
    if (update.limits) {
        Net::HttpLimits limits;
        limits.maxHeadBytes = view_.limits().maxHeaderBytes;
        limits.maxBodyBytes = view_.limits().maxBodyBytes;
        limits.headTimeout = std::chrono::milliseconds(view_.limits().headerTimeoutMs);
        limits.idleTimeout = std::chrono::milliseconds(view_.limits().idleTimeoutMs);
        server_->setLimits(limits);
    }
    if (update.ranges.rows.empty() && update.servers.empty())
        return;
    forEachExchange([](Exchange& exchange) { exchange.onViewChanged(); });
}

void Gateway::onRequest(Net::ExchangeId id, Net::HttpRequest request)
{
    if (server_->heldBodyBytes() + heldAnswerBytes() > maxHeldBodyBytes) {
        Net::HttpResponse response;
        response.status = 503;
        response.fields.push_back({ "Retry-After", "0.5" });
        server_->respond(id, response);
        return;
    }
    auto exchange = std::make_unique<Exchange>(*this, id, std::move(request));
    auto& started = *exchange;
    exchanges_.emplace(id, std::move(exchange));
    started.start();
}

void Gateway::onAbandoned(Net::ExchangeId id)
{
    auto node = exchanges_.extract(id);
    if (node.empty())
        return;
    node.mapped()->abandon();
    loop_.reclaim(std::move(node.mapped()));
}

void Gateway::onAnswerCutOff(Net::ExchangeId id, std::size_t unsentBytes)
{
    events_.write(
        Telemetry::EventId::AnswerCutOff, { { "connection", id.connection }, { "unsentBytes", unsentBytes } });
}

void Gateway::closeAll()
{
    for (auto const& [id, exchange] : exchanges_)
        exchange->logUnfinished();
    server_->closeAll();
}

void Gateway::finish(Net::ExchangeId id, Net::HttpResponse const& response)
{
    server_->respond(id, response);
    auto node = exchanges_.extract(id);
    if (!node.empty())
        loop_.reclaim(std::move(node.mapped()));
}

ServerLoad& Gateway::loadOf(Fleet::ServerRecord const& server)
{
    return loads_.try_emplace(server.number, server.slots).first->second;
}

RetryShare& Gateway::retriesOf(Core::PoolName const& pool)
{
    return retries_.try_emplace(pool, settings_.retries).first->second;
}

bool Gateway::mayRepeat(Core::PoolName const& pool)
{
    if (!retriesOf(pool).tryRepeat(loop_.now(), view_.entryHostCount())) {
        events_.write(Telemetry::EventId::RetryBudgetExhausted, { { "pool", pool.value } });
        return false;
    }
    metrics_.countRetry(pool);
    return true;
}

bool Gateway::passesColdGate(Fleet::ViewServer const& server, Fleet::PoolItem const& pool)
{
    auto const now = loop_.now();
    if (server.coldUntil <= now) {
        coldGates_.erase(server.record.number);
        return true;
    }
    ColdShare share;
    share.perSecond = (pool.warmupPerSecond * settings_.warmupFactor + settings_.warmupSlack) * usedColdPart;
    share.entryHosts = view_.entryHostCount();
    // Turned by the server, so that the first ranks are others for each one.
    if (auto const rank = view_.rankOf(settings_.name))
        share.rank = (*rank + server.record.number) % share.entryHosts;
    return coldGates_[server.record.number].tryPass(now, share);
}

std::size_t Gateway::connectionShare(Fleet::PoolItem const& pool) const
{
    auto const share = usedConnectionPart * pool.maxConnections / view_.entryHostCount();
    return std::max<std::size_t>(static_cast<std::size_t>(share), 1);
}

void Gateway::countArrival(Core::PoolName const& pool, std::uint32_t key) { ++arrivals_[{ pool, key }]; }

void Gateway::countLatency(Fleet::ServerNumber server, Core::Duration latency)
{
    auto& sum = latencies_[server];
    sum.server = server;
    ++sum.answers;
    sum.sumMs += std::chrono::duration<double, std::milli>(latency).count();
}

Fleet::LoadReport Gateway::takeReport()
{
    Fleet::LoadReport report;
    for (auto const& [where, count] : arrivals_) {
        if (report.arrivals.empty() || report.arrivals.back().pool != where.first)
            report.arrivals.push_back({ where.first, {} });
        report.arrivals.back().keys.emplace_back(where.second, count);
    }
    for (auto const& [number, contact] : contacts_)
        report.contacts.push_back({ number, contact.answers, contact.refusals });
    for (auto const& [number, sum] : latencies_)
        report.latencies.push_back(sum);
    if (suspicions_.size() > maxSuspicions)
        suspicions_.resize(maxSuspicions);
    report.suspicions = std::exchange(suspicions_, {});
    arrivals_.clear();
    latencies_.clear();
    contacts_.clear();
    return report;
}

} // namespace Gateway
