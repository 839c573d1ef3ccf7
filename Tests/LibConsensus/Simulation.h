#pragma once

#include "../LibStorage/FakeDisk.h"

#include <LibConsensus/Node.h>
#include <LibStorage/Store.h>

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <span>

namespace Test {

/// Parameters of the simulated network, disks and clocks. Ratios range from 0 to 1.
struct SimulationOptions {
    std::uint64_t seed { 0 };
    Core::Duration latencyMin { std::chrono::microseconds(500) };
    Core::Duration latencyMax { std::chrono::milliseconds(3) };
    double lossRatio { 0 };
    double duplicateRatio { 0 };
    Core::Duration diskMin { std::chrono::microseconds(200) };
    Core::Duration diskMax { std::chrono::milliseconds(4) };
    /// Maximum relative deviation of the clock rate of each host.
    double clockDrift { 0 };
    Consensus::Settings settings {};
};

/// Simulates hosts in virtual time, each with its own node, store and disk. Checks these invariants after every step:
///
/// * there is at most one leader per term, a host votes at most once per term, and its term never decreases, even when
///   it crashes;
/// * entries with the same index and term are equal and have equal predecessors in all logs;
/// * an entry that was committed in an earlier term is in the log of every new leader;
/// * an entry is committed only once it is durable at a majority of the voters;
/// * acknowledgments cover only durable entries;
/// * all hosts apply the same entries in log order, and snapshots contain exactly these;
/// * acknowledged proposals are committed, rejected ones never are, and reads observe all proposals that were
///   acknowledged before them.
class Simulation {
public:
    explicit Simulation(SimulationOptions);

    using Name = std::string;

    /// Starts the initial voters of a cluster.
    void bootstrap(std::vector<Name> const&);
    /// Starts a host without data, which is not yet a member.
    void join(Name const&);

    /// Simulates a power loss of the host. If `isTorn` is true, it interrupts the pending writes.
    void crash(Name const&, bool isTorn = false);
    /// Kills the process of the host. Data that it wrote remains in the page cache.
    void kill(Name const&);
    void restart(Name const&);
    void pause(Name const&);
    void resume(Name const&);
    /// Simulates a power loss of the host in the middle of its next write.
    void crashInNextWrite(Name const&);
    /// Makes the next fsync of the host fail. The data counts as written afterwards, although it is not.
    void failNextSync(Name const&);
    /// Leaves 200 bytes on the disk of the host, until `freeDisk`.
    void fillDisk(Name const&);
    void freeDisk(Name const&);
    void setDiskLatency(Name const&, Core::Duration min, Core::Duration max);

    void block(Name const& from, Name const& to) { blocked_.insert({ from, to }); }
    void blockBoth(Name const& left, Name const& right);
    void isolate(Name const&);
    void heal() { blocked_.clear(); }
    void setLoss(double lossRatio, double duplicateRatio);

    std::uint64_t propose(Name const&);
    std::uint64_t read(Name const&);
    std::uint64_t change(Name const&, Consensus::ConfigurationChange);
    void transfer(Name const&, std::optional<Name> target = std::nullopt);
    void takeSnapshot(Name const&);
    /// Delivers a message to its receiver as if it came from the network.
    void inject(Consensus::Message);

    void runFor(Core::Duration);
    /// Runs until the condition is true. Returns false if that does not happen within the limit or if an invariant is
    /// violated.
    bool runUntil(std::function<bool()> const&, Core::Duration limit);
    /// Removes all faults of networks and disks, resumes and restarts all hosts, and waits until all members
    /// have applied a new proposal. Returns false if that takes too long.
    bool recoverAndConverge();

    /// Returns the running leader with the highest term, or an empty name if there is none.
    Name leader() const;
    bool waitForLeader()
    {
        return runUntil([this] { return isReady(leader()); }, std::chrono::seconds(10));
    }
    bool isReady(Name const&) const;
    bool isRunning(Name const&) const;
    /// Whether the host runs and its store has failed and not recovered yet.
    bool isFailed(Name const& name) const;
    bool isPaused(Name const& name) const { return hosts_.at(name).isPaused; }
    Consensus::Node const& node(Name const& name) const { return *hosts_.at(name).node; }
    Consensus::Status status(Name const& name) const { return node(name).status(); }
    std::vector<Name> names() const;
    Core::TimePoint localTime(Name const&) const;
    Core::Duration now() const { return now_; }
    FakeDisk& disk(Name const& name) { return *hosts_.at(name).disk; }

    /// Returns the outcome of a proposal, or nothing while it is pending.
    std::optional<Consensus::ProposalOutcome> outcome(std::uint64_t token) const;
    std::optional<Consensus::ReadOutcome> readOutcome(std::uint64_t token) const;
    bool isCommitted(std::uint64_t token) const;
    std::optional<Consensus::TransferOutcome> transferOutcome(Name const&) const;
    std::uint64_t appliedCount(Name const& name) const { return hosts_.at(name).tokens.size(); }
    std::uint64_t committedCount() const { return committed_.size(); }
    std::uint64_t acknowledgedCount() const { return acknowledged_.size(); }
    std::uint64_t snapshotsInstalled(Name const& name) const { return hosts_.at(name).restores; }
    std::set<Consensus::MessageRefusal> const& refusals(Name const& name) const { return hosts_.at(name).refusals; }
    /// Returns the number of terms that had a leader.
    std::size_t leaderCount() const { return leaders_.size(); }
    std::uint64_t steps() const { return steps_; }

