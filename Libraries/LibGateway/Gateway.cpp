#include <LibCore/Hash.h>
#include <LibGateway/Exchange.h>
#include <LibGateway/ServerSubset.h>

#include <algorithm>

namespace Gateway {

namespace {

    /// Fraction of a server's connection limit that the entry hosts use; health checks and reconnections need the rest.
    constexpr double usedConnectionFraction = 0.8;
    /// Fraction of the request rate limit of a cold server that is used.
    constexpr double usedColdRateFraction = 0.9;
    /// The limit of a cold server holds for any second at the server. The delay between sending and arrival varies by
    /// up to 100 ms, which widens the window.
    constexpr Core::Duration coldStartWindow = std::chrono::milliseconds(1100);
    /// The part of the memory limit for answers that are being read is one divided by this. The rest is that for
    /// answers that callers have not taken yet, so that together they take no more than the limit.
    constexpr std::uint64_t readAnswersDivisor = 4;
    /// Smaller answers are never given up for lack of memory.
    constexpr std::size_t minBoundedAnswerBytes = 64UL * 1024;
    /// The part of the memory for unsent answers that those which wait for an earlier one may take, whatever their
    /// size, is one divided by this. Many requests of one connection may be in progress, so small answers add up, too.
    constexpr std::uint64_t waitingAnswersDivisor = 2;
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
    , view_(random_.next())
    , reservations_(loop)
    , workspaceLimiter_(loop, settings.quotas)
    , retrySlack_(settings.retries.window)
    , startedAt_(loop.now())
    , pacer_(settings.linkBytesPerSecond)
    , serverConnections_(loop, codec, pacer_, settings.memory.maxHeldBytes / readAnswersDivisor)
{
}

Gateway::~Gateway() = default;

bool Gateway::listen(Core::Endpoint const& endpoint)
{
    server_ = Net::HttpServer::open(loop_, endpoint, *this);
    if (!server_)
        return false;
    server_->setMemoryLimit(settings_.memory.maxHeldBytes);
    server_->setMaxConnections(settings_.memory.maxConnections);
    server_->setPacer(&pacer_);
    return true;
}

void Gateway::startDraining(Core::TimePoint deadline)
{
    drainDeadline_ = deadline;
    server_->startDraining();
    forEachExchange([deadline](Exchange& exchange) { exchange.limitDeadline(deadline); });
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

void Gateway::refuseRequests() { isAccepting_ = false; }

void Gateway::stopListening() { server_->stopListening(); }

void Gateway::apply(Fleet::ViewUpdate const& update)
{
    for (auto const number : view_.apply(update, loop_.now())) {
        serverConnections_.removeServer(number);
        known_.onRemoved(number, loop_.now());
    }
    applyServers(update);
    if (update.isWhole || update.entryHosts || update.evacuated || !update.servers.empty()
        || !update.removedServers.empty())
        subsets_.clear();
    applyRequestLimits(update);
    if (update.suspects || update.quarantined)
        verifySuspects();
    for (auto const& occupancy : update.occupancies.rows) {
        if (auto const* const server = view_.findServer(occupancy.server))
            loadOf(server->record)
                .onEstimate(occupancy.requests, std::chrono::milliseconds(occupancy.serviceMs), loop_.now());
    }
    if (update.limits) {
        Net::HttpLimits limits;
        limits.maxHeadBytes = view_.limits().maxHeaderBytes;
        limits.maxBodyBytes = view_.limits().maxBodyBytes;
        limits.headTimeout = std::chrono::milliseconds(view_.limits().headerTimeoutMs);
        limits.idleTimeout = std::chrono::milliseconds(view_.limits().idleTimeoutMs);
        server_->setLimits(limits);
    }
    if (update.ranges.rows.empty() && update.servers.empty() && update.removedServers.empty() && !update.evacuated)
        return;
    forEachExchange([](Exchange& exchange) { exchange.onViewChanged(); });
}

void Gateway::applyServers(Fleet::ViewUpdate const& update)
{
    for (auto const& row : update.servers) {
        // The update may remove it, too.
        auto* const returned = view_.findServer(row.server.number) ? known_.onRecord(row.server) : nullptr;
        if (!returned || !returned->backpressure)
            continue;
        auto& backpressure = *returned->backpressure;
        events_.write(Telemetry::EventId::ServerReturned,
            { { "server", row.server.name.value }, { "pool", row.server.pool.value },
                { "isLeaving", backpressure.isLeaving() },
                { "silentMs", Core::toMilliseconds(backpressure.silenceLeft(loop_.now())) },
                { "perSecond", backpressure.requestLimit().value_or(0) } });
        // The leader knows nothing of it under its new number.
        backpressure.repeatReport();
        backpressure.repeatLeavingReport();
    }
}

void Gateway::onRequest(Net::ExchangeId id, Net::HttpRequest request)
{
    auto exchange = std::make_unique<Exchange>(*this, id, std::move(request));
    auto& started = *exchange;
    exchanges_.emplace(id, std::move(exchange));
    started.start();
}

bool Gateway::mayRunBesideOthers(Proxy::MessageHead const& head)
{
    auto const target = std::string_view(head.target);
    auto const* const route = view_.findRoute(head.find("Host").value_or(""), target.substr(0, target.find('?')));
    return route && route->kind == Fleet::RequestKind::Safe;
}

void Gateway::onMemoryRefusal(std::size_t bytes)
{
    events_.write(Telemetry::EventId::MemoryLimitReached,
        { { "refusedBytes", bytes }, { "requestBytes", server_->heldBodyBytes() },
            { "answerBytes", heldAnswerBytes() } });
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

bool Gateway::hasRoomForAnswer(Net::ExchangeId id, std::size_t bytes)
{
    auto const limit = settings_.memory.maxHeldBytes - settings_.memory.maxHeldBytes / readAnswersDivisor;
    if (server_->mustWait(id) && server_->waitingAnswerBytes() + bytes > limit / waitingAnswersDivisor)
        return false;
    return bytes < minBoundedAnswerBytes || server_->unsentAnswerBytes() + bytes <= limit;
}

void Gateway::finish(Net::ExchangeId id, Net::HttpResponse response)
{
    server_->respond(id, std::move(response));
    auto node = exchanges_.extract(id);
    if (!node.empty())
        loop_.reclaim(std::move(node.mapped()));
}

std::vector<Fleet::ServerNumber> const& Gateway::subsetOf(Core::PoolName const& pool)
{
    auto const [found, isNew] = subsets_.try_emplace(pool);
    if (!isNew)
        return found->second;
    std::vector<Fleet::ServerRecord const*> servers;
    for (auto const& [number, server] : view_.servers()) {
        if (server.record.pool == pool && view_.mayServe(server.record))
            servers.push_back(&server.record);
    }
    EntryHostShare const share { view_.entryHostCount(), view_.rankOf(settings_.name) };
    found->second = ServerSubset::choose(servers, share, settings_.failureDomain);
    return found->second;
}

RetryBudgetShare& Gateway::retryBudgetOf(Core::PoolName const& pool)
{
    return retryBudgets_.try_emplace(pool, settings_.retries).first->second;
}

void Gateway::onLeaderContact()
{
    if (view_.rankOf(settings_.name))
        retrySlack_.confirm(loop_.now(), view_.entryHostCount());
}

bool Gateway::tryRetry(Core::PoolName const& pool)
{
    auto const now = loop_.now();
    auto& budget = retryBudgetOf(pool);
    if (!budget.tryAcquireRetry(now, retrySlack_.share(now))) {
        events_.write(Telemetry::EventId::RetryBudgetExhausted,
            { { "pool", pool.value }, { "retries", budget.retries() }, { "requests", budget.requests() },
                { "slackHosts", retrySlack_.entryHosts(now) } });
        return false;
    }
    metrics_.countRetry(pool);
    return true;
}

bool Gateway::tryAcquireColdSend(Fleet::ViewServer const& server, Fleet::PoolItem const& pool)
{
    auto const now = loop_.now();
    auto& limiter = known_.at(server.record).coldStart;
    if (server.coldUntil <= now) {
        limiter.reset();
        return true;
    }
    if (!limiter)
        limiter.emplace(coldStartWindow);
    auto const host = shareOf(server.record.number);
    // The process that this one replaces may have used its share, and hosts that do not list this one the whole limit.
    if (!host.rank || now - startedAt_ < coldStartWindow)
        return false;
    auto const perSecond
        = (pool.warmupPerSecond * settings_.warmupFactor + settings_.warmupSlack) * usedColdRateFraction;
    SendShare const share { static_cast<std::size_t>(perSecond), host.entryHosts, host.rank };
    return limiter->tryAcquire(now, share);
}

EntryHostShare Gateway::shareOf(Fleet::ServerNumber server) const { return rotatedShare(server); }

EntryHostShare Gateway::shareOf(Core::WorkspaceName const& workspace) const
{
    return rotatedShare(Core::hash64(workspace.value));
}

EntryHostShare Gateway::rotatedShare(std::uint64_t rotation) const
{
    EntryHostShare share;
    share.entryHosts = std::max(view_.entryHostCount(), retrySlack_.largestEntryHosts());
    if (auto const rank = view_.rankOf(settings_.name))
        share.rank = static_cast<std::uint32_t>((*rank + rotation) % share.entryHosts);
    return share;
}

void Gateway::onBackpressure(
    Fleet::ServerRecord const& server, BackpressureSignals const& signals, Core::TimePoint sentAt)
{
    onLimitSignals(server, signals, sentAt);
    onLeavingSignals(server, signals);
    onSilenceSignals(server, signals);
}

void Gateway::onLeavingSignals(Fleet::ServerRecord const& server, BackpressureSignals const& signals)
{
    std::initializer_list<Telemetry::Field> const fields {
        { "server", server.name.value },
        { "pool", server.pool.value },
    };
    if (signals.isLeaving && recordedBackpressureOf(server).onLeaving(loop_.now())) {
        events_.write(Telemetry::EventId::ServerLeaving, fields);
        forEachExchange([](Exchange& exchange) { exchange.onViewChanged(); });
    }
    if (signals.isLeavingUnreadable && recordedBackpressureOf(server).isFirstUnreadableLeaving())
        events_.write(Telemetry::EventId::ServerLeavingUnreadable, fields);
}

void Gateway::onSilenceSignals(Fleet::ServerRecord const& server, BackpressureSignals const& signals)
{
    std::initializer_list<Telemetry::Field> const fields {
        { "server", server.name.value },
        { "pool", server.pool.value },
        { "seconds", std::chrono::duration<double>(signals.silence.value_or(Core::Duration::zero())).count() },
    };
    if (signals.isSilenceUnreadable && recordedBackpressureOf(server).isFirstUnreadableSilence())
        events_.write(Telemetry::EventId::ServerSilenceUnreadable, fields);
    if (!signals.silence)
        return;
    metrics_.countSilence(server.pool);
    if (!recordedBackpressureOf(server).onSilence(loop_.now(), *signals.silence))
        return;
    events_.write(Telemetry::EventId::ServerSilent, fields);
    forEachExchange([&](Exchange& exchange) { exchange.onServerSilent(server.process()); });
}

Core::Duration Gateway::silenceLeft(Fleet::ServerNumber process)
{
    auto const* const backpressure = backpressureOf(process);
    return backpressure ? backpressure->silenceLeft(loop_.now()) : Core::Duration::zero();
}

Core::Duration Gateway::poolSilenceLeft(Core::PoolName const& pool)
{
    std::optional<Core::Duration> shortest;
    for (auto const& [number, server] : view_.servers()) {
        if (server.record.pool == pool && mayServe(server.record))
            shortest = std::min(shortest.value_or(Core::Duration::max()), silenceLeft(server.record.process()));
    }
    return shortest.value_or(Core::Duration::zero());
}

void Gateway::onLimitSignals(
    Fleet::ServerRecord const& server, BackpressureSignals const& signals, Core::TimePoint sentAt)
{
    auto const hasAsked = backpressureOf(server.process()) != nullptr;
    if (!hasAsked && !signals.requestLimit && !signals.isLimitUnreadable)
        return;
    auto& backpressure = recordedBackpressureOf(server);
    if (!signals.isLimitUnreadable) {
        backpressure.onAnswer({ signals.requestLimit, sentAt, loop_.now() });
        return;
    }
    metrics_.countUnreadableLimit(server.pool);
    if (backpressure.isFirstUnreadable())
        events_.write(Telemetry::EventId::RequestLimitUnreadable,
            { { "server", server.name.value }, { "pool", server.pool.value } });
}

void Gateway::applyRequestLimits(Fleet::ViewUpdate const& update)
{
    for (auto const& row : update.requestLimits) {
        if (auto const* const server = view_.findServer(row.server))
            recordedBackpressureOf(server->record).onLeaderStatement(Fleet::toStatement(row, loop_.now()));
    }
    if (!update.isWhole)
        return;
    known_.forEachInView([](KnownServer& server) {
        if (!server.backpressure)
            return;
        server.backpressure->repeatReport();
        server.backpressure->repeatLeavingReport();
    });
}

ServerBackpressure* Gateway::backpressureOf(Fleet::ServerNumber process)
{
    auto* const server = known_.find(process);
    return server && server->backpressure ? &*server->backpressure : nullptr;
}

ServerBackpressure& Gateway::recordedBackpressureOf(Fleet::ServerRecord const& record)
{
    auto& backpressure = known_.at(record).backpressure;
    return backpressure ? *backpressure : backpressure.emplace();
}

ServerBackpressure* Gateway::limitedServer(Fleet::ServerNumber number)
{
    auto const* const server = view_.findServer(number);
    auto* const backpressure = server ? backpressureOf(server->record.process()) : nullptr;
    return backpressure && backpressure->requestLimit() ? backpressure : nullptr;
}

bool Gateway::mayServe(Fleet::ServerRecord const& server)
{
    auto const* const backpressure = backpressureOf(server.process());
    return view_.mayServe(server) && !(backpressure && backpressure->isLeaving());
}

bool Gateway::mayServeKeys(Fleet::ViewServer const& server)
{
    auto const now = loop_.now();
    auto const* const backpressure = backpressureOf(server.record.process());
    return view_.mayServeKeys(server, now)
        && !(backpressure && backpressure->hasBeenLeavingFor(settings_.leavingGrace, now));
}

std::size_t Gateway::connectionLimit(Fleet::PoolItem const& pool) const
{
    auto const share = usedConnectionFraction * pool.maxConnections / view_.entryHostCount();
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

void Gateway::countOccupancy(Fleet::ServerNumber server, ServerLoadReport const& load)
{
    auto& occupancy = occupancies_[server];
    occupancy.server = server;
    ++occupancy.reports;
    occupancy.requests += load.running + load.waiting;
}

void Gateway::recordAnswered(Core::Digest const& fingerprint)
{
    recentAnswers_.record(fingerprint, loop_.now());
    if (view_.suspects().empty() && view_.quarantined().empty())
        return;
    auto text = toText(fingerprint);
    if (view_.suspects().contains(text) || view_.quarantined().contains(text))
        harmless_.insert(std::move(text));
}

void Gateway::verifySuspects()
{
    for (auto const* const list : { &view_.suspects(), &view_.quarantined() }) {
        for (auto const& text : *list) {
            auto const id = Core::RequestId::parse(text);
            if (id && recentAnswers_.contains({ id->high, id->low }, loop_.now()))
                harmless_.insert(text);
        }
    }
}

Fleet::LoadReport Gateway::takeReport()
{
    Fleet::LoadReport report;
    report.itemRevision = view_.itemRevision();
    for (auto const& [where, count] : arrivals_) {
        if (report.arrivals.empty() || report.arrivals.back().pool != where.first)
            report.arrivals.push_back({ where.first, {} });
        report.arrivals.back().keys.emplace_back(where.second, count);
    }
    for (auto const& [number, contact] : contacts_)
        report.contacts.push_back({ number, contact.answers, contact.refusals });
    for (auto const& [number, sum] : latencies_)
        report.latencies.push_back(sum);
    for (auto const& [number, occupancy] : occupancies_)
        report.occupancies.push_back(occupancy);
    known_.forEachInView([&](KnownServer& server) {
        if (!server.backpressure)
            return;
        auto const number = server.record.number;
        if (server.backpressure->takeReportDue())
            report.requestLimits.push_back(Fleet::toRow(number, server.backpressure->newestStatement(), loop_.now()));
        if (server.backpressure->takeLeavingReportDue())
            report.leaving.push_back(number);
    });
    if (suspicions_.size() > maxSuspicions)
        suspicions_.resize(maxSuspicions);
    report.suspicions = std::exchange(suspicions_, {});
    report.harmless.assign(harmless_.begin(), harmless_.end());
    harmless_.clear();
    arrivals_.clear();
    latencies_.clear();
    contacts_.clear();
    occupancies_.clear();
    return report;
}

} // namespace Gateway
