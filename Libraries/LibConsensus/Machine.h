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

/// The Raft state machine that implements `Node`. `MachineElection.cpp` implements roles, timers and elections,
/// `MachineFollower.cpp` the handling of the leader's messages by a follower, `MachineLeader.cpp` replication,
/// configuration changes, reads and leadership transfer, and `Machine.cpp` what all roles share.
class Node::Machine {
public:
    Machine(Settings, RecoveredState, std::uint64_t seed, Core::TimePoint now);

    Actions step(Core::TimePoint now, Event);

    Status status() const;
    Role role() const { return role_; }
    Term term() const { return term_; }
    LogIndex commitIndex() const { return commitIndex_; }
    bool isStorageSound() const { return storageState_ == StorageState::Sound; }
    Log const& log() const { return log_; }
    std::optional<Core::TimePoint> authorityUntil() const;

private:
    // Event handlers
    void handle(Tick const&) { }
    void handle(MessageReceived&);
    void handle(Propose&);
    void handle(RequestRead const&);
    void handle(RequestChange const&);
    void handle(RequestTransfer const&);
    void handle(Persisted const&);
    void handle(StorageFailed const&);
    void handle(SnapshotTaken&);

    // Message handlers; `adoptTerm()` has compared the term of the message with the current one
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
    bool hasRecentLeaderContact() const;
    bool isUpToDate(VoteRequest const&) const;
    /// Whether this host has no log entries. Such a host must not vote, because it may have voted or acknowledged
    /// entries before it lost its disk.
    bool hasNoData() const { return log_.lastIndex().value == 0; }
    /// Whether this host may vote and become leader. A vote must be durable.
    bool canTakePartInElections() const { return isStorageSound() && !hasNoData(); }
    bool isVoter() const { return configurations_.current().isVoter(settings_.host); }

    // Follower
    void acceptLeader(Core::HostName const& leader);
    void appendFromLeader(std::vector<LogEntry>& entries);
    void acknowledge();
    void respondMismatch(AppendRequest const&);
    void respondDataLost();
    void installSnapshot(Snapshot);

    // Leader
    void appendAsLeader(std::vector<LogEntry>);
    void startRound();
    void startReadRound();
    void completeReads();
    void recordContact(Progress&, Round);
    void replicate(Core::HostName const&, Progress&);
    void replicateToAll();
    void sendAppend(Core::HostName const&, Progress&);
    void sendChunk(Core::HostName const&, Progress&);
    void advanceCommit();
    void updatePeers();
    void advanceTransfer();
    void handOverLeadership();
    Progress* progressOf(Core::HostName const&);
    bool isLeaderReady() const { return role_ == Role::Leader && commitIndex_ >= ownTermFirstIndex_; }
    bool isCaughtUp(Core::HostName const&) const;
    std::optional<Core::HostName> mostUpToDateVoter() const;

    /// Returns the largest value that a majority of voters has reached. `ofSelf` counts only if this host is a voter.
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
    /// Writes the whole state anew after a failure of the store.
    void rewriteStorage();
    /// Sends a message, or defers it until the current term and vote are durable. While the store fails, a message that
    /// would have to wait is dropped.
    void send(Core::HostName const& to, MessageBody);
    void refuse(Core::HostName const& from, MessageRefusal);
    LogIndex lastSnapshotIndex() const;
    std::uint64_t lastSnapshotBytes() const;
    bool isSnapshotDue() const;
    void compact();

    Settings settings_;
    Core::Random random_;
    Core::TimePoint now_;
    /// The result of the current step.
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
    enum class StorageState : std::uint8_t {
        Sound,
        /// The store ignores writes, so none are sent. Their content is part of the next rewrite.
        Failed,
        /// The whole state was sent to the store.
        Rewriting,
    };
    StorageState storageState_ { StorageState::Sound };
    Core::TimePoint storageRetryAt_;
    PersistSequence rewriteSequence_;
    std::vector<Message> deferredMessages_;

    Core::TimePoint electionDeadline_;
    bool hasSkippedDeadline_ { false };
    Core::TimePoint lastLeaderContact_;
    std::set<Core::HostName> votes_;

    /// Index up to which the log of this follower is known to match the leader's. Reset when the term changes; zero
    /// after a restart.
    LogIndex verifiedIndex_;
    LogIndex lastAcknowledgedIndex_;
    Round lastLeaderRound_;
    SnapshotReceiver snapshotReceiver_;

    std::map<Core::HostName, Progress> peers_;
    /// The index of the first entry that this host appended as leader in the current term.
    LogIndex ownTermFirstIndex_;
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
        /// Whether the target was told to start an election, so that it may become leader at any time.
        bool isSent { false };
    };
    std::optional<LeadershipTransfer> leadershipTransfer_;

    struct PendingSnapshot {
        PersistSequence sequence;
        Snapshot snapshot;
    };
    std::deque<PendingSnapshot> pendingSnapshots_;
    std::uint64_t snapshotThreshold_ { 0 };
    std::uint64_t snapshotThresholdBytes_ { 0 };
};

} // namespace Consensus
