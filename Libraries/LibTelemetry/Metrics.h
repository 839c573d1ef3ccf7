#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <memory>
#include <string>
#include <string_view>

// NOLINTNEXTLINE(readability-identifier-naming): the namespace of the library.
namespace prometheus {
class Registry;
}

namespace Telemetry {

struct MetricsSettings {
    /// Values per label; further names are counted as `other`.
    std::uint32_t maxLabelValues { 256 };
};

/// Replaces label values beyond the bound.
inline constexpr std::string_view otherLabel = "other";

/// The metrics of one process, in the families of docs/metrics.md. Thread-safe.
class Metrics {
public:
    explicit Metrics(MetricsSettings = {});
    ~Metrics();

    Metrics(Metrics const&) = delete;
    Metrics& operator=(Metrics const&) = delete;

    /// One request of a caller. `outcome` is `answered`, `not-run` or `unknown`; `reason` is a reason of design section
    /// 4.3, or empty.
    void countRequest(Core::PoolName const&, Core::RouteName const&, std::string_view outcome, std::string_view reason,
        Core::Duration duration);
    /// One attempt at a backend server, with the time to the first byte of the response.
    void countAttempt(Core::PoolName const&, Core::ServerName const&, Core::FailureDomain const&,
        std::string_view outcome, Core::Duration latency);
    void countBytes(Core::PoolName const&, std::uint64_t fromCallers, std::uint64_t toCallers);

    /// Load imbalance: highest share of capacity in use over the mean share.
    void setLoadImbalance(Core::PoolName const&, double ratio);
    /// Churn: slots whose owner changed. `cause` is `planned`, `loss`, `balance` or `drain`.
    void countOwnerChanges(Core::PoolName const&, std::string_view cause, std::uint64_t slots);
    /// Time during which slots had no owner, summed over slots.
    void addUnservedSlotTime(Core::PoolName const&, Core::Duration);
    void setUnassignedSlots(Core::PoolName const&, std::uint64_t);
    void setBackendServers(
        Core::PoolName const&, Core::FailureDomain const&, std::string_view state, std::uint64_t count);

    void setViewLeaseRemaining(Core::Duration);
    void setReady(bool);
    void setRevision(Core::Revision applied);
    void setInEffectRevision(Core::Revision);
    /// The bytes of the log in memory, of the last snapshot and of the configuration items.
    void setLogBytes(std::uint64_t log, std::uint64_t snapshot, std::uint64_t items);
    /// The requests that are being verified and those that are refused because they crash servers.
    void setCrashSuspects(std::uint64_t suspects, std::uint64_t quarantined);
    void setStorageSound(bool);
    void setRaft(std::uint64_t term, std::uint64_t commitIndex, bool isLeader, bool hasQuorum);
    /// The entry hosts that lack a change of the configuration, as the control leader knows.
    void setEntryHostsBehind(std::uint64_t entryHosts);
    void countElection();
    void observeCommit(Core::Duration);
    void observeSync(Core::Duration);

    void setQueueLength(Core::PoolName const&, std::uint64_t);
    void setInFlight(Core::PoolName const&, Core::ServerName const&, std::uint64_t inFlight, std::uint64_t limit);
    void observeQueueTime(Core::PoolName const&, Core::Duration);
    /// The requests per second that a backend server takes, as it names them.
    void setRequestLimit(Core::PoolName const&, Core::ServerName const&, double perSecond);
    void clearRequestLimits();
    /// An answer with a request limit that cannot be read.
    void countUnreadableLimit(Core::PoolName const&);
    /// A rejection of a server that wants no requests for a time.
    void countSilence(Core::PoolName const&);
    void countShed(Core::PoolName const&, std::string_view reason);
    void countRetry(Core::PoolName const&);
    void countHedge(Core::PoolName const&, bool won);
    void countEjection(Core::PoolName const&, Core::ServerName const&);
    void setEjected(Core::PoolName const&, std::uint64_t servers);
    void countQuarantine(Core::RouteName const&);
    /// A heartbeat was acknowledged and has no effect.
    void countIgnoredHeartbeat(std::string_view reason);
    void setOrderLedger(std::uint64_t entries, std::uint64_t capacity);

    void setCallerConnections(std::uint64_t);
    void setDroppedSpans(std::uint64_t);

    /// Drops the series of a backend server that left, so that replaced servers do not use up label values.
    void forgetServer(Core::PoolName const&, Core::ServerName const&);

    /// Prometheus text format, version 0.0.4.
    std::string exposition() const;
    static constexpr std::string_view expositionContentType = "text/plain; version=0.0.4; charset=utf-8";

    std::shared_ptr<prometheus::Registry> registry() const;

private:
    struct Families;

    std::unique_ptr<Families> families_;
};

} // namespace Telemetry
