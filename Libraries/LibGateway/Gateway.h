#pragma once

#include <LibCore/Random.h>
#include <LibGateway/CallerPatience.h>
#include <LibGateway/KnownServers.h>
#include <LibGateway/PoolSplit.h>
#include <LibGateway/RecentAnswers.h>
#include <LibGateway/RequestCosts.h>
#include <LibGateway/Reservations.h>
#include <LibGateway/RetryBudgetShare.h>
#include <LibGateway/ServerConnections.h>
#include <LibGateway/SharedSlack.h>
#include <LibGateway/WorkspaceLimiter.h>
#include <LibNet/HttpServer.h>
#include <LibTelemetry/EventLog.h>
#include <LibTelemetry/Metrics.h>

namespace Gateway {

class Exchange;

/// What a process may hold for callers and servers.
struct MemorySettings {
    /// Bodies of requests, and answers that are being read or sent, in bytes. Three fifths of the memory of the
    /// smallest host that the platform has.
    std::uint64_t maxHeldBytes { 96UL * 1024 * 1024 };
    /// Connections of callers.
    std::size_t maxConnections { 2048 };
};

struct GatewaySettings {
    /// The name of this entry host.
    std::string name;
    RetryBudget retries;
    /// The request rate limit of a cold server is its warm-up rate times the factor, plus the slack in requests a
    /// second.
    double warmupFactor { 1.5 };
    double warmupSlack { 5 };
    Core::FailureDomain failureDomain;
    /// The time for which an owner of keys still gets requests after it has said in an answer that it leaves.
    Core::Duration leavingGrace { std::chrono::milliseconds(1500) };
    /// Bandwidth of this host's network link in each direction, in bytes a second; zero if it is not a bottleneck.
    double linkBytesPerSecond { 0 };
    Fleet::QuotaBounds quotas;
    MemorySettings memory;
};

/// The request path of one entry host. Must be used on the thread of the event loop.
class Gateway final : public Net::HttpHandler {
public:
    Gateway(Net::EventLoop&, Telemetry::EventLog&, Telemetry::Metrics&, RequestCodec const&, GatewaySettings const&);
    ~Gateway() override;

    /// Returns false, with `errno` set, if the address cannot be bound.
    bool listen(Core::Endpoint const&);
    void apply(Fleet::ViewUpdate const&);
    /// To be called several times in each window of the retry budget while this host is connected to the leader.
    void onLeaderContact();
    /// Sets where reservations are requested. Without it, this host uses only its own share of the servers' limits.
    void setReservationTransport(ReservationTransport& transport) { reservations_.setTransport(transport); }
    void onReservation(Fleet::ReservationReply const& reply) { reservations_.onReply(reply); }
    /// Sets where credits of quotas are requested. Without it, this host uses only its own share of each quota.
    void setQuotaTransport(QuotaTransport& transport) { workspaceLimiter_.setTransport(transport); }
    void onQuotaReply(Fleet::QuotaReply const& reply) { workspaceLimiter_.onReply(reply); }
    bool isReady() const { return view_.isConfigured(); }
    std::uint64_t itemRevision() const { return view_.itemRevision(); }
    std::vector<std::string> quarantined() const { return { view_.quarantined().begin(), view_.quarantined().end() }; }
    /// Closes each connection after its next answer, and limits the deadline of every request to this time.
    void startDraining(Core::TimePoint deadline);
    /// Refuses requests from now on.
    void refuseRequests();
    /// Accepts no connections from now on.
    void stopListening();
    void closeIdleConnections() { server_->closeIdle(); }
    /// Refuses requests that have not been received completely.
    void refuseIncomplete() { server_->refuseIncomplete(); }
    std::size_t connectionCount() const { return server_ ? server_->connectionCount() : 0; }
    std::size_t requestCount() const { return exchanges_.size(); }
    /// Memory, in bytes, of the answers that are being read from servers or sent to callers.
    std::size_t heldAnswerBytes() { return serverConnections_.heldAnswerBytes() + server_->unsentAnswerBytes(); }
    /// Closes all connections, and logs each unfinished request and each truncated answer.
    void closeAll();
    /// Whether an answer of this size may be held until its caller has taken it.
    bool hasRoomForAnswer(Net::ExchangeId, std::size_t bytes);
    /// Returns the load statistics and crash suspicions since the last report, and resets them.
    Fleet::LoadReport takeReport();

private:
    friend class Exchange;

