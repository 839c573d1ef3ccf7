#include <LibCore/Memory.h>
#include <LibNet/HttpServer.h>
#include <LibProxy/HeaderRules.h>

#include <algorithm>
#include <array>

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

    StreamSettings callerStreamSettings()
    {
        StreamSettings settings;
        // The kernel also applies this timeout while a caller that is alive accepts no bytes, so it must not be shorter
        // than an answer may take.
        settings.silenceTimeout = maxSendTime;
        return settings;
    }

    bool mayHaveBody(std::uint16_t status) { return status != statusNoContent && status != statusNotModified; }

} // namespace

std::string_view reasonPhrase(std::uint16_t status)
{
    struct Phrase {
        std::uint16_t status;
        std::string_view text;
    };
    static constexpr std::array phrases { Phrase { 200, "OK" }, Phrase { 204, "No Content" },
        Phrase { 307, "Temporary Redirect" }, Phrase { 400, "Bad Request" }, Phrase { 401, "Unauthorized" },
        Phrase { 404, "Not Found" }, Phrase { 405, "Method Not Allowed" }, Phrase { 408, "Request Timeout" },
        Phrase { 413, "Content Too Large" }, Phrase { 429, "Too Many Requests" },
        Phrase { 431, "Request Header Fields Too Large" }, Phrase { 502, "Bad Gateway" },
        Phrase { 503, "Service Unavailable" }, Phrase { 504, "Gateway Timeout" } };
    auto const found = std::ranges::find(phrases, status, &Phrase::status);
    return found == phrases.end() ? "Status" : found->text;
}

/// One caller's connection: reads a request, waits for its answer, writes it, and starts again.
class HttpServer::Connection final : public StreamHandler, public Reclaimable {
public:
    Connection(HttpServer& server, std::uint64_t id, int fd)
        : server_(server)
        , id_(id)
        , stream_(server.loop_, *this, fd, callerStreamSettings())
    {
        restartTimer(server_.limits_.idleTimeout);
    }

    ~Connection() override
    {
        if (!isShutDown_)
            shutDown();
    }

    /// Neither event nor access to the server follows, although the object lives until the end of the turn, or as long
    /// as a loop that has stopped.
    void shutDown()
    {
        isShutDown_ = true;
        server_.loop_.cancel(timer_);
        releaseBody();
        if (stream_.isOpen() && stream_.pendingBytes() > 0)
            server_.handler_.onAnswerCutOff({ id_, exchange_ }, stream_.pendingBytes());
        stream_.close();
    }

    bool isIdle()
    {
        return phase_ == Phase::Head && !hasStarted_ && stream_.input().isEmpty() && stream_.pendingBytes() == 0;
    }

    std::size_t unsentBytes() const { return stream_.pendingBytes(); }
    bool isReading() const { return phase_ == Phase::Body || (phase_ == Phase::Head && hasStarted_); }

    /// Ends a request that was not read whole, and the connection with it.
    void refuse(std::uint16_t status)
    {
        HttpResponse response;
        response.status = status;
        writeResponse(std::move(response), true);
        linger();
    }

    void respond(std::uint64_t exchange, HttpResponse response)
    {
        if (phase_ != Phase::Answer || exchange != exchange_)
            return;
        auto const closes = response.closes || server_.isDraining_ || !keepsAlive_;
        writeResponse(std::move(response), closes);
        releaseBody();
        if (closes) {
            linger();
            return;
        }
        phase_ = Phase::Head;
        hasStarted_ = false;
        reader_ = std::nullopt;
        restartTimer(server_.limits_.idleTimeout);
        if (stream_.input().isEmpty())
            stream_.input().releaseMemory();
        else
            // Not at once: the answer may have been given from within the reading of this request.
            server_.loop_.post([&server = server_, id = id_] { resumeReading(server, id); });
        stream_.resume();
    }

private:
    enum class Phase : std::uint8_t {
        Head,
        Body,
        Answer,
        /// The last answer was written; what still arrives is discarded until the caller closes.
        Lingering,
    };

