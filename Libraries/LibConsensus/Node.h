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
    /// When the newest heartbeat round that the peer acknowledged was started.
    Core::TimePoint lastContact;
    /// The peer reported that it has no data although it is a voter.
    bool hasLostData { false };
};

struct Status {
    Role role { Role::Follower };
    Term term;
    std::optional<Core::HostName> leader;
    LogIndex commitIndex;
    LogIndex lastIndex;
    /// The last entry that is durable on this host.
    LogIndex durableIndex;
    /// The first entry that is in memory.
    LogIndex firstIndex;
    LogIndex snapshotIndex;
    Configuration configuration;
    bool isConfigurationCommitted { false };
    /// Whether this leader committed an entry of its own term, so that reads and changes are possible.
    bool isLeaderReady { false };
    /// Leader only, in the order of their names.
    std::vector<PeerStatus> peers;
};

/// One member of the cluster. Not safe for concurrent use.
class Node {
public:
    /// `seed` only spreads election timeouts. `now` must not be before the time of any earlier node of this process.
    Node(Settings, RecoveredState, std::uint64_t seed, Core::TimePoint now);
    ~Node();
    Node(Node&&) noexcept;
    Node& operator=(Node&&) noexcept;

    /// Handles one event. Timers that ran out come first, so a leader that was paused steps down before it handles the
    /// event.
    Actions step(Core::TimePoint now, Event);

    Status status() const;
    Role role() const;
    Term term() const;
    LogIndex commitIndex() const;
    LogIndex lastIndex() const;
    /// The term of an entry in memory or of the entry just before them. Empty for others.
    std::optional<Term> termAt(LogIndex) const;

    /// The time before which no other host can have become leader, as long as clocks of voters run no more than 1 %
    /// apart. Empty for a host that is not leader, before its first quorum, and once it handed over its leadership.
    /// Leases that this leader grants must be counted from `*authorityUntil - electionTimeoutMin` if a later leader is
    /// to wait them out from its own election. Not used for reads.
    std::optional<Core::TimePoint> authorityUntil() const;

private:
    class Machine;
    std::unique_ptr<Machine> machine_;
};

} // namespace Consensus
