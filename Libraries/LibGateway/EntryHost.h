#pragma once

#include <LibGateway/EntryLink.h>
#include <LibGateway/Gateway.h>

namespace Gateway {

struct EntryHostSettings {
    std::string name;
    Core::Endpoint callers;
    std::vector<Core::Endpoint> controlHosts;
    GatewaySettings gateway;
    /// From the request to stop until the process must have ended.
    Core::Duration stopGrace { std::chrono::seconds(6) };
};

/// The entry role of one process: serves callers by the view that the control leader keeps up to date.
class EntryHost final : private EntryLinkHandler {
public:
    EntryHost(Net::EventLoop&, Telemetry::EventLog&, Telemetry::Metrics&, RequestCodec const&, EntryHostSettings);
    ~EntryHost() override;

    /// False when the address cannot be used; `errno` says why.
    bool listen() { return gateway_.listen(settings_.callers); }
    /// Whether new connections may be sent here.
    bool isReady() const { return gateway_.isReady() && !isStopping_; }
    void setControlHosts(std::vector<Core::Endpoint> hosts) { link_.setSeeds(std::move(hosts)); }
    /// Stops the loop once nobody needs this host any more: it says that it is not ready, goes on serving until the
    /// balancer has noticed, and then closes connections as they become idle.
    void beginStop();
    Gateway const& gateway() const { return gateway_; }

private:
    void onView(Fleet::ViewUpdate const&) override;
    std::uint64_t itemRevision() const override { return gateway_.itemRevision(); }
    void sendReport();
    void continueStop();
    /// From the time by which every request is answered until the end of the grace.
    Core::Duration answerMargin() const;

    Net::EventLoop& loop_;
    Telemetry::EventLog& events_;
    EntryHostSettings settings_;
    Gateway gateway_;
    EntryLink link_;
    bool isStopping_ { false };
    Core::TimePoint stopBegan_;
    Net::EventLoop::TimerId reportTimer_;
    Net::EventLoop::TimerId stopTimer_;
};

} // namespace Gateway
