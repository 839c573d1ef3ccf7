#include <LibCore/Memory.h>
#include <LibNet/HttpClient.h>

#include <array>
#include <charconv>

namespace Net {

namespace {

    constexpr std::size_t bodyChunkBytes = 16UL * 1024;
    /// A body up to this size is sent with the head, in one call.
    constexpr std::size_t maxCopiedBodyBytes = 16UL * 1024;
    /// The bytes of a request that the stream may hold.
    constexpr std::size_t maxPendingBytes = 64UL * 1024;
    constexpr std::uint16_t firstFinalStatus = 200;
    /// Messages before the answer that are skipped. A server in trouble may send them without end; a sound one sends an
    /// informational answer or two, or the late answer to an earlier request.
    constexpr std::uint32_t maxSkipped = 8;

    /// The value of `timeout` in a `Keep-Alive` header, in whole seconds.
    std::optional<Core::Duration> parseKeepAlive(std::string_view value)
    {
        constexpr std::string_view key = "timeout=";
        auto const at = value.find(key);
        if (at == std::string_view::npos)
            return std::nullopt;
        auto const digits = value.substr(at + key.size());
        unsigned seconds = 0;
        if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc {})
            return std::nullopt;
        return std::chrono::seconds(seconds);
    }

} // namespace

std::string_view toString(ExchangeFailure failure)
{
    switch (failure) {
    case ExchangeFailure::NotConnected:
        return "not-connected";
    case ExchangeFailure::Refused:
        return "refused";
    case ExchangeFailure::TurnedAway:
        return "turned-away";
    case ExchangeFailure::NoAnswer:
        return "no-answer";
    case ExchangeFailure::Truncated:
        return "truncated";
    case ExchangeFailure::Malformed:
        return "malformed";
    case ExchangeFailure::AnswerTooLarge:
        break;
    }
    return "answer-too-large";
}

HttpClient::HttpClient(
    EventLoop& loop, HttpClientHandler& handler, Core::Endpoint const& server, HttpClientSettings const& settings)
    : loop_(loop)
    , handler_(handler)
    , settings_(settings)
    , stream_(loop, *this, server, settings.stream)
    , lastUsed_(loop.now())
{
}

HttpClient::~HttpClient()
{
    loop_.cancel(sendTimer_);
    leaveLine();
    dropBody();
}

void HttpClient::onConnected(Stream&)
{
    sendTimer_ = loop_.after(settings_.settleTime, [this] { settle(); });
}

void HttpClient::settle()
{
    isSettled_ = true;
    sendMore();
}

std::size_t HttpClient::waitingBytes() const { return requestBytes_ - handedBytes_; }

std::string_view HttpClient::waiting() const
{
    if (handedBytes_ < head_.size())
        return std::string_view(head_).substr(handedBytes_);
    return requestBody_ ? std::string_view(*requestBody_).substr(handedBytes_ - head_.size()) : std::string_view {};
}

void HttpClient::onDrained(Stream&)
{
    if (isSettled_ && sendTimer_.number == 0 && waitingBytes() > 0)
        sendMore();
}

void HttpClient::sendMore()
{
    sendTimer_ = {};
    auto* const pacer = requestBytes_ >= BulkPacer::minBulkBytes ? settings_.pacer : nullptr;
    // The rest follows once the stream is drained, so that a large body is not held twice.
    while (stream_.isOpen() && waitingBytes() > 0 && stream_.pendingBytes() < maxPendingBytes) {
        auto const rest = waiting().substr(0, maxPendingBytes);
        auto const count = pacer ? pacer->take(loop_.now(), *this, rest.size()) : rest.size();
        if (pacer && count == 0) {
            if (pacer->hasTurn(*this))
                sendTimer_ = loop_.after(pacer->nextAt() - loop_.now(), [this] { sendMore(); });
            return;
        }
        if (!pacer && settings_.pacer)
            settings_.pacer->countOther(loop_.now(), count);
        handedBytes_ += count;
        stream_.write(rest.substr(0, count));
    }
    leaveLine();
    if (waitingBytes() == 0)
        dropRequest();
}

void HttpClient::onTurn()
{
    if (sendTimer_.number == 0)
        sendTimer_ = loop_.after({}, [this] { sendMore(); });
}

void HttpClient::leaveLine()
{
    if (settings_.pacer)
        settings_.pacer->leave(*this);
}

void HttpClient::dropRequest()
{
    Core::releaseMemory(head_);
    requestBody_.reset();
    handedBytes_ = requestBytes_;
}

void HttpClient::send(std::string_view head, std::shared_ptr<std::string const> body, bool expectsNoBody)
{
    isBusy_ = true;
    expectsNoBody_ = expectsNoBody;
    lastUsed_ = loop_.now();
    reader_ = std::nullopt;
    hasHead_ = false;
    skipped_ = 0;
    head_ = head;
    requestBody_ = std::move(body);
    // One write for both.
    if (requestBody_ && requestBody_->size() <= maxCopiedBodyBytes) {
        head_.append(*requestBody_);
        requestBody_.reset();
    }
    handedBytes_ = 0;
    requestBytes_ = head_.size() + (requestBody_ ? requestBody_->size() : 0);
    if (isSettled_)
        sendMore();
}

