#pragma once

#include <LibFleet/View.h>
#include <LibGateway/RequestCodec.h>
#include <LibNet/HttpClient.h>

namespace Gateway {

class ServerConnection;

/// Receives the answer, or the failure, of one request to a backend server.
class AnswerHandler {
public:
    virtual ~AnswerHandler() = default;
    virtual void onAnswer(Net::HttpAnswer, AnswerMetadata const&) = 0;
    virtual void onFailure(Net::ExchangeFailure) = 0;
};

/// A serialized request for `ServerConnections::send`.
struct OutgoingRequest {
    std::string head;
    /// Null if there is none. It is not copied, since a host may hold few bodies of the largest size.
    std::shared_ptr<std::string const> body;
    std::string attemptId;
    bool expectsNoBody { false };
    /// Whether the request may be retried, so that it may use a connection that the server might be closing.
    bool isIdempotent { false };
};

/// The connections to all backend servers. Each connection carries one request at a time.
class ServerConnections {
public:
    /// `maxAnswerBytes` is the memory limit for all answers that are being read.
    ServerConnections(Net::EventLoop&, RequestCodec const&, Net::BulkPacer&, std::size_t maxAnswerBytes);
    ~ServerConnections();
    ServerConnections(ServerConnections const&) = delete;
    ServerConnections& operator=(ServerConnections const&) = delete;

    /// Uses a connection that has not carried this attempt ID before: the ID does not distinguish the answer to a
    /// resend from a late copy of the answer to the earlier send.
    ///
    /// Returns null if all connections of the server are in use. Otherwise the handler is called exactly once, unless
    /// the connection is abandoned.
    ServerConnection* send(
        Fleet::ServerRecord const&, OutgoingRequest const&, std::size_t maxConnections, AnswerHandler&);
    /// Whether an idle connection to the server is open.
    bool hasIdleConnection(Fleet::ServerNumber) const;
    /// Closes the connection, which tells the server that the request is cancelled.
    void abandon(ServerConnection*);
    /// Whether the server may have received a part of the request.
    static bool hasBegunToSend(ServerConnection const&);
    /// Bytes of the request that have not been written to the socket.
    static std::size_t unsentBytes(ServerConnection const&);
    /// Memory, in bytes, of the answers that are being read.
    std::size_t heldAnswerBytes() const { return budget_.heldBytes(); }
    /// Closes the idle connections of a server that is no longer part of the fleet.
    void removeServer(Fleet::ServerNumber);

private:
    friend class ServerConnection;

    struct Server {
        std::vector<std::unique_ptr<ServerConnection>> idle;
        std::vector<std::unique_ptr<ServerConnection>> busy;
    };

    void release(ServerConnection&, bool isReusable);
    void closeExpired();

    Net::EventLoop& loop_;
    RequestCodec const& codec_;
    Net::BulkPacer& pacer_;
    Net::AnswerBudget budget_;
    std::map<Fleet::ServerNumber, Server> servers_;
    Net::EventLoop::TimerId timer_;
};

} // namespace Gateway
