#pragma once

#include <LibGateway/Admission.h>
#include <LibGateway/Gateway.h>

namespace Gateway {

/// One request of a caller, from its arrival until its answer.
///
/// A refusal (503) is returned only if no server can have run the request: nothing was sent, or the server reported
/// that it did not run it. Once a send has an unknown outcome, an unsafe request ends with 502 or 504 and is never
/// retried.
class Exchange final : public Net::Reclaimable, private AnswerHandler {
public:
    Exchange(Gateway&, Net::ExchangeId, Net::HttpRequest);
    ~Exchange() override;

    void start();
    /// Cancels the request after its caller has closed the connection.
    void abandon();
    /// Looks up the owner again, if the request waits for one, after a change of the view. Takes back the request if it
    /// waits to be sent to a server that is not to get it any more.
    void onViewChanged();
    /// Limits the deadline of the request to this time. Refuses a request whose awaited owner is expected after it.
    void limitDeadline(Core::TimePoint);
    /// Takes back the request if it waits to be sent to this server process, which wants no requests now.
    void onServerSilent(Fleet::ServerNumber process);
    /// Logs that the request is unfinished, and whether it waits for a server or for an owner.
    void logUnfinished() const;

private:
    static constexpr std::uint16_t statusUnauthorized = 401;
    static constexpr std::uint16_t statusTooManyRequests = 429;
    static constexpr std::uint16_t statusUnavailable = 503;
    static constexpr std::uint16_t statusBadGateway = 502;
    /// Retry-After time if no better estimate is known.
    static constexpr Core::Duration defaultRetryAfter = std::chrono::milliseconds(250);

    void onAnswer(Net::HttpAnswer, AnswerMetadata const&) override;
    void onFailure(Net::ExchangeFailure) override;

    bool resolveRoute();
    /// Finds the workspace of the request. Returns false if the request was answered since it lacks a valid API key.
    bool resolveWorkspace(Fleet::RouteItem const&);
    /// Dispatches the request, or refuses it, once it is known whether it is within the quota of its workspace.
    void acquireQuota();
    void onQuotaDecision(QuotaDecision const&, std::optional<QuotaUse> const&);
    /// Returns what the request has used of the quota of its workspace, since it was not run.
    void refundQuota();
    /// Refuses the request, which was not run, with a status that says so.
    void refuse(std::uint16_t status, std::string_view reason, Core::Duration retryAfter);
    void dispatch();
    void dispatchToOwner(Fleet::PoolItem const&);
    void dispatchToAnyServer(Fleet::PoolItem const&);
    bool trySend(Fleet::ViewServer const&, Fleet::PoolItem const&);
    AdmissionQuery admissionQuery();
    /// Refuses the request if its server would answer it too late. Returns whether it did.
    bool refuseForLoad(Fleet::ViewServer const&);
    /// Requests a reservation for a send to an owner that names a limit, or refuses the request.
    void reserveSendToOwner(Fleet::ViewServer const&, ServerBackpressure const&);
    enum class LimitedSend : std::uint8_t {
        Allowed,
        Refused,
        /// A reservation was requested, and the request waits for it.
        Awaited,
    };
    /// Asks whether the request may be sent to a server without keys that names a limit.
    LimitedSend tryLimitedSend(Fleet::ServerNumber, ServerBackpressure&, Core::Duration patience);
    /// `patience` is the longest wait for the send.
    void requestReservation(Fleet::ServerNumber, ServerBackpressure const&, Core::Duration patience);
    void onReservation(Fleet::ServerNumber, Core::Duration patience, std::optional<Fleet::Reservation> const&);
    void onReservationUnanswered(Fleet::ServerNumber, ServerBackpressure&);
    /// Sends the request, which was reserved for this time, unless that was too long ago.
    void useReservation(Fleet::ServerNumber, Core::TimePoint reservedFor);
    /// Refuses the request if only this server can run it, otherwise tries the others. `wait` is the time until the
    /// server may get the next request.
    void onNotReserved(Fleet::ServerNumber, Core::Duration wait);
    void refuseForLimit(Fleet::ServerNumber, Core::Duration wait);
    void refuseForSilence(std::string_view reason, Core::Duration left);
    void logAdmission(Fleet::ViewServer const&, Refusal const&);
    /// Waits for a change of owner until `latest`, then refuses. Refuses immediately if the owner is expected after the
    /// deadline.
    void waitForOwner(Core::TimePoint expectedAt, Core::TimePoint latest);
    /// Whether nothing of the request has been sent to the server that was chosen for it.
    bool waitsToBeSent() const;
    /// Whether the server that was chosen for the request may still get it.
    bool isServerStillChosen() const;
    /// Dispatches a request again of which nothing has been sent.
    void takeBack();
    void onNotRun(bool isMisdirected);
    /// The Retry-After time after a rejection by the owner of the key, from the load that it reported.
    Core::Duration ownerRetryAfter();
    /// Consumes one retry of the budget, if the request has sends left. Returns whether the request may be sent again.
    bool tryStartRetry();
    /// Whether the route's limit on servers that may run one request allows this server process.
    bool mayRunAt(Fleet::ServerNumber process) const;
    /// Whether the request may be sent to this server (again). After a server has rejected an attempt, a second
    /// rejection of the same attempt may be a late copy of the first one, while the server runs the request. A request
    /// that must run at most once is therefore not sent there again.
    bool mayBeSentTo(Fleet::ServerNumber process) const;
    /// Ends the wait of the current send for its answer, which frees a place at the server. Null if nothing is known of
    /// the server any more.
    KnownServer* endSend();
    void startDeadlineTimer();
    void onDeadline();
    void relay(Net::HttpAnswer);
    void refuse(std::string_view reason, Core::Duration retryAfter);
    void fail(std::uint16_t status, std::string_view reason);
    /// Answers the caller and ends the exchange. `outcome` and `reason` are labels of the request metrics.
    void respond(Net::HttpResponse, std::string_view outcome, std::string_view reason);
    void cancelTimers();
    Core::Duration remainingTime() const { return deadline_ - gateway_.loop_.now(); }
    bool isSafe() const { return kind_ == Fleet::RequestKind::Safe; }
    /// Identifies the request by its method, target and body.
    Core::Digest const& fingerprint();
    bool isQuarantined();

