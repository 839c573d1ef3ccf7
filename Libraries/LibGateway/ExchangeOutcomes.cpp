#include <LibGateway/Exchange.h>
#include <LibProxy/HeaderRules.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace Gateway {

using Telemetry::EventId;

namespace {

    constexpr std::uint16_t statusGatewayTimeout = 504;
    /// The status of a server that does not own the key or is not the server that was addressed.
    constexpr std::uint16_t statusMisdirected = 421;

    /// How long a request waits for a view update after a server has answered that it does not own the key.
    constexpr Core::Duration misdirectedWait = std::chrono::milliseconds(150);
    /// Delay before a retry at the same server, the only one that may run the request.
    constexpr Core::Duration sameServerPause = std::chrono::milliseconds(40);
    /// Maximum number of sends of one request, including those that a server refused.
    constexpr std::uint32_t maxSends = 3;

    std::string formatSeconds(Core::Duration duration)
    {
        std::array<char, 32> text {};
        auto const length
            = std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(duration).count());
        return { text.data(), static_cast<std::size_t>(length) };
    }

} // namespace

void Exchange::onAnswer(Net::HttpAnswer answer, AnswerMetadata const& metadata)
{
    auto const elapsed = gateway_.loop_.now() - sentAt_;
    auto const isMisdirected = answer.head.status == statusMisdirected;
    connection_ = nullptr;
    // Also if the server has left the view: it may return, and what it asks for holds then.
    if (auto* const server = endSend()) {
        auto& load = server->load;
        if (isMisdirected)
            load.onMisdirected(gateway_.loop_.now());
        else
            load.onReachable();
        gateway_.countAnswer(server_);
        // A misdirected answer may come from another server that has the address now.
        if (!isMisdirected)
            gateway_.onBackpressure(server->record, metadata.backpressure, sentAt_);
        if (metadata.load) {
            load.onReport(*metadata.load, gateway_.loop_.now());
            gateway_.countOccupancy(server_, *metadata.load);
        }
        auto const serviceTime = ServerLoad::serviceTimeOf(elapsed, wasIdleAtSend_, metadata.load);
        if (!metadata.isNotRun && serviceTime) {
            load.onServiceTime(*serviceTime, cost_);
            gateway_.costs_.record({ pool_, route_, body_->size() }, *serviceTime);
            gateway_.countLatency(server_, std::chrono::duration_cast<Core::Duration>(*serviceTime / cost_));
        }
    }
    if (metadata.isNotRun || isMisdirected) {
        rejectedBy_.insert(process_);
        if (!mayHaveRun_) {
            onNotRun(isMisdirected);
            return;
        }
        fail(statusBadGateway, "refused-after-unknown-send");
        return;
    }
    gateway_.recordAnswered(fingerprint());
    relay(std::move(answer));
}

/// Retries or refuses a request that the server reported as not run.
void Exchange::onNotRun(bool isMisdirected)
{
    auto const* const pool = gateway_.view_.findPool(pool_);
    if (pool && !pool->isKeyDivided) {
        if (tryStartRetry())
            dispatch();
        else
            refuse("refused-by-server", defaultRetryAfter);
        return;
    }
    if (auto const left = gateway_.silenceLeft(process_); left > Core::Duration::zero()) {
        refuseForSilence("owner-silent", left);
        return;
    }
    // The same owner would refuse the request again, so it is retried only after the view names another owner.
    if (isMisdirected) {
        waitForOwner(gateway_.loop_.now(), gateway_.loop_.now() + misdirectedWait);
        return;
    }
    if (mayBeSentTo(process_) && remainingTime() > sameServerPause && tryStartRetry())
        waitTimer_ = gateway_.loop_.after(sameServerPause, [this] { dispatch(); });
    else
        refuse("refused-by-server", ownerRetryAfter());
}

Core::Duration Exchange::ownerRetryAfter()
{
    auto const* const server = gateway_.view_.findServer(server_);
    if (!server)
        return defaultRetryAfter;
    auto const& load = gateway_.loadOf(server->record);
    return Admission::retryAfter(load.expectedWait(gateway_.loop_.now()), load.serviceTime(), gateway_.random_.unit());
}

bool Exchange::tryStartRetry() { return sends_ < maxSends && gateway_.tryRetry(pool_); }

bool Exchange::mayRunAt(Fleet::ServerNumber process) const
{
    return mayHaveRunAt_.size() < maxAttempts_ || mayHaveRunAt_.contains(process);
}

bool Exchange::mayBeSentTo(Fleet::ServerNumber process) const { return isSafe() || !rejectedBy_.contains(process); }

KnownServer* Exchange::endSend()
{
    auto* const server = gateway_.known_.find(process_);
    if (server)
        server->load.onDone(cost_);
    return server;
}

void Exchange::onFailure(Net::ExchangeFailure failure)
{
    connection_ = nullptr;
    auto const now = gateway_.loop_.now();
    auto* const server = endSend();
    gateway_.events_.write(EventId::RequestOutcomeUnknown,
        { { "request", metadata_.attemptId }, { "route", route_.value },
            { "server", server ? server->record.name.value : "" }, { "failure", Net::toString(failure) },
            { "afterMs", Core::toMilliseconds(now - sentAt_) } });
    auto const wasSent = failure != Net::ExchangeFailure::NotConnected && failure != Net::ExchangeFailure::Refused
        && failure != Net::ExchangeFailure::TurnedAway;
    if (!wasSent) {
        if (failure == Net::ExchangeFailure::Refused)
            gateway_.countRefusal(server_);
        --sends_;
        if (server)
            server->load.onUnreachable(now);
        dispatch();
        return;
    }
    if (server)
        server->load.onBrokenAnswer(now);
    gateway_.suspicions_.push_back({ toText(fingerprint()), server_ });
    mayHaveRun_ = true;
    mayHaveRunAt_.insert(process_);
    if (isSafe() && remainingTime() > sameServerPause && tryStartRetry()) {
        waitTimer_ = gateway_.loop_.after(sameServerPause, [this] { dispatch(); });
        return;
    }
    fail(statusBadGateway, Net::toString(failure));
}