void HttpClient::onData(Stream&)
{
    if (!isBusy_) {
        isReusable_ = false;
        stream_.close();
        handler_.onIdleEnd(*this);
        return;
    }
    if (!isSettled_) {
        fail(ExchangeFailure::TurnedAway);
        return;
    }
    while (isBusy_ && stream_.isOpen() && !stream_.input().isEmpty()) {
        if (!readAnswer())
            return;
    }
}

bool HttpClient::readHead()
{
    if (!reader_) {
        reader_.emplace(Proxy::MessageKind::Response, settings_.maxHeadBytes);
        if (expectsNoBody_)
            reader_->expectNoBody();
    }
    auto const isComplete = reader_->readHead(stream_.input());
    if (isComplete.isError()) {
        fail(ExchangeFailure::Malformed);
        return false;
    }
    if (!isComplete.value())
        return false;
    hasHead_ = true;
    auto const& head = reader_->head();
    isSkipping_ = head.status < firstFinalStatus || !handler_.isExpected(*this, head);
    if (isSkipping_ && ++skipped_ > maxSkipped) {
        fail(ExchangeFailure::Malformed);
        return false;
    }
    // An answer without a body, to HEAD or 304, may name the length of another one.
    if (!reader_->isDone() && head.contentLength.value_or(0) > settings_.maxBodyBytes) {
        fail(ExchangeFailure::AnswerTooLarge);
        return false;
    }
    return true;
}

/// Reads one message as far as it has arrived. False when more input is needed or the exchange has failed.
bool HttpClient::readAnswer()
{
    if (!hasHead_ && !readHead())
        return false;
    std::array<char, bodyChunkBytes> chunk {};
    while (!reader_->isDone()) {
        auto const produced = reader_->readBody(stream_.input(), chunk);
        if (produced.isError()) {
            fail(ExchangeFailure::Malformed);
            return false;
        }
        if (produced.value() == 0)
            break;
        if (!keep({ chunk.data(), produced.value() }))
            return false;
    }
    if (!reader_->isDone()) {
        stream_.resume();
        return false;
    }
    finishAnswer();
    return true;
}

bool HttpClient::keep(std::string_view piece)
{
    if (body_.size() + piece.size() > settings_.maxBodyBytes) {
        fail(ExchangeFailure::AnswerTooLarge);
        return false;
    }
    body_.append(piece);
    if (!settings_.budget)
        return true;
    // Not its capacity, which is up to twice as much: memory that was never written to is not taken from the host.
    auto const hasLength = reader_->head().contentLength.has_value();
    if (auto* const victim = settings_.budget->hold(*this, body_.size(), hasLength))
        victim->fail(ExchangeFailure::AnswerTooLarge);
    return isBusy_;
}

void HttpClient::dropBody()
{
    Core::releaseMemory(body_);
    if (settings_.budget)
        settings_.budget->release(*this);
}

void HttpClient::finishAnswer()
{
    HttpAnswer answer { reader_->head(), std::move(body_) };
    dropBody();
    reader_ = std::nullopt;
    hasHead_ = false;
    if (answer.head.status < firstFinalStatus)
        return;
    noteKeepAlive(answer.head);
    if (isSkipping_) {
        // The next message answers the request. The connection has lost its order, so it is not used again.
        isReusable_ = false;
        return;
    }
    // After an answer that came before the end of a body, nothing else may be sent where the rest is due.
    if (!answer.head.keepsAlive || !stream_.input().isEmpty() || waitingBytes() > 0)
        isReusable_ = false;
    loop_.cancel(sendTimer_);
    leaveLine();
    dropRequest();
    isBusy_ = false;
    lastUsed_ = loop_.now();
    stream_.input().releaseMemory();
    handler_.onAnswer(*this, std::move(answer));
}

void HttpClient::noteKeepAlive(Proxy::MessageHead const& head)
{
    if (auto const value = head.find("Keep-Alive"))
        idleTimeout_ = parseKeepAlive(*value);
}

void HttpClient::close()
{
    isReusable_ = false;
    isBusy_ = false;
    loop_.cancel(sendTimer_);
    leaveLine();
    dropBody();
    requestBody_.reset();
    stream_.close();
}

void HttpClient::fail(ExchangeFailure failure)
{
    close();
    handler_.onFailure(*this, failure);
}

void HttpClient::onEnd(Stream&, StreamEnd reason)
{
    if (!isBusy_) {
        isReusable_ = false;
        handler_.onIdleEnd(*this);
        return;
    }
    if (reason == StreamEnd::NotConnected || reason == StreamEnd::Refused) {
        fail(reason == StreamEnd::Refused ? ExchangeFailure::Refused : ExchangeFailure::NotConnected);
        return;
    }
    if (!isSettled_) {
        fail(ExchangeFailure::TurnedAway);
        return;
    }
    if (!hasHead_) {
        fail(ExchangeFailure::NoAnswer);
        return;
    }
    // Only an orderly end completes an answer that has no length. A server that closes its connection before it has the
    // whole request resets it, which may look like an orderly end here.
    if (reason == StreamEnd::EndOfStream && unsentBytes() == 0 && reader_->finishAtEndOfStream()) {
        isReusable_ = false;
        finishAnswer();
        if (isBusy_)
            fail(ExchangeFailure::NoAnswer);
        return;
    }
    fail(ExchangeFailure::Truncated);
}

} // namespace Net
