#pragma once

#include <LibFleet/View.h>
#include <LibGateway/RequestCodec.h>
#include <LibNet/HttpClient.h>

namespace Gateway {

class ServerLink;

/// Waits for the answer to one request at a backend server.
class LinkUser {
public:
    virtual ~LinkUser() = default;
    virtual void onAnswer(Net::HttpAnswer, AnswerMetadata const&) = 0;
    virtual void onFailure(Net::ExchangeFailure) = 0;
};

/// One request for `ServerLinks::send`.
struct OutgoingRequest {
    std::string bytes;
    std::string attemptId;
    bool expectsNoBody { false };
    /// It may be sent again, so the risk of a connection that the server is just closing is borne.
    bool isIdempotent { false };
};

/// The connections to all backend servers. A server takes one request at a time on each.
class ServerLinks {
public:
    /// `linkBytesPerSecond` is what this host's link takes; zero if that does not matter.
    ServerLinks(Net::EventLoop&, RequestCodec const&, double linkBytesPerSecond);
    ~ServerLinks();
    ServerLinks(ServerLinks const&) = delete;
    ServerLinks& operator=(ServerLinks const&) = delete;

    /// Null if the server's connections are all in use. Otherwise the user is called once, unless it abandons the link.
    ServerLink* send(Fleet::ServerRecord const&, OutgoingRequest const&, std::size_t maxConnections, LinkUser&);
    /// Closes the connection, by which the server learns that the caller has left.
    void abandon(ServerLink*);
    /// Whether the server may have a part of the link's request.
    static bool hasBegunToSend(ServerLink const&);
    /// Bytes of the link's request that the network has not taken.
    static std::size_t unsentBytes(ServerLink const&);
    /// Memory of the answers that are being read.
    std::size_t heldAnswerBytes() const { return budget_.heldBytes(); }
    /// Closes the idle connections of a server that is no longer part of the fleet.
    void forget(Fleet::ServerNumber);

private:
    friend class ServerLink;

    struct Server {
        std::vector<std::unique_ptr<ServerLink>> idle;
        std::vector<std::unique_ptr<ServerLink>> busy;
    };

    void release(ServerLink&, bool isReusable);
    void dropExpired();

    Net::EventLoop& loop_;
    RequestCodec const& codec_;
    Net::BulkPacer pacer_;
    Net::AnswerBudget budget_;
    std::map<Fleet::ServerNumber, Server> servers_;
    Net::EventLoop::TimerId timer_;
};

} // namespace Gateway
