#include <LibTelemetry/LabelBound.h>
#include <LibTelemetry/Metrics.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <shared_mutex>
#include <vector>

namespace Telemetry {

namespace {

    using prometheus::Counter;
    using prometheus::Family;
    using prometheus::Gauge;
    using prometheus::Histogram;
    using Labels = prometheus::Labels;

    /// Seconds. Narrow around 14 ms, the bound for 99 % of the requests of the target size.
    Histogram::BucketBoundaries const latencyBounds { 0.0005, 0.001, 0.002, 0.004, 0.007, 0.01, 0.014, 0.02, 0.03, 0.05,
        0.1, 0.2, 0.5, 1, 2, 5, 10, 30 };

    double seconds(Core::Duration duration) { return std::chrono::duration<double>(duration).count(); }

    Family<Counter>& counter(prometheus::Registry& registry, char const* name, char const* help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    }
    Family<Gauge>& gauge(prometheus::Registry& registry, char const* name, char const* help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
    }
    Family<Histogram>& histogram(prometheus::Registry& registry, char const* name, char const* help)
    {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
    }

} // namespace

struct Metrics::Families {
    explicit Families(std::size_t maxLabelValues)
        : pools(maxLabelValues)
        , routes(maxLabelValues)
        , servers(maxLabelValues)
        , domains(maxLabelValues)
        , words(maxLabelValues)
    {
    }

    std::shared_ptr<prometheus::Registry> registry { std::make_shared<prometheus::Registry>() };
    prometheus::Registry& r { *registry };

    Family<Counter>& requests
        = counter(r, "primroseshift_requests_total", "Requests of callers by outcome and reason.");
    Family<Histogram>& requestSeconds
        = histogram(r, "primroseshift_request_seconds", "Time from a request's head to the end of its response.");
    Family<Counter>& attempts = counter(r, "primroseshift_attempts_total", "Attempts at backend servers by outcome.");
    Family<Histogram>& attemptSeconds
        = histogram(r, "primroseshift_attempt_seconds", "Time from sending to the first byte of the response.");
    Family<Counter>& bytes = counter(r, "primroseshift_bytes_total", "Body bytes by direction.");

    Family<Gauge>& imbalance
        = gauge(r, "primroseshift_load_imbalance_ratio", "Highest share of capacity in use over the mean, by pool.");
    Family<Counter>& ownerChanges
        = counter(r, "primroseshift_slot_owner_changes_total", "Slots whose owner changed, by cause.");
    Family<Counter>& unservedSeconds = counter(
        r, "primroseshift_unserved_slot_seconds_total", "Time during which slots had no owner, summed over slots.");
    Family<Gauge>& unassignedSlots = gauge(r, "primroseshift_unassigned_slots", "Slots without an owner.");
    Family<Gauge>& backendServers
        = gauge(r, "primroseshift_backend_servers", "Backend servers by pool, failure domain and state.");

    Family<Gauge>& leaseSeconds
        = gauge(r, "primroseshift_view_lease_remaining_seconds", "Remaining time of the view lease; 0 without one.");
    Family<Gauge>& ready = gauge(r, "primroseshift_ready", "Whether the entry host accepts work.");
    Family<Gauge>& revision = gauge(r, "primroseshift_revision", "Applied revision of pools and routes.");
    Family<Gauge>& inEffect
        = gauge(r, "primroseshift_in_effect_revision", "Newest revision in effect on every live entry host.");
    Family<Gauge>& raftTerm = gauge(r, "primroseshift_raft_term", "Raft term.");
    Family<Gauge>& raftCommit = gauge(r, "primroseshift_raft_commit_index", "Raft commit index.");
    Family<Gauge>& raftLeader = gauge(r, "primroseshift_raft_leader", "Whether this host is the control leader.");
    Family<Gauge>& raftQuorum = gauge(
        r, "primroseshift_raft_quorum", "Whether this host reaches a majority, as leader or through the leader.");
    Family<Gauge>& entryHostsBehind = gauge(r, "primroseshift_entry_hosts_behind",
        "Entry hosts that lack a change of the configuration made some time ago.");
    Family<Gauge>& raftLogBytes
        = gauge(r, "primroseshift_raft_log_bytes", "Bytes of the Raft log that this host holds in memory.");
    Family<Gauge>& raftSnapshotBytes
        = gauge(r, "primroseshift_raft_snapshot_bytes", "Bytes of the last durable snapshot of this host.");
    Family<Gauge>& configurationBytes
        = gauge(r, "primroseshift_configuration_bytes", "Bytes of the configuration items.");
    Family<Gauge>& crashSuspects = gauge(r, "primroseshift_crash_suspects",
        "Requests that crashed servers: those being verified and those refused, by state.");
    Family<Gauge>& storageSound
        = gauge(r, "primroseshift_storage_sound", "Whether the disk of this host accepts writes.");
    Family<Counter>& elections = counter(r, "primroseshift_elections_total", "Elections this host started.");
    Family<Histogram>& commitSeconds = histogram(r, "primroseshift_commit_seconds", "Time from proposal to commit.");
    Family<Histogram>& syncSeconds = histogram(r, "primroseshift_sync_seconds", "Duration of an fsync of the log.");

