#pragma once

#include <LibNet/HttpServer.h>

#include <deque>

namespace Net {

/// One caller's connection. Reads requests, hands them over, and writes the answers in the order of the requests.
///
/// Requests that may run beside others are handed over before earlier ones are answered. No answer closes the
/// connection while a later request has been handed over: callers take requests behind a closing answer as not read and
/// send them again.
class HttpConnection final : public StreamHandler, public Reclaimable {
public:
    HttpConnection(HttpServer&, std::uint64_t id, int fd);
    ~HttpConnection() override;

    /// Neither event nor access to the server follows, although the object lives until the end of the turn, or as long
    /// as a loop that has stopped.
    void shutDown();
    bool isIdle();
    /// Whether a request has arrived in part.
    bool isReading() const;
    /// Whether a request has no answer yet, or its answer waits for that of an earlier request.
    bool hasExchanges() const { return !exchanges_.empty(); }
    std::size_t unsentBytes() const { return stream_.pendingBytes(); }
    /// Memory of the request that is being read.
    std::size_t readBytes() const { return countedBytes_; }
    /// When the last bytes of a request arrived, or when the last answer was given.
    Core::TimePoint lastActive() const { return lastActive_; }
    /// Answers the request that has not arrived whole, behind the earlier ones, and closes the connection then.
    void refuse(std::uint16_t status);
    void respond(std::uint64_t exchange, HttpResponse);
    /// Whether an answer to this request would wait for that of an earlier one.
    bool mustWait(std::uint64_t exchange) const;

private:
    enum class Phase : std::uint8_t {
        Head,
        Body,
        /// A head was read whose request must not run beside the earlier ones.
        Deferred,
        /// No further request is read.
        Ended,
        /// The last answer was written; what still arrives is discarded until the caller closes.
        Lingering,
    };
    /// A request that was handed over, or refused, and whose answer has not been written.
    struct Exchange {
        std::uint64_t id { 0 };
        bool isHead { false };
        /// Whether no other request may run beside it.
        bool isExclusive { false };
        bool closes { false };
        std::size_t bodyBytes { 0 };
        std::optional<HttpResponse> response;
        /// The size of the answer while it waits for that of an earlier request.
        std::size_t waitingBytes { 0 };
    };

    static void resumeReading(HttpServer&, std::uint64_t id);

    void onData(Stream&) override;
    void onDrained(Stream&) override { scheduleReading(); }
    void onEnd(Stream&, StreamEnd) override;

    /// Whether the next request may be read now.
    bool mayRead() const;
    void readInput();
    /// These read as much as has arrived. False if more input is needed, or if nothing more may be read.
    bool readHead();
    bool readBody();
    void handOver();
    /// Ends a body that arrives too slowly. Returns whether it did.
    bool refuseSlowBody();
    /// Writes the answers that are due.
    void writeAnswers();
    void write(Exchange&, bool closes);
    void scheduleReading();
    void linger();
    void releaseBody();
    /// Tells the server how much memory the request that is being read takes.
    void countBytes();
    std::size_t finishedBytes() const;
    void restartTimer(Core::Duration);
    void onTimer();

    HttpServer& server_;
    std::uint64_t id_;
    Stream stream_;
    bool isShutDown_ { false };
    Phase phase_ { Phase::Head };
    /// Bytes of the next request have arrived.
    bool hasStarted_ { false };
    Core::TimePoint startedAt_;
    /// When bytes arrived that could not be read yet. The requests in them count from then.
    std::optional<Core::TimePoint> bufferedSince_;
    Core::TimePoint lastActive_;
    std::uint64_t lastExchange_ { 0 };
    std::deque<Exchange> exchanges_;
    std::optional<Proxy::MessageReader> reader_;
    std::string body_;
    std::size_t countedBytes_ { 0 };
    /// The body bytes of the current period, for the lowest rate of a large body.
    Core::TimePoint periodBegan_;
    std::size_t periodBytes_ { 0 };
    /// A caller that takes longer for its answer does not get it whole.
    Core::TimePoint sendsUntil_;
    EventLoop::TimerId timer_;
    bool isReadingScheduled_ { false };
};

} // namespace Net
