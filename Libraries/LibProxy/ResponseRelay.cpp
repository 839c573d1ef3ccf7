#include <LibProxy/HeaderRules.h>
#include <LibProxy/ResponseRelay.h>

#include <algorithm>

namespace Proxy {

using Policy::AttemptOutcome;

namespace {

    constexpr std::size_t maxPieceBytes = 64UL * 1024;
    constexpr std::size_t minPieceBytes = 4UL * 1024;
    /// End of a chunk and the last chunk, written behind the data of the last piece.
    constexpr std::string_view chunkEnd = "\r\n0\r\n\r\n";
    constexpr std::size_t chunkEndWithoutLast = 2;
    /// Time to take delivery of a response that needs no permit any more.
    constexpr Core::Duration deliveryGrace = std::chrono::seconds(5);
    constexpr Core::Duration lingerTime = std::chrono::seconds(1);

    std::string_view reasonPhrase(std::uint16_t status)
    {
        switch (status) {
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 409:
            return "Conflict";
        case 413:
            return "Content Too Large";
        case 422:
            return "Unprocessable Content";
        case 431:
            return "Request Header Fields Too Large";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        default:
            return "Response";
        }
    }

    std::string statusLine(std::uint16_t status, std::string_view reason)
    {
        std::string text;
        text.reserve(1024);
        return text.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reason).append("\r\n");
    }

} // namespace

std::string rejectionMessage(Rejection const& rejection, Core::RequestId requestId, bool keepsCaller, bool withBody)
{
    auto const status = statusOf(rejection.reason);
    auto const outcome = nameOf(outcomeOf(rejection.reason));
    auto const reason = nameOf(rejection.reason);
    std::string body = "{\"outcome\":\"";
    body.append(outcome).append("\",\"reason\":\"").append(reason).append("\"}\n");
    auto text = statusLine(status, reasonPhrase(status));
    appendField(text, "Primroseshift-Outcome", outcome);
    appendField(text, "Primroseshift-Reason", reason);
    appendField(text, "Primroseshift-Request-Id", requestId.toString());
    if (status == 503 || rejection.retryAfter.count() > 0) {
        auto const seconds = std::chrono::ceil<std::chrono::seconds>(rejection.retryAfter).count();
        appendField(text, "Retry-After", std::to_string(std::max<std::int64_t>(1, seconds)));
    }
    appendField(text, "Content-Type", "application/json");
    appendField(text, "Content-Length", std::to_string(body.size()));
    if (!keepsCaller)
        appendField(text, "Connection", "close");
    return text.append("\r\n").append(withBody ? body : std::string());
}

ResponseRelay::Framing ResponseRelay::framingOf(MessageHead const& head) const
{
    if (context_.head.method == "HEAD" || head.status == 204 || head.status == 304)
        return Framing::NoBody;
    if (!head.isChunked && head.contentLength)
        return Framing::Length;
    return context_.head.isHttp10 ? Framing::UntilClose : Framing::Chunked;
}

std::string ResponseRelay::responseHead(MessageHead const& head, Framing framing) const
{
    auto text = statusLine(head.status, head.reason);
    appendForwardedFields(text, head);
    appendField(text, "Primroseshift-Outcome", nameOf(Outcome::Answered));
    appendField(text, "Primroseshift-Request-Id", context_.record.requestId.toString());
    if (head.contentLength && (framing == Framing::Length || framing == Framing::NoBody))
        appendField(text, "Content-Length", std::to_string(*head.contentLength));
    if (framing == Framing::Chunked)
        appendField(text, "Transfer-Encoding", "chunked");
    if (!keepsCaller_)
        appendField(text, "Connection", "close");
    return text.append("\r\n");
}

