#pragma once

#include "../LibStorage/FakeDisk.h"

#include <LibConsensus/Node.h>
#include <LibStorage/Store.h>

#include <functional>
#include <map>
#include <queue>
#include <set>

namespace Test {

/// How a simulated network, its disks and clocks behave. Ratios are from 0 to 1.
struct SimulationOptions {
    std::uint64_t seed { 0 };
    Core::Duration latencyMin { std::chrono::microseconds(500) };
    Core::Duration latencyMax { std::chrono::milliseconds(3) };
    double lossRatio { 0 };
    double duplicateRatio { 0 };
    Core::Duration diskMin { std::chrono::microseconds(200) };
    Core::Duration diskMax { std::chrono::milliseconds(4) };
    /// Clocks of the hosts run wrong by up to this share.
    double clockDrift { 0 };
    Consensus::Settings settings {};
};

/// Hosts in virtual time, each with a node, a store and a disk of its own. After every step it checks:
///
/// * at most one leader in a term, one vote of a host in a term, terms that never fall, also over crashes;
/// * equal index and term mean equal entries and equal predecessors in all logs;
/// * an entry that was committed in an earlier term is in the log of every new leader;
/// * an entry is committed only once it is durable at a majority of the voters;
/// * acknowledgments name only durable entries;
/// * all hosts apply the same entries in the order of the log, and snapshots hold exactly these;
/// * acknowledged proposals are committed, refused ones never are, reads see what was acknowledged before them.
class Simulation {
public:
    explicit Simulation(SimulationOptions);

    using Name = std::string;

    /// Starts the first voters of a cluster.
    void bootstrap(std::vector<Name> const&);
    /// Starts a host without data that waits to be added.
    void join(Name const&);

    /// Power loss. With `isTorn` in the middle of a write.
    void crash(Name const&, bool isTorn = false);
    /// The process is killed; what it wrote stays in the page cache.
    void kill(Name const&);
    void restart(Name const&);
    void pause(Name const&);
    void resume(Name const&);
    /// Power loss in the middle of the next write.
    void crashInNextWrite(Name const&);
    /// The next fsync fails and the host stops taking part.
    void failNextSync(Name const&);
    void fillDisk(Name const&);
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
    /// Hands a message to a host as if it came from the network.
    void inject(Consensus::Message);

    void runFor(Core::Duration);
    /// False when the condition did not come true in time or a check failed.
    bool runUntil(std::function<bool()> const&, Core::Duration limit);
    /// Heals everything, restarts what can be restarted, and waits until a new proposal is applied at all members.
    bool settle();

    /// The running leader with the highest term, or an empty name.
    Name leader() const;
    bool waitForLeader()
    {
        return runUntil([this] { return isReady(leader()); }, std::chrono::seconds(10));
    }
    bool isReady(Name const&) const;
    bool isRunning(Name const&) const;
    bool isFailed(Name const& name) const { return hosts_.at(name).isFailed; }
    bool isPaused(Name const& name) const { return hosts_.at(name).isPaused; }
    Consensus::Node const& node(Name const& name) const { return *hosts_.at(name).node; }
    Consensus::Status status(Name const& name) const { return node(name).status(); }
    std::vector<Name> names() const;
    Core::TimePoint localTime(Name const&) const;
    Core::Duration now() const { return now_; }
    FakeDisk& disk(Name const& name) { return *hosts_.at(name).disk; }

    /// Empty while the answer is open.
    std::optional<Consensus::ProposalOutcome> outcome(std::uint64_t token) const;
    std::optional<Consensus::ReadOutcome> readOutcome(std::uint64_t token) const;
    bool isCommitted(std::uint64_t token) const;
    std::optional<Consensus::TransferOutcome> transferOutcome(Name const&) const;
    std::uint64_t appliedCount(Name const& name) const { return hosts_.at(name).tokens.size(); }
    std::uint64_t committedCount() const { return committed_.size(); }
    std::uint64_t acknowledgedCount() const { return acknowledged_.size(); }
    std::uint64_t snapshotsInstalled(Name const& name) const { return hosts_.at(name).restores; }
    std::set<Consensus::MessageRefusal> const& refusals(Name const& name) const { return hosts_.at(name).refusals; }
    /// Number of terms that had a leader.
    std::size_t leaderCount() const { return leaders_.size(); }
    std::uint64_t steps() const { return steps_; }

    /// The state of all hosts, for messages of failed tests.
    std::string describe() const;
    /// The first broken rule, empty as long as all hold.
    std::string const& violation() const { return violation_; }
    /// A new proposal is acknowledged within a few seconds, wherever the leader is.
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
        std::uint64_t life { 0 };
        bool isPaused { false };
        bool isFailed { false };
        bool hasDiskFault { false };
        bool crashesInWrite { false };
        std::vector<Consensus::Event> waitingEvents;
        std::optional<Core::Duration> scheduledTick;
        Core::TimePoint wakeAt;
        std::vector<Consensus::PersistRequest> writes;
        bool isWriting { false };
        DurableState durable;
        /// Entries from here on may have been replaced by a write that a crash interrupted.
        std::optional<std::uint64_t> doubtFrom;
        /// The highest term in a message of this host, over all its lives.
        Consensus::Term shownTerm;
        std::uint64_t appliedIndex { 0 };
        std::vector<std::uint64_t> tokens;
        std::uint64_t restores { 0 };
        std::set<Consensus::MessageRefusal> refusals;
        std::optional<Consensus::TransferOutcome> transfer;
    };

    struct CommittedEntry {
        Consensus::LogEntry entry;
        Consensus::Term committedIn;
        /// Number of commands up to and with this entry.
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
    void start(Name const&);
    void stop(Name const&, bool isTorn);
    void deliver(Name const&, Consensus::Event);
    void scheduleTick(Name const&);
    void scheduleWrite(Name const&);
    void runWrite(Name const&);
    void transmit(Consensus::Message const&);
    void recordDurable(Host&, Consensus::PersistRequest const&);

    void fail(std::string const&);
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
    /// Highest index that had been acknowledged when a read was requested.
    std::map<std::uint64_t, std::uint64_t> readFloors_;
    std::set<std::uint64_t> acknowledged_;
    std::uint64_t acknowledgedIndex_ { 0 };
};

} // namespace Test
