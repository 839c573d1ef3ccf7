#pragma once

#include <LibProxy/Announcement.h>
#include <LibProxy/Collaborators.h>
#include <LibProxy/Observer.h>

#include <memory>
#include <vector>

namespace Proxy {

struct ServerSettings {
    /// Numeric address to listen on. Port 0 picks a free port.
    Core::Endpoint listen { "127.0.0.1", 0 };
    /// Sent with each permit request.
    Core::HostName host;
    /// Bound of caller connections, each with a thread. Connections beyond it get 503 `overloaded`.
    std::uint32_t maxConnections { 512 };
    /// Request line and headers together.
    std::uint32_t maxHeadBytes { 32 * 1024 };
    /// An idle caller connection is closed after this time.
    Core::Duration callerIdleTimeout { std::chrono::seconds(60) };
    /// A head must be complete this long after its first byte.
    Core::Duration headTimeout { std::chrono::seconds(10) };
    Core::Duration connectTimeout { std::chrono::seconds(1) };
    /// Idle connections to backend servers are closed after this time.
    Core::Duration serverIdleTimeout { std::chrono::seconds(10) };
    /// Non-idempotent work uses only a connection that answered this recently, or a new one.
    Core::Duration provenConnectionAge { std::chrono::seconds(1) };
    /// Idempotent work on a reused connection that stays silent this long is retried on a new connection.
    Core::Duration silentConnectionTimeout { std::chrono::milliseconds(500) };
    /// A new connection must answer a probe within this time, or the server counts as unreachable.
    Core::Duration probeTimeout { std::chrono::milliseconds(250) };
    /// New work for a slot without an owner waits at most this long (a key is served again within 4 s of a loss).
    Core::Duration ownerWait { std::chrono::seconds(5) };
    /// Attempts of idempotent work, the first one included.
    std::uint32_t maxAttempts { 3 };
    /// Header that names the caller. Without it the remote address is the name.
    std::string callerHeader { "Primroseshift-Caller" };
};

struct Collaborators {
    ViewSource& views;
    PermitSource& permits;
    OrderGate& orders;
    Observer& observer;
    AnnounceHandler& announcements;
};

/// The address is in use, not local, or not permitted.
struct BindFailed {
    Core::Endpoint endpoint;
};

/// Requests in flight that were routed by one ownership of a slot.
struct SlotInFlight {
    Core::PoolName pool;
    Core::SlotNumber slot;
    Core::Epoch epoch;
    std::uint32_t requests { 0 };
};

struct ServerCounts {
    std::uint32_t callerConnections { 0 };
    std::uint32_t requestsInFlight { 0 };
    std::uint32_t serverConnections { 0 };
    std::uint64_t rejectedConnections { 0 };
};

/// The listener for callers and backend servers' announcements, and the relay to backend servers.
class Server {
public:
    Server(ServerSettings, Collaborators);
    /// Stops without waiting for requests in flight.
    ~Server();
    Server(Server const&) = delete;
    Server& operator=(Server const&) = delete;

    /// Binds and starts to serve. Returns the bound address.
    Core::Result<Core::Endpoint, BindFailed> start();
    /// Rejects new requests as `draining` and closes the listener. Requests in flight go on.
    void beginDrain();
    /// Calls beginDrain and waits for the requests in flight. False when some were still running at the limit. A drain
    /// that begins with a limit bounds the deadlines of all requests, so that each one is answered `answerMargin` (at
    /// most half the limit) before it; one that has begun without a limit leaves them as they are.
    bool drain(Core::Duration limit);
    /// Ends the deadlines of the remaining requests, waits until they are answered, at most `answerMargin`, breaks the
    /// remaining connections, which are of callers that do not read, and joins all threads.
    void stop();

    /// Covers the ends of waits outside of this library, of which a claim takes longest (0.55 s), and the second for
    /// which a connection is kept for the rest of a refused request's body.
    static constexpr Core::Duration answerMargin = std::chrono::seconds(2);

    bool isDraining() const;
    ServerCounts counts() const;
    /// Publish a view with a releasing slot first, then ask: a request that is not listed uses the new view.
    std::vector<SlotInFlight> slotsInFlight() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace Proxy