    void onRequest(Net::ExchangeId, Net::HttpRequest) override;
    bool mayRunBesideOthers(Proxy::MessageHead const&) override;
    std::size_t heldBytes() override { return heldAnswerBytes(); }
    void onMemoryRefusal(std::size_t) override;
    void onAbandoned(Net::ExchangeId) override;
    void onAnswerCutOff(Net::ExchangeId, std::size_t unsentBytes) override;
    void finish(Net::ExchangeId, Net::HttpResponse);
    /// Calls the function for each exchange. The function may end the exchange.
    void forEachExchange(std::function<void(Exchange&)> const&);
    ServerLoad& loadOf(Fleet::ServerRecord const& server) { return known_.at(server).load; }
    /// Takes over the records of the servers that the update adds or changes.
    void applyServers(Fleet::ViewUpdate const&);
    /// The servers of a pool without keys that this host uses first, in the order of preference.
    std::vector<Fleet::ServerNumber> const& subsetOf(Core::PoolName const&);
    RetryBudgetShare& retryBudgetOf(Core::PoolName const&);
    bool tryRetry(Core::PoolName const&);
    bool tryAcquireColdSend(Fleet::ViewServer const&, Fleet::PoolItem const&);
    /// Records what an answer to a request that was sent at this time asks of callers.
    void onBackpressure(Fleet::ServerRecord const&, BackpressureSignals const&, Core::TimePoint sentAt);
    void onLimitSignals(Fleet::ServerRecord const&, BackpressureSignals const&, Core::TimePoint sentAt);
    void onLeavingSignals(Fleet::ServerRecord const&, BackpressureSignals const&);
    void onSilenceSignals(Fleet::ServerRecord const&, BackpressureSignals const&);
    /// The time for which a server process wants no request from this host; zero if it takes requests.
    Core::Duration silenceLeft(Fleet::ServerNumber process);
    /// The time until the first server of the pool takes requests again; zero if any does, or if there is none.
    Core::Duration poolSilenceLeft(Core::PoolName const&);
    void applyRequestLimits(Fleet::ViewUpdate const&);
    /// Returns what a server process has asked for; null if nothing.
    ServerBackpressure* backpressureOf(Fleet::ServerNumber process);
    /// The same. What it asks for is recorded there from now on.
    ServerBackpressure& recordedBackpressureOf(Fleet::ServerRecord const&);
    /// Whether a server of a pool without keys may get requests.
    bool mayServe(Fleet::ServerRecord const&);
    /// Whether a server may get requests for the keys that it owns.
    bool mayServeKeys(Fleet::ViewServer const&);
    /// Returns what a server that names a limit has asked for; null for other servers.
    ServerBackpressure* limitedServer(Fleet::ServerNumber);
    /// The share of this entry host in a limit of the server that holds for all entry hosts together.
    EntryHostShare shareOf(Fleet::ServerNumber) const;
    /// The share of this entry host in the quota of the workspace.
    EntryHostShare shareOf(Core::WorkspaceName const&) const;
    /// The rank of this entry host, rotated so that the first ranks go to different hosts for each limit. Hosts that
    /// the view does not list any more may still use their shares, and count for a while.
    EntryHostShare rotatedShare(std::uint64_t rotation) const;
    std::size_t connectionLimit(Fleet::PoolItem const&) const;
    void countArrival(Core::PoolName const&, std::uint32_t key);
    void countLatency(Fleet::ServerNumber, Core::Duration);
    void countAnswer(Fleet::ServerNumber server) { ++contacts_[server].answers; }
    void countOccupancy(Fleet::ServerNumber, ServerLoadReport const&);
    void countRefusal(Fleet::ServerNumber server) { ++contacts_[server].refusals; }
    /// A server has run this request and answered.
    void recordAnswered(Core::Digest const& fingerprint);
    /// Notes which suspected or quarantined requests servers have answered of late.
    void verifySuspects();

    Net::EventLoop& loop_;
    Telemetry::EventLog& events_;
    Telemetry::Metrics& metrics_;
    RequestCodec const& codec_;
    GatewaySettings settings_;
    Core::Random random_;
    Fleet::View view_;
    KnownServers known_;
    RequestCosts costs_;
    /// Computed on demand, and cleared when servers or entry hosts change.
    std::map<Core::PoolName, std::vector<Fleet::ServerNumber>> subsets_;
    Reservations reservations_;
    WorkspaceLimiter workspaceLimiter_;
    std::map<Core::PoolName, RetryBudgetShare> retryBudgets_;
    /// The part of this host in the slack of each retry budget.
    SharedSlack retrySlack_;
    Core::TimePoint startedAt_;
    std::map<Core::RouteName, PoolSplit> splits_;
    std::map<Core::RouteName, CallerPatience> patience_;
    std::map<std::pair<Core::PoolName, std::uint32_t>, std::uint32_t> arrivals_;
    std::map<Fleet::ServerNumber, Fleet::LoadReport::Latency> latencies_;
    std::map<Fleet::ServerNumber, Fleet::LoadReport::Contact> contacts_;
    std::map<Fleet::ServerNumber, Fleet::LoadReport::Occupancy> occupancies_;
    std::vector<Fleet::LoadReport::Suspicion> suspicions_;
    RecentAnswers recentAnswers_;
    /// The suspected or quarantined requests that servers have answered since the last report.
    std::set<std::string> harmless_;
    bool isAccepting_ { true };
    /// The time by which every request must be answered; set while the host stops.
    std::optional<Core::TimePoint> drainDeadline_;
    /// For what this host sends to servers and callers.
    Net::BulkPacer pacer_;
    ServerConnections serverConnections_;
    std::map<Net::ExchangeId, std::unique_ptr<Exchange>> exchanges_;
    std::unique_ptr<Net::HttpServer> server_;
};

} // namespace Gateway
