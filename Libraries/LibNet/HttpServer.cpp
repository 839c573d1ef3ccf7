#include <LibNet/HttpConnection.h>

#include <unistd.h>

#include <algorithm>
#include <array>

namespace Net {

namespace {

    constexpr std::uint16_t statusServiceUnavailable = 503;

    /// Requests up to this size give way only once the memory limit is exceeded by an eighth, and after larger ones.
    constexpr std::size_t smallRequestBytes = 64UL * 1024;
    constexpr std::size_t reserveDivisor = 8;

    /// The part of the memory limit that waiting answers may take before no request is read ahead is one divided by
    /// this.
    constexpr std::uint64_t waitingAnswersDivisor = 4;

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
    if (connections_.size() >= maxConnections_)
        closeLeastActive();
    if (connections_.size() >= maxConnections_) {
        ::close(fd);
        return;
    }
    auto const id = nextConnection_++;
    connections_.emplace(id, std::make_unique<HttpConnection>(*this, id, fd));
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

/// Closes the idle connection that has been idle for longest. If there is none, the one whose request has not arrived
/// whole and has made no progress for longest.
void HttpServer::closeLeastActive()
{
    HttpConnection* least = nullptr;
    std::uint64_t leastId = 0;
    auto const isBefore = [](HttpConnection& a, HttpConnection& b) {
        return a.isIdle() == b.isIdle() ? a.lastActive() < b.lastActive() : a.isIdle();
    };
    for (auto const& [id, connection] : connections_) {
        if (connection->hasExchanges() || (least && !isBefore(*connection, *least)))
            continue;
        least = connection.get();
        leastId = id;
    }
    if (least)
        drop(leastId);
}

std::uint64_t HttpServer::heldBytes() { return heldBodyBytes_ + handler_.heldBytes(); }

void HttpServer::makeRoom(HttpConnection const& reading)
{
    while (heldBytes() > maxHeldBytes_) {
        auto* victim = findLeastActiveReader(smallRequestBytes);
        if (!victim && heldBytes() > maxHeldBytes_ + maxHeldBytes_ / reserveDivisor)
            victim = findLeastActiveReader(0);
        if (!victim)
            return;
        handler_.onMemoryRefusal(victim->readBytes());
        victim->refuse(statusServiceUnavailable);
        if (victim == &reading)
            return;
    }
}

HttpConnection* HttpServer::findLeastActiveReader(std::size_t minBytes)
{
    HttpConnection* least = nullptr;
    for (auto const& [id, connection] : connections_) {
        if (connection->readBytes() > minBytes && (!least || connection->lastActive() < least->lastActive()))
            least = connection.get();
    }
    return least;
}

void HttpServer::respond(ExchangeId id, HttpResponse response)
{
    auto const found = connections_.find(id.connection);
    if (found != connections_.end())
        found->second->respond(id.exchange, std::move(response));
}

bool HttpServer::mustWait(ExchangeId id) const
{
    auto const found = connections_.find(id.connection);
    return found != connections_.end() && found->second->mustWait(id.exchange);
}

bool HttpServer::mayReadAhead() const { return waitingAnswerBytes_ <= maxHeldBytes_ / waitingAnswersDivisor; }

std::uint64_t HttpServer::unsentAnswerBytes()
{
    auto bytes = waitingAnswerBytes_;
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