Core::Result<Core::Void, AttemptFailure> ResponseRelay::forward(Attempt& attempt)
{
    auto const& head = attempt.responseHead();
    auto const framing = framingOf(head);
    keepsCaller_ = keepsCaller_ && context_.body.isDone() && framing != Framing::UntilClose;
    context_.record.status = head.status;
    kept_ = KeptAnswer { head.status, std::string(head.find("Content-Type").value_or("")), {} };
    auto text = responseHead(head, framing);
    std::vector<char> buffer(
        std::clamp<std::size_t>(head.contentLength.value_or(maxPieceBytes), minPieceBytes, maxPieceBytes)
        + chunkEnd.size());
    auto isHeadSent = false;
    while (true) {
        auto const piece = attempt.readBody(std::span(buffer).first(buffer.size() - chunkEnd.size()));
        if (piece.isError()) {
            if (!isHeadSent)
                return piece.error();
            attempt.finishFailed(piece.error().outcome);
            truncate(framing);
            return Core::Void {};
        }
        auto const bytes = piece.value();
        keep({ buffer.data(), bytes });
        auto const isLast = attempt.isResponseComplete();
        // The permit is free before a slow caller takes the rest.
        if (isLast)
            attempt.finishAnswered(AttemptOutcome::Answered);
        auto length = bytes;
        if (framing == Framing::Chunked) {
            if (bytes > 0)
                text.append(chunkHeader(bytes));
            auto const end = bytes > 0 ? chunkEnd.substr(0, isLast ? chunkEnd.size() : chunkEndWithoutLast)
                                       : (isLast ? lastChunk : std::string_view {});
            std::ranges::copy(end, buffer.begin() + static_cast<std::ptrdiff_t>(bytes));
            length += end.size();
        }
        auto lastDelivery = std::optional<Core::TimePoint> {};
        if (isLast)
            lastDelivery = std::max(context_.deadline(), Core::BootClock::now() + deliveryGrace);
        if (write(text, { buffer.data(), length }, lastDelivery))
            context_.record.bytesOut += bytes;
        isHeadSent = true;
        text.clear();
        if (isLast)
            return Core::Void {};
        if (callerLeft_ && !context_.isClaimed) {
            attempt.finishFailed(AttemptOutcome::Cancelled);
            truncate(framing);
            return Core::Void {};
        }
    }
}

void ResponseRelay::keep(std::string_view data)
{
    if (!kept_)
        return;
    if (kept_->body.size() + data.size() > maxKeptAnswerBytes)
        kept_.reset();
    else
        kept_->body.append(data);
}

bool ResponseRelay::write(std::string_view first, std::string_view second, std::optional<Core::TimePoint> lastDelivery)
{
    while (!callerLeft_ && (!first.empty() || !second.empty())) {
        auto const sent = first.empty() ? context_.caller.send(second) : context_.caller.send(first, second);
        if (sent.status == IoStatus::WouldBlock) {
            std::array<pollfd, 1> polled { pollfd { context_.caller.descriptor(), POLLOUT, 0 } };
            callerLeft_ = lastDelivery ? !waitFor(polled, *lastDelivery) : !context_.waitFor(polled);
            continue;
        }
        callerLeft_ = sent.status != IoStatus::Done;
        auto const fromFirst = std::min(sent.bytes, first.size());
        first.remove_prefix(fromFirst);
        second.remove_prefix(sent.bytes - fromFirst);
    }
    keepsCaller_ = keepsCaller_ && !callerLeft_;
    return !callerLeft_;
}

void ResponseRelay::truncate(Framing framing)
{
    isTruncated_ = true;
    keepsCaller_ = false;
    kept_.reset();
    // Without a declared length a plain close looks like the end of the body.
    if (framing == Framing::UntilClose)
        context_.caller.resetOnClose();
}

void ResponseRelay::reject(Rejection const& rejection)
{
    keepsCaller_ = keepsCaller_ && context_.body.isDone();
    auto const message
        = rejectionMessage(rejection, context_.record.requestId, keepsCaller_, context_.head.method != "HEAD");
    context_.record.status
        = write(message, {}, Core::BootClock::now() + deliveryGrace) ? statusOf(rejection.reason) : 0;
    if (!context_.body.isDone() && !callerLeft_)
        context_.caller.finishSending(lingerTime);
}

void ResponseRelay::replay(KeptAnswer const& answer)
{
    auto const hasBody = answer.status != 204 && answer.status != 304;
    auto text = statusLine(answer.status, reasonPhrase(answer.status));
    appendField(text, "Primroseshift-Outcome", nameOf(Outcome::Answered));
    appendField(text, "Primroseshift-Request-Id", context_.record.requestId.toString());
    if (!answer.contentType.empty())
        appendField(text, "Content-Type", answer.contentType);
    if (hasBody)
        appendField(text, "Content-Length", std::to_string(answer.body.size()));
    keepsCaller_ = keepsCaller_ && context_.body.isDone();
    if (!keepsCaller_)
        appendField(text, "Connection", "close");
    text.append("\r\n");
    auto const body = hasBody ? std::string_view(answer.body) : std::string_view {};
    if (write(text, body, Core::BootClock::now() + deliveryGrace)) {
        context_.record.status = answer.status;
        context_.record.bytesOut += body.size();
    }
}

} // namespace Proxy
