#include <LibGateway/ServerConnections.h>

#include <algorithm>
#include <array>
#include <functional>

namespace Gateway {

namespace {

    /// Idle connections are closed after this time, before the server closes them. Most servers do so after ten
    /// seconds.
    constexpr Core::Duration maxIdle = std::chrono::seconds(7);
    /// Safety margin below the idle timeout that a server announces in whole seconds.
    constexpr Core::Duration idleMargin = std::chrono::milliseconds(1500);
    /// A request that must not be retried uses only connections that were used this recently.
    constexpr Core::Duration maxIdleForUnsafe = std::chrono::seconds(3);
    constexpr Core::Duration sweepInterval = std::chrono::seconds(1);

    /// Time to wait on a new connection for a reset before sending. A server needs about a millisecond to accept or
    /// reset a connection, and the reset travels for half a round trip between failure domains.
    constexpr Core::Duration settleTime = std::chrono::milliseconds(3);

    Net::HttpClientSettings connectionSettings(Net::BulkPacer& pacer, Net::AnswerBudget& budget)
    {
        Net::HttpClientSettings settings;
        settings.pacer = &pacer;
        settings.budget = &budget;
        // Connecting to a host in the same region takes a few milliseconds; one lost packet delays it by a second.
        settings.stream.silenceTimeout = std::chrono::milliseconds(1500);
        settings.settleTime = settleTime;
        return settings;
    }

} // namespace

/// One connection to a backend server.
class ServerConnection final : private Net::HttpClientHandler, public Net::Reclaimable {
public:
    ServerConnection(Net::EventLoop& loop, ServerConnections& connections, RequestCodec const& codec,
        Net::HttpClientSettings const& settings, Fleet::ServerRecord const& server)
        : connections_(connections)
        , codec_(codec)
        , number_(server.number)
        , client_(loop, *this, server.address, settings)
    {
    }

    void start(OutgoingRequest const& request, AnswerHandler& handler)
    {
        handler_ = &handler;
        attemptId_ = request.attemptId;
        remember(attemptId_);
        client_.send(request.head, request.body, request.expectsNoBody);
    }
    void abandon()
    {
        handler_ = nullptr;
        // The object lives until the end of the loop iteration, and must not send after its caller was told that
        // nothing was sent.
        client_.close();
    }

    Fleet::ServerNumber number() const { return number_; }
    bool hasBegunToSend() const { return client_.hasBegunToSend(); }
    std::size_t unsentBytes() const { return client_.unsentBytes(); }
    /// Whether the connection recently carried this attempt, so that a second copy of its answer may follow.
    bool hasCarried(std::string_view attemptId) const
    {
        auto const end = carried_.begin() + static_cast<std::ptrdiff_t>(std::min(carriedCount_, carried_.size()));
        return std::find(carried_.begin(), end, std::hash<std::string_view> {}(attemptId)) != end;
    }
    bool isUsable(Core::TimePoint now, Core::Duration limit) const
    {
        auto const announced = client_.announcedIdleTimeout();
        auto const allowed = announced ? std::min(limit, *announced - idleMargin) : limit;
        return client_.isReusable() && now - client_.lastUsed() < allowed;
    }

private:
    /// The number of latest attempts that a connection remembers. A copy of an earlier answer arrives at the point
    /// where the next answer is expected, and the connection is not reused after that.
    static constexpr std::size_t rememberedAttempts = 16;

    void remember(std::string_view attemptId)
    {
        carried_.at(carriedCount_++ % carried_.size()) = std::hash<std::string_view> {}(attemptId);
    }

    bool isExpected(Net::HttpClient&, Proxy::MessageHead const& head) override
    {
        return codec_.readAnswer(head).attemptId == attemptId_;
    }

    void onAnswer(Net::HttpClient& client, Net::HttpAnswer answer) override
    {
        auto* const handler = std::exchange(handler_, nullptr);
        auto const metadata = codec_.readAnswer(answer.head);
        connections_.release(*this, client.isReusable());
        if (handler)
            handler->onAnswer(std::move(answer), metadata);
    }

