#pragma once

#include <LibNet/AnswerBudget.h>
#include <LibNet/BulkPacer.h>
#include <LibNet/Stream.h>
#include <LibProxy/HttpMessage.h>

namespace Net {

/// Why an exchange with a server has no answer.
enum class ExchangeFailure : std::uint8_t {
    /// No connection came about, so nothing was sent.
    NotConnected,
    /// Nothing listens at the address.
    Refused,
    /// The server ended a new connection at once, before anything was sent. It has too many.
    TurnedAway,
    /// The connection ended before any byte of an answer.
    NoAnswer,
    /// The answer ended before it was complete.
    Truncated,
    /// What came is not an answer in the protocol.
    Malformed,
    AnswerTooLarge,
};

std::string_view toString(ExchangeFailure);

struct HttpAnswer {
    Proxy::MessageHead head;
    std::string body;
};

class HttpClient;

class HttpClientHandler {
public:
    virtual ~HttpClientHandler() = default;
    /// The head of a message arrived. True if it answers the request that waits; false for another one, which is
    /// skipped.
    virtual bool isExpected(HttpClient&, Proxy::MessageHead const&) = 0;
    /// The connection can carry another request if `HttpClient::isReusable`.
    virtual void onAnswer(HttpClient&, HttpAnswer) = 0;
    virtual void onFailure(HttpClient&, ExchangeFailure) = 0;
    /// An idle connection ended, or received bytes that belong to no request.
    virtual void onIdleEnd(HttpClient&) = 0;
};

struct HttpClientSettings {
    StreamSettings stream;
    std::uint32_t maxHeadBytes { 64U * 1024 };
    /// Larger answers are refused, since an answer is held until it is complete.
    std::size_t maxBodyBytes { 16UL * 1024 * 1024 };
    /// How long a new connection must have lasted before a request is sent on it. A server that has too many
    /// connections resets a new one at once; whatever was sent by then has an unknown outcome.
    Core::Duration settleTime {};
    /// Shared by all that send over the same link. Null if large bodies are not held up.
    BulkPacer* pacer { nullptr };
    /// Shared by all connections of the process. Null if only each answer is bounded.
    AnswerBudget* budget { nullptr };
};

/// A connection to a server for one request at a time.
class HttpClient final : private StreamHandler, private BulkSender, public Reclaimable {
public:
    HttpClient(EventLoop&, HttpClientHandler&, Core::Endpoint const&, HttpClientSettings const&);
    ~HttpClient() override;

    /// Sends a request. The body may be null; it is not copied unless it is small. `expectsNoBody` for the method HEAD.
    void send(std::string_view head, std::shared_ptr<std::string const> body, bool expectsNoBody);
    /// Ends the exchange and the connection without an event. Nothing more is sent, also not in this turn.
    void close();
    bool isBusy() const { return isBusy_; }
    /// Whether the kernel has taken a part of the request. Until then the server has none of it.
    bool hasBegunToSend() const { return unsentBytes() < requestBytes_; }
    /// Bytes of the request that wait for the connection or the pacer, or that the kernel has not taken.
    std::size_t unsentBytes() const { return waitingBytes() + stream_.pendingBytes(); }
    /// The server keeps the connection open and nothing unexpected arrived on it.
    bool isReusable() const { return isReusable_ && stream_.isOpen(); }
    /// How long the server keeps an idle connection, if it says so.
    std::optional<Core::Duration> announcedIdleTimeout() const { return idleTimeout_; }
    Core::TimePoint lastUsed() const { return lastUsed_; }

private:
    void onConnected(Stream&) override;
    void onData(Stream&) override;
    void onDrained(Stream&) override;
    void onEnd(Stream&, StreamEnd) override;
    void onTurn() override;
    void settle();
    /// Bytes of the request that were not handed to the stream.
    std::size_t waitingBytes() const;
    /// The next bytes of the request that were not handed to the stream.
    std::string_view waiting() const;
    /// Hands over as much of the request as the pacer allows, and goes on later with the rest.
    void sendMore();
    bool readAnswer();
    /// False when more input is needed or the exchange has failed.
    bool readHead();
    /// Ends the turn of a large body, and the wait for it.
    void leaveLine();
    void dropRequest();
    /// Keeps a piece of the body. False if the exchange has failed.
    bool keep(std::string_view piece);
    void dropBody();
    void finishAnswer();
    void fail(ExchangeFailure);
    void noteKeepAlive(Proxy::MessageHead const&);

    EventLoop& loop_;
    HttpClientHandler& handler_;
    HttpClientSettings settings_;
    Stream stream_;
    /// The request waits until the connection has lasted for the settle time.
    bool isSettled_ { false };
    /// The head, and a small body.
    std::string head_;
    /// A large body; null if there is none, or if nothing of it is left to send.
    std::shared_ptr<std::string const> requestBody_;
    /// Bytes of the request that were handed to the stream.
    std::size_t handedBytes_ { 0 };
    std::size_t requestBytes_ { 0 };
    /// For the settle time, and for the next piece of a large body.
    EventLoop::TimerId sendTimer_;
    bool isBusy_ { false };
    bool isReusable_ { true };
    bool expectsNoBody_ { false };
    bool hasHead_ { false };
    /// The message that is being read is informational, or answers another request.
    bool isSkipping_ { false };
    std::uint32_t skipped_ { 0 };
    std::optional<Proxy::MessageReader> reader_;
    std::string body_;
    std::optional<Core::Duration> idleTimeout_;
    Core::TimePoint lastUsed_;
};

} // namespace Net