    Family<Gauge>& queueLength = gauge(r, "primroseshift_queue_length", "Requests that wait for a permit.");
    Family<Histogram>& queueSeconds
        = histogram(r, "primroseshift_queue_seconds", "Time that requests waited for a permit.");
    Family<Gauge>& inFlight = gauge(r, "primroseshift_in_flight", "Requests in flight by backend server.");
    Family<Gauge>& limit = gauge(r, "primroseshift_limit", "Concurrency limit by backend server.");
    Family<Gauge>& requestLimit
        = gauge(r, "primroseshift_request_limit", "Requests per second that a backend server takes, as it names them.");
    Family<Counter>& silences
        = counter(r, "primroseshift_silences_total", "Rejections of servers that want no requests for a time.");
    Family<Counter>& unreadableLimits
        = counter(r, "primroseshift_unreadable_limits_total", "Answers with a request limit that cannot be read.");
    Family<Counter>& shed = counter(r, "primroseshift_shed_total", "Requests rejected as not run, by reason.");
    Family<Counter>& retries = counter(r, "primroseshift_retries_total", "Retried attempts.");
    Family<Counter>& hedges = counter(r, "primroseshift_hedges_total", "Hedged attempts, by whether they won.");
    Family<Counter>& ejections = counter(r, "primroseshift_ejections_total", "Ejections by backend server.");
    Family<Gauge>& ejected = gauge(r, "primroseshift_ejected_servers", "Backend servers ejected at present.");
    Family<Counter>& ignoredHeartbeats = counter(r, "primroseshift_ignored_heartbeats_total",
        "Heartbeats of backend servers that were acknowledged and have no effect, by reason.");
    Family<Counter>& quarantines = counter(r, "primroseshift_quarantines_total", "Requests quarantined, by route.");
    Family<Gauge>& ledgerEntries = gauge(r, "primroseshift_order_ledger_entries", "Entries of the order ledger.");
    Family<Gauge>& ledgerCapacity = gauge(r, "primroseshift_order_ledger_capacity", "Bound of the order ledger.");

    Family<Gauge>& connections = gauge(r, "primroseshift_caller_connections", "Open connections of callers.");
    Family<Gauge>& droppedSpans = gauge(r, "primroseshift_dropped_spans", "Spans dropped since the start.");

    Labels pool(Core::PoolName const& name) { return { { "pool", pools.admit(name.value) } }; }
    Labels poolAnd(Core::PoolName const& name, char const* label, std::string_view value)
    {
        return { { "pool", pools.admit(name.value) }, { label, words.admit(value) } };
    }
    Labels server(Core::PoolName const& name, Core::ServerName const& serverName)
    {
        return { { "pool", pools.admit(name.value) }, { "server", servers.admit(serverName.value) } };
    }

    LabelBound pools;
    LabelBound routes;
    LabelBound servers;
    LabelBound domains;
    /// Outcomes, reasons, causes and states.
    LabelBound words;
    /// Shared by updates, exclusive for the removal of series, since a removed series must not be in use.
    mutable std::shared_mutex removalMutex;

