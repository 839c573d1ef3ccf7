#pragma once

#include <LibControl/BalancedPlacement.h>
#include <LibControl/Leader.h>
#include <LibCore/Random.h>

#include <functional>
#include <queue>

/// Deterministic simulation in virtual time: control hosts with the real `State` and `Leader`, and simplified models of
/// entry hosts, backend servers and the replicated log. The seed determines the whole run.
namespace Simulation {

using Core::Duration;
using Core::TimePoint;
using namespace std::chrono_literals;

struct Options {
    std::uint64_t seed { 1 };
    std::uint32_t servers { 4 };
    std::uint32_t hosts { 3 };
    std::uint32_t slots { 8 };
    /// Share of backend servers that check fencing tokens.
    double checking { 0.5 };
    Duration maxDelay { 15ms };
    /// Share of messages that are lost.
    double loss { 0.0 };
    /// Share of messages that are delayed by up to 3 s.
    double late { 0.0 };
    /// Maximum relative error of the clock rate of a process.
    double drift { 0.01 };
    /// Whether to inject random pauses, restarts, losses of leadership, drains and edits.
    bool faults { false };
    bool checksInvariants { true };
    Control::LeaderSettings leader {};
};

/// Process with its own clock. Messages are queued while it is paused.
struct Process {
    double rate { 1.0 };
    bool isPaused { false };
    bool isAlive { true };
    /// Number of the current run, which increases with each crash; messages to earlier runs are dropped.
    std::uint64_t run { 1 };
    std::vector<std::function<void()>> mailbox {};
};

struct ControlHost : Process {
    Control::State state;
    std::unique_ptr<Control::Leader> leader;
    std::size_t applied { 0 };
};

struct EntryHost : Process {
    Routing::EntryHost self;
    std::shared_ptr<Routing::View const> view;
    TimePoint leaseExpiry;
    std::uint64_t sequence { 0 };
    std::map<std::uint64_t, TimePoint> sentAt;
    std::size_t target { 0 };
    TimePoint answeredAt;
    bool isHeartbeatDue { false };
    struct Pending {
        Control::Announcement announcement;
        std::uint64_t number;
    };
    std::map<std::string, Pending> announcements;
    /// Numbers of the announcements in each heartbeat. The validity of a grant starts with the announcement that it
    /// answers.
    std::map<std::uint64_t, std::vector<std::uint64_t>> forwarded;
    /// Number of requests in flight, by slot.
    std::map<std::uint64_t, int> inFlight;
};

struct BackendServer : Process {
    Routing::BackendServer self;
    bool isCold { false };
    bool isDraining { false };
    /// Grant of a slot as the server received it.
    struct SlotGrant {
        Core::Epoch epoch;
        TimePoint expiry;
    };
    std::map<std::uint64_t, SlotGrant> owned;
    std::map<std::uint64_t, Core::Epoch> released;
    std::map<std::uint64_t, TimePoint> sentAt;
    std::uint64_t number { 0 };
    std::uint64_t answered { 0 };
    std::map<std::uint64_t, int> inFlight;
};

class World {
public:
    explicit World(Options);

    /// Advances the virtual time. Invariants are checked after each event.
    void run(Duration);
    TimePoint now() const { return now_; }

    /// The current leader.
    ControlHost& leading() { return *controls_[leader_]; }
    BackendServer& server(std::size_t index) { return *servers_[index]; }
    EntryHost& host(std::size_t index) { return *hosts_[index]; }
    std::size_t servers() const { return servers_.size(); }

    void propose(Control::Command, std::function<void(Control::Outcome const&)> done = {});
    /// Pauses the leader, or partitions it from the other control hosts, and elects another one. The old leader learns
    /// of the election later.
    void loseLeader(bool isPaused);
    void pause(Process&, Duration);
    void crash(BackendServer&);
    void restart(BackendServer&);
    void crash(EntryHost&);
    void restart(EntryHost&);
    void stopFaults() { options_.faults = false; }
    void setLoss(double loss, double late);

    /// Number of slots for which a live server holds a valid grant at the current epoch and to which every live entry
    /// host routes.
    std::size_t servedSlots();
    bool isServed(std::uint64_t slot);
    /// Edits whose acceptance was reported to their author, with the resulting revision.
    std::map<Core::EditId, Core::Revision> acknowledgedEdits;
    std::vector<std::string> violations;
    std::uint64_t requestsServed { 0 };
    std::uint64_t ownerChanges { 0 };
    std::uint64_t ordersRun { 0 };
    std::uint64_t leaderChanges { 0 };

private:
    struct Timed {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(Timed const& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };
    struct Proposal {
        Control::Command command;
        std::uint64_t term;
        std::function<void(Control::Outcome const&)> done;
    };

    TimePoint localTime(Process const& process) const;
    void scheduleAfter(Duration, std::function<void()>);
    void scheduleEvery(Process&, Duration, std::function<void()> const&);
    void send(Process& to, std::function<void()>);
    void deliver(Process& to, std::uint64_t run, std::function<void()>);
    Duration delay();

    void step(ControlHost&, Control::Event const&);
    void commit(std::shared_ptr<Proposal> const&);
    void append(Proposal const&);
    void catchUp(ControlHost&);
    void elect(std::size_t next);
    std::size_t nextLeader();
    void quorumRound();

    void startHost(EntryHost&);
    void heartbeat(EntryHost&);
    void receive(EntryHost&, Control::HeartbeatAnswer const&);
    void sendRequest(EntryHost&);
    void startServer(BackendServer&);
    void announce(BackendServer&);
    void receive(BackendServer&, Control::Grant const&, std::uint64_t number);
    void serve(BackendServer&, std::uint64_t slot, Core::Epoch, std::function<void()> const& end);

    void injectFault();
    void runOrder();
    void submitEdit();
    void checkInvariants();
    void report(std::string const&);

    Options options_;
    Core::Random random_;
    TimePoint now_ { 1h };
    std::uint64_t nextOrder_ { 0 };
    std::priority_queue<Timed> events_;
    std::vector<std::unique_ptr<ControlHost>> controls_;
    std::vector<std::unique_ptr<EntryHost>> hosts_;
    std::vector<std::unique_ptr<BackendServer>> servers_;
    std::size_t leader_ { 0 };
    std::uint64_t term_ { 0 };
    bool hasQuorum_ { true };
    TimePoint lastRound_;
    TimePoint lastCommit_;
    std::vector<Control::Command> log_;
    std::vector<std::shared_ptr<Proposal>> pendingProposals_;
    std::map<std::uint64_t, Core::Epoch> highestEpoch_;
    std::map<std::uint64_t, std::uint64_t> orderRuns_;
    std::uint64_t nextOrderNumber_ { 1 };
    std::uint64_t nextEdit_ { 1 };
};

} // namespace Simulation
