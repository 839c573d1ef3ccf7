#pragma once

#include "DispatchTable.h"
#include "LeaderLink.h"

#include <LibProxy/Announcement.h>
#include <LibProxy/Server.h>
#include <LibRpc/Convert.h>
#include <LibTelemetry/EventLog.h>
#include <LibTelemetry/Metrics.h>

namespace Daemon {

struct EntryDependencies {
    Rpc::EventLoop& loop;
    Rpc::Connections& connections;
    LeaderLink& leader;
    ViewStore& views;
    DispatchTable& dispatch;
    Telemetry::EventLog& events;
    Telemetry::Metrics& metrics;
};

/// Keeps this entry host's view lease alive, forwards announcements of backend servers and applies views. Runs on the
/// loop's thread, except `announce`.
class EntryAgent final : public Proxy::AnnounceHandler {
public:
    /// Requests in flight by slot, from the data path.
    using SlotsInFlight = std::function<std::vector<Proxy::SlotInFlight>()>;

    EntryAgent(Config::DaemonSettings const&, EntryDependencies, Core::Incarnation);

    /// Blocks a traffic thread until the leader answered. Not called on the loop's thread.
    Core::Result<Proxy::AnnounceReply, Proxy::AnnounceRefusal> announce(Proxy::Announcement const&) override;

    void start(SlotsInFlight);
    /// The newest view version that is known to be in effect at every live entry host.
    Core::ViewVersion effectiveVersion() const { return effectiveVersion_; }

private:
    using AnnounceResult = Core::Result<Proxy::AnnounceReply, Proxy::AnnounceRefusal>;

    struct PendingAnnouncement {
        Control::Announcement announcement;
        Core::TimePoint receivedAt;
        std::function<void(AnnounceResult)> answer;
    };
    using Batch = std::vector<PendingAnnouncement>;

    void sendHeartbeat();
    Control::Heartbeat buildHeartbeat(Batch const&);
    void onReply(Core::Endpoint const& from, Core::TimePoint sentAt, Batch, Rpc::Wire::HeartbeatReply::Reader);
    void onAnswer(Core::TimePoint sentAt, Batch const&, Rpc::HeartbeatAnswer const&);
    void applyView(std::shared_ptr<Routing::View const> const&);
    void registerHeld(Core::HostName const& dispatcher, std::vector<HeldPermit> const&, Core::TimePoint giveUpAt);
    void retryLater(Batch);
    void answerAnnouncements(Batch const&, std::vector<Control::Grant> const&);
    void watchLease();

    Config::DaemonSettings const& settings_;
    EntryDependencies dependencies_;
    Routing::EntryHost self_;
    SlotsInFlight slotsInFlight_;
    std::uint64_t sequence_ { 0 };
    bool isInFlight_ { false };
    Core::TimePoint lastSent_;
    Batch pending_;
    Core::ViewVersion appliedVersion_;
    Core::ViewVersion effectiveVersion_;
    /// Registrations with new dispatchers that must end before the applied version is acknowledged.
    std::uint32_t openRegistrations_ { 0 };
    Core::ViewVersion acknowledgedVersion_;
    bool hadLease_ { false };
};

} // namespace Daemon
