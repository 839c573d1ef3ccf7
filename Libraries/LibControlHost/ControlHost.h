#pragma once

#include <LibControlHost/Bootstrap.h>
#include <LibControlHost/Frames.h>
#include <LibControlHost/MembershipPlan.h>
#include <LibControlHost/MemoryBudget.h>
#include <LibControlHost/Replica.h>
#include <LibFleet/EntryHostRevisions.h>
#include <LibFleet/View.h>
#include <LibNet/FrameChannel.h>
#include <LibTelemetry/Metrics.h>

namespace ControlHost {

struct ControlHostSettings {
    /// The address at which other control hosts and entry hosts reach this host.
    Core::Endpoint address;
    /// The addresses of the control hosts that are contacted first.
    std::vector<Core::Endpoint> seeds;
    Fleet::CoordinatorSettings coordinator;
    MemoryBudget memory { divideMemory(defaultMemoryBytes) };
};

using HeartbeatResult = Core::Result<std::optional<Fleet::Grant>, SubmitError>;
using ChangeResult = Core::Result<Core::Void, std::variant<NotLeading, OutcomeUnknown, Fleet::ChangeError>>;

/// The control role of one process. It must be used on the thread of the event loop.
class ControlHost final : private ReplicaObserver, private Net::FrameHandler {
public:
    ControlHost(Net::EventLoop&, Telemetry::EventLog&, Telemetry::Metrics&, ControlHostSettings, OpenedStore);
    ~ControlHost() override;

    /// Starts to listen on the configured address. On failure, returns false and sets `errno`.
    bool listen();
    void setSeeds(std::vector<Core::Endpoint> seeds) { settings_.seeds = std::move(seeds); }

    /// Each of these functions calls the callback exactly once. A change is acknowledged only after a quorum has
    /// written it to disk.
    void heartbeat(Fleet::Heartbeat, std::function<void(HeartbeatResult)>);
    void leave(Core::ServerName const&, std::function<void(ChangeResult)>);
    void change(Fleet::ItemChange, std::function<void(ChangeResult)>);
    void change(Fleet::DomainChange, std::function<void(ChangeResult)>);
    /// Performs a linearizable read: calls back with a state that contains all changes acknowledged before this call.
    void read(std::function<void(Core::Result<Fleet::State const*, NotLeading>)>);

    bool isLeading() const { return replica_.isLeading(); }
    /// Whether any configuration from the operator has been applied.
    bool isConfigured() const { return !replica_.state().pools().empty(); }
    bool knowsPool(Core::PoolName const& pool) const { return replica_.state().pools().contains(pool.value); }
    /// The address of the leader, if one is known and it is another host.
    std::optional<Core::Endpoint> leader() const;
    /// The memory held by changes that were submitted and have no outcome, in bytes.
    std::size_t bytesInProgress() const { return replica_.bytesInProgress(); }
    /// The identities of the voters in the latest configuration that this host knows.
    std::vector<Core::HostName> voters() const;
    /// Transfers the leadership to another host before a planned stop.
    void prepareStop() { replica_.transferLeadership(); }

private:
    // ReplicaObserver
    void send(Consensus::Message const&) override;
    void onApplied(Fleet::Command const&, Fleet::ApplyResult const&) override;
    void onLeading(bool) override;

    // Net::FrameHandler
    void onFrame(Net::FrameChannel&, std::string_view) override;
    void onClosed(Net::FrameChannel&) override;

    void accept(int fd);
    void onHello(Net::FrameChannel&, Hello const&);
    void onJoin(Net::FrameChannel&, JoinRequest const&);
    void onReport(Net::FrameChannel&, Fleet::LoadReport const&);
    /// Logs the entry hosts that lack a change of the configuration items.
    void reportEntryHostsBehind();
    void onReservationRequest(Net::FrameChannel&, Fleet::ReservationRequest const&);
    void onQuotaRequest(Net::FrameChannel&, Fleet::QuotaRequest const&);
    /// Publishes the suspects and the quarantine if they have changed, and logs each decision.
    void publishCrashSuspects();
    void publishRequestLimits();
    void logChanges(Fleet::Command const&, Fleet::ApplyResult const&);
    void onHint(LeaderHint const&);
    LeaderHint hint() const;
    Net::FrameChannel& channelTo(Core::Endpoint const&);
    /// Whether the items fit their part of the memory after the change, or take no more than before.
    bool fits(Fleet::State const&, Fleet::ItemChange const&) const;
    void commitItems(Fleet::ItemChange, std::function<void(ChangeResult)>);
    void commit(Fleet::Command const&, std::function<void(ChangeResult)>);
    /// Commits what the heartbeat leads to, and answers it.
    void admitHeartbeat(Fleet::Heartbeat, Core::TimePoint receivedAt, std::function<void(HeartbeatResult)> callback);
    void answerHeartbeat(
        Fleet::Heartbeat const&, Core::TimePoint receivedAt, std::function<void(HeartbeatResult)> const&);
    void submitDecisions();
    void publishSoon();
    void publish();
    void closeCongestedChannels(std::size_t lastFrameBytes);
    /// Returns the encoded full update for entry hosts that have the items up to a revision. It is cached until the
    /// view changes.
    std::string const& fullUpdateFrame(std::uint64_t knownRevision);
    void tick();
    void requestJoin();
    void updateMembership();
    void publishMetrics();
    void updateEntryHosts();

    Net::EventLoop& loop_;
    Telemetry::EventLog& events_;
    Telemetry::Metrics& metrics_;
    ControlHostSettings settings_;
    Core::HostName identity_;
    Replica replica_;
    std::unique_ptr<Net::Listener> listener_;
    /// The channels to other control hosts by address.
    std::map<Core::Endpoint, std::unique_ptr<Net::FrameChannel>> outgoing_;
    std::vector<std::unique_ptr<Net::FrameChannel>> incoming_;
    /// The names of the connected entry hosts by channel.
    std::map<Net::FrameChannel*, std::string> entryChannels_;
    Fleet::EntryHostRevisions revisions_;
    /// When each entry host was last connected. A disconnected entry host still has a share of the limits for a while.
    std::map<std::string, Core::TimePoint> entryHosts_;
    std::vector<std::string> publishedEntryHosts_;
    std::map<Core::HostName, Joiner> joiners_;
    /// The coordinator, which exists only while this host leads.
    std::unique_ptr<Fleet::Coordinator> coordinator_;
    Core::TimePoint leadingSince_;
    Fleet::ViewUpdate update_;
    /// Cached full updates by the item revision that the receiver has.
    std::map<std::uint64_t, std::string> fullUpdateFrames_;
    Net::EventLoop::TimerId publishTimer_;
    Core::TimePoint lastMemberChange_;
    Core::TimePoint lastLeader_;
    Core::TimePoint lastJoin_;
    Core::TimePoint lastMetrics_;
    std::size_t itemChangesInProgress_ { 0 };
    std::size_t nextSeed_ { 0 };
    /// The leader that another host has named; never this host.
    std::optional<Core::Endpoint> hintedLeader_;
    Net::EventLoop::TimerId timer_;
};

} // namespace ControlHost