    void onFailure(Net::HttpClient&, Net::ExchangeFailure failure) override
    {
        auto* const handler = std::exchange(handler_, nullptr);
        connections_.release(*this, false);
        if (handler)
            handler->onFailure(failure);
    }

    void onIdleEnd(Net::HttpClient&) override { connections_.release(*this, false); }

    ServerConnections& connections_;
    RequestCodec const& codec_;
    Fleet::ServerNumber number_;
    AnswerHandler* handler_ { nullptr };
    std::string attemptId_;
    /// Hashes of the attempt IDs, overwritten from the oldest.
    std::array<std::size_t, rememberedAttempts> carried_ {};
    std::size_t carriedCount_ { 0 };
    Net::HttpClient client_;
};

ServerConnections::ServerConnections(
    Net::EventLoop& loop, RequestCodec const& codec, Net::BulkPacer& pacer, std::size_t maxAnswerBytes)
    : loop_(loop)
    , codec_(codec)
    , pacer_(pacer)
    , budget_(maxAnswerBytes)
{
    closeExpired();
}

ServerConnections::~ServerConnections() { loop_.cancel(timer_); }

ServerConnection* ServerConnections::send(Fleet::ServerRecord const& record, OutgoingRequest const& request,
    std::size_t maxConnections, AnswerHandler& handler)
{
    auto& server = servers_[record.number];
    auto const limit = request.isIdempotent ? maxIdle : maxIdleForUnsafe;
    auto const now = loop_.now();
    // The most recently used connection is reused, so that surplus ones expire.
    auto const usable = std::ranges::find_if(server.idle.rbegin(), server.idle.rend(), [&](auto const& connection) {
        return connection->isUsable(now, limit) && !connection->hasCarried(request.attemptId);
    });
    std::unique_ptr<ServerConnection> connection;
    if (usable != server.idle.rend()) {
        connection = std::move(*usable);
        server.idle.erase(std::next(usable).base());
    } else {
        if (server.busy.size() + server.idle.size() >= maxConnections) {
            if (server.idle.empty())
                return nullptr;
            loop_.reclaim(std::move(server.idle.front()));
            server.idle.erase(server.idle.begin());
        }
        connection
            = std::make_unique<ServerConnection>(loop_, *this, codec_, connectionSettings(pacer_, budget_), record);
    }
    server.busy.push_back(std::move(connection));
    auto* const started = server.busy.back().get();
    started->start(request, handler);
    return started;
}

bool ServerConnections::hasIdleConnection(Fleet::ServerNumber number) const
{
    auto const server = servers_.find(number);
    return server != servers_.end() && !server->second.idle.empty();
}

void ServerConnections::abandon(ServerConnection* connection)
{
    connection->abandon();
    release(*connection, false);
}

bool ServerConnections::hasBegunToSend(ServerConnection const& connection) { return connection.hasBegunToSend(); }

std::size_t ServerConnections::unsentBytes(ServerConnection const& connection) { return connection.unsentBytes(); }

void ServerConnections::release(ServerConnection& connection, bool isReusable)
{
    auto const server = servers_.find(connection.number());
    if (server == servers_.end())
        return;
    for (auto* const list : { &server->second.busy, &server->second.idle }) {
        auto const found = std::ranges::find(*list, &connection, &std::unique_ptr<ServerConnection>::get);
        if (found == list->end())
            continue;
        auto owned = std::move(*found);
        list->erase(found);
        if (isReusable)
            server->second.idle.push_back(std::move(owned));
        else
            loop_.reclaim(std::move(owned));
        return;
    }
}

void ServerConnections::removeServer(Fleet::ServerNumber number)
{
    auto const server = servers_.find(number);
    if (server == servers_.end())
        return;
    for (auto& connection : std::exchange(server->second.idle, {}))
        loop_.reclaim(std::move(connection));
    if (server->second.busy.empty())
        servers_.erase(server);
}

void ServerConnections::closeExpired()
{
    timer_ = loop_.after(sweepInterval, [this] { closeExpired(); });
    for (auto& [number, server] : servers_) {
        for (auto& connection : server.idle) {
            if (!connection->isUsable(loop_.now(), maxIdle))
                loop_.reclaim(std::move(connection));
        }
        std::erase(server.idle, nullptr);
    }
}

} // namespace Gateway
