#pragma once

#include <LibConfig/ConfigError.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Config {

using namespace std::chrono_literals;

/// A name that is stored in the replicated log and used in file names and labels: letters, digits, `.`, `_`, `-`.
inline constexpr std::size_t maxNameBytes = 64;
bool isValidName(std::string_view);

/// Section `[host]`.
struct HostSettings {
    Core::HostName name;
    Core::FailureDomain failureDomain;
    std::string region;
    /// A data directory that belongs to another cluster is rejected.
    Core::ClusterId cluster;
    bool isEntry { false };
    bool isControl { false };
    std::string dataDirectory;
};

/// Section `[listen]`.
struct ListenSettings {
    std::optional<Core::Endpoint> caller;
    std::optional<Core::Endpoint> admin;
    /// Used by other processes of the cluster. Every process has one.
    Core::Endpoint rpc;
    std::optional<Core::Endpoint> operatorApi;
};

/// One line of section `[control-peers]`: `NAME = IP:port, FAILURE-DOMAIN`.
struct ControlPeer {
    Core::HostName name;
    Core::Endpoint rpc;
    Core::FailureDomain failureDomain;
};

/// Section `[timing]`. The defaults are those of docs/design.md, sections 3.3 to 3.5.
struct TimingSettings {
    Core::Duration announceInterval { 300ms };
    Core::Duration grantTimeToLive { 1500ms };
    Core::Duration heartbeatInterval { 300ms };
    Core::Duration viewLease { 2000ms };
    /// Work is not sent when less than this is left of the view lease.
    Core::Duration guardTime { 50ms };
    Core::Duration electionTimeoutMin { 400ms };
    Core::Duration electionTimeoutMax { 800ms };
    Core::Duration raftHeartbeat { 100ms };
    /// Added to lease times that another host counts, in parts per thousand.
    std::uint32_t clockDriftPerMille { 10 };
    /// Bound for a graceful stop. In-flight requests that are still running then are aborted.
    Core::Duration shutdownGrace { 60s };
};

/// Section `[consensus]`.
struct ConsensusSettings {
    std::uint64_t maxAppendBytes { 1024ULL * 1024 };
    std::uint32_t maxInFlightAppends { 16 };
    std::uint64_t snapshotEveryEntries { 50'000 };
    std::uint64_t snapshotChunkBytes { 256ULL * 1024 };
    std::uint64_t segmentBytes { 16ULL * 1024 * 1024 };
};

/// Section `[orders]`.
struct OrderSettings {
    std::uint64_t maxEntries { 200'000 };
    Core::Duration retention { 24h };
    std::uint64_t maxKeptAnswerBytes { 8ULL * 1024 };
};

/// Section `[dispatch]`.
struct DispatchSettings {
    std::uint32_t maxQueuedRequests { 1024 };
    std::uint32_t maxQueuedPerCaller { 256 };
    std::uint32_t retryBudgetPercent { 10 };
    std::uint32_t hedgeBudgetPercent { 5 };
    Core::Duration hedgeDelayMin { 20ms };
    Core::Duration retryBackoffMin { 10ms };
    Core::Duration retryBackoffMax { 1s };
    std::uint32_t maxAttempts { 3 };
    Core::Duration slowStartDuration { 10s };
    std::uint32_t ejectionCapPercent { 30 };
    Core::Duration ejectionTime { 5s };
    std::uint32_t quarantineCrashes { 2 };
    Core::Duration quarantineTime { 10min };
};

/// Section `[traffic]`.
struct TrafficSettings {
    /// cpp-httplib keeps one thread for each connection.
    std::uint32_t trafficThreads { 512 };
    std::uint32_t maxCallerConnections { 512 };
    std::uint32_t listenBacklog { 4096 };
    /// Per direction of one request.
    std::uint64_t streamBufferBytes { 256ULL * 1024 };
    std::uint64_t maxHeaderBytes { 32ULL * 1024 };
    Core::Duration callerIdleTimeout { 60s };
    Core::Duration callerReadTimeout { 30s };
    Core::Duration backendConnectTimeout { 500ms };
    Core::Duration backendIdleTimeout { 10s };
    /// A kept connection carries non-idempotent work only when it answered a probe within this time.
    Core::Duration probeFreshness { 1s };
    Core::Duration probeTimeout { 500ms };
};

/// Section `[threads]`.
struct ThreadSettings {
    std::uint32_t adminThreads { 4 };
    std::uint32_t operatorThreads { 8 };
};

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };
enum class LogFormat : std::uint8_t { Json, KeyValue };

/// Section `[log]`.
struct LogSettings {
    LogLevel level { LogLevel::Info };
    LogFormat format { LogFormat::Json };
    /// Empty writes to standard error.
    std::string file;
    std::uint64_t maxFileBytes { 64ULL * 1024 * 1024 };
    std::uint32_t keptFiles { 5 };
    /// Lines of one event per interval; more are counted and reported as suppressed.
    std::uint32_t burst { 10 };
    Core::Duration burstInterval { 1s };
};

/// Section `[telemetry]`.
struct TelemetrySettings {
    /// Empty writes no spans.
    std::string spanFile;
    std::uint64_t maxSpanFileBytes { 64ULL * 1024 * 1024 };
    std::uint32_t keptSpanFiles { 3 };
    std::uint32_t maxQueuedSpans { 4096 };
    /// Share of traces written; spans of failed requests are always written.
    std::uint32_t sampledPerMille { 10 };
    /// Label values per metric label; further names are counted as `other`.
    std::uint32_t maxLabelValues { 256 };
};

/// Section `[usage]`.
struct UsageSettings {
    /// Usage of at most this time plus one sync is lost when the process is killed.
    Core::Duration syncInterval { 5s };
    /// Growth of a day's file after which its completed hours are merged.
    std::uint64_t compactAfterBytes { 16ULL * 1024 * 1024 };
    Core::Duration retention { 24h * 400 };
    /// Distinct combinations of pool, route and caller; further callers are counted as `other`.
    std::uint32_t maxNames { 4096 };
};

struct DaemonSettings {
    HostSettings host;
    ListenSettings listen;
    std::vector<ControlPeer> controlPeers;
    TimingSettings timing;
    ConsensusSettings consensus;
    OrderSettings orders;
    DispatchSettings dispatch;
    TrafficSettings traffic;
    ThreadSettings threads;
    LogSettings log;
    TelemetrySettings telemetry;
    UsageSettings usage;
};

/// Parses and checks settings. `file` is only used in errors.
Core::Result<DaemonSettings, ConfigErrors> parseDaemonSettings(std::string_view text, std::string_view file);
Core::Result<DaemonSettings, ConfigErrors> loadDaemonSettings(std::string const& path);

/// Describes one key for the documentation.
struct SettingReference {
    std::string section;
    std::string key;
    /// Empty for a required key and for an optional key without a value.
    std::string defaultValue;
    /// The accepted type with its units.
    std::string type;
    std::string range;
    std::string meaning;
    bool isRequired { false };
};

/// Every key of the daemon settings, in the order of docs/configuration.md.
std::vector<SettingReference> settingsReference();

} // namespace Config
