#pragma once

#include <LibControlHost/Frames.h>
#include <LibNet/FrameChannel.h>
#include <LibTelemetry/EventLog.h>

namespace Gateway {

/// Receives the messages that the control leader sends to this entry host.
class LeaderConnectionHandler {
public:
    virtual ~LeaderConnectionHandler() = default;
    virtual void onView(Fleet::ViewUpdate const&) = 0;
    virtual void onReservation(Fleet::ReservationReply const&) = 0;
    virtual void onQuotaReply(Fleet::QuotaReply const&) = 0;
    /// The revision of the configuration items that this entry host has, so that a leader sends only newer ones.
    virtual std::uint64_t itemRevision() const = 0;
    /// The requests that this entry host refuses, so that a new leader knows them.
    virtual std::vector<std::string> quarantined() const = 0;
};

/// The connection of an entry host to the control leader.
///
/// Searches for the leader among all known control hosts. On a saturated network link an answer may take most of a
/// second, and a frozen control host accepts connections but never answers. A slow attempt is therefore not aborted
/// for some seconds; the next one is started in parallel. The first control host that sends a view is the leader.
class LeaderConnection final : private Net::FrameHandler {
public:
    LeaderConnection(Net::EventLoop&, Telemetry::EventLog&, LeaderConnectionHandler&, std::string name,
        std::vector<Core::Endpoint> seeds);
    ~LeaderConnection() override;

    void setSeeds(std::vector<Core::Endpoint>);
    void report(Fleet::LoadReport const&);
    /// Requests a reservation. Returns false if no leader is known.
    bool reserve(Fleet::ReservationRequest const&);
    /// Requests credits of a quota. Returns false if no leader is known.
    bool requestQuota(Fleet::QuotaRequest const&);
    bool isConnected() const { return leader_ != nullptr; }

private:
    struct Attempt {
        Core::Endpoint peer;
        std::unique_ptr<Net::FrameChannel> channel;
        Core::TimePoint startedAt;
    };

    void onOpen(Net::FrameChannel&) override;
    void onFrame(Net::FrameChannel&, std::string_view) override;
    void onClosed(Net::FrameChannel&) override;

    /// Starts an attempt, unless the leader is known or `maxAttempts` are in progress, and schedules the next search.
    void findLeader();
    /// Closes the attempts that have had no view for too long, so that their peers are asked again.
    void giveUpOldAttempts();
    void scheduleSearch(Core::Duration);
    void connect(Core::Endpoint const&);
    void onView(Net::FrameChannel&, Fleet::ViewUpdate const&);
    void onHint(Net::FrameChannel&, ControlHost::LeaderHint const&);
    /// Closes the channel of an attempt or of the leader.
    void closeChannel(Net::FrameChannel&);
    bool isConnectingTo(Core::Endpoint const&) const;
    Core::Endpoint peerOf(Net::FrameChannel const&) const;
    std::optional<Core::Endpoint> nextCandidate();

    Net::EventLoop& loop_;
    Telemetry::EventLog& events_;
    LeaderConnectionHandler& handler_;
    std::string name_;
    std::vector<Core::Endpoint> seeds_;
    std::vector<Core::Endpoint> members_;
    std::size_t next_ { 0 };
    std::vector<Attempt> attempts_;
    /// The channel of the attempt that received a view, or null.
    Net::FrameChannel* leader_ { nullptr };
    Net::EventLoop::TimerId timer_;
};

} // namespace Gateway
