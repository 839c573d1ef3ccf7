#include <LibProxy/ServerConnections.h>

#include <algorithm>

namespace Proxy {

namespace {

    /// An idle connection with input or a hang-up was closed by the server, or carries bytes that belong to no request.
    bool isUsable(Socket const& socket)
    {
        pollfd polled { socket.descriptor(), POLLIN | POLLRDHUP, 0 };
        return ::poll(&polled, 1, 0) == 0;
    }

} // namespace

ServerConnection::ServerConnection(ServerConnections& owner, Core::ServerName server, Socket socket, bool isReused)
    : owner_(&owner)
    , server_(std::move(server))
    , socket_(std::move(socket))
    , isReused_(isReused)
{
}

ServerConnection::ServerConnection(ServerConnection&& other) noexcept
    : owner_(std::exchange(other.owner_, nullptr))
    , server_(std::move(other.server_))
    , socket_(std::move(other.socket_))
    , isReused_(other.isReused_)
{
}

ServerConnection::~ServerConnection() { close(); }

void ServerConnection::giveBack(Core::TimePoint now)
{
    if (auto* owner = std::exchange(owner_, nullptr))
        owner->giveBack(server_, std::move(socket_), now);
}

void ServerConnection::close()
{
    socket_.close();
    if (auto* owner = std::exchange(owner_, nullptr))
        owner->stopCounting(server_);
}

Core::Result<ServerConnection, OpenError> ServerConnections::open(Request const& request)
{
    while (true) {
        auto reserved = reserve(request);
        if (reserved.isError())
            return OpenError { reserved.error() };
        if (!reserved.value())
            break;
        // Checked outside the lock: a system call inside it makes all threads wait when its thread is descheduled.
        ServerConnection connection(*this, request.server.name, std::move(*reserved.value()), true);
        if (isUsable(connection.socket()))
            return connection;
    }
    auto connected = connectTo(request.server.endpoint, request.deadline, request.watched, request.alarm);
    if (connected.isError()) {
        stopCounting(request.server.name);
        return OpenError { connected.error() };
    }
    return ServerConnection(*this, request.server.name, std::move(connected).value(), false);
}

Core::Result<std::optional<Socket>, ConnectionLimitReached> ServerConnections::reserve(Request const& request)
{
    auto const now = Core::BootClock::now();
    auto const share
        = request.server.connections / static_cast<std::uint32_t>(std::max<std::size_t>(request.entryHosts, 1));
    // Destroyed after the lock is released: closing a descriptor is a system call.
    std::vector<IdleConnection> dropped;
    auto& shard = shardOf(request.server.name);
    std::scoped_lock const lock(shard.mutex);
    auto& state = shard.servers[request.server.name];
    if (state.endpoint != request.server.endpoint || state.incarnation != request.server.incarnation) {
        dropped.swap(state.idle);
        state.endpoint = request.server.endpoint;
        state.incarnation = request.server.incarnation;
    }
    state.share = share;
    while (!state.idle.empty()) {
        auto candidate = std::move(state.idle.back());
        state.idle.pop_back();
        auto const age = now - candidate.answeredAt;
        if (age > idleTimeout_) {
            dropped.push_back(std::move(candidate));
            continue;
        }
        if (age <= request.maxAge) {
            ++state.inUse;
            return std::optional<Socket>(std::move(candidate.socket));
        }
        if (state.inUse + state.idle.size() + 2 <= share) {
            state.idle.push_back(std::move(candidate));
            break;
        }
        dropped.push_back(std::move(candidate));
    }
    // Permits already bound the requests in flight by the server's slots; one connection is always allowed.
    if (state.inUse >= std::max(share, 1U))
        return ConnectionLimitReached {};
    ++state.inUse;
    return std::optional<Socket> {};
}

void ServerConnections::giveBack(Core::ServerName const& name, Socket socket, Core::TimePoint now)
{
    auto& shard = shardOf(name);
    std::scoped_lock const lock(shard.mutex);
    auto& state = shard.servers[name];
    --state.inUse;
    if (state.inUse + state.idle.size() < state.share)
        state.idle.push_back({ std::move(socket), now });
}

void ServerConnections::stopCounting(Core::ServerName const& name)
{
    auto& shard = shardOf(name);
    std::scoped_lock const lock(shard.mutex);
    --shard.servers[name].inUse;
}

bool ServerConnections::probe(Core::Endpoint const& endpoint, Core::TimePoint deadline)
{
    auto connected = connectTo(endpoint, deadline);
    if (connected.isError())
        return false;
    auto& socket = connected.value();
    auto const request = "GET /healthz HTTP/1.1\r\nHost: " + endpoint.toString() + "\r\nConnection: close\r\n\r\n";
    if (socket.send(request).bytes != request.size())
        return false;
    pollfd polled { socket.descriptor(), POLLIN, 0 };
    if (!waitFor({ &polled, 1 }, deadline))
        return false;
    constexpr std::string_view expected = "HTTP/1.";
    std::array<char, expected.size()> answer {};
    return socket.receive(answer).bytes == expected.size()
        && std::string_view(answer.data(), answer.size()) == expected;
}

void ServerConnections::closeIdle(Core::TimePoint now)
{
    std::vector<IdleConnection> dropped;
    for (auto& shard : shards_) {
        std::scoped_lock const lock(shard.mutex);
        for (auto& [name, state] : shard.servers) {
            auto const expired = std::partition(state.idle.begin(), state.idle.end(),
                [&](auto const& connection) { return now - connection.answeredAt <= idleTimeout_; });
            std::move(expired, state.idle.end(), std::back_inserter(dropped));
            state.idle.erase(expired, state.idle.end());
        }
        std::erase_if(
            shard.servers, [](auto const& entry) { return entry.second.inUse == 0 && entry.second.idle.empty(); });
    }
}

std::uint32_t ServerConnections::openConnections() const
{
    std::uint32_t count = 0;
    for (auto const& shard : shards_) {
        std::scoped_lock const lock(shard.mutex);
        for (auto const& [name, state] : shard.servers)
            count += state.inUse + static_cast<std::uint32_t>(state.idle.size());
    }
    return count;
}

} // namespace Proxy
