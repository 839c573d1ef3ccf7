#pragma once

#include "BaselineLimits.h"
#include "Site.h"

#include <LibPolicy/DispatchGroup.h>
#include <LibPolicy/DispatchPolicies.h>

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace PolicyBench {

/// Who enforces the limits of the servers.
enum class Enforcement : std::uint8_t {
    /// Each entry host by what it sees itself (option a of the design page).
    Local,
    /// Each entry host within a quota that a central place allocates from demand (option b).
    Quota,
    /// One dispatcher with permits (option d).
    Permits,
};

struct FleetSettings {
    Site site;
    Enforcement enforcement { Enforcement::Permits };
    Policy::DispatchSettings dispatch;
    std::function<Policy::DispatchPolicies(Policy::DispatchSettings const&)> decisions { Policy::defaultPolicies };
    /// Offered load relative to the capacity of the site.
    double load { 0.6 };
    double idempotentShare { 1 };
    bool startWarm { true };
    bool retries { true };
    std::uint64_t seed { 1 };
};

struct Results {
    std::uint64_t offered { 0 };
    std::uint64_t answered { 0 };
    std::uint64_t refused { 0 };
    std::uint64_t failed { 0 };
    std::uint64_t attempts { 0 };
    /// From the arrival at the entry host to the answer there, in milliseconds. Failed requests are not included.
    std::vector<double> latencies;
    /// Answered requests per 100 ms.
    std::vector<std::uint64_t> answeredPerInterval;

    double quantile(double q);
};

/// Entry hosts, dispatchers, backend servers and callers in virtual time.
class Fleet {
public:
    explicit Fleet(FleetSettings const&);
    ~Fleet();

    /// Offers load and runs for this long.
    void run(Core::Duration);
    /// Forgets the results so far, to leave out a warm-up time.
    void resetResults();
    /// Offers one request that crashes each server that runs it, resent by its caller on each failure.
    void sendCrasher(std::uint64_t fingerprint, std::uint32_t resends, std::uint32_t parallel);
    void killHost(std::size_t host);

    Results results;
    std::vector<std::unique_ptr<Backend>> backends;
    Simulation simulation;
    Backend::Counts totals() const;
    std::uint64_t quarantineRefusals { 0 };
    std::uint64_t innocentQuarantined { 0 };
    std::size_t dispatcherHost() const;
    Policy::DispatchCounters counters() const;
    /// Takes effect from the next arrival.
    void setLoad(double load) { settings_.load = load; }

private:
    struct Attempt {
        Policy::Permit permit;
        std::size_t dispatcher { 0 };
        std::size_t server { 0 };
        std::uint64_t job { 0 };
        bool started { false };
        Core::TimePoint sentAt;
    };
    struct Request {
        Policy::AcquireRequest acquire;
        Core::TimePoint arrival;
        std::size_t host { 0 };
        bool crasher { false };
        std::uint32_t resends { 0 };
        bool done { false };
        std::uint32_t attemptsMade { 0 };
        std::uint32_t pending { 0 };
        std::map<std::uint64_t, Attempt> live;
        std::vector<Core::ServerName> tried;
    };
    struct Dispatcher {
        std::unique_ptr<Policy::DispatchGroup> group;
        std::size_t host { 0 };
        bool lost { false };
    };
    struct Ticket {
        std::size_t request { 0 };
        Policy::AttemptKind kind { Policy::AttemptKind::First };
    };

    void arrive();
    std::size_t addRequest();
    void bindToOwner(Policy::AcquireRequest&, std::uint64_t key) const;
    void begin(std::size_t request);
    void submit(std::size_t request, Policy::AttemptKind, std::optional<Policy::AttemptOutcome> previous);
    void step(std::size_t dispatcher, Policy::Event const&);
    void onGranted(std::size_t dispatcher, Policy::Granted const&);
    void onRefused(Policy::Refused const&);
    void sendToBackend(std::size_t request, std::uint64_t permit);
    void onEnd(std::size_t request, std::uint64_t permit, JobEnd);
    void scheduleHedge(std::size_t request, std::uint64_t permit, Core::Duration);
    void retryOrFail(std::size_t request, Policy::AttemptOutcome);
    void fail(std::size_t request, bool refused);
    void onDeadline(std::size_t request);
    void release(std::size_t host, Attempt const&, Policy::AttemptOutcome, Core::Duration latency, bool unreachable);
    void abandonAttempts(Request&, Policy::AttemptOutcome);
    void tick(std::size_t dispatcher);
    void announce(std::size_t server, bool removed);
    std::size_t addDispatcher(std::size_t host);
    void takeOver();
    void reallocate();
    void noteDemand(Request const&);
    void noteInFlight(std::size_t host, std::size_t server, int change);
    Core::Duration delay(std::size_t hostA, std::size_t hostB) const;
    Core::Duration delayToServer(std::size_t host, std::size_t server) const;
    std::size_t dispatcherFor(std::size_t host) const;
    std::size_t aliveHost();
    Core::TimePoint now() const { return simulation.now(); }

    FleetSettings settings_;
    Core::Random random_;
    std::vector<bool> hostAlive_;
    /// What the entry hosts remember of the last permit of each server.
    struct KnownLimit {
        std::uint64_t incarnation { 0 };
        std::uint32_t limit { 0 };
        Core::TimePoint at;
    };
    std::vector<KnownLimit> knownLimits_;
    std::vector<Dispatcher> dispatchers_;
    std::unordered_map<std::string, std::size_t> serverIndex_;
    std::vector<Request> requests_;
    std::unordered_map<std::uint64_t, Ticket> tickets_;
    std::uint64_t lastTicket_ { 0 };
    std::uint64_t lastFingerprint_ { 1 };
    std::unique_ptr<QuotaAllocator> quotas_;
    Core::TimePoint resultsSince_;
    Core::TimePoint end_;
};

} // namespace PolicyBench
