#pragma once

#include <LibCore/Random.h>
#include <LibGateway/ColdGate.h>
#include <LibGateway/PoolSplit.h>
#include <LibGateway/RetryShare.h>
#include <LibGateway/ServerLinks.h>
#include <LibGateway/ServerLoad.h>
#include <LibNet/HttpServer.h>
#include <LibTelemetry/EventLog.h>
#include <LibTelemetry/Metrics.h>

namespace Gateway {

class Exchange;

struct GatewaySettings {
    /// Of this entry host.
    std::string name;
    RetryBound retries;
    /// A cold server bears its rate times the factor, plus the slack.
    double warmupFactor { 1.5 };
    double warmupSlack { 5 };
    Core::FailureDomain failureDomain;
    /// What the link of this host takes in each direction; zero if it is large enough not to matter.
    double linkBytesPerSecond { 0 };
};

/// The request path of one entry host. Used on the loop's thread.
class Gateway final : public Net::HttpHandler {
public:
    Gateway(Net::EventLoop&, Telemetry::EventLog&, Telemetry::Metrics&, RequestCodec const&, GatewaySettings const&);
    ~Gateway() override;

    /// False when the address cannot be used; `errno` says why.
    bool listen(Core::Endpoint const&);
    void apply(Fleet::ViewUpdate const&);
    bool isReady() const { return view_.isConfigured(); }
    std::uint64_t itemRevision() const { return view_.itemRevision(); }
    /// Answers close their connections from now on, and every request has its answer by this time.
    void startDraining(Core::TimePoint endsAt);
    /// Takes no new connections, and refuses what still arrives on the open ones.
    void stopTaking();
    void closeIdleConnections() { server_->closeIdle(); }
    /// Refuses requests that are still arriving.
    void refuseIncomplete() { server_->refuseIncomplete(); }
    std::size_t connectionCount() const { return server_ ? server_->connectionCount() : 0; }
    std::size_t requestCount() const { return exchanges_.size(); }
    /// Memory of the answers that are being read from servers or sent to callers.
    std::size_t heldAnswerBytes() { return links_.heldAnswerBytes() + server_->unsentAnswerBytes(); }
    /// Closes all connections, and logs each request and answer that this cuts off.
    void closeAll();
    /// Arrivals, latencies and suspicions since the last report.
    Fleet::LoadReport takeReport();

private:
    friend class Exchange;

    void onRequest(Net::ExchangeId, Net::HttpRequest) override;
    void onAbandoned(Net::ExchangeId) override;
    void onAnswerCutOff(Net::ExchangeId, std::size_t unsentBytes) override;
    void finish(Net::ExchangeId, Net::HttpResponse const&);
    /// Calls the function for each exchange; it may end that exchange.
    void forEachExchange(std::function<void(Exchange&)> const&);
    ServerLoad& loadOf(Fleet::ServerRecord const&);
    RetryShare& retriesOf(Core::PoolName const&);
    bool mayRepeat(Core::PoolName const&);
    bool passesColdGate(Fleet::ViewServer const&, Fleet::PoolItem const&);
    std::size_t connectionShare(Fleet::PoolItem const&) const;
    void countArrival(Core::PoolName const&, std::uint32_t key);
    void countLatency(Fleet::ServerNumber, Core::Duration);
    void countAnswer(Fleet::ServerNumber server) { ++contacts_[server].answers; }
    void countRefusal(Fleet::ServerNumber server) { ++contacts_[server].refusals; }

    Net::EventLoop& loop_;
    Telemetry::EventLog& events_;
    Telemetry::Metrics& metrics_;
    RequestCodec const& codec_;
    GatewaySettings settings_;
    Core::Random random_;
    Fleet::View view_;
    std::map<Fleet::ServerNumber, ServerLoad> loads_;
    std::map<Fleet::ServerNumber, ColdGate> coldGates_;
    std::map<Core::PoolName, RetryShare> retries_;
    std::map<Core::RouteName, PoolSplit> splits_;
    std::map<std::pair<Core::PoolName, std::uint32_t>, std::uint32_t> arrivals_;
    std::map<Fleet::ServerNumber, Fleet::LoadReport::Latency> latencies_;
    std::map<Fleet::ServerNumber, Fleet::LoadReport::Contact> contacts_;
    std::vector<Fleet::LoadReport::Suspicion> suspicions_;
    bool isTaking_ { true };
    /// Set while the host stops: no request is kept any longer.
    std::optional<Core::TimePoint> endsAt_;
    ServerLinks links_;
    std::map<Net::ExchangeId, std::unique_ptr<Exchange>> exchanges_;
    std::unique_ptr<Net::HttpServer> server_;
};

} // namespace Gateway