    Gateway& gateway_;
    Net::ExchangeId id_;
    /// Without the body.
    Net::HttpRequest request_;
    std::shared_ptr<std::string const> body_;
    RequestMetadata metadata_;
    /// The workspace whose API key the request has.
    std::optional<Core::WorkspaceName> workspace_;
    /// What the request has used of the quota of its workspace.
    std::optional<QuotaUse> quotaUse_;
    /// The wait for the decision about the quota; zero for none.
    std::uint64_t quotaWait_ { 0 };
    Core::RouteName route_;
    Core::PoolName pool_;
    Fleet::RequestKind kind_ { Fleet::RequestKind::Unsafe };
    std::int32_t priority_ { 0 };
    /// The cost of the request relative to the average one of its pool.
    double cost_ { 1 };
    std::optional<Core::Digest> fingerprint_;
    std::uint32_t maxAttempts_ { 1 };
    std::uint32_t sends_ { 0 };
    Core::TimePoint deadline_;
    /// The time at which the route's target latency is exceeded, counted from the caller's first attempt.
    Core::TimePoint targetTime_;
    /// Whether the caller returns after a refusal.
    bool isReturning_ { false };
    /// The connection on which the answer is awaited, or null.
    ServerConnection* connection_ { nullptr };
    /// The registration and the process of the server that the request was last sent to; zero if it was not sent.
    Fleet::ServerNumber server_ { 0 };
    Fleet::ServerNumber process_ { 0 };
    Core::TimePoint sentAt_;
    bool wasIdleAtSend_ { false };
    /// Whether a send had an unknown outcome, so that the request may have run.
    bool mayHaveRun_ { false };
    bool isWaiting_ { false };
    /// The reservation that is awaited; zero for none.
    std::uint64_t reservation_ { 0 };
    /// The server to which a send is reserved now; zero for none.
    Fleet::ServerNumber reservedServer_ { 0 };
    /// The time at which the awaited owner is expected.
    Core::TimePoint ownerExpectedAt_;
    /// The server processes that the request was sent to.
    std::set<Fleet::ServerNumber> triedServers_;
    /// The servers to which the leader has granted no send of this request.
    std::set<Fleet::ServerNumber> notReserved_;
    /// The server processes that reported that they did not run the request.
    std::set<Fleet::ServerNumber> rejectedBy_;
    /// The server processes that may have run the request.
    std::set<Fleet::ServerNumber> mayHaveRunAt_;
    Net::EventLoop::TimerId deadlineTimer_;
    Net::EventLoop::TimerId waitTimer_;
};

} // namespace Gateway
