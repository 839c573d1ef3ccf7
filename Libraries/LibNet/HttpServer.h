#pragma once

#include <LibNet/BulkPacer.h>
#include <LibNet/Stream.h>
#include <LibProxy/HttpMessage.h>

#include <limits>
#include <unordered_map>
#include <unordered_set>

namespace Net {

/// Names one exchange of one connection, so that an answer may come after the connection is gone.
struct ExchangeId {
    std::uint64_t connection { 0 };
    std::uint64_t exchange { 0 };

    auto operator<=>(ExchangeId const&) const = default;
};

struct HttpRequest {
    Proxy::MessageHead head;
    std::string body;
    /// When the first byte of the request was read.
    Core::TimePoint startedAt;
};

struct HttpResponse {
    std::uint16_t status { 200 };
    /// Empty for the usual phrase of the status.
    std::string reason;
    std::vector<Proxy::HeaderField> fields;
    std::string body;
    /// The caller is told that the connection closes, and it does.
    bool closes { false };
};

/// Bounds on what a caller may send and how long it may take.
struct HttpLimits {
    std::uint32_t maxHeadBytes { 16U * 1024 };
    std::uint64_t maxBodyBytes { 1UL * 1024 * 1024 };
    /// From the first byte of a request to the end of its head.
    Core::Duration headTimeout { std::chrono::seconds(3) };
    Core::Duration idleTimeout { std::chrono::seconds(15) };
};

/// What a server does with requests.
class HttpHandler {
public:
    virtual ~HttpHandler() = default;
    /// Answered by `HttpServer::respond`, at once or later.
    virtual void onRequest(ExchangeId, HttpRequest) = 0;
    /// Whether a request may run while earlier ones of its connection are not answered. True only for requests that may
    /// be repeated.
    virtual bool mayRunBesideOthers(Proxy::MessageHead const&) { return false; }
    /// Memory, in bytes, that the handler holds for requests and answers besides the bodies of the requests.
    virtual std::size_t heldBytes() { return 0; }
    /// A request of this size was refused while it was being read, for lack of memory.
    virtual void onMemoryRefusal(std::size_t) { }
    /// The caller left before its answer.
    virtual void onAbandoned(ExchangeId) { }
    /// This side closed the connection while a part of the answer had not been handed to the network.
    virtual void onAnswerCutOff(ExchangeId, std::size_t) { }
};

class HttpConnection;

/// Serves HTTP/1.1 on one address. Requests are read whole before they are handed over.
///
/// All requests together are bounded in memory, and connections in number: callers that stop just short of the end of
/// their requests, or send without end, must not take the memory and the descriptors of the host.
class HttpServer {
public:
    /// Null when the address cannot be used; `errno` says why.
    static std::unique_ptr<HttpServer> open(EventLoop&, Core::Endpoint const&, HttpHandler&);
    ~HttpServer();
    HttpServer(HttpServer const&) = delete;
    HttpServer& operator=(HttpServer const&) = delete;

    void setLimits(HttpLimits const& limits) { limits_ = limits; }
    /// The memory for requests and answers, in bytes. Beyond it, large requests that are being read are refused, the
    /// one without progress for longest first. While answers that wait for earlier ones take a quarter of it, no
    /// request is read beside an earlier one of its connection.
    void setMemoryLimit(std::uint64_t bytes) { maxHeldBytes_ = bytes; }
    /// Beyond it, the connection that has been idle for longest is closed for each new one.
    void setMaxConnections(std::size_t connections) { maxConnections_ = connections; }
    /// Answers are counted on the link that the pacer shares out. Null if they are not counted.
    void setPacer(BulkPacer* pacer) { pacer_ = pacer; }
    /// Does nothing if the caller is gone.
    void respond(ExchangeId, HttpResponse);
    /// From now on every answer closes its connection.
    void startDraining() { isDraining_ = true; }
    /// New connections are reset from now on.
    void stopListening() { listener_.reset(); }
    /// Closes connections that have their answers whole and have sent nothing of another request.
    void closeIdle();
    /// Answers 503 to requests of which only a part has arrived.
    void refuseIncomplete();
    /// Closes every connection at once. Only what the kernel has taken is still sent.
    void closeAll();
    std::size_t connectionCount() const { return connections_.size(); }
    /// Bytes of request bodies that are being read or answered.
    std::uint64_t heldBodyBytes() const { return heldBodyBytes_; }
    /// Bytes of answers that wait for an earlier one, or that the kernel has not taken because their callers are slow.
    std::uint64_t unsentAnswerBytes();
    /// Bytes of answers that wait for that of an earlier request of their connection.
    std::uint64_t waitingAnswerBytes() const { return waitingAnswerBytes_; }
    /// Whether an answer to this request would wait for that of an earlier one.
    bool mustWait(ExchangeId) const;

private:
    friend class HttpConnection;

    HttpServer(EventLoop&, HttpHandler&);
    void accept(int fd);
    void drop(std::uint64_t connection);
    void closeLeastActive();
    std::uint64_t heldBytes();
    /// Refuses requests that are being read until the memory limit holds.
    void makeRoom(HttpConnection const& reading);
    HttpConnection* findLeastActiveReader(std::size_t minBytes);
    /// Whether requests may be read beside earlier ones of their connections.
    bool mayReadAhead() const;

    EventLoop& loop_;
    HttpHandler& handler_;
    HttpLimits limits_;
    bool isDraining_ { false };
    std::uint64_t heldBodyBytes_ { 0 };
    std::uint64_t waitingAnswerBytes_ { 0 };
    BulkPacer* pacer_ { nullptr };
    std::uint64_t maxHeldBytes_ { std::numeric_limits<std::uint64_t>::max() };
    std::size_t maxConnections_ { std::numeric_limits<std::size_t>::max() };
    /// Connections whose last answer the kernel did not take at once.
    std::unordered_set<std::uint64_t> sending_;
    std::uint64_t nextConnection_ { 1 };
    std::unique_ptr<Listener> listener_;
    std::unordered_map<std::uint64_t, std::unique_ptr<HttpConnection>> connections_;
};

/// The usual phrase of a status code; "Status" for others.
std::string_view reasonPhrase(std::uint16_t status);

} // namespace Net
