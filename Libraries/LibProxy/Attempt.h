#pragma once

#include <LibProxy/RequestContext.h>

namespace Proxy {

struct AttemptFailure {
    Policy::AttemptOutcome outcome { Policy::AttemptOutcome::NotSent };
    Rejection rejection;
};

/// Where an attempt goes and with which permission.
struct AttemptPlan {
    Routing::BackendServer server;
    std::size_t entryHosts { 1 };
    Policy::Permit permit;
    Policy::AttemptKind kind { Policy::AttemptKind::First };
    /// Key-partitioned pools only.
    std::optional<Core::Epoch> epoch;
    SlotUsage::Registration slotUse;
    /// After a connection failed silently, only a new connection is trusted.
    bool needsNewConnection { false };
};

/// One request sent to one backend server under one permit. Releases the permit exactly once.
class Attempt {
public:
    Attempt(Environment&, RequestContext&, AttemptPlan);
    /// Closes the connection, which cancels the work at the server, unless the attempt was finished before.
    ~Attempt();
    Attempt(Attempt const&) = delete;
    Attempt& operator=(Attempt const&) = delete;

    /// Connects and sends the head and the body. Also returns when the server responds before the end of the body.
    Core::Result<Core::Void, AttemptFailure> send();
    /// True once the head of the final response was read; false when more input is needed.
    Core::Result<bool, AttemptFailure> readHead();
    /// Body bytes of the response; zero once the response is complete.
    Core::Result<std::size_t, AttemptFailure> readBody(std::span<char> output);
    bool isResponseComplete() const { return response_.isDone(); }
    MessageHead const& responseHead() const { return response_.head(); }

    int descriptor() const { return connection_ ? connection_->descriptor() : -1; }
    bool isReused() const { return connection_ && connection_->isReused(); }
    /// A byte may have reached the server.
    bool mayHaveRun() const { return isSent_; }
    Core::ServerName const& serverName() const { return plan_.server.name; }
    Core::TimePoint sentAt() const { return sentAt_; }
    Core::Duration latency() const { return latency_; }
    Policy::AttemptKind kind() const { return plan_.kind; }

    /// Ends a complete exchange: releases the permit and keeps the connection when it can be reused.
    void finishAnswered(Policy::AttemptOutcome);
    /// Ends a failed attempt: closes the connection and releases the permit. After a lost connection or a timeout the
    /// permit is released in the background, once a new connection has told a half-open connection from a failed
    /// server.
    void finishFailed(Policy::AttemptOutcome);

private:
    /// What is left to report of an attempt that ended.
    struct Finished {
        AttemptSpan span;
        AttemptEnd end;
        Core::PermitId permit;

        void report(Environment const&) const;
    };

    Finished finishedAttempt(Policy::AttemptOutcome, AttemptEnd) const;
    Core::Result<Core::Void, AttemptFailure> connect();
    Core::Result<Core::Void, AttemptFailure> sendRemainingBody();
    /// Sends as much as possible; false when the server has begun to respond or closed its side.
    Core::Result<bool, AttemptFailure> sendPiece(std::string_view first, std::string_view second);
    Core::Result<bool, AttemptFailure> waitForServer(short events, bool readsCaller);
    std::string requestHead() const;
    AttemptFailure fail(Policy::AttemptOutcome, Reason) const;
    AttemptFailure failBody(BodyError) const;
    void finish(Policy::AttemptOutcome, AttemptEnd);

    Environment& environment_;
    RequestContext& context_;
    AttemptPlan plan_;
    AttemptSpan span_;
    std::optional<ServerConnection> connection_;
    InputBuffer input_;
    MessageReader response_;
    Core::TimePoint sentAt_;
    Core::Duration latency_ { 0 };
    std::uint32_t interimResponses_ { 0 };
    bool isSent_ { false };
    bool isBodySent_ { false };
    bool isFinished_ { false };
};

} // namespace Proxy
