#pragma once

#include <LibProxy/InputBuffer.h>
#include <LibRouting/View.h>

#include <array>
#include <mutex>
#include <unordered_map>

namespace Proxy {

class ServerConnections;

/// A connection to a backend server, counted against the server's limit until it is destroyed.
class ServerConnection {
public:
    ServerConnection(ServerConnections&, Core::ServerName, Socket, bool isReused);
    ServerConnection(ServerConnection&&) noexcept;
    ServerConnection& operator=(ServerConnection&&) = delete;
    ~ServerConnection();

    Socket& socket() { return socket_; }
    int descriptor() const { return socket_.descriptor(); }
    bool isReused() const { return isReused_; }
    /// Keeps the connection for other requests. Only after a complete exchange without leftover input.
    void giveBack(Core::TimePoint now);
    /// Closes and stops counting.
    void close();

private:
    ServerConnections* owner_;
    Core::ServerName server_;
    Socket socket_;
    bool isReused_ { false };
};

/// This entry host already has its share of the server's connections in use.
struct ConnectionLimitReached { };
using OpenError = std::variant<ConnectFailure, ConnectionLimitReached>;

/// Connections to backend servers, in use and idle. The share of each entry host is the server's limit divided by the
/// number of live entry hosts, so that the sum stays below the limit.
class ServerConnections {
public:
    explicit ServerConnections(Core::Duration idleTimeout)
        : idleTimeout_(idleTimeout)
    {
    }

    struct Request {
        Routing::BackendServer const& server;
        std::size_t entryHosts { 1 };
        /// Only idle connections that answered this recently are reused; zero asks for a new connection.
        Core::Duration maxAge { 0 };
        Core::TimePoint deadline;
        int watched { -1 };
        int alarm { -1 };
    };

    Core::Result<ServerConnection, OpenError> open(Request const&);
    /// Whether a new connection to the server answers `GET /healthz`, with any status.
    static bool probe(Core::Endpoint const&, Core::TimePoint deadline);

    void closeIdle(Core::TimePoint now);
    std::uint32_t openConnections() const;

private:
    friend class ServerConnection;

    struct IdleConnection {
        Socket socket;
        Core::TimePoint answeredAt;
    };
    struct ServerState {
        Core::Endpoint endpoint;
        Core::Incarnation incarnation;
        std::uint32_t inUse { 0 };
        /// How many idle connections may be kept beside those in use.
        std::uint32_t share { 0 };
        std::vector<IdleConnection> idle;
    };
    struct Shard {
        mutable std::mutex mutex;
        std::unordered_map<Core::ServerName, ServerState> servers;
    };

    Shard& shardOf(Core::ServerName const& name)
    {
        return shards_.at(std::hash<std::string> {}(name.value) % shardCount);
    }
    Core::Result<std::optional<Socket>, ConnectionLimitReached> reserve(Request const&);
    void giveBack(Core::ServerName const&, Socket, Core::TimePoint now);
    void stopCounting(Core::ServerName const&);

    static constexpr std::size_t shardCount = 16;

    Core::Duration idleTimeout_;
    std::array<Shard, shardCount> shards_;
};

} // namespace Proxy