    template <typename Metric, typename Update> void update(Family<Metric>& family, Labels const& labels, Update change)
    {
        std::shared_lock const lock(removalMutex);
        if constexpr (std::is_same_v<Metric, Histogram>)
            change(family.Add(labels, latencyBounds));
        else
            change(family.Add(labels));
    }
    void add(Family<Counter>& family, Labels const& labels, double amount)
    {
        update(family, labels, [amount](Counter& metric) { metric.Increment(amount); });
    }
    void set(Family<Gauge>& family, Labels const& labels, double value)
    {
        update(family, labels, [value](Gauge& metric) { metric.Set(value); });
    }
    void observe(Family<Histogram>& family, Labels const& labels, Core::Duration duration)
    {
        update(family, labels, [duration](Histogram& metric) { metric.Observe(seconds(duration)); });
    }
    /// Removes the series whose labels match.
    template <typename Metric, typename Matches> static void removeIf(Family<Metric>& family, Matches const& matches)
    {
        for (auto const& collected : family.Collect()) {
            for (auto const& metric : collected.metric) {
                Labels labels;
                for (auto const& label : metric.label)
                    labels.emplace(label.name, label.value);
                if (matches(labels))
                    remove(family, labels);
            }
        }
    }
    /// The series differ by failure domain and outcome, which are not known here.
    void removeAttempts(std::string const& poolName, std::string const& serverName)
    {
        removeIf(attempts,
            [&](Labels const& labels) { return labels.at("pool") == poolName && labels.at("server") == serverName; });
    }
    template <typename Metric> static void remove(Family<Metric>& family, Labels const& labels)
    {
        if (family.Has(labels))
            family.Remove(&family.Add(labels));
    }
};

Metrics::Metrics(MetricsSettings settings)
    : families_(std::make_unique<Families>(settings.maxLabelValues))
{
}

Metrics::~Metrics() = default;

void Metrics::countRequest(Core::PoolName const& pool, Core::RouteName const& route, std::string_view outcome,
    std::string_view reason, Core::Duration duration)
{
    auto& f = *families_;
    auto labels = f.poolAnd(pool, "outcome", outcome);
    f.observe(f.requestSeconds, labels, duration);
    labels.emplace("route", f.routes.admit(route.value));
    labels.emplace("reason", f.words.admit(reason));
    f.add(f.requests, labels, 1);
}

void Metrics::countAttempt(Core::PoolName const& pool, Core::ServerName const& server,
    Core::FailureDomain const& domain, std::string_view outcome, Core::Duration latency)
{
    auto& f = *families_;
    auto labels = f.pool(pool);
    labels.emplace("domain", f.domains.admit(domain.value));
    f.observe(f.attemptSeconds, labels, latency);
    labels.emplace("outcome", f.words.admit(outcome));
    labels.emplace("server", f.servers.admit(server.value));
    f.add(f.attempts, labels, 1);
}

void Metrics::countBytes(Core::PoolName const& pool, std::uint64_t fromCallers, std::uint64_t toCallers)
{
    auto& f = *families_;
    f.add(f.bytes, f.poolAnd(pool, "direction", "from-caller"), static_cast<double>(fromCallers));
    f.add(f.bytes, f.poolAnd(pool, "direction", "to-caller"), static_cast<double>(toCallers));
}

void Metrics::setLoadImbalance(Core::PoolName const& pool, double ratio)
{
    families_->set(families_->imbalance, families_->pool(pool), ratio);
}

void Metrics::countOwnerChanges(Core::PoolName const& pool, std::string_view cause, std::uint64_t slots)
{
    families_->add(families_->ownerChanges, families_->poolAnd(pool, "cause", cause), static_cast<double>(slots));
}

void Metrics::addUnservedSlotTime(Core::PoolName const& pool, Core::Duration duration)
{
    families_->add(families_->unservedSeconds, families_->pool(pool), seconds(duration));
}

void Metrics::setUnassignedSlots(Core::PoolName const& pool, std::uint64_t slots)
{
    families_->set(families_->unassignedSlots, families_->pool(pool), static_cast<double>(slots));
}

void Metrics::setBackendServers(
    Core::PoolName const& pool, Core::FailureDomain const& domain, std::string_view state, std::uint64_t count)
{
    auto labels = families_->poolAnd(pool, "state", state);
    labels.emplace("domain", families_->domains.admit(domain.value));
    families_->set(families_->backendServers, labels, static_cast<double>(count));
}

void Metrics::setViewLeaseRemaining(Core::Duration remaining)
{
    families_->set(families_->leaseSeconds, {}, std::max(0.0, seconds(remaining)));
}

void Metrics::setReady(bool isReady) { families_->set(families_->ready, {}, isReady ? 1 : 0); }

void Metrics::setRevision(Core::Revision applied)
{
    families_->set(families_->revision, {}, static_cast<double>(applied.value));
}

void Metrics::setInEffectRevision(Core::Revision revision)
{
    families_->set(families_->inEffect, {}, static_cast<double>(revision.value));
}

void Metrics::setRaft(std::uint64_t term, std::uint64_t commitIndex, bool isLeader, bool hasQuorum)
{
    auto& f = *families_;
    f.set(f.raftTerm, {}, static_cast<double>(term));
    f.set(f.raftCommit, {}, static_cast<double>(commitIndex));
    f.set(f.raftLeader, {}, isLeader ? 1 : 0);
    f.set(f.raftQuorum, {}, hasQuorum ? 1 : 0);
}

void Metrics::setLogBytes(std::uint64_t log, std::uint64_t snapshot, std::uint64_t items)
{
    auto& f = *families_;
    f.set(f.raftLogBytes, {}, static_cast<double>(log));
    f.set(f.raftSnapshotBytes, {}, static_cast<double>(snapshot));
    f.set(f.configurationBytes, {}, static_cast<double>(items));
}

void Metrics::setCrashSuspects(std::uint64_t suspects, std::uint64_t quarantined)
{
    auto& f = *families_;
    f.set(f.crashSuspects, { { "state", "suspect" } }, static_cast<double>(suspects));
    f.set(f.crashSuspects, { { "state", "quarantined" } }, static_cast<double>(quarantined));
}

void Metrics::setStorageSound(bool isSound) { families_->set(families_->storageSound, {}, isSound ? 1 : 0); }

void Metrics::setEntryHostsBehind(std::uint64_t entryHosts)
{
    families_->set(families_->entryHostsBehind, {}, static_cast<double>(entryHosts));
}

void Metrics::countElection() { families_->add(families_->elections, {}, 1); }
void Metrics::observeCommit(Core::Duration duration) { families_->observe(families_->commitSeconds, {}, duration); }
void Metrics::observeSync(Core::Duration duration) { families_->observe(families_->syncSeconds, {}, duration); }

void Metrics::setQueueLength(Core::PoolName const& pool, std::uint64_t length)
{
    families_->set(families_->queueLength, families_->pool(pool), static_cast<double>(length));
}

void Metrics::setInFlight(
    Core::PoolName const& pool, Core::ServerName const& server, std::uint64_t inFlight, std::uint64_t limit)
{
    auto const labels = families_->server(pool, server);
    families_->set(families_->inFlight, labels, static_cast<double>(inFlight));
    families_->set(families_->limit, labels, static_cast<double>(limit));
}

void Metrics::observeQueueTime(Core::PoolName const& pool, Core::Duration duration)
{
    families_->observe(families_->queueSeconds, families_->pool(pool), duration);
}

void Metrics::setRequestLimit(Core::PoolName const& pool, Core::ServerName const& server, double perSecond)
{
    families_->set(families_->requestLimit, families_->server(pool, server), perSecond);
}

void Metrics::clearRequestLimits()
{
    std::unique_lock const lock(families_->removalMutex);
    Families::removeIf(families_->requestLimit, [this](Labels const& labels) {
        families_->servers.forget(labels.at("server"));
        return true;
    });
}

void Metrics::countUnreadableLimit(Core::PoolName const& pool)
{
    families_->add(families_->unreadableLimits, families_->pool(pool), 1);
}

void Metrics::countSilence(Core::PoolName const& pool)
{
    families_->add(families_->silences, families_->pool(pool), 1);
}

void Metrics::countShed(Core::PoolName const& pool, std::string_view reason)
{
    families_->add(families_->shed, families_->poolAnd(pool, "reason", reason), 1);
}

void Metrics::countRetry(Core::PoolName const& pool) { families_->add(families_->retries, families_->pool(pool), 1); }

void Metrics::countHedge(Core::PoolName const& pool, bool won)
{
    families_->add(families_->hedges, families_->poolAnd(pool, "won", won ? "yes" : "no"), 1);
}

void Metrics::countEjection(Core::PoolName const& pool, Core::ServerName const& server)
{
    families_->add(families_->ejections, families_->server(pool, server), 1);
}

void Metrics::setEjected(Core::PoolName const& pool, std::uint64_t servers)
{
    families_->set(families_->ejected, families_->pool(pool), static_cast<double>(servers));
}

void Metrics::countQuarantine(Core::RouteName const& route)
{
    families_->add(families_->quarantines, { { "route", families_->routes.admit(route.value) } }, 1);
}

void Metrics::countIgnoredHeartbeat(std::string_view reason)
{
    families_->add(families_->ignoredHeartbeats, { { "reason", std::string(reason) } }, 1);
}

void Metrics::setOrderLedger(std::uint64_t entries, std::uint64_t capacity)
{
    families_->set(families_->ledgerEntries, {}, static_cast<double>(entries));
    families_->set(families_->ledgerCapacity, {}, static_cast<double>(capacity));
}

void Metrics::setCallerConnections(std::uint64_t connections)
{
    families_->set(families_->connections, {}, static_cast<double>(connections));
}

void Metrics::setDroppedSpans(std::uint64_t spans)
{
    families_->set(families_->droppedSpans, {}, static_cast<double>(spans));
}

void Metrics::forgetServer(Core::PoolName const& pool, Core::ServerName const& server)
{
    auto& f = *families_;
    std::unique_lock const lock(f.removalMutex);
    Labels const labels { { "pool", pool.value }, { "server", server.value } };
    Families::remove(f.inFlight, labels);
    Families::remove(f.limit, labels);
    Families::remove(f.ejections, labels);
    f.removeAttempts(pool.value, server.value);
    f.servers.forget(server.value);
}

std::string Metrics::exposition() const
{
    std::shared_lock const lock(families_->removalMutex);
    return prometheus::TextSerializer().Serialize(families_->registry->Collect());
}

std::shared_ptr<prometheus::Registry> Metrics::registry() const { return families_->registry; }

} // namespace Telemetry
