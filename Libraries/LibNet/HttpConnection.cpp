#include <LibCore/Memory.h>
#include <LibNet/HttpConnection.h>
#include <LibProxy/HeaderRules.h>

#include <algorithm>
#include <array>
#include <functional>
#include <numeric>
#include <utility>

namespace Net {

namespace {

    constexpr std::uint16_t statusBadRequest = 400;
    constexpr std::uint16_t statusRequestTimeout = 408;
    constexpr std::uint16_t statusContentTooLarge = 413;
    constexpr std::uint16_t statusHeadTooLarge = 431;
    constexpr std::uint16_t statusServiceUnavailable = 503;
    constexpr std::uint16_t statusNoContent = 204;
    constexpr std::uint16_t statusNotModified = 304;

    /// Decoded at once from the input.
    constexpr std::size_t bodyChunkBytes = 16UL * 1024;
    /// A body of this size is handed to the stream as it is. Smaller ones are sent with the head, in one call.
    constexpr std::size_t minOwnedBodyBytes = 64UL * 1024;
    /// How long the rest of a refused request may take to arrive, once the answer is sent, before the connection is
    /// closed.
    constexpr Core::Duration lingerTimeout = std::chrono::seconds(1);

    /// 16 MiB, the largest answer that an entry host holds, take 32 s on a link of 4.2 Mbit/s.
    constexpr Core::Duration maxSendTime = std::chrono::seconds(60);

    /// The requests of one connection that may be in progress at the same time.
    constexpr std::size_t maxExchanges = 16;
    /// No further request is read while the answers that wait for an earlier one or for the caller exceed this.
    constexpr std::size_t maxFinishedBytes = 256UL * 1024;

    /// A body larger than this must arrive at least at the lowest rate, which no link that is in use is slower than.
    constexpr std::size_t minRatedBodyBytes = 64UL * 1024;
    constexpr Core::Duration ratePeriod = std::chrono::seconds(10);
    constexpr std::size_t minPeriodBytes = 10UL * 1024;

    /// The Retry-After time after a refusal for lack of memory, in seconds.
    constexpr std::string_view memoryRetryAfter = "0.5";

    StreamSettings callerStreamSettings()
    {
        StreamSettings settings;
        // The kernel also applies this timeout while a caller that is alive accepts no bytes, so it must not be shorter
        // than an answer may take.
        settings.silenceTimeout = maxSendTime;
        return settings;
    }

    /// The memory that an answer takes before it is handed to the stream.
    std::size_t answerBytes(HttpResponse const& response)
    {
        return std::transform_reduce(response.fields.begin(), response.fields.end(),
            sizeof response + response.reason.size() + response.body.size(), std::plus(),
            [](auto const& field) { return sizeof field + field.name.size() + field.value.size(); });
    }

    bool mayHaveBody(std::uint16_t status) { return status != statusNoContent && status != statusNotModified; }

