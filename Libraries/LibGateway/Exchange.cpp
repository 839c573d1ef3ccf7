#include <LibCore/Hash.h>
#include <LibCore/Memory.h>
#include <LibGateway/Exchange.h>
#include <LibGateway/ServerChoice.h>
#include <LibProxy/HeaderRules.h>

#include <algorithm>

namespace Gateway {

using Telemetry::EventId;

namespace {

    constexpr std::uint16_t statusNotFound = 404;
    constexpr std::uint16_t statusBadRequest = 400;

    /// Extra time for the answer to arrive when a server answers by itself at the deadline that it was given.
    constexpr Core::Duration deadlineGrace = std::chrono::milliseconds(60);
    /// Longest wait for an owner beyond its expected time.
    constexpr Core::Duration ownerGrace = std::chrono::milliseconds(400);
    /// A refusal is sent this long before the deadline, so that it reaches the caller in time.
    constexpr Core::Duration refusalMargin = std::chrono::milliseconds(50);

    std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

} // namespace

Exchange::Exchange(Gateway& gateway, Net::ExchangeId id, Net::HttpRequest request)
    : gateway_(gateway)
    , id_(id)
    , request_(std::move(request))
    , body_(std::make_shared<std::string const>(std::move(request_.body)))
{
}

Exchange::~Exchange() { cancelTimers(); }

void Exchange::start()
{
    if (!resolveRoute())
        return;
    startDeadlineTimer();
    acquireQuota();
}

void Exchange::acquireQuota()
{
    auto const* const workspace = workspace_ ? gateway_.view_.findWorkspace(*workspace_) : nullptr;
    if (!workspace) {
        dispatch();
        return;
    }
    quotaWait_ = gateway_.workspaceLimiter_.acquire(
        *workspace, gateway_.shareOf(workspace->name), [this](auto const& decision, auto const& use) {
            quotaWait_ = 0;
            onQuotaDecision(decision, use);
        });
}

void Exchange::onQuotaDecision(QuotaDecision const& decision, std::optional<QuotaUse> const& use)
{
    quotaUse_ = use;
    if (decision.outcome == QuotaDecision::Outcome::Allowed) {
        dispatch();
        return;
    }
    auto const retryAfter = Admission::quotaRetryAfter(decision.wait, gateway_.random_.unit());
    if (decision.outcome == QuotaDecision::Outcome::Exceeded)
        refuse(statusTooManyRequests, "quota-exceeded", retryAfter);
    else
        refuse(statusUnavailable, "quota-unconfirmed", retryAfter);
}

void Exchange::startDeadlineTimer()
{
    gateway_.loop_.cancel(deadlineTimer_);
    deadlineTimer_ = gateway_.loop_.after(remainingTime() + deadlineGrace, [this] { onDeadline(); });
}

void Exchange::limitDeadline(Core::TimePoint latest)
{
    if (deadline_ <= latest)
        return;
    deadline_ = latest;
    startDeadlineTimer();
    if (isWaiting_ && ownerExpectedAt_ > deadline_)
        refuse("stopping", {});
}

/// Reads the metadata of the request and chooses its route and pool. Returns false if the request was answered instead.
bool Exchange::resolveRoute()
{
    metadata_ = gateway_.codec_.readRequest(request_.head);
    deadline_ = request_.startedAt + metadata_.timeLeft.value_or(Core::Duration::zero());
    if (!gateway_.isAccepting_) {
        refuse("stopping", {});
        return false;
    }
    if (!gateway_.view_.isConfigured()) {
        refuse("no-configuration", defaultRetryAfter);
        return false;
    }
    auto const host = request_.head.find("Host").value_or("");
    auto const* const route = gateway_.view_.findRoute(host, pathOf(request_.head.target));
    if (!route) {
        fail(statusNotFound, "no-route");
        return false;
    }
    route_ = route->name;
    kind_ = route->kind;
    priority_ = route->priority;
    if (!resolveWorkspace(*route))
        return false;
    maxAttempts_ = std::max(route->maxAttempts, 1U);
    auto limit = Core::Duration(std::chrono::milliseconds(route->timeoutMs));
    if (metadata_.timeLeft)
        limit = std::min(limit, *metadata_.timeLeft);
    deadline_ = request_.startedAt + limit;
    if (gateway_.drainDeadline_)
        deadline_ = std::min(deadline_, *gateway_.drainDeadline_);
    auto const elapsed = metadata_.timeLeft
        ? gateway_.patience_[route_].timeSinceFirstAttempt(request_.startedAt, *metadata_.timeLeft)
        : Core::Duration::zero();
    isReturning_ = elapsed > Core::Duration::zero();
    targetTime_ = request_.startedAt + std::chrono::milliseconds(route->targetLatencyMs) - elapsed;
    auto const* const share = gateway_.splits_[route_].choose(route->shares);
    if (!share) {
        refuse("no-pool", defaultRetryAfter);
        return false;
    }
    pool_ = share->pool;
    cost_ = gateway_.costs_.relativeCost({ pool_, route_, body_->size() });
    gateway_.retryBudgetOf(pool_).countRequest(gateway_.loop_.now());
    if (isQuarantined()) {
        refuse("quarantined", defaultRetryAfter);
        return false;
    }
    return true;
}

bool Exchange::resolveWorkspace(Fleet::RouteItem const& route)
{
    auto const* const workspace = metadata_.apiKey.empty() ? nullptr : gateway_.view_.findWorkspace(metadata_.apiKey);
    // The key is not needed any more, and nothing that is logged or sent from here on may contain it.
    Core::releaseMemory(metadata_.apiKey);
    if (workspace) {
        workspace_ = workspace->name;
        priority_ = workspace->priority.value_or(priority_);
        return true;
    }
    if (!gateway_.view_.hasWorkspaces() || route.isPublic)
        return true;
    fail(statusUnauthorized, "unknown-api-key");
    return false;
}

Core::Digest const& Exchange::fingerprint()
{
    if (!fingerprint_) {
        auto const body = Core::digest128(*body_);
        fingerprint_ = Core::digest128(request_.head.method + " " + request_.head.target + "\n" + toText(body));
    }
    return *fingerprint_;
}

bool Exchange::isQuarantined()
{
    auto const& quarantined = gateway_.view_.quarantined();
    return !quarantined.empty() && quarantined.contains(toText(fingerprint()));
}

void Exchange::dispatch()
{
    isWaiting_ = false;
    gateway_.loop_.cancel(waitTimer_);
    auto const* const pool = gateway_.view_.findPool(pool_);
    if (!pool) {
        refuse("pool-dropped", defaultRetryAfter);
        return;
    }
    if (remainingTime() <= Core::Duration::zero()) {
        onDeadline();
        return;
    }
    if (pool->isKeyDivided)
        dispatchToOwner(*pool);
    else
        dispatchToAnyServer(*pool);
}

void Exchange::dispatchToOwner(Fleet::PoolItem const& pool)
{
    if (!metadata_.key) {
        fail(statusBadRequest, "no-key");
        return;
    }
    auto const reservedServer = std::exchange(reservedServer_, 0);
    auto const isFirstDispatch = sends_ == 0 && reservedServer == 0;
    if (isFirstDispatch && waitTimer_.number == 0)
        gateway_.countArrival(pool_, *metadata_.key);
    auto const* const owner = gateway_.view_.findOwner(pool_, *metadata_.key);
    auto const* const server = owner ? gateway_.view_.findServer(owner->server) : nullptr;
    if (!server || !gateway_.mayServeKeys(*server)) {
        auto const now = gateway_.loop_.now();
        auto const expectedAt = owner ? owner->expectedAt : now + defaultRetryAfter;
        // The next owner would be silent too.
        if (auto const left = gateway_.poolSilenceLeft(pool_); now + left > expectedAt)
            refuseForSilence("servers-silent", left);
        else
            waitForOwner(expectedAt, expectedAt + ownerGrace);
        return;
    }
    auto const process = server->record.process();
    if (!mayRunAt(process)) {
        fail(statusBadGateway, "attempts-used");
        return;
    }
    if (!mayBeSentTo(process)) {
        refuse("refused-by-server", defaultRetryAfter);
        return;
    }
    if (auto const left = gateway_.silenceLeft(process); left > Core::Duration::zero()) {
        refuseForSilence("owner-silent", left);
        return;
    }
    // Admission is sampled once for each request; a retry is not subject to it again.
    if (isFirstDispatch && !Admission::isAdmitted(owner->admittedFraction, priority_, gateway_.random_.unit())) {
        refuse("owner-overloaded", Admission::overloadRetryAfter(gateway_.random_.unit()));
        return;
    }
    auto const& load = gateway_.loadOf(server->record);
    if (load.isUnreachable(gateway_.loop_.now())) {
        refuse("owner-unreachable", load.avoidUntil() - gateway_.loop_.now());
        return;
    }
    auto const isReserved = reservedServer == server->record.number;
    auto const* const limited = gateway_.limitedServer(server->record.number);
    if (limited && !isReserved) {
        if (!refuseForLoad(*server))
            reserveSendToOwner(*server, *limited);
        return;
    }
    if (!gateway_.tryAcquireColdSend(*server, pool)) {
        refuse("owner-cold", defaultRetryAfter);
        return;
    }
    if (!isReserved && refuseForLoad(*server))
        return;
    if (!trySend(*server, pool))
        refuse("owner-connections", defaultRetryAfter);
}

bool Exchange::refuseForLoad(Fleet::ViewServer const& server)
{
    auto const refusal = Admission::check(admissionQuery(), gateway_.loadOf(server.record), gateway_.loop_.now());
    if (!refusal)
        return false;
    logAdmission(server, *refusal);
    refuse("owner-busy", refusal->retryAfter);
    return true;
}

AdmissionQuery Exchange::admissionQuery()
{
    return { remainingTime(), targetTime_ - gateway_.loop_.now(), priority_, isReturning_, gateway_.random_.unit(),
        cost_ };
}

void Exchange::dispatchToAnyServer(Fleet::PoolItem const& pool)
{
    auto const now = gateway_.loop_.now();
    auto const reservedServer = std::exchange(reservedServer_, 0);
    std::vector<Fleet::ViewServer const*> servers;
    std::vector<ServerCandidate> candidates;
    auto const& subset = gateway_.subsetOf(pool_);
    auto const poolMean = gateway_.costs_.meanServiceTime(pool_);
    std::optional<Core::Duration> shortestSilence;
    auto areAllLimited = true;
    for (auto const& [number, server] : gateway_.view_.servers()) {
        if (server.record.pool != pool_ || !gateway_.mayServe(server.record))
            continue;
        auto const& load = gateway_.loadOf(server.record);
        auto const process = server.record.process();
        if (load.isUnreachable(now) || triedServers_.contains(process))
            continue;
        if (auto const left = gateway_.silenceLeft(process); left > Core::Duration::zero()) {
            shortestSilence = std::min(shortestSilence.value_or(left), left);
            continue;
        }
        auto const* const limited = gateway_.limitedServer(number);
        areAllLimited = areAllLimited && limited;
        servers.push_back(&server);
        auto const wait = load.expectedWait(now);
        ServerCandidate candidate;
        candidate.needsConnection = !gateway_.serverConnections_.hasIdleConnection(number);
        if (auto const place = std::ranges::find(subset, number); place != subset.end())
            candidate.subsetPlace = static_cast<std::size_t>(place - subset.begin());
        candidate.expectedLatency
            = wait + load.expectedServiceTime(cost_, poolMean, candidate.subsetPlace.has_value(), now);
        candidate.isInSameDomain = server.record.domain == gateway_.settings_.failureDomain;
        if (reservedServer != 0)
            candidate.isPreferred = number == reservedServer;
        else
            candidate.isPreferred
                = limited && wait == Core::Duration::zero() && limited->isShareDue(now, gateway_.shareOf(number));
        candidate.isFailing = load.isFailing(now);
        candidates.push_back(candidate);
    }
    std::optional<Refusal> refusal;
    auto isLimited = false;
    for (auto const index : ServerChoice::order(candidates, gateway_.random_)) {
        auto const& server = *servers[index];
        auto const refused = Admission::check(admissionQuery(), gateway_.loadOf(server.record), now);
        if (refused) {
            if (!refusal)
                refusal = refused;
            continue;
        }
        auto const number = server.record.number;
        if (!mayRunAt(server.record.process()))
            continue;
        auto* const limited = gateway_.limitedServer(number);
        if (limited && number != reservedServer) {
            // Another server that names no limit runs the request sooner than this one after a wait.
            auto const patience = areAllLimited
                ? Admission::maxReservationWait(admissionQuery(), gateway_.loadOf(server.record))
                : Core::Duration::zero();
            auto const send = tryLimitedSend(number, *limited, patience);
            if (send == LimitedSend::Awaited)
                return;
            if (send == LimitedSend::Refused) {
                isLimited = true;
                continue;
            }
        }
        if (gateway_.tryAcquireColdSend(server, pool) && trySend(server, pool))
            return;
    }
    if (mayHaveRun_)
        fail(statusBadGateway, "no-other-server");
    else if (servers.empty() && shortestSilence)
        refuseForSilence("servers-silent", *shortestSilence);
    else if (isLimited && !refusal)
        refuse("servers-limited", Admission::overloadRetryAfter(gateway_.random_.unit()));
    else
        refuse("no-server", refusal ? refusal->retryAfter : defaultRetryAfter);
}

void Exchange::refuseForSilence(std::string_view reason, Core::Duration left)
{
    refuse(reason, Admission::silenceRetryAfter(left, gateway_.random_.unit()));
}

/// Logs the estimates behind a refusal, so that a wrong estimate shows beside the measured times of other requests.
void Exchange::logAdmission(Fleet::ViewServer const& server, Refusal const& refusal)
{
    gateway_.events_.write(EventId::AdmissionRefused,
        { { "request", metadata_.attemptId }, { "server", server.record.name.value },
            { "waitMs", Core::toMilliseconds(refusal.expectedWait) },
            { "serviceMs", Core::toMilliseconds(refusal.serviceTime) }, { "requestsAtServer", refusal.occupancy },
            { "leftMs", Core::toMilliseconds(remainingTime()) },
            { "toTargetMs", Core::toMilliseconds(targetTime_ - gateway_.loop_.now()) },
            { "isReturning", isReturning_ } });
}

bool Exchange::trySend(Fleet::ViewServer const& server, Fleet::PoolItem const& pool)
{
    OutgoingRequest outgoing;
    outgoing.attemptId = metadata_.attemptId;
    outgoing.expectsNoBody = request_.head.method == "HEAD";
    outgoing.isIdempotent = isSafe();
    auto& bytes = outgoing.head;
    bytes.append(request_.head.method).append(" ").append(request_.head.target).append(" HTTP/1.1\r\n");
    auto forwarded = request_.head;
    auto const hasWorkspaces = gateway_.view_.hasWorkspaces();
    std::erase_if(
        forwarded.fields, [&](auto const& field) { return gateway_.codec_.replacesField(field.name, hasWorkspaces); });
    Proxy::appendForwardedFields(bytes, forwarded);
    for (auto const& field : gateway_.codec_.headerFieldsFor(server.record.name, remainingTime(), workspace_))
        Proxy::appendField(bytes, field.name, field.value);
    if (!body_->empty() || request_.head.contentLength || request_.head.isChunked)
        Proxy::appendField(bytes, "Content-Length", std::to_string(body_->size()));
    bytes.append("\r\n");
    outgoing.body = body_;
    auto& load = gateway_.loadOf(server.record);
    wasIdleAtSend_ = load.occupancy(gateway_.loop_.now()) + 1 <= load.slots();
    connection_ = gateway_.serverConnections_.send(server.record, outgoing, gateway_.connectionLimit(pool), *this);
    if (!connection_)
        return false;
    load.onSent(cost_);
    ++sends_;
    server_ = server.record.number;
    process_ = server.record.process();
    sentAt_ = gateway_.loop_.now();
    triedServers_.insert(process_);
    return true;
}

void Exchange::waitForOwner(Core::TimePoint expectedAt, Core::TimePoint latest)
{
    auto const now = gateway_.loop_.now();
    latest = std::min(latest, deadline_ - refusalMargin);
    if (expectedAt > deadline_ || latest <= now) {
        refuse("no-owner", std::max(expectedAt - now, defaultRetryAfter));
        return;
    }
    isWaiting_ = true;
    ownerExpectedAt_ = expectedAt;
    waitTimer_ = gateway_.loop_.after(latest - now, [this] {
        waitTimer_ = {};
        isWaiting_ = false;
        refuse("no-owner", defaultRetryAfter);
    });
}

void Exchange::onServerSilent(Fleet::ServerNumber process)
{
    if (waitsToBeSent() && process_ == process)
        takeBack();
}

bool Exchange::waitsToBeSent() const { return connection_ && !ServerConnections::hasBegunToSend(*connection_); }

bool Exchange::isServerStillChosen() const
{
    auto const* const server = gateway_.view_.findServer(server_);
    auto const* const pool = gateway_.view_.findPool(pool_);
    if (!server || !pool)
        return false;
    if (!pool->isKeyDivided)
        return gateway_.mayServe(server->record);
    auto const* const owner = gateway_.view_.findOwner(pool_, metadata_.key.value_or(0));
    return owner && owner->server == server_;
}

void Exchange::takeBack()
{
    endSend();
    gateway_.serverConnections_.abandon(std::exchange(connection_, nullptr));
    --sends_;
    dispatch();
}

void Exchange::onViewChanged()
{
    if (waitsToBeSent() && !isServerStillChosen()) {
        takeBack();
        return;
    }
    if (!isWaiting_)
        return;
    auto const* const owner = gateway_.view_.findOwner(pool_, metadata_.key.value_or(0));
    auto const* const server = owner ? gateway_.view_.findServer(owner->server) : nullptr;
    if (!server || server->record.process() == process_ || !mayBeSentTo(server->record.process()))
        return;
    if (sends_ > 0 && !tryStartRetry())
        refuse("owner-changed", defaultRetryAfter);
    else
        dispatch();
}

} // namespace Gateway
