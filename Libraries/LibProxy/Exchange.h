#pragma once

#include <LibProxy/AttemptPlanner.h>
#include <LibProxy/ResponseRelay.h>

namespace Proxy {

/// The connection of a caller, over one or more requests.
struct CallerConnection {
    Socket socket;
    InputBuffer input;
    std::string remoteAddress;
};

/// One request of a caller, from its parsed head to its end.
class Exchange {
public:
    Exchange(Environment&, CallerConnection&, MessageReader& request, bool keepsCaller);

    /// True when the caller's connection can be used for another request.
    bool run();

private:
    struct OpenFailure {
        Rejection rejection;
        bool mayRetry { false };
    };

    Core::Result<Core::Void, Rejection> process();
    Core::Result<Core::Void, Rejection> prepareBody();
    Core::Result<Core::Void, Rejection> checkQuarantine() const;
    /// True when the order was answered from the ledger and nothing is left to do.
    Core::Result<bool, Rejection> claimOrder();
    Core::Result<Core::Void, Rejection> runAttempts();
    Core::Result<Core::Void, OpenFailure> runAttempt(Policy::AttemptKind);
    Core::Result<std::unique_ptr<Attempt>, OpenFailure> startAttempt(Policy::AttemptKind);
    /// Waits for the first response head; starts a hedged attempt when the first one stays silent.
    Core::Result<std::unique_ptr<Attempt>, OpenFailure> awaitResponse(std::unique_ptr<Attempt>);
    Core::Result<std::unique_ptr<Attempt>, AttemptFailure> pollAttempts();
    Core::Result<Core::Void, AttemptFailure> onTimeout();
    void startHedge();
    Core::TimePoint nextWakeUp() const;
    Core::Result<Core::Void, OpenFailure> deliver(Attempt&);
    OpenFailure failAttempt(Attempt&, AttemptFailure const&);
    void settleOrder(std::optional<Rejection> const&);
    void finishRecord(std::optional<Rejection> const&);
    OrderKey orderKey() const;

    Environment& environment_;
    RequestRecord record_;
    RequestBody body_;
    RequestContext context_;
    ResponseRelay relay_;
    std::vector<Core::ServerName> excluded_;
    /// Attempts that wait for a response head: the first or retried one, then at most one hedged one.
    std::vector<std::unique_ptr<Attempt>> active_;
    std::optional<Core::TimePoint> hedgeAt_;
    std::optional<Core::TimePoint> silentAt_;
    bool needsNewConnection_ { false };
    /// Set once an attempt may have run the request; the request can then no longer be reported as not run.
    std::optional<Reason> unknownReason_;
};

} // namespace Proxy
