#pragma once

#include <LibConsensus/ConfigurationHistory.h>
#include <LibConsensus/DurabilityTracker.h>
#include <LibConsensus/Log.h>
#include <LibConsensus/Node.h>
#include <LibConsensus/Progress.h>
#include <LibConsensus/ProposalTracker.h>
#include <LibConsensus/ReadQueue.h>
#include <LibConsensus/SnapshotReceiver.h>
#include <LibCore/Random.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace Consensus {

/// The state machine behind `Node`. `MachineElection.cpp` holds roles, timers and votes, `MachineFollower.cpp` what a
/// follower does with the leader's messages, `MachineLeader.cpp` the rest.
class Node::Machine {
public:
    Machine(Settings, RecoveredState, std::uint64_t seed, Core::TimePoint now);

    Actions step(Core::TimePoint now, Event);

    Status status() const;
    Role role() const { return role_; }
    Term term() const { return term_; }
    LogIndex commitIndex() const { return commitIndex_; }
    Log const& log() const { return log_; }
    std::optional<Core::TimePoint> authorityUntil() const;

private:
    // Events
    void handle(Tick const&) { }
    void handle(MessageReceived&);
    void handle(Propose&);
    void handle(RequestRead const&);
    void handle(RequestChange const&);
    void handle(RequestTransfer const&);
    void handle(Persisted const&);
    void handle(StorageFailed const&);
    void handle(SnapshotTaken&);

    // Messages of the current term
    void handle(Core::HostName const& from, Term, VoteRequest const&);
    void handle(Core::HostName const& from, Term, VoteResponse const&);
    void handle(Core::HostName const& from, Term, Heartbeat const&);
    void handle(Core::HostName const& from, Term, HeartbeatResponse const&);
    void handle(Core::HostName const& from, Term, AppendRequest&);
    void handle(Core::HostName const& from, Term, AppendResponse const&);
    void handle(Core::HostName const& from, Term, SnapshotChunk const&);
    void handle(Core::HostName const& from, Term, SnapshotResponse const&);
    void handle(Core::HostName const& from, Term, TimeoutNow const&);

    // Roles and elections
    void runTimers();
    void runLeaderTimers();
    void runElectionTimer();
    void resetElectionTimer();
    bool adoptTerm(Message const&);
    void becomeFollower(Term, std::optional<Core::HostName> leader);
    void startPreVote();
    void startElection(bool isTransfer);
    void countVote(Core::HostName const& voter);
    void becomeLeader();
    void halt();
    bool hearsLeader() const;
    bool isUpToDate(VoteRequest const&) const;
    /// A host without any data must not vote: it may have voted or acknowledged entries before it lost its disk.
    bool isBlank() const { return log_.lastIndex().value == 0; }
    bool isVoter() const { return configurations_.current().isVoter(settings_.host); }

    // Follower
    void acceptLeader(Core::HostName const& leader);
    void appendFromLeader(std::vector<LogEntry>& entries);
    void acknowledge();
    void answerMismatch(AppendRequest const&);
    void answerDataLost();
    void install(Snapshot);

    // Leader
    void appendAsLeader(std::vector<LogEntry>);
    void startRound();
    void flushReads();
    void confirmReads();
    void recordContact(Progress&, Round);
    void replicate(Core::HostName const&, Progress&);
    void replicateToAll();
    void sendAppend(Core::HostName const&, Progress&);
    void sendChunk(Core::HostName const&, Progress&);
    void advanceCommit();
    void followConfiguration();
    void advanceTransfer();
    void resignAfterRemoval();
    Progress* progressOf(Core::HostName const&);
    bool isLeaderReady() const { return role_ == Role::Leader && commitIndex_ >= ownTermStart_; }
    bool isCaughtUp(Core::HostName const&) const;
    std::optional<Core::HostName> mostAdvancedVoter() const;

    /// The largest value that a majority of voters has reached. `ofSelf` counts only if this host is a voter.
    template <typename Value, typename Projection> Value quorumValue(Value ofSelf, Projection ofPeer) const
    {
        auto const& voters = configurations_.current().voters;
        std::vector<Value> values;
        values.reserve(voters.size());
        for (auto const& voter : voters) {
            auto const peer = peers_.find(voter.name);
            if (voter.name == settings_.host)
                values.push_back(ofSelf);
            else
                values.push_back(peer == peers_.end() ? Value {} : ofPeer(peer->second));
        }
        std::ranges::sort(values, std::greater {});
        return values.at(configurations_.current().quorum() - 1);
    }

    // All roles
    void commitTo(LogIndex);
    void changeConfiguration(LogIndex, Configuration);
    PersistSequence persist(PersistRequest);
    void persistHardState();
    /// Holds the message back until the term and vote are durable.
    void send(Core::HostName const& to, MessageBody);
    void refuse(Core::HostName const& from, MessageRefusal);
    LogIndex lastSnapshotIndex() const;
    void compact();

    Settings settings_;
    Core::Random random_;
    Core::TimePoint now_;
    /// Collects the result of the current step.
    Actions actions_;
    bool isFirstStep_ { true };

    Role role_ { Role::Follower };
    Term term_;
    std::optional<Core::HostName> votedFor_;
    std::optional<Core::HostName> leader_;
    ConfigurationHistory configurations_;
    Log log_;
    LogIndex commitIndex_;
    std::optional<Snapshot> snapshot_;
    DurabilityTracker durability_;
    PersistSequence hardStateSequence_;
    std::vector<Message> heldMessages_;

    Core::TimePoint electionDeadline_;
    bool hasSkippedDeadline_ { false };
    Core::TimePoint lastLeaderContact_;
    std::set<Core::HostName> votes_;

    /// Follower: the log up to here is equal to the leader's, in this term and since the start.
    LogIndex verified_;
    LogIndex lastAcknowledged_;
    Round lastRound_;
    SnapshotReceiver receiver_;

    std::map<Core::HostName, Progress> peers_;
    /// The first entry of this host as leader.
    LogIndex ownTermStart_;
    Round round_;
    struct StartedRound {
        Round round;
        Core::TimePoint startedAt;
    };
    std::deque<StartedRound> startedRounds_;
    Core::TimePoint nextHeartbeat_;
    std::size_t uncommittedBytes_ { 0 };
    ReadQueue reads_;
    ProposalTracker proposals_;
    struct LeadershipTransfer {
        Core::HostName target;
        Core::TimePoint deadline;
        /// The target was told to start an election, so this host may be replaced at any moment.
        bool isSent { false };
    };
    std::optional<LeadershipTransfer> transfer_;

    struct PendingSnapshot {
        PersistSequence sequence;
        Snapshot snapshot;
    };
    std::deque<PendingSnapshot> pendingSnapshots_;
    std::uint64_t snapshotThreshold_ { 0 };
};

} // namespace Consensus
