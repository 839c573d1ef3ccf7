#pragma once

#include <LibGateway/Admission.h>
#include <LibGateway/Gateway.h>

namespace Gateway {

/// One request of a caller, from its arrival to its answer.
///
/// A refusal (503) is given only while the request is at no server: nothing was sent, or the server said that it did
/// not run it. Once a send has an unknown outcome, an unsafe request ends with 502 or 504 and is never sent again.
class Exchange final : public Net::Reclaimable, private LinkUser {
public:
    Exchange(Gateway&, Net::ExchangeId, Net::HttpRequest);
    ~Exchange() override;

    void start();
    /// The caller has left.
    void abandon();
    /// The view has changed; a request that waits for an owner looks again.
    void onViewChanged();
    /// The answer must be given by this time, whatever time the caller has.
    void limitDeadline(Core::TimePoint);
    /// Writes what the request waits for to the event log.
    void logUnfinished() const;

private:
    void onAnswer(Net::HttpAnswer, AnswerMetadata const&) override;
    void onFailure(Net::ExchangeFailure) override;

    bool readTerms();
    void place();
    void placeByKey(Fleet::PoolItem const&);
    void placeAnywhere(Fleet::PoolItem const&);
    bool trySend(Fleet::ViewServer const&, Fleet::PoolItem const&);
    AdmissionQuery admissionQuery();
    /// Refuses at once if the owner is expected too late, and at the latest after this time.
    void waitForOwner(Core::TimePoint expectedAt, Core::TimePoint latest);
    void onNotRun(bool isMisdirected);
    /// Whether another send is allowed after one that ended without a usable answer.
    bool mayTryAgain();
    /// Whether the route's bound on servers that run one request allows this one.
    bool mayRunAt(Fleet::ServerNumber) const;
    void startDeadlineTimer();
    void onDeadline();
    void relay(Net::HttpAnswer);
    void refuse(std::string_view reason, Core::Duration retryAfter);
    void fail(std::uint16_t status, std::string_view reason);
    /// `outcome` and `reason` are for the metrics.
    void respond(Net::HttpResponse const&, std::string_view outcome, std::string_view reason);
    void cancelTimers();
    Core::Duration left() const { return deadline_ - gateway_.loop_.now(); }
    bool isSafe() const { return kind_ == Fleet::RequestKind::Safe; }
    std::string fingerprint() const;

    Gateway& gateway_;
    Net::ExchangeId id_;
    Net::HttpRequest request_;
    RequestMetadata terms_;
    Core::RouteName route_;
    Core::PoolName pool_;
    Fleet::RequestKind kind_ { Fleet::RequestKind::Unsafe };
    std::int32_t priority_ { 0 };
    std::uint32_t maxAttempts_ { 1 };
    std::uint32_t sends_ { 0 };
    Core::TimePoint deadline_;
    /// Until then the answer is worth most.
    Core::TimePoint target_;
    /// Set while a request is at a server.
    ServerLink* link_ { nullptr };
    Fleet::ServerNumber server_ { 0 };
    Core::TimePoint sentAt_;
    bool wasIdleAtSend_ { false };
    /// A send whose outcome is unknown: the request may have run.
    bool mayHaveRun_ { false };
    bool isWaiting_ { false };
    /// Of the owner that the request waits for.
    Core::TimePoint ownerExpectedAt_;
    /// Servers that this request was sent to.
    std::set<Fleet::ServerNumber> tried_;
    /// Those that may have run it.
    std::set<Fleet::ServerNumber> ranAt_;
    Net::EventLoop::TimerId deadlineTimer_;
    Net::EventLoop::TimerId waitTimer_;
};

} // namespace Gateway
