#include <LibGateway/ServerLinks.h>

#include <algorithm>

namespace Gateway {

namespace {

    /// Idle connections are closed before the server does so. Most servers close them after ten seconds.
    constexpr Core::Duration maxIdle = std::chrono::seconds(7);
    /// Kept from the idle timeout that a server announces, which counts in whole seconds.
    constexpr Core::Duration idleMargin = std::chrono::milliseconds(1500);
    /// A request that may not be repeated uses only connections that were used this recently.
    constexpr Core::Duration freshIdle = std::chrono::seconds(3);
    constexpr Core::Duration sweepInterval = std::chrono::seconds(1);

    /// A server needs about a millisecond to accept a connection or to turn it away, and the reset half a round trip
    /// between failure domains.
    constexpr Core::Duration settleTime = std::chrono::milliseconds(3);

    /// For all answers that are being read. A host may have 160 MB, of which request bodies take up to 96 MiB.
    constexpr std::size_t maxAnswerBytes = 24UL * 1024 * 1024;

    Net::HttpClientSettings linkSettings(Net::BulkPacer& pacer, Net::AnswerBudget& budget)
    {
        Net::HttpClientSettings settings;
        settings.pacer = &pacer;
        settings.budget = &budget;
        // A connection to a host in the same region takes a few milliseconds; one lost packet costs a second.
        settings.stream.silenceTimeout = std::chrono::milliseconds(1500);
        settings.settleTime = settleTime;
        return settings;
    }

} // namespace

/// One connection to a backend server.
class ServerLink final : private Net::HttpClientHandler, public Net::Reclaimable {
public:
    ServerLink(Net::EventLoop& loop, ServerLinks& links, RequestCodec const& codec,
        Net::HttpClientSettings const& settings, Fleet::ServerRecord const& server)
        : links_(links)
        , codec_(codec)
        , number_(server.number)
        , client_(loop, *this, server.address, settings)
    {
    }

    void start(OutgoingRequest const& request, LinkUser& user)
    {
        user_ = &user;
        attemptId_ = request.attemptId;
        client_.send(request.bytes, request.expectsNoBody);
    }
    void abandon()
    {
        user_ = nullptr;
        // The object lives until the end of the turn, and the caller may just be told that nothing was sent.
        client_.close();
    }

    Fleet::ServerNumber number() const { return number_; }
    bool hasBegunToSend() const { return client_.hasBegunToSend(); }
    std::size_t unsentBytes() const { return client_.unsentBytes(); }
    bool mayBeUsed(Core::TimePoint now, Core::Duration limit) const
    {
        auto const announced = client_.announcedIdleTimeout();
        auto const allowed = announced ? std::min(limit, *announced - idleMargin) : limit;
        return client_.isReusable() && now - client_.lastUsed() < allowed;
    }

private:
    bool isExpected(Net::HttpClient&, Proxy::MessageHead const& head) override
    {
        return codec_.readAnswer(head).attemptId == attemptId_;
    }

    void onAnswer(Net::HttpClient& client, Net::HttpAnswer answer) override
    {
        auto* const user = std::exchange(user_, nullptr);
        auto const terms = codec_.readAnswer(answer.head);
        links_.release(*this, client.isReusable());
        if (user)
            user->onAnswer(std::move(answer), terms);
    }

    void onFailure(Net::HttpClient&, Net::ExchangeFailure failure) override
    {
        auto* const user = std::exchange(user_, nullptr);
        links_.release(*this, false);
        if (user)
            user->onFailure(failure);
    }

    void onIdleEnd(Net::HttpClient&) override { links_.release(*this, false); }

    ServerLinks& links_;
    RequestCodec const& codec_;
    Fleet::ServerNumber number_;
    LinkUser* user_ { nullptr };
    std::string attemptId_;
    Net::HttpClient client_;
};

ServerLinks::ServerLinks(Net::EventLoop& loop, RequestCodec const& codec, double linkBytesPerSecond)
    : loop_(loop)
    , codec_(codec)
    , pacer_(linkBytesPerSecond)
    , budget_(maxAnswerBytes)
{
    dropExpired();
}

ServerLinks::~ServerLinks() { loop_.cancel(timer_); }

ServerLink* ServerLinks::send(
    Fleet::ServerRecord const& record, OutgoingRequest const& request, std::size_t maxConnections, LinkUser& user)
{
    auto& server = servers_[record.number];
    auto const limit = request.isIdempotent ? maxIdle : freshIdle;
    auto const now = loop_.now();
    // The connection used last: the others age and are closed.
    auto const usable = std::ranges::find_if(
        server.idle.rbegin(), server.idle.rend(), [&](auto const& link) { return link->mayBeUsed(now, limit); });
    std::unique_ptr<ServerLink> link;
    if (usable != server.idle.rend()) {
        link = std::move(*usable);
        server.idle.erase(std::next(usable).base());
    } else {
        if (server.busy.size() + server.idle.size() >= maxConnections) {
            if (server.idle.empty())
                return nullptr;
            loop_.reclaim(std::move(server.idle.front()));
            server.idle.erase(server.idle.begin());
        }
        link = std::make_unique<ServerLink>(loop_, *this, codec_, linkSettings(pacer_, budget_), record);
    }
    server.busy.push_back(std::move(link));
    auto* const started = server.busy.back().get();
    started->start(request, user);
    return started;
}

void ServerLinks::abandon(ServerLink* link)
{
    link->abandon();
    release(*link, false);
}

bool ServerLinks::hasBegunToSend(ServerLink const& link) { return link.hasBegunToSend(); }

std::size_t ServerLinks::unsentBytes(ServerLink const& link) { return link.unsentBytes(); }

void ServerLinks::release(ServerLink& link, bool isReusable)
{
    auto const server = servers_.find(link.number());
    if (server == servers_.end())
        return;
    for (auto* const list : { &server->second.busy, &server->second.idle }) {
        auto const found = std::ranges::find(*list, &link, &std::unique_ptr<ServerLink>::get);
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

void ServerLinks::forget(Fleet::ServerNumber number)
{
    auto const server = servers_.find(number);
    if (server == servers_.end())
        return;
    for (auto& link : std::exchange(server->second.idle, {}))
        loop_.reclaim(std::move(link));
    if (server->second.busy.empty())
        servers_.erase(server);
}

void ServerLinks::dropExpired()
{
    timer_ = loop_.after(sweepInterval, [this] { dropExpired(); });
    for (auto& [number, server] : servers_) {
        for (auto& link : server.idle) {
            if (!link->mayBeUsed(loop_.now(), maxIdle))
                loop_.reclaim(std::move(link));
        }
        std::erase(server.idle, nullptr);
    }
}

} // namespace Gateway