void Exchange::relay(Net::HttpAnswer answer)
{
    if (!gateway_.hasRoomForAnswer(id_, answer.body.size())) {
        fail(statusBadGateway, "no-memory");
        return;
    }
    Net::HttpResponse response;
    response.status = answer.head.status;
    response.reason = answer.head.reason;
    std::string text;
    auto const connectionFields = answer.head.find("Connection").value_or("");
    for (auto& field : answer.head.fields) {
        if (!Proxy::isHopByHop(field.name, connectionFields))
            response.fields.push_back(std::move(field));
    }
    response.body = std::move(answer.body);
    respond(std::move(response), "answered", {});
}

void Exchange::refuse(std::string_view reason, Core::Duration retryAfter)
{
    refuse(statusUnavailable, reason, retryAfter);
}

void Exchange::refuse(std::uint16_t status, std::string_view reason, Core::Duration retryAfter)
{
    if (mayHaveRun_) {
        fail(statusBadGateway, reason);
        return;
    }
    refundQuota();
    gateway_.events_.write(EventId::RequestRejected,
        { { "request", metadata_.attemptId }, { "route", route_.value }, { "reason", reason },
            { "workspace", workspace_ ? workspace_->value : "" }, { "key", metadata_.key.value_or(0) },
            { "leftMs", Core::toMilliseconds(remainingTime()) },
            { "retryAfterMs", Core::toMilliseconds(retryAfter) } });
    Net::HttpResponse response;
    response.status = status;
    response.fields.push_back({ "Retry-After", formatSeconds(std::max(retryAfter, Core::Duration::zero())) });
    respond(std::move(response), "not-run", reason);
}

void Exchange::fail(std::uint16_t status, std::string_view reason)
{
    gateway_.events_.write(EventId::RequestRejected,
        { { "request", metadata_.attemptId }, { "route", route_.value }, { "reason", reason }, { "status", status } });
    Net::HttpResponse response;
    response.status = status;
    if (status == statusUnauthorized)
        response.fields.push_back(gateway_.codec_.challengeField());
    respond(std::move(response), "unknown", reason);
}

void Exchange::onDeadline()
{
    auto const isStopping = gateway_.drainDeadline_ && deadline_ >= *gateway_.drainDeadline_;
    std::string_view const reason = isStopping ? "stopping" : "deadline";
    if (!connection_) {
        refuse(reason, defaultRetryAfter);
        return;
    }
    endSend();
    auto const hasBegunToSend = ServerConnections::hasBegunToSend(*connection_);
    gateway_.serverConnections_.abandon(std::exchange(connection_, nullptr));
    if (hasBegunToSend)
        fail(statusGatewayTimeout, reason);
    else
        refuse(reason, defaultRetryAfter);
}

void Exchange::refundQuota()
{
    if (workspace_ && quotaUse_)
        gateway_.workspaceLimiter_.refund(*workspace_, *std::exchange(quotaUse_, std::nullopt));
}

void Exchange::abandon()
{
    cancelTimers();
    if (sends_ == 0)
        refundQuota();
    if (!connection_)
        return;
    endSend();
    gateway_.serverConnections_.abandon(std::exchange(connection_, nullptr));
}

void Exchange::logUnfinished() const
{
    auto const now = gateway_.loop_.now();
    auto const* const server = connection_ ? gateway_.view_.findServer(server_) : nullptr;
    gateway_.events_.write(EventId::RequestUnfinished,
        { { "request", metadata_.attemptId }, { "route", route_.value },
            { "waitsFor", std::string_view(connection_ ? "server" : "owner") },
            { "server", server ? server->record.name.value : "" }, { "sends", sends_ },
            { "unsentBytes", connection_ ? ServerConnections::unsentBytes(*connection_) : 0 },
            { "ageMs", Core::toMilliseconds(now - request_.startedAt) },
            { "sentAgoMs", connection_ ? Core::toMilliseconds(now - sentAt_) : 0 },
            { "leftMs", Core::toMilliseconds(remainingTime()) } });
}

void Exchange::respond(Net::HttpResponse response, std::string_view outcome, std::string_view reason)
{
    gateway_.metrics_.countRequest(pool_, route_, outcome, reason, gateway_.loop_.now() - request_.startedAt);
    cancelTimers();
    gateway_.finish(id_, std::move(response));
}

/// Prevents the timers and the reservation from calling back: a finished exchange is destroyed only at the end of the
/// current loop iteration.
void Exchange::cancelTimers()
{
    gateway_.loop_.cancel(deadlineTimer_);
    gateway_.loop_.cancel(waitTimer_);
    gateway_.reservations_.cancel(std::exchange(reservation_, 0));
    if (workspace_ && quotaWait_ != 0)
        gateway_.workspaceLimiter_.cancel(*workspace_, std::exchange(quotaWait_, 0));
}

} // namespace Gateway
