#pragma once

#include <LibProxy/Server.h>
#include <LibProxy/Socket.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

namespace Test {

using namespace std::chrono_literals;

/// Waits up to 5 s for a condition that another thread brings about.
bool eventually(std::function<bool()> const&);

/// One end of a TCP connection with blocking, bounded operations.
class Peer {
public:
    explicit Peer(Proxy::Socket socket)
        : socket_(std::move(socket))
    {
    }

    /// Sends everything; false when the other side closed or does not read for 5 s.
    bool send(std::string_view);
    /// Reads one message: the head, and the body by its Content-Length or chunks. Empty at the end of the stream. A
    /// truncated body is returned as far as it came.
    std::string readMessage(bool hasBody = true);
    /// Reads until the end of the stream or the time limit.
    std::string readToEnd(Core::Duration limit = 5s);
    /// Whether the other side closes within the time limit.
    bool isClosedWithin(Core::Duration limit);
    void close() { socket_.close(); }
    Proxy::Socket& socket() { return socket_; }
    /// The last message ended before its declared end.
    bool wasTruncated() const { return wasTruncated_; }

private:
    bool receive();
    bool readUntil(std::size_t bytes);
    std::size_t readChunkedEnd(std::size_t bodyBegin);

    Proxy::Socket socket_;
    std::string input_;
    bool wasTruncated_ { false };
};

/// Head of a message and its body.
std::string statusOf(std::string const& response);
std::string headerOf(std::string const& message, std::string const& name);
std::string bodyOf(std::string const& message);
/// Status, outcome and reason, separated by spaces.
std::string outcomeOf(std::string const& response);

/// A backend server with a scripted behaviour per connection.
class FakeBackend {
public:
    using Script = std::function<void(Peer&, FakeBackend&)>;

    explicit FakeBackend(Script script);
    ~FakeBackend();
    FakeBackend(FakeBackend const&) = delete;
    FakeBackend& operator=(FakeBackend const&) = delete;

    Core::Endpoint endpoint() const { return endpoint_; }
    /// Requests other than probes of /healthz.
    std::vector<std::string> requests() const;
    std::size_t connections() const { return connections_; }
    /// Reads a request and records it. Answers probes itself. Empty at the end of the stream.
    std::string next(Peer&);

    /// Answers every request with 200 and the body.
    static Script answering(std::string body);

private:
    Script script_;
    Proxy::Socket listener_;
    Core::Endpoint endpoint_;
    mutable std::mutex mutex_;
    std::vector<std::string> requests_;
    std::atomic<std::size_t> connections_ { 0 };
    std::atomic<bool> isStopping_ { false };
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

std::string okResponse(std::string_view body);

/// All collaborators of the server, with every decision open to the test.
class FakeControl final : public Proxy::ViewSource,
                          public Proxy::PermitSource,
                          public Proxy::OrderGate,
                          public Proxy::AnnounceHandler,
                          public Proxy::Observer {
public:
    std::shared_ptr<Routing::View const> currentView() const override;
    bool hasValidLease() const override { return hasLease(); }
    Policy::AcquireResult acquire(Policy::AcquireRequest const&) override;
    void release(Core::PoolName const&, Core::ServerName const&, Policy::ReleaseReport const&) override;
    std::optional<Core::Duration> hedgeDelay(Core::PoolName const&, Core::RouteName const&) const override
    {
        return hedgeAfter;
    }
    Core::Result<Proxy::ClaimResult, Proxy::OrderGateUnavailable> claim(
        Proxy::OrderKey const&, Core::Digest const&, Core::RequestId, Core::TimePoint) override;
    void complete(Proxy::OrderKey const&, Core::RequestId, std::optional<Proxy::KeptAnswer>) override;
    void abandon(Proxy::OrderKey const&, Core::RequestId) override { record("abandon"); }
    void markUnknown(Proxy::OrderKey const&, Core::RequestId) override { record("markUnknown"); }
    /// Of both interfaces.
    void endWaitsBy(Core::TimePoint limit) override { waitLimit = limit.time_since_epoch(); }
    Core::Result<Core::Void, Proxy::ConfirmError> confirmOwner(
        Core::PoolName const&, Core::SlotNumber, Core::Epoch, Core::TimePoint) override;
    Core::Result<Proxy::AnnounceReply, Proxy::AnnounceRefusal> announce(Proxy::Announcement const&) override;
    void requestFinished(Proxy::RequestRecord const&) override;
    void attemptBegan(Proxy::AttemptSpan const&) override;
    void attemptEnded(Proxy::AttemptSpan const&, Proxy::AttemptEnd const&) override;
    void inputRejected(Proxy::RejectedInput const&) override { record("inputRejected"); }

    /// Replaces the view; the version rises.
    void publish(std::function<void(Routing::View&)> const& change);
    /// What was called, in order.
    std::vector<std::string> calls() const;
    std::size_t countCalls(std::string_view call) const;
    /// The reports so far; waits until there are at least this many, since some come after the response.
    std::vector<Policy::ReleaseReport> releases(std::size_t atLeast = 1) const;
    std::vector<Policy::AcquireRequest> acquires() const;
    std::vector<Proxy::RequestRecord> records() const;
    std::vector<Proxy::AttemptEnd> attemptEnds(std::size_t atLeast = 1) const;
    /// Whether each permit was released, waiting for it.
    bool allPermitsReleased() const;

    std::function<bool()> hasLease { [] { return true; } };
    /// Decides on permits; the default grants the owner, or the first server that is not excluded.
    std::function<Policy::AcquireResult(Policy::AcquireRequest const&)> onAcquire;
    std::function<Core::Result<Proxy::ClaimResult, Proxy::OrderGateUnavailable>()> onClaim;
    std::function<Core::Result<Core::Void, Proxy::ConfirmError>()> onConfirm;
    std::optional<Core::Duration> hedgeAfter;
    /// Zero until the server asks to end the waits.
    std::atomic<Core::Duration> waitLimit { Core::Duration::zero() };
    std::optional<Proxy::KeptAnswer> keptAnswer;

private:
    void record(std::string call);

    mutable std::mutex mutex_;
    std::shared_ptr<Routing::View const> view_;
    std::vector<std::string> calls_;
    std::vector<Policy::ReleaseReport> releases_;
    std::vector<Policy::AcquireRequest> acquires_;
    std::vector<Proxy::RequestRecord> records_;
    std::vector<Proxy::AttemptEnd> attemptEnds_;
};

/// A server on loopback with fakes. Pool `letters` is key-partitioned and owned by `server-0`; pool `uploads` is
/// any-server. Idempotent: GET and PUT; non-idempotent: POST.
class Fixture {
public:
    explicit Fixture(std::vector<FakeBackend*> backends, Proxy::ServerSettings settings = {});

    Peer connect() const;
    /// Sends one request on a new connection and reads the response.
    std::string request(std::string_view text, bool hasBody = true) const;

    FakeControl control;
    Core::Endpoint endpoint;
    std::unique_ptr<Proxy::Server> server;
};

inline constexpr std::string_view getLetter = "GET /letters/7 HTTP/1.1\r\nHost: h\r\n\r\n";
inline constexpr std::string_view postLetter = "POST /letters/7 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
inline constexpr std::string_view postOrder
    = "POST /letters/7 HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k1\r\nContent-Length: 4\r\n\r\nbody";

} // namespace Test