    static void resumeReading(HttpServer& server, std::uint64_t id)
    {
        auto const found = server.connections_.find(id);
        if (found != server.connections_.end())
            found->second->readInput();
    }

    void onData(Stream&) override { readInput(); }

    void onEnd(Stream&, StreamEnd) override
    {
        if (phase_ == Phase::Answer)
            server_.handler_.onAbandoned({ id_, exchange_ });
        server_.drop(id_);
    }

    void readInput()
    {
        if (phase_ == Phase::Head)
            readHead();
        if (phase_ == Phase::Body)
            readBody();
        if (phase_ == Phase::Lingering)
            stream_.input().consume(stream_.input().view().size());
    }

    void readHead()
    {
        if (stream_.input().isEmpty())
            return;
        if (!hasStarted_) {
            hasStarted_ = true;
            startedAt_ = server_.loop_.now();
            restartTimer(server_.limits_.headTimeout);
            reader_.emplace(Proxy::MessageKind::Request, server_.limits_.maxHeadBytes);
        }
        auto const isComplete = reader_->readHead(stream_.input());
        if (isComplete.isError()) {
            auto const isTooLarge = isComplete.error().kind == Proxy::ParseErrorKind::HeadTooLarge;
            refuse(isTooLarge ? statusHeadTooLarge : statusBadRequest);
            return;
        }
        if (!isComplete.value())
            return;
        keepsAlive_ = reader_->head().keepsAlive;
        if (reader_->head().contentLength.value_or(0) > server_.limits_.maxBodyBytes) {
            refuse(statusContentTooLarge);
            return;
        }
        auto const expectation = reader_->head().find("Expect");
        if (expectation && Proxy::equalsIgnoringCase(*expectation, "100-continue"))
            stream_.write("HTTP/1.1 100 Continue\r\n\r\n");
        phase_ = Phase::Body;
        readAt_ = server_.loop_.now();
        restartTimer(server_.limits_.idleTimeout);
    }

    void readBody()
    {
        std::array<char, bodyChunkBytes> chunk {};
        while (!reader_->isDone()) {
            auto const produced = reader_->readBody(stream_.input(), chunk);
            if (produced.isError()) {
                refuse(statusBadRequest);
                return;
            }
            if (produced.value() == 0)
                break;
            readAt_ = server_.loop_.now();
            body_.append(chunk.data(), produced.value());
            server_.heldBodyBytes_ += produced.value();
            if (body_.size() > server_.limits_.maxBodyBytes) {
                refuse(statusContentTooLarge);
                return;
            }
        }
        if (!reader_->isDone()) {
            stream_.resume();
            return;
        }
        phase_ = Phase::Answer;
        server_.loop_.cancel(timer_);
        ++exchange_;
        heldBytes_ = body_.size();
        HttpRequest request { reader_->head(), std::move(body_), startedAt_ };
        body_.clear();
        server_.handler_.onRequest({ id_, exchange_ }, std::move(request));
    }

    void releaseBody()
    {
        server_.heldBodyBytes_ -= heldBytes_ + body_.size();
        heldBytes_ = 0;
        Core::releaseMemory(body_);
    }

    void linger()
    {
        phase_ = Phase::Lingering;
        stream_.resume();
        stream_.input().consume(stream_.input().view().size());
        // Closing with unread bytes would reset the connection and might take the answer with it.
        restartTimer(lingerTimeout);
    }

    void writeResponse(HttpResponse response, bool closes)
    {
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
        auto const hasBody = mayHaveBody(response.status) && !isHeadRequest();
        auto const isLarge = response.body.size() >= minOwnedBodyBytes;
        if (hasBody && !isLarge)
            text.append(response.body);
        sendsUntil_ = server_.loop_.now() + maxSendTime;
        stream_.write(text);
        if (hasBody && isLarge)
            stream_.writeOwned(std::move(response.body));
        if (stream_.pendingBytes() > 0)
            server_.sending_.insert(id_);
    }

