#pragma once

#include <LibConsensus/Actions.h>
#include <LibConsensus/Event.h>
#include <LibConsensus/Settings.h>

#include <memory>

namespace Consensus {

enum class PeerState : std::uint8_t { Probe, Replicate, Snapshot };

struct PeerStatus {
    Core::HostName host;
    bool isVoter { false };
    PeerState state { PeerState::Probe };
    LogIndex matchIndex;
    /// The start time of the newest heartbeat round that the peer acknowledged. Before there is one, the time at which
    /// the leader began to track the peer.
    Core::TimePoint lastContact;
    /// Whether the peer reported that it has no data although it is a voter.
    bool hasLostData { false };
};

struct Status {
    Role role { Role::Follower };
    Term term;
    std::optional<Core::HostName> leader;
    LogIndex commitIndex;
    LogIndex lastIndex;
    /// The index of the last entry that is durable on this host.
    LogIndex durableIndex;
    /// The index of the first entry that is in memory.
    LogIndex firstIndex;
    LogIndex snapshotIndex;
    /// The size of the entries in memory for flow control, and of the last durable snapshot.
    std::uint64_t logBytes { 0 };
    std::uint64_t snapshotBytes { 0 };
    Configuration configuration;
    bool isConfigurationCommitted { false };
    /// Whether this host is the leader and has committed an entry of its own term. Reads and configuration changes
    /// require this.
    bool isLeaderReady { false };
    /// The other members, sorted by name. Empty unless this host is the leader.
    std::vector<PeerStatus> peers;
};

/// The Raft node of one member of the cluster. Not thread-safe.
class Node {
public:
    /// The seed randomizes election timeouts and the snapshot interval. `now` must not be earlier than any time passed
    /// to an earlier node of this process.
    Node(Settings, RecoveredState, std::uint64_t seed, Core::TimePoint now);
    ~Node();
    Node(Node&&) noexcept;
    Node& operator=(Node&&) noexcept;

    /// Handles one event. Expired timers run first, so that a leader that was paused steps down before it handles the
    /// event.
    Actions step(Core::TimePoint now, Event);

    Status status() const;
    Role role() const;
    Term term() const;
    LogIndex commitIndex() const;
    LogIndex lastIndex() const;
    /// Returns false from a failure of the store until its whole content has been written anew. In this time, the host
    /// neither votes nor leads.
    bool isStorageSound() const;
    /// Returns the term of an entry that is in memory or directly precedes the first entry in memory, or nothing for
    /// any other index.
    std::optional<Term> termAt(LogIndex) const;

    /// Returns the time before which no other host can have become leader, provided that the clock rates of the voters
    /// differ by no more than 1 %. Returns nothing if this host is not the leader, before a quorum has acknowledged its
    /// first round, and once it has told a transfer target to start an election. If a later leader is to wait for the
    /// expiry of leases that this leader granted, counting from its own election, those leases must be counted from
    /// `*authorityUntil - electionTimeoutMin`. Reads do not depend on this time.
    std::optional<Core::TimePoint> authorityUntil() const;

private:
    class Machine;
    std::unique_ptr<Machine> machine_;
};

} // namespace Consensus