    bool expectsContinue(Proxy::MessageHead const& head)
    {
        auto const expectation = head.find("Expect");
        return expectation && Proxy::equalsIgnoringCase(*expectation, "100-continue");
    }

} // namespace

HttpConnection::HttpConnection(HttpServer& server, std::uint64_t id, int fd)
    : server_(server)
    , id_(id)
    , stream_(server.loop_, *this, fd, callerStreamSettings())
    , lastActive_(server.loop_.now())
{
    restartTimer(server_.limits_.idleTimeout);
}

HttpConnection::~HttpConnection()
{
    if (!isShutDown_)
        shutDown();
}

void HttpConnection::shutDown()
{
    isShutDown_ = true;
    server_.loop_.cancel(timer_);
    releaseBody();
    for (auto const& exchange : exchanges_) {
        server_.heldBodyBytes_ -= exchange.bodyBytes;
        server_.waitingAnswerBytes_ -= exchange.waitingBytes;
    }
    if (stream_.isOpen() && stream_.pendingBytes() > 0)
        server_.handler_.onAnswerCutOff({ id_, lastExchange_ }, stream_.pendingBytes());
    stream_.close();
}

bool HttpConnection::isIdle()
{
    return phase_ == Phase::Head && !hasStarted_ && exchanges_.empty() && stream_.input().isEmpty()
        && stream_.pendingBytes() == 0;
}

bool HttpConnection::isReading() const
{
    return phase_ == Phase::Body || phase_ == Phase::Deferred || (phase_ == Phase::Head && hasStarted_);
}

void HttpConnection::refuse(std::uint16_t status)
{
    Exchange refused;
    refused.id = ++lastExchange_;
    refused.isHead = reader_ && reader_->head().method == "HEAD";
    refused.closes = true;
    refused.response.emplace().status = status;
    if (status == statusServiceUnavailable)
        refused.response->fields.push_back({ "Retry-After", std::string(memoryRetryAfter) });
    exchanges_.push_back(std::move(refused));
    phase_ = Phase::Ended;
    server_.loop_.cancel(timer_);
    releaseBody();
    writeAnswers();
}

void HttpConnection::respond(std::uint64_t id, HttpResponse response)
{
    auto const exchange = std::ranges::find(exchanges_, id, &Exchange::id);
    if (exchange == exchanges_.end() || exchange->response)
        return;
    server_.heldBodyBytes_ -= std::exchange(exchange->bodyBytes, 0);
    exchange->response = std::move(response);
    if (exchange != exchanges_.begin()) {
        exchange->waitingBytes = answerBytes(*exchange->response);
        server_.waitingAnswerBytes_ += exchange->waitingBytes;
    }
    lastActive_ = server_.loop_.now();
    writeAnswers();
}

bool HttpConnection::mustWait(std::uint64_t id) const { return !exchanges_.empty() && exchanges_.front().id != id; }

void HttpConnection::writeAnswers()
{
    while (!exchanges_.empty() && exchanges_.front().response) {
        auto& exchange = exchanges_.front();
        auto const mustClose = exchange.closes || exchange.response->closes || server_.isDraining_;
        auto const isLast = exchanges_.size() == 1;
        if (mustClose && !isLast) {
            // The answers of later requests, which were handed over, must reach the caller first. Nothing else is read.
            exchanges_.back().closes = true;
            if (phase_ != Phase::Ended)
                releaseBody();
            phase_ = Phase::Ended;
        }
        write(exchange, mustClose && isLast);
        exchanges_.pop_front();
        if (mustClose && isLast) {
            linger();
            return;
        }
    }
    if (!exchanges_.empty() || phase_ == Phase::Lingering)
        return;
    if (phase_ == Phase::Deferred) {
        phase_ = Phase::Body;
        restartTimer(server_.limits_.idleTimeout);
    }
    if (phase_ == Phase::Head && !hasStarted_) {
        restartTimer(server_.limits_.idleTimeout);
        if (stream_.input().isEmpty())
            stream_.input().releaseMemory();
    }
    scheduleReading();
}

/// Not at once: an answer may be given from within the reading of its request.
void HttpConnection::scheduleReading()
{
    stream_.resume();
    // A deferred request without a body needs no further bytes.
    auto const hasWork = phase_ == Phase::Body || !stream_.input().isEmpty();
    if (!hasWork || std::exchange(isReadingScheduled_, true))
        return;
    server_.loop_.post([&server = server_, id = id_] { resumeReading(server, id); });
}

void HttpConnection::resumeReading(HttpServer& server, std::uint64_t id)
{
    auto const found = server.connections_.find(id);
    if (found == server.connections_.end())
        return;
    found->second->isReadingScheduled_ = false;
    found->second->readInput();
}

void HttpConnection::onData(Stream&)
{
    lastActive_ = server_.loop_.now();
    readInput();
    if (!stream_.input().isEmpty() && !mayRead() && !bufferedSince_)
        bufferedSince_ = server_.loop_.now();
}

void HttpConnection::onEnd(Stream&, StreamEnd)
{
    for (auto const& exchange : exchanges_) {
        if (!exchange.response)
            server_.handler_.onAbandoned({ id_, exchange.id });
    }
    server_.drop(id_);
}

std::size_t HttpConnection::finishedBytes() const
{
    return std::transform_reduce(exchanges_.begin(), exchanges_.end(), stream_.pendingBytes(), std::plus(),
        [](auto const& exchange) { return exchange.waitingBytes; });
}

bool HttpConnection::mayRead() const
{
    if (phase_ != Phase::Head && phase_ != Phase::Body)
        return false;
    if (exchanges_.empty() || phase_ == Phase::Body)
        return true;
    return !server_.isDraining_ && !exchanges_.back().isExclusive && exchanges_.size() < maxExchanges
        && finishedBytes() <= maxFinishedBytes && server_.mayReadAhead();
}

void HttpConnection::readInput()
{
    while (mayRead()) {
        auto const mayGoOn = phase_ == Phase::Head ? readHead() : readBody();
        if (!mayGoOn)
            break;
    }
    if (phase_ == Phase::Lingering)
        stream_.input().consume(stream_.input().view().size());
    if (stream_.input().isEmpty())
        bufferedSince_.reset();
}

bool HttpConnection::readHead()
{
    if (stream_.input().isEmpty())
        return false;
    if (!hasStarted_) {
        hasStarted_ = true;
        startedAt_ = bufferedSince_.value_or(server_.loop_.now());
        restartTimer(server_.limits_.headTimeout);
        reader_.emplace(Proxy::MessageKind::Request, server_.limits_.maxHeadBytes);
    }
    auto const isComplete = reader_->readHead(stream_.input());
    if (isComplete.isError()) {
        auto const isTooLarge = isComplete.error().kind == Proxy::ParseErrorKind::HeadTooLarge;
        refuse(isTooLarge ? statusHeadTooLarge : statusBadRequest);
        return false;
    }
    if (!isComplete.value()) {
        countBytes();
        return false;
    }
    auto const& head = reader_->head();
    if (head.contentLength.value_or(0) > server_.limits_.maxBodyBytes) {
        refuse(statusContentTooLarge);
        return false;
    }
    periodBegan_ = server_.loop_.now();
    periodBytes_ = 0;
    restartTimer(server_.limits_.idleTimeout);
    if (!exchanges_.empty() && (expectsContinue(head) || !server_.handler_.mayRunBesideOthers(head))) {
        phase_ = Phase::Deferred;
        server_.loop_.cancel(timer_);
        return false;
    }
    phase_ = Phase::Body;
    if (expectsContinue(head))
        stream_.write("HTTP/1.1 100 Continue\r\n\r\n");
    return true;
}

bool HttpConnection::readBody()
{
    std::array<char, bodyChunkBytes> chunk {};
    while (!reader_->isDone()) {
        auto const produced = reader_->readBody(stream_.input(), chunk);
        if (produced.isError()) {
            refuse(statusBadRequest);
            return false;
        }
        if (produced.value() == 0)
            break;
        body_.append(chunk.data(), produced.value());
        periodBytes_ += produced.value();
        if (body_.size() > server_.limits_.maxBodyBytes) {
            refuse(statusContentTooLarge);
            return false;
        }
        // May refuse this request for lack of memory.
        countBytes();
        if (phase_ != Phase::Body)
            return false;
    }
    if (!reader_->isDone()) {
        if (!refuseSlowBody())
            stream_.resume();
        return false;
    }
    handOver();
    return true;
}

bool HttpConnection::refuseSlowBody()
{
    auto const now = server_.loop_.now();
    if (now - periodBegan_ < ratePeriod)
        return false;
    if (periodBytes_ < minPeriodBytes && body_.size() > minRatedBodyBytes) {
        refuse(statusRequestTimeout);
        return true;
    }
    periodBegan_ = now;
    periodBytes_ = 0;
    return false;
}

void HttpConnection::handOver()
{
    server_.loop_.cancel(timer_);
    auto const& head = reader_->head();
    Exchange exchange;
    exchange.id = ++lastExchange_;
    exchange.isHead = head.method == "HEAD";
    exchange.isExclusive = expectsContinue(head) || !server_.handler_.mayRunBesideOthers(head);
    exchange.closes = !head.keepsAlive;
    exchange.bodyBytes = body_.size();
    HttpRequest request { head, std::move(body_), startedAt_ };
    body_.clear();
    // The bytes are counted with the exchange from now on.
    server_.heldBodyBytes_ += exchange.bodyBytes;
    releaseBody();
    hasStarted_ = false;
    reader_ = std::nullopt;
    phase_ = exchange.closes ? Phase::Ended : Phase::Head;
    exchanges_.push_back(exchange);
    server_.handler_.onRequest({ id_, exchange.id }, std::move(request));
}

void HttpConnection::countBytes()
{
    auto const bytes = body_.size() + stream_.input().view().size();
    server_.heldBodyBytes_ += bytes - countedBytes_;
    countedBytes_ = bytes;
    server_.makeRoom(*this);
}

void HttpConnection::releaseBody()
{
    server_.heldBodyBytes_ -= std::exchange(countedBytes_, 0);
    Core::releaseMemory(body_);
}

void HttpConnection::linger()
{
    phase_ = Phase::Lingering;
    releaseBody();
    stream_.resume();
    stream_.input().consume(stream_.input().view().size());
    // Closing with unread bytes would reset the connection and might take the answer with it.
    restartTimer(lingerTimeout);
}

void HttpConnection::write(Exchange& exchange, bool closes)
{
    server_.waitingAnswerBytes_ -= std::exchange(exchange.waitingBytes, 0);
    auto& response = *exchange.response;
    std::string text = "HTTP/1.1 ";
    text.append(std::to_string(response.status)).append(" ");
    text.append(response.reason.empty() ? reasonPhrase(response.status) : response.reason).append("\r\n");
    for (auto const& field : response.fields)
        Proxy::appendField(text, field.name, field.value);
    if (mayHaveBody(response.status))
        Proxy::appendField(text, "Content-Length", std::to_string(response.body.size()));
    if (closes)
        Proxy::appendField(text, "Connection", "close");
    text.append("\r\n");
    auto const hasBody = mayHaveBody(response.status) && !exchange.isHead;
    auto const isLarge = response.body.size() >= minOwnedBodyBytes;
    if (hasBody && !isLarge)
        text.append(response.body);
    sendsUntil_ = server_.loop_.now() + maxSendTime;
    if (server_.pacer_)
        server_.pacer_->countOther(server_.loop_.now(), text.size() + (hasBody && isLarge ? response.body.size() : 0));
    stream_.write(text);
    if (hasBody && isLarge)
        stream_.writeOwned(std::move(response.body));
    if (stream_.pendingBytes() > 0)
        server_.sending_.insert(id_);
}

void HttpConnection::restartTimer(Core::Duration delay)
{
    server_.loop_.cancel(timer_);
    timer_ = server_.loop_.after(delay, [this] { onTimer(); });
}

void HttpConnection::onTimer()
{
    timer_ = {};
    auto const idleAt = lastActive_ + server_.limits_.idleTimeout;
    if (phase_ == Phase::Body && server_.loop_.now() < idleAt) {
        restartTimer(idleAt - server_.loop_.now());
        return;
    }
    if (phase_ == Phase::Head && hasStarted_ && !mayRead()) {
        // The rest of the head may have arrived, and is not read before earlier answers have left.
        restartTimer(server_.limits_.headTimeout);
        return;
    }
    if (isReading()) {
        refuse(statusRequestTimeout);
        return;
    }
    if (!exchanges_.empty())
        return;
    // The answer is not sent yet.
    if (stream_.pendingBytes() > 0 && server_.loop_.now() < sendsUntil_) {
        restartTimer(phase_ == Phase::Lingering ? lingerTimeout : server_.limits_.idleTimeout);
        return;
    }
    server_.drop(id_);
}

} // namespace Net
