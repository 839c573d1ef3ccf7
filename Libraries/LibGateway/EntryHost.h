#pragma once

#include <LibGateway/Gateway.h>
#include <LibGateway/LeaderConnection.h>

namespace Gateway {

struct EntryHostSettings {
    std::string name;
    Core::Endpoint callers;
    std::vector<Core::Endpoint> controlHosts;
    GatewaySettings gateway;
    /// Time from the stop request until the process must have exited.
    Core::Duration stopGrace { std::chrono::seconds(6) };
};

/// The entry role of one process: serves callers according to the view that it receives from the control leader.
class EntryHost final : private LeaderConnectionHandler, private ReservationTransport, private QuotaTransport {
public:
    EntryHost(Net::EventLoop&, Telemetry::EventLog&, Telemetry::Metrics&, RequestCodec const&, EntryHostSettings);
    ~EntryHost() override;

    /// Returns false, with `errno` set, if the address cannot be bound.
    bool listen() { return gateway_.listen(settings_.callers); }
    /// Whether a load balancer may send new connections to this host.
    bool isReady() const { return gateway_.isReady() && !isStopping_; }
    void setControlHosts(std::vector<Core::Endpoint> hosts) { leaderConnection_.setSeeds(std::move(hosts)); }
    /// Begins a graceful stop: reports not ready, keeps serving until the load balancer has noticed, then closes
    /// connections as they become idle. Stops the event loop once all connections are closed or the grace expires.
    void beginStop() { beginStop(loop_.now()); }
    /// The same for a stop that was requested earlier. The grace counts from then.
    void beginStop(Core::TimePoint requestedAt);
    Gateway const& gateway() const { return gateway_; }

private:
    void onView(Fleet::ViewUpdate const&) override;
    void onReservation(Fleet::ReservationReply const& reply) override { gateway_.onReservation(reply); }
    void onQuotaReply(Fleet::QuotaReply const& reply) override { gateway_.onQuotaReply(reply); }
    std::uint64_t itemRevision() const override { return gateway_.itemRevision(); }
    std::vector<std::string> quarantined() const override { return gateway_.quarantined(); }
    bool send(Fleet::ReservationRequest const& request) override { return leaderConnection_.reserve(request); }
    bool send(Fleet::QuotaRequest const& request) override { return leaderConnection_.requestQuota(request); }
    void sendReport();
    void continueStop();
    /// Time from the begin of a stop for which requests are taken.
    Core::Duration acceptTime() const;
    /// Time from the begin of a stop for which connections are accepted.
    Core::Duration listenTime() const;
    /// Time between the deadline of the last requests and the end of the stop grace.
    Core::Duration answerMargin() const;
    /// Time between the exit of the process and the end of the stop grace.
    Core::Duration stopMargin() const;

    Net::EventLoop& loop_;
    Telemetry::EventLog& events_;
    EntryHostSettings settings_;
    Gateway gateway_;
    LeaderConnection leaderConnection_;
    bool isStopping_ { false };
    Core::TimePoint stopBegan_;
    /// The revision of the configuration items that was last reported to a leader.
    std::uint64_t reportedRevision_ { 0 };
    Net::EventLoop::TimerId reportTimer_;
    Net::EventLoop::TimerId stopTimer_;
};

} // namespace Gateway
