#pragma once

#include <LibControl/BalancedPlacement.h>
#include <LibControl/Leader.h>
#include <LibCore/Random.h>

#include <functional>
#include <queue>

/// Control hosts with the real `State` and `Leader`, and small fakes of entry hosts, backend servers and the log, in
/// virtual time. Everything follows from the seed.
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
    /// Share of messages that are lost, and that are late by up to 3 s.
    double loss { 0.0 };
    double late { 0.0 };
    /// Clock rates differ from true time by up to this share.
    double drift { 0.01 };
    /// Random freezes, restarts, losses of leadership, drains and edits.
    bool faults { false };
    bool checksInvariants { true };
    Control::LeaderSettings leader {};
};

/// A process with a clock of its own. While it is paused, messages wait.
struct Process {
    double rate { 1.0 };
    bool isPaused { false };
    bool isAlive { true };
    /// Rises with each restart; messages to earlier runs are dropped.
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
    TimePoint leaseUntil;
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
    /// The numbers of the announcements in each heartbeat: a grant counts from the announcement that it answers.
    std::map<std::uint64_t, std::vector<std::uint64_t>> forwarded;
    /// Requests under way, by slot.
    std::map<std::uint64_t, int> inFlight;
};

struct BackendServer : Process {
    Routing::BackendServer self;
    bool isCold { false };
    bool isDraining { false };
    struct Belief {
        Core::Epoch epoch;
        TimePoint until;
    };
    std::map<std::uint64_t, Belief> owned;
    std::map<std::uint64_t, Core::Epoch> released;
    std::map<std::uint64_t, TimePoint> sentAt;
    std::uint64_t number { 0 };
    std::uint64_t answered { 0 };
    std::map<std::uint64_t, int> inFlight;
};

class World {
public:
    explicit World(Options);

    /// Lets virtual time pass. Invariants are checked after each event.
    void run(Duration);
    TimePoint now() const { return now_; }

    /// The control host that leads now.
    ControlHost& leading() { return *controls_[leader_]; }
    BackendServer& server(std::size_t index) { return *servers_[index]; }
    EntryHost& host(std::size_t index) { return *hosts_[index]; }
    std::size_t servers() const { return servers_.size(); }

    void propose(Control::Command, std::function<void(Control::Outcome const&)> done = {});
    /// The leader stops (or is cut off from the others) and another host is elected. The old one learns it later.
    void loseLeader(bool isPaused);
    void pause(Process&, Duration);
    void crash(BackendServer&);
    void restart(BackendServer&);
    void crash(EntryHost&);
    void restart(EntryHost&);
    void stopFaults() { options_.faults = false; }
    void setLoss(double loss, double late);

    /// Slots that a live server believes it owns with the current epoch, and that every live entry host routes to it.
    std::size_t servedSlots();
    bool isServed(std::uint64_t slot);
    /// Edits whose acceptance was reported to their author.
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

    TimePoint local(Process const& process) const;
    void after(Duration, std::function<void()>);
    void every(Process&, Duration, std::function<void()> const&);
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
    std::vector<std::shared_ptr<Proposal>> underWay_;
    std::map<std::uint64_t, Core::Epoch> highestEpoch_;
    std::map<std::uint64_t, std::uint64_t> orderRuns_;
    std::uint64_t nextOrderNumber_ { 1 };
    std::uint64_t nextEdit_ { 1 };
};

} // namespace Simulation
