#include <LibCore/Random.h>
#include <LibProxy/Attempt.h>
#include <LibProxy/HeaderRules.h>

#include <algorithm>

namespace Proxy {

using Policy::AttemptOutcome;

namespace {

    constexpr std::size_t bodyPieceBytes = 64UL * 1024;
    /// Interim responses to one request. A sound server sends one or two; LibNet has the same bound.
    constexpr std::uint32_t maxInterimResponses = 8;

    MessageReader responseReader(Environment const& environment, RequestContext const& context)
    {
        MessageReader reader(MessageKind::Response, environment.settings.maxHeadBytes);
        if (context.head.method == "HEAD")
            reader.expectNoBody();
        return reader;
    }

} // namespace

Attempt::Attempt(Environment& environment, RequestContext& context, AttemptPlan plan)
    : environment_(environment)
    , context_(context)
    , plan_(std::move(plan))
    , response_(responseReader(environment, context))
{
    auto const& request = context.record;
    span_ = { .requestId = request.requestId,
        .trace = request.trace,
        .route = request.route,
        .pool = request.pool,
        .server = plan_.server.name,
        .kind = plan_.kind,
        .begin = Core::BootClock::now() };
    span_.trace.parentSpanId = request.trace.spanId;
    span_.trace.spanId = threadRandom().next();
    environment_.collaborators.observer.attemptBegan(span_);
}

Attempt::~Attempt()
{
    if (!isFinished_)
        finish(AttemptOutcome::Cancelled, {});
}

AttemptFailure Attempt::fail(AttemptOutcome outcome, Reason reason) const { return { outcome, { reason } }; }

AttemptFailure Attempt::failBody(BodyError error) const
{
    if (error == BodyError::DeadlinePassed)
        return fail(AttemptOutcome::Cancelled, Reason::DeadlineExceeded);
    return fail(AttemptOutcome::Cancelled, error == BodyError::CallerLeft ? Reason::Cancelled : Reason::BodyBroken);
}

Core::Result<Core::Void, AttemptFailure> Attempt::connect()
{
    auto const& settings = environment_.settings;
    auto maxAge = context_.isIdempotent() ? settings.serverIdleTimeout : settings.provenConnectionAge;
    if (plan_.needsNewConnection)
        maxAge = Core::Duration { -1 };
    auto opened = environment_.connections.open({ .server = plan_.server,
        .entryHosts = plan_.entryHosts,
        .maxAge = maxAge,
        .deadline = std::min(context_.deadline(), Core::BootClock::now() + settings.connectTimeout),
        .watched = context_.isClaimed ? -1 : context_.caller.descriptor(),
        .alarm = context_.stopDeadline.descriptor() });
    if (!opened.isError()) {
        connection_.emplace(std::move(opened).value());
        return Core::Void {};
    }
    if (std::holds_alternative<ConnectionLimitReached>(opened.error()))
        return AttemptFailure { AttemptOutcome::NotSent, { Reason::Overloaded, std::chrono::seconds(1) } };
    if (!context_.isClaimed && hasHungUp(context_.caller.descriptor()))
        return fail(AttemptOutcome::NotSent, Reason::CallerLeft);
    return fail(AttemptOutcome::ConnectFailed, Reason::ConnectFailed);
}

Core::Result<Core::Void, AttemptFailure> Attempt::send()
{
    TRY(connect());
    auto const head = requestHead();
    if (Core::BootClock::now() >= context_.deadline())
        return fail(AttemptOutcome::NotSent, Reason::DeadlineUnreachable);
    // Last check before the first byte: the process may have been paused since the permit was granted.
    if (!environment_.collaborators.views.hasValidLease())
        return AttemptFailure { AttemptOutcome::NotSent, { Reason::NotReady, std::chrono::seconds(1) } };
    isSent_ = true;
    sentAt_ = Core::BootClock::now();
    auto const isChunked = context_.head.isChunked;
    auto const buffered = context_.body.buffered();
    auto const chunk = isChunked ? encodeChunk(buffered) : std::string();
    if (!TRY(sendPiece(head, isChunked ? std::string_view(chunk) : buffered)))
        return Core::Void {};
    return sendRemainingBody();
}

Core::Result<Core::Void, AttemptFailure> Attempt::sendRemainingBody()
{
    auto const& body = context_.body;
    auto const isChunked = context_.head.isChunked;
    std::vector<char> buffer(body.isDone() ? 0 : bodyPieceBytes);
    while (!body.isDone()) {
        auto const piece = context_.body.read(buffer);
        if (piece.isError())
            return failBody(piece.error());
        if (piece.value() == 0) {
            if (body.isDone())
                break;
            if (!TRY(waitForServer(0, true)))
                return Core::Void {};
            continue;
        }
        // A caller that sends without a pause never makes this thread wait.
        if (context_.hasPassed())
            return fail(AttemptOutcome::Cancelled, Reason::DeadlineExceeded);
        auto const data = std::string_view(buffer.data(), piece.value());
        auto const frame = isChunked ? chunkHeader(data.size()) : std::string();
        if (!TRY(sendPiece(frame, data)) || (isChunked && !TRY(sendPiece("\r\n", {}))))
            return Core::Void {};
    }
    if (isChunked && !TRY(sendPiece(lastChunk, {})))
        return Core::Void {};
    isBodySent_ = true;
    return Core::Void {};
}

Core::Result<bool, AttemptFailure> Attempt::sendPiece(std::string_view first, std::string_view second)
{
    while (!first.empty() || !second.empty()) {
        auto const sent
            = first.empty() ? connection_->socket().send(second) : connection_->socket().send(first, second);
        // After a failed send the response may still be readable; reading decides.
        if (sent.status == IoStatus::Failed || sent.status == IoStatus::Closed)
            return false;
        if (sent.status == IoStatus::WouldBlock) {
            if (!TRY(waitForServer(POLLOUT, false)))
                return false;
            continue;
        }
        auto const fromFirst = std::min(sent.bytes, first.size());
        first.remove_prefix(fromFirst);
        second.remove_prefix(sent.bytes - fromFirst);
    }
    return true;
}

Core::Result<bool, AttemptFailure> Attempt::waitForServer(short events, bool readsCaller)
{
    auto const watchesCaller = readsCaller || !context_.isClaimed;
    auto const callerEvents = static_cast<short>(readsCaller ? POLLIN | POLLRDHUP : POLLRDHUP);
    std::array<pollfd, 2> polled { pollfd { descriptor(), static_cast<short>(events | POLLIN), 0 },
        pollfd { watchesCaller ? context_.caller.descriptor() : -1, callerEvents, 0 } };
    // A caller that is slow with its body says nothing about the server.
    if (!context_.waitFor(polled))
        return fail(readsCaller ? AttemptOutcome::Cancelled : AttemptOutcome::TimedOut, Reason::DeadlineExceeded);
    // A caller that ends its stream in the middle of the body is found by reading.
    if (!readsCaller && (polled[1].revents & hangUpEvents) != 0)
        return fail(AttemptOutcome::Cancelled, Reason::Cancelled);
    return (polled[0].revents & ~POLLOUT) == 0;
}

Core::Result<bool, AttemptFailure> Attempt::readHead()
{
    while (true) {
        auto const received = input_.receiveFrom(connection_->socket());
        if (received.status == IoStatus::WouldBlock)
            return false;
        if (received.status != IoStatus::Done)
            return fail(AttemptOutcome::ConnectionLost, Reason::ConnectionLost);
        if (latency_.count() == 0)
            latency_ = Core::BootClock::now() - sentAt_;
        auto complete = response_.readHead(input_);
        while (!complete.isError() && complete.value() && response_.head().status / 100 == 1) {
            // Interim responses are for this hop only. An upgrade was never asked for.
            if (response_.head().status == 101 || ++interimResponses_ > maxInterimResponses)
                return fail(AttemptOutcome::ConnectionLost, Reason::ConnectionLost);
            response_ = responseReader(environment_, context_);
            complete = response_.readHead(input_);
        }
        if (complete.isError())
            return fail(AttemptOutcome::ConnectionLost, Reason::ConnectionLost);
        if (complete.value())
            return true;
    }
}

Core::Result<std::size_t, AttemptFailure> Attempt::readBody(std::span<char> output)
{
    while (true) {
        auto const decoded = response_.readBody(input_, output);
        if (decoded.isError())
            return fail(AttemptOutcome::ConnectionLost, Reason::ConnectionLost);
        if (decoded.value() > 0 || response_.isDone())
            return decoded.value();
        // A server that sends without a pause never makes this thread wait, so the wait alone would not end it.
        if (context_.hasPassed())
            return fail(AttemptOutcome::TimedOut, Reason::DeadlineExceeded);
        auto const received = input_.receiveFrom(connection_->socket());
        if (received.status == IoStatus::WouldBlock) {
            // A response in progress has nothing more to write, so every event of the server's side is readable.
            TRY(waitForServer(0, false));
            continue;
        }
        // A reset while the request was being sent may look like an orderly end: the failed write took the error of the
        // socket. A server that closes its connection before it has the whole request resets it, too.
        if (received.status == IoStatus::Closed && isBodySent_ && response_.endsWithStream()
            && response_.finishAtEndOfStream())
            return std::size_t { 0 };
        if (received.status != IoStatus::Done)
            return fail(AttemptOutcome::ConnectionLost, Reason::ConnectionLost);
    }
}

std::string Attempt::requestHead() const
{
    auto const remaining
        = std::max<std::int64_t>(1, Core::toMilliseconds(context_.deadline() - Core::BootClock::now()));
    std::string text;
    text.reserve(1024);
    text.append(context_.head.method).append(" ").append(context_.head.target).append(" HTTP/1.1\r\n");
    appendForwardedFields(text, context_.head);
    appendField(text, "Primroseshift-Request-Id", context_.record.requestId.toString());
    appendField(text, "Primroseshift-Deadline-Ms", std::to_string(remaining));
    appendField(text, "traceparent", toTraceParent(context_.record.trace, span_.trace.spanId));
    if (plan_.epoch) {
        appendField(text, "Primroseshift-Slot", std::to_string(context_.slot->value));
        appendField(text, "Primroseshift-Epoch", std::to_string(plan_.epoch->value));
    }
    if (context_.head.isChunked)
        appendField(text, "Transfer-Encoding", "chunked");
    else if (context_.head.contentLength)
        appendField(text, "Content-Length", std::to_string(*context_.head.contentLength));
    else if (context_.head.method == "POST" || context_.head.method == "PUT" || context_.head.method == "PATCH")
        // RFC 9110 section 8.6. Some servers wait for a body when these methods come without a length.
        appendField(text, "Content-Length", "0");
    return text.append("\r\n");
}

void Attempt::finishAnswered(AttemptOutcome outcome)
{
    auto const isReusable = isBodySent_ && response_.isDone() && response_.head().keepsAlive
        && !response_.endsWithStream() && input_.isEmpty();
    AttemptEnd const end { .status = response_.head().status, .reusedConnection = isReused() };
    if (isReusable)
        connection_->giveBack(Core::BootClock::now());
    else
        connection_->close();
    finish(outcome, end);
}

void Attempt::finishFailed(AttemptOutcome outcome)
{
    if (isFinished_)
        return;
    AttemptEnd const end { .reusedConnection = isReused() };
    if (connection_)
        connection_->close();
    if (!isSent_ || (outcome != AttemptOutcome::ConnectionLost && outcome != AttemptOutcome::TimedOut))
        return finish(outcome, end);
    // The probe may take a while, and the caller must not wait for it. The permit is held until it ends.
    isFinished_ = true;
    plan_.slotUse.end();
    std::function<void()> job = [finished = finishedAttempt(outcome, end), &environment = environment_,
                                    endpoint = plan_.server.endpoint]() mutable {
        auto const deadline = Core::BootClock::now() + environment.settings.probeTimeout;
        auto& finishedEnd = finished.end;
        finishedEnd.serverUnreachable = !ServerConnections::probe(endpoint, deadline);
        finishedEnd.halfOpenConnection
            = !finishedEnd.serverUnreachable && finishedEnd.reusedConnection && finishedEnd.latency.count() == 0;
        finished.report(environment);
    };
    if (!environment_.probes.tryRun(job))
        job();
}

void Attempt::finish(AttemptOutcome outcome, AttemptEnd end)
{
    isFinished_ = true;
    if (connection_)
        connection_->close();
    plan_.slotUse.end();
    finishedAttempt(outcome, end).report(environment_);
}

Attempt::Finished Attempt::finishedAttempt(AttemptOutcome outcome, AttemptEnd end) const
{
    end.outcome = outcome;
    end.end = Core::BootClock::now();
    end.latency = latency_;
    return { span_, end, plan_.permit.id };
}

void Attempt::Finished::report(Environment const& environment) const
{
    environment.collaborators.permits.release(span.pool, span.server,
        { .permit = permit,
            .outcome = end.outcome,
            .latency = end.latency,
            .serverUnreachable = end.serverUnreachable });
    environment.collaborators.observer.attemptEnded(span, end);
}

} // namespace Proxy