    bool isHeadRequest() const { return reader_ && reader_->head().method == "HEAD"; }

    void restartTimer(Core::Duration delay)
    {
        server_.loop_.cancel(timer_);
        timer_ = server_.loop_.after(delay, [this] { onTimer(); });
    }

    void onTimer()
    {
        timer_ = {};
        auto const idleAt = readAt_ + server_.limits_.idleTimeout;
        if (phase_ == Phase::Body && server_.loop_.now() < idleAt) {
            restartTimer(idleAt - server_.loop_.now());
            return;
        }
        if (isReading()) {
            refuse(statusRequestTimeout);
            return;
        }
        // The answer is not sent yet.
        if (stream_.pendingBytes() > 0 && server_.loop_.now() < sendsUntil_) {
            restartTimer(phase_ == Phase::Lingering ? lingerTimeout : server_.limits_.idleTimeout);
            return;
        }
        server_.drop(id_);
    }

    HttpServer& server_;
    std::uint64_t id_;
    Stream stream_;
    bool isShutDown_ { false };
    Phase phase_ { Phase::Head };
    /// Bytes of the next request have arrived.
    bool hasStarted_ { false };
    Core::TimePoint startedAt_;
    /// When the last piece of the body arrived.
    Core::TimePoint readAt_;
    bool keepsAlive_ { true };
    std::uint64_t exchange_ { 0 };
    std::optional<Proxy::MessageReader> reader_;
    std::string body_;
    /// Size of the body that was handed over and is not answered yet.
    std::size_t heldBytes_ { 0 };
    /// A caller that takes longer for its answer does not get it whole.
    Core::TimePoint sendsUntil_;
    EventLoop::TimerId timer_;
};

HttpServer::HttpServer(EventLoop& loop, HttpHandler& handler)
    : loop_(loop)
    , handler_(handler)
{
}

HttpServer::~HttpServer() = default;

std::unique_ptr<HttpServer> HttpServer::open(EventLoop& loop, Core::Endpoint const& endpoint, HttpHandler& handler)
{
    auto server = std::unique_ptr<HttpServer>(new HttpServer(loop, handler));
    server->listener_ = Listener::open(loop, endpoint, [&created = *server](int fd) { created.accept(fd); });
    if (!server->listener_)
        return nullptr;
    return server;
}

void HttpServer::accept(int fd)
{
    auto const id = nextConnection_++;
    connections_.emplace(id, std::make_unique<Connection>(*this, id, fd));
}

void HttpServer::drop(std::uint64_t connection)
{
    sending_.erase(connection);
    auto node = connections_.extract(connection);
    if (node.empty())
        return;
    node.mapped()->shutDown();
    loop_.reclaim(std::move(node.mapped()));
}

void HttpServer::respond(ExchangeId id, HttpResponse response)
{
    auto const found = connections_.find(id.connection);
    if (found != connections_.end())
        found->second->respond(id.exchange, std::move(response));
}

std::uint64_t HttpServer::unsentAnswerBytes()
{
    std::uint64_t bytes = 0;
    std::erase_if(sending_, [&](auto const id) {
        auto const unsent = connections_.at(id)->unsentBytes();
        bytes += unsent;
        return unsent == 0;
    });
    return bytes;
}

void HttpServer::closeIdle()
{
    std::vector<std::uint64_t> idle;
    for (auto const& [id, connection] : connections_) {
        if (connection->isIdle())
            idle.push_back(id);
    }
    for (auto const id : idle)
        drop(id);
}

void HttpServer::refuseIncomplete()
{
    for (auto const& [id, connection] : connections_) {
        if (connection->isReading())
            connection->refuse(statusServiceUnavailable);
    }
}

void HttpServer::closeAll()
{
    while (!connections_.empty())
        drop(connections_.begin()->first);
}

} // namespace Net
