#pragma once

#include <LibControlHost/Bootstrap.h>
#include <LibControlHost/Frames.h>
#include <LibControlHost/MembershipPlan.h>
#include <LibControlHost/Replica.h>
#include <LibFleet/View.h>
#include <LibNet/FrameChannel.h>
#include <LibTelemetry/Metrics.h>

namespace ControlHost {

struct ControlHostSettings {
    /// Where other hosts of the product reach this one.
    Core::Endpoint address;
    /// Control hosts to ask first.
    std::vector<Core::Endpoint> seeds;
    Fleet::CoordinatorSettings coordinator;
};

using HeartbeatResult = Core::Result<std::optional<Fleet::Grant>, SubmitError>;
using ChangeResult = Core::Result<Core::Void, std::variant<NotLeading, OutcomeUnknown, Fleet::ChangeError>>;

/// The control role of one process. Used on the loop's thread.
class ControlHost final : private ReplicaObserver, private Net::FrameHandler {
public:
    ControlHost(Net::EventLoop&, Telemetry::EventLog&, Telemetry::Metrics&, ControlHostSettings, OpenedStore);
    ~ControlHost() override;

    /// False when the address cannot be used; `errno` says why.
    bool listen();
    void setSeeds(std::vector<Core::Endpoint> seeds) { settings_.seeds = std::move(seeds); }

    /// Each calls back once. The acknowledgement of a change means that a quorum holds it on its disks.
    void heartbeat(Fleet::Heartbeat, std::function<void(HeartbeatResult)>);
    void leave(Core::ServerName const&, std::function<void(ChangeResult)>);
    void change(Fleet::ItemChange, std::function<void(ChangeResult)>);
    void change(Fleet::DomainChange, std::function<void(ChangeResult)>);
    /// Calls back with the state, which then contains everything that was acknowledged before this call.
    void read(std::function<void(Core::Result<Fleet::State const*, NotLeading>)>);

    bool isLeading() const { return replica_.isLeading(); }
    /// Whether the operator has sent any configuration.
    bool isConfigured() const { return !replica_.state().pools().empty(); }
    bool knowsPool(Core::PoolName const& pool) const { return replica_.state().pools().contains(pool.value); }
    /// The address of the leader for other hosts of the product, if one is known and it is another host.
    std::optional<Core::Endpoint> leader() const;
    /// The identities that vote, as far as this host knows.
    std::vector<Core::HostName> voters() const;
    /// Hands the leadership over before a planned stop.
    void prepareStop() { replica_.transferLeadership(); }

private:
    // ReplicaObserver
    void send(Consensus::Message const&) override;
    void onApplied(Fleet::Command const&, Fleet::Applied const&) override;
    void onLeading(bool) override;

    // Net::FrameHandler
    void onFrame(Net::FrameChannel&, std::string_view) override;
    void onClosed(Net::FrameChannel&) override;

    void accept(int fd);
    void onHello(Net::FrameChannel&, Hello const&);
    void onJoin(Net::FrameChannel&, JoinRequest const&);
    void onReport(Fleet::LoadReport const&);
    void logChanges(Fleet::Command const&, Fleet::Applied const&);
    void onHint(LeaderHint const&);
    LeaderHint hint() const;
    Net::FrameChannel& channelTo(Core::Endpoint const&);
    void commit(Fleet::Command const&, std::function<void(ChangeResult)>);
    void answerHeartbeat(
        Fleet::Heartbeat const&, Core::TimePoint receivedAt, std::function<void(HeartbeatResult)> const&);
    void submitDecisions();
    void publishSoon();
    void publish();
    /// The whole view for entry hosts that have the items of a revision, encoded once until it changes.
    std::string const& wholeFrame(std::uint64_t knownRevision);
    void tick();
    void askToJoin();
    void superviseMembers();
    void publishMetrics();
    void countEntryHosts();

    Net::EventLoop& loop_;
    Telemetry::EventLog& events_;
    Telemetry::Metrics& metrics_;
    ControlHostSettings settings_;
    Core::HostName identity_;
    Replica replica_;
    std::unique_ptr<Net::Listener> listener_;
    /// To other control hosts, by address.
    std::map<Core::Endpoint, std::unique_ptr<Net::FrameChannel>> outgoing_;
    std::vector<std::unique_ptr<Net::FrameChannel>> incoming_;
    /// The entry hosts by their channels.
    std::map<Net::FrameChannel*, std::string> entryChannels_;
    /// When each entry host was last seen. Those that were lost still share the bounds for a while.
    std::map<std::string, Core::TimePoint> entryHosts_;
    std::vector<std::string> sharing_;
    std::map<Core::HostName, Joiner> joiners_;
    /// Present while this host leads.
    std::unique_ptr<Fleet::Coordinator> coordinator_;
    Core::TimePoint leadingSince_;
    Fleet::ViewUpdate update_;
    /// By the item revision that the receiver has.
    std::map<std::uint64_t, std::string> wholeFrames_;
    Net::EventLoop::TimerId publishTimer_;
    Core::TimePoint lastMemberChange_;
    Core::TimePoint lastLeader_;
    Core::TimePoint lastJoin_;
    Core::TimePoint lastMetrics_;
    std::size_t nextSeed_ { 0 };
    std::optional<Core::Endpoint> hintedLeader_;
    Net::EventLoop::TimerId timer_;
};

} // namespace ControlHost