    /// Describes the state of all hosts, for failure messages of tests.
    std::string describe() const;
    /// Describes the first violation of an invariant. Empty if there was none.
    std::string const& violation() const { return violation_; }
    /// Proposes commands at the current leader until one is committed. Returns false if none is within 20 seconds.
    bool commitOne();

private:
    struct DurableState {
        Consensus::HardState hardState;
        std::uint64_t snapshotIndex { 0 };
        std::map<std::uint64_t, Consensus::Term> entries;
        std::uint64_t lastIndex() const { return entries.empty() ? snapshotIndex : entries.rbegin()->first; }
    };

    struct Host {
        std::unique_ptr<FakeDisk> disk;
        std::unique_ptr<Storage::Store> store;
        std::unique_ptr<Consensus::Node> node;
        double clockRate { 1 };
        Core::Duration clockOffset { 0 };
        Core::Duration diskMin { 0 };
        Core::Duration diskMax { 0 };
        std::uint64_t generation { 0 };
        bool isPaused { false };
        bool crashesInWrite { false };
        std::vector<Consensus::Event> queuedEvents;
        std::optional<Core::Duration> scheduledTick;
        Core::TimePoint wakeAt;
        std::vector<Consensus::PersistRequest> writes;
        bool isWriting { false };
        DurableState durable;
        /// Index from which on entries may have been replaced by a write that a crash interrupted or that failed.
        std::optional<std::uint64_t> uncertainFrom;
        /// The highest term in a message of this host, across restarts.
        Consensus::Term highestSentTerm;
        std::uint64_t appliedIndex { 0 };
        std::vector<std::uint64_t> tokens;
        std::uint64_t restores { 0 };
        std::set<Consensus::MessageRefusal> refusals;
        std::optional<Consensus::TransferOutcome> transfer;
    };

    struct CommittedEntry {
        Consensus::LogEntry entry;
        Consensus::Term committedIn;
        /// The number of commands up to and including this entry.
        std::uint64_t commands { 0 };
    };

    struct Scheduled {
        Core::Duration at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator>(Scheduled const& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    void schedule(Core::Duration delay, std::function<void()>);
    Core::Duration between(Core::Duration min, Core::Duration max);
    bool happens(double ratio) { return ratio > 0 && random_.unit() < ratio; }
    void addHost(Name const&, Consensus::RecoveredState const&);
    /// Records that any part of these writes may be found after a restart.
    static void markUncertain(Host&, std::span<Consensus::PersistRequest const>);
    /// Returns the first index at which the durable entries differ from a request that replaces them all.
    static std::uint64_t firstDifference(DurableState const&, Consensus::PersistRequest const&);
    void start(Name const&);
    void stop(Name const&, bool isTorn);
    void deliver(Name const&, Consensus::Event);
    void scheduleTick(Name const&);
    void scheduleWrite(Name const&);
    void runWrite(Name const&);
    void transmit(Consensus::Message const&);
    void recordDurable(Host&, Consensus::PersistRequest const&);

    void recordViolation(std::string const&);
    void checkActions(Name const&, Host&, Consensus::Actions const&);
    void checkMessage(Name const&, Host&, Consensus::Message const&);
    void checkNewLeader(Name const&, Host const&);
    void checkEntry(Name const&, Host const&, Consensus::LogEntry const&, std::optional<Consensus::Term> previousTerm);
    void checkCommitted(Name const&, Host&, Consensus::LogEntry const&);
    void checkDurableAtMajority(Name const&, Host const&, Consensus::LogEntry const&);
    void checkRestored(Name const&, Host&, Consensus::Snapshot const&);
    void checkRecovered(Name const&, Host&, Consensus::RecoveredState const&);
    void checkAnswers(Name const&, Consensus::Actions const&);

    SimulationOptions options_;
    Core::Random random_;
    Core::Duration now_ { 0 };
    std::uint64_t nextOrder_ { 0 };
    std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> queue_;
    std::map<Name, Host> hosts_;
    std::set<std::pair<Name, Name>> blocked_;
    std::uint64_t nextToken_ { 1 };
    std::uint64_t steps_ { 0 };

    std::string violation_;
    std::map<Consensus::Term, std::pair<Name, std::uint64_t>> leaders_;
    std::map<std::pair<Name, Consensus::Term>, Name> votes_;
    struct KnownEntry {
        Consensus::EntryContent content;
        std::optional<Consensus::Term> previousTerm;
    };
    std::map<std::pair<std::uint64_t, Consensus::Term>, KnownEntry> knownEntries_;
    std::vector<CommittedEntry> committed_;
    std::vector<std::uint64_t> committedTokens_;
    std::set<std::uint64_t> committedTokenSet_;
    std::set<std::uint64_t> refusedTokens_;
    std::map<std::uint64_t, Consensus::ProposalOutcome> outcomes_;
    std::map<std::uint64_t, Consensus::ReadOutcome> reads_;
    /// For each read, the highest index that was acknowledged when the read was requested.
    std::map<std::uint64_t, std::uint64_t> minReadIndexes_;
    std::set<std::uint64_t> acknowledged_;
    std::uint64_t acknowledgedIndex_ { 0 };
};

} // namespace Test
