#include <LibCore/Random.h>
#include <LibProxy/Exchange.h>

#include <algorithm>

namespace Proxy {

using Policy::AttemptKind;
using Policy::AttemptOutcome;

namespace {

    constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

    /// Whether the server reported that it did not run the request.
    bool isReportedNotRun(MessageHead const& head)
    {
        return head.status >= 400 && head.find("Primroseshift-Outcome") == nameOf(Outcome::NotRun);
    }

    Rejection toRejection(BodyError error)
    {
        switch (error) {
        case BodyError::Malformed:
            return { Reason::BadRequest };
        case BodyError::TooLarge:
            return { Reason::BodyTooLarge };
        case BodyError::CallerLeft:
            return { Reason::CallerLeft };
        case BodyError::DeadlinePassed:
            return { Reason::DeadlineUnreachable };
        }
        return { Reason::BadRequest };
    }

    RequestRecord beginRecord(Environment const& environment, CallerConnection const& caller, MessageHead const& head)
    {
        RequestRecord record { .requestId = Core::RequestId::generate(threadRandom()), .trace = traceOf(head) };
        auto const name = head.find(environment.settings.callerHeader);
        record.caller = { std::string(name.value_or(caller.remoteAddress)) };
        record.method = head.method;
        record.begin = Core::BootClock::now();
        return record;
    }

} // namespace

Exchange::Exchange(Environment& environment, CallerConnection& caller, MessageReader& request, bool keepsCaller)
    : environment_(environment)
    , record_(beginRecord(environment, caller, request.head()))
    , body_(request, caller.input, caller.socket)
    , context_ { .head = request.head(),
        .body = body_,
        .caller = caller.socket,
        .record = record_,
        .stopDeadline = environment.stopDeadline }
    , relay_(environment, context_, keepsCaller)
{
}

bool Exchange::run()
{
    ++environment_.requestsInFlight;
    auto result = process();
    active_.clear();
    std::optional<Rejection> rejection;
    if (result.isError()) {
        rejection = result.error();
        // A request that may have run on an earlier attempt is never reported as not run.
        if (unknownReason_ && outcomeOf(rejection->reason) == Outcome::NotRun)
            rejection->reason = *unknownReason_;
    }
    settleOrder(rejection);
    if (rejection)
        relay_.reject(*rejection);
    finishRecord(rejection);
    --environment_.requestsInFlight;
    return relay_.keepsCaller();
}

Core::Result<Core::Void, Rejection> Exchange::process()
{
    TRY(admit(environment_, context_));
    TRY(prepareBody());
    context_.fingerprint = fingerprintOf(context_);
    TRY(checkQuarantine());
    if (!context_.isIdempotent() && !context_.idempotencyKey.empty() && TRY(claimOrder()))
        return Core::Void {};
    return runAttempts();
}

Core::Result<Core::Void, Rejection> Exchange::prepareBody()
{
    if (auto const expectation = context_.head.find("Expect")) {
        if (!equalsIgnoringCase(*expectation, "100-continue"))
            return Rejection { Reason::BadRequest };
        if (!context_.head.isHttp10 && !body_.isDone())
            context_.caller.send(continueResponse);
    }
    auto const buffered = body_.buffer(RequestBody::bufferedBytes, context_.callerDeadline, context_.stopDeadline);
    if (buffered.isError())
        return toRejection(buffered.error());
    return Core::Void {};
}

Core::Result<Core::Void, Rejection> Exchange::checkQuarantine() const
{
    auto const isQuarantined = std::ranges::any_of(context_.view->quarantine, [&](auto const& entry) {
        return entry.fingerprint == context_.fingerprint && entry.route == context_.route->name;
    });
    if (isQuarantined)
        return Rejection { Reason::Quarantined };
    return Core::Void {};
}

OrderKey Exchange::orderKey() const { return { context_.route->name, record_.caller, context_.idempotencyKey }; }

Core::Result<bool, Rejection> Exchange::claimOrder()
{
    auto claimed = environment_.collaborators.orders.claim(
        orderKey(), context_.fingerprint, record_.requestId, context_.deadline());
    if (claimed.isError())
        return Rejection { Reason::NotReady, std::chrono::seconds(1) };
    auto const visitor = Core::Overloaded {
        [&](OrderClaimed) -> Core::Result<bool, Rejection> {
            context_.isClaimed = true;
            return false;
        },
        [](OrderInProgress) -> Core::Result<bool, Rejection> {
            return Rejection { Reason::InProgress, std::chrono::seconds(1) };
        },
        [](OrderUnknown) -> Core::Result<bool, Rejection> { return Rejection { Reason::FirstAttemptUnknown }; },
        [](OrderMismatch) -> Core::Result<bool, Rejection> { return Rejection { Reason::KeyReused }; },
        [&](OrderCompleted const& completed) -> Core::Result<bool, Rejection> {
            if (!completed.answer)
                return Rejection { Reason::AnswerNotKept };
            relay_.replay(*completed.answer);
            return true;
        },
    };
    return std::visit(visitor, claimed.value());
}

Core::Result<Core::Void, Rejection> Exchange::runAttempts()
{
    auto kind = AttemptKind::First;
    while (true) {
        auto const result = runAttempt(kind);
        if (!result.isError())
            return Core::Void {};
        auto const& failure = result.error();
        if (!failure.mayRetry || record_.attempts >= environment_.settings.maxAttempts)
            return failure.rejection;
        // Jitter keeps the retries of many callers apart; the dispatcher bounds their number.
        constexpr std::uint64_t backoffMilliseconds = 10;
        auto const backoff = std::chrono::milliseconds(threadRandom().below(backoffMilliseconds << record_.retries));
        auto const isPastDeadline = Core::BootClock::now() + backoff >= context_.deadline();
        if (isPastDeadline || !pauseFor(context_, backoff))
            return failure.rejection;
        kind = AttemptKind::Retry;
        ++record_.retries;
    }
}

Core::Result<std::unique_ptr<Attempt>, Exchange::OpenFailure> Exchange::startAttempt(AttemptKind kind)
{
    auto planned = planAttempt(environment_, context_, kind, excluded_);
    if (planned.isError())
        return OpenFailure { planned.error() };
    auto plan = std::move(planned).value();
    plan.needsNewConnection = needsNewConnection_;
    record_.server = plan.server.name;
    ++record_.attempts;
    auto attempt = std::make_unique<Attempt>(environment_, context_, std::move(plan));
    auto const sent = attempt->send();
    if (sent.isError())
        return failAttempt(*attempt, sent.error());
    return attempt;
}

Core::Result<Core::Void, Exchange::OpenFailure> Exchange::runAttempt(AttemptKind kind)
{
    auto attempt = TRY(startAttempt(kind));
    auto const winner = TRY(awaitResponse(std::move(attempt)));
    return deliver(*winner);
}

Exchange::OpenFailure Exchange::failAttempt(Attempt& attempt, AttemptFailure const& failure)
{
    auto const mayHaveRun = attempt.mayHaveRun();
    attempt.finishFailed(failure.outcome);
    excluded_.push_back(attempt.serverName());
    needsNewConnection_ = needsNewConnection_ || mayHaveRun;
    auto rejection = failure.rejection;
    if (mayHaveRun && outcomeOf(rejection.reason) == Outcome::Unknown)
        unknownReason_ = rejection.reason;
    auto const isFailureOfServer = failure.outcome == AttemptOutcome::ConnectFailed
        || failure.outcome == AttemptOutcome::ConnectionLost || failure.outcome == AttemptOutcome::Shed
        || failure.outcome == AttemptOutcome::FencingRefused;
    auto const mayRun = context_.isIdempotent() || !mayHaveRun;
    return { rejection, isFailureOfServer && mayRun && body_.canBeSentAgain() };
}

Core::TimePoint Exchange::nextWakeUp() const
{
    auto wakeUp = context_.deadline();
    if (hedgeAt_)
        wakeUp = std::min(wakeUp, *hedgeAt_);
    if (silentAt_)
        wakeUp = std::min(wakeUp, *silentAt_);
    return wakeUp;
}

Core::Result<std::unique_ptr<Attempt>, Exchange::OpenFailure> Exchange::awaitResponse(std::unique_ptr<Attempt> attempt)
{
    hedgeAt_.reset();
    silentAt_.reset();
    auto const mayRepeat = context_.isIdempotent() && body_.canBeSentAgain() && body_.isDone();
    if (mayRepeat && attempt->isReused() && record_.attempts == 1)
        silentAt_ = Core::BootClock::now() + environment_.settings.silentConnectionTimeout;
    if (mayRepeat && record_.attempts == 1) {
        if (auto const delay = environment_.collaborators.permits.hedgeDelay(context_.pool->name, context_.route->name))
            hedgeAt_ = Core::BootClock::now() + *delay;
    }
    active_.clear();
    active_.push_back(std::move(attempt));
    while (true) {
        auto answered = pollAttempts();
        if (!answered.isError() && answered.value()) {
            // The attempts that lost are cancelled by closing their connections. They may have run.
            if (!active_.empty())
                unknownReason_ = Reason::ConnectionLost;
            active_.clear();
            return std::move(answered).value();
        }
        if (!answered.isError())
            continue;
        auto const failure = answered.error();
        auto const last = std::move(active_.back());
        active_.clear();
        return failAttempt(*last, failure);
    }
}

Core::Result<std::unique_ptr<Attempt>, AttemptFailure> Exchange::pollAttempts()
{
    std::array<pollfd, 3> polled {};
    std::size_t count = 0;
    for (auto const& attempt : active_)
        polled.at(count++) = { attempt->descriptor(), POLLIN | POLLRDHUP, 0 };
    auto& caller = polled.at(count++);
    caller = { context_.isClaimed ? -1 : context_.caller.descriptor(), POLLRDHUP, 0 };
    if (!context_.waitFor(std::span(polled).first(count), nextWakeUp())) {
        TRY(onTimeout());
        return std::unique_ptr<Attempt> {};
    }
    if ((caller.revents & hangUpEvents) != 0)
        return AttemptFailure { AttemptOutcome::Cancelled, { Reason::Cancelled } };
    for (std::size_t i = 0; i < active_.size(); ++i) {
        if (polled.at(i).revents == 0)
            continue;
        auto const complete = active_[i]->readHead();
        if (complete.isError() && active_.size() == 1)
            return complete.error();
        auto const position = active_.begin() + static_cast<std::ptrdiff_t>(i);
        if (complete.isError()) {
            failAttempt(*active_[i], complete.error());
            active_.erase(position);
            break;
        }
        if (complete.value()) {
            auto winner = std::move(active_[i]);
            active_.erase(position);
            record_.server = winner->serverName();
            return winner;
        }
    }
    return std::unique_ptr<Attempt> {};
}

Core::Result<Core::Void, AttemptFailure> Exchange::onTimeout()
{
    auto const now = Core::BootClock::now();
    if (now >= context_.deadline())
        return AttemptFailure { AttemptOutcome::TimedOut, { Reason::DeadlineExceeded } };
    if (hedgeAt_ && now >= *hedgeAt_) {
        hedgeAt_.reset();
        startHedge();
    }
    // A reused connection that stays silent may be half-open. Only a new connection can tell, so the work moves there.
    if (silentAt_ && now >= *silentAt_) {
        silentAt_.reset();
        if (active_.size() == 1)
            return AttemptFailure { AttemptOutcome::ConnectionLost, { Reason::ConnectionLost } };
    }
    return Core::Void {};
}

void Exchange::startHedge()
{
    auto const firstServer = record_.server;
    excluded_.push_back(firstServer);
    auto hedge = startAttempt(AttemptKind::Hedge);
    if (hedge.isError()) {
        record_.server = firstServer;
        return;
    }
    ++record_.hedges;
    active_.push_back(std::move(hedge).value());
}

Core::Result<Core::Void, Exchange::OpenFailure> Exchange::deliver(Attempt& attempt)
{
    record_.serverLatency = attempt.latency();
    auto const& head = attempt.responseHead();
    if (isReportedNotRun(head)) {
        auto const outcome = head.status == 409 ? AttemptOutcome::FencingRefused : AttemptOutcome::Shed;
        // Reads the rest of the short refusal, so that the connection can be kept.
        std::array<char, 4096> discarded {};
        auto rest = attempt.readBody(discarded);
        while (!rest.isError() && rest.value() > 0)
            rest = attempt.readBody(discarded);
        if (rest.isError())
            attempt.finishFailed(outcome);
        else
            attempt.finishAnswered(outcome);
        excluded_.push_back(attempt.serverName());
        auto const mayRetry = context_.isIdempotent() && body_.canBeSentAgain();
        return OpenFailure { { Reason::ServerRefused, std::chrono::seconds(1) }, mayRetry };
    }
    auto const forwarded = relay_.forward(attempt);
    if (forwarded.isError())
        return failAttempt(attempt, forwarded.error());
    record_.isTruncated = relay_.isTruncated();
    return Core::Void {};
}

void Exchange::settleOrder(std::optional<Rejection> const& rejection)
{
    if (!context_.isClaimed)
        return;
    auto& orders = environment_.collaborators.orders;
    if (rejection && outcomeOf(rejection->reason) == Outcome::NotRun)
        orders.abandon(orderKey(), record_.requestId);
    else if (rejection || relay_.isTruncated())
        orders.markUnknown(orderKey(), record_.requestId);
    else
        orders.complete(orderKey(), record_.requestId, relay_.keptAnswer());
}

void Exchange::finishRecord(std::optional<Rejection> const& rejection)
{
    record_.reason = rejection ? rejection->reason : Reason::None;
    if (record_.isTruncated)
        record_.reason = relay_.callerLeft() ? Reason::Cancelled : Reason::ConnectionLost;
    record_.outcome = outcomeOf(record_.reason);
    record_.bytesIn = body_.bytesRead();
    record_.total = Core::BootClock::now() - record_.begin;
    environment_.collaborators.observer.requestFinished(record_);
}

} // namespace Proxy
