#include <LibConfig/SettingsCatalogue.h>
#include <LibConfig/Units.h>

#include <algorithm>
#include <array>
#include <limits>

namespace Config {

namespace {

    ConfigErrorReason unitFault(UnitError error, std::string_view value, std::string_view units, OutOfRange range)
    {
        if (error == UnitError::TooLarge)
            return range;
        return BadUnit { std::string(value), std::string(units) };
    }

    /// Adds the keys of one section. Defaults come from the member initializers, so they are stated once.
    template <typename Section> class SectionBinder {
    public:
        SectionBinder(std::vector<SettingBinding>& bindings, std::string_view name, Section DaemonSettings::*section)
            : bindings_(bindings)
            , name_(name)
            , section_(section)
        {
        }

        void duration(std::string_view key, Core::Duration Section::*field, Core::Duration minimum,
            Core::Duration maximum, std::string_view meaning)
        {
            addQuantity(
                key, field, minimum, maximum, "duration", durationUnits, parseDuration, formatDuration, meaning);
        }

        void size(std::string_view key, std::uint64_t Section::*field, std::uint64_t minimum, std::uint64_t maximum,
            std::string_view meaning)
        {
            addQuantity(key, field, minimum, maximum, "size", sizeUnits, parseSize, formatSize, meaning);
        }

        template <typename T>
        void number(std::string_view key, T Section::*field, std::uint64_t minimum, std::uint64_t maximum,
            std::string_view meaning)
        {
            addQuantity(
                key, field, minimum, maximum, "number", "no unit", parseNumber,
                [](std::uint64_t value) { return std::to_string(value); }, meaning);
        }

        /// A value whose parser returns whether the text was accepted. Required when there is no default.
        void text(std::string_view key, std::optional<std::string> const& defaultValue, std::string const& expected,
            std::string_view meaning, std::function<bool(Section&, std::string_view)> parse)
        {
            auto const isRequired = !defaultValue;
            add(key, defaultValue.value_or(""), expected, "", meaning, isRequired,
                [section = section_, expected, parse = std::move(parse)](
                    DaemonSettings& settings, std::string_view value) -> std::optional<ConfigErrorReason> {
                    if (parse(settings.*section, value))
                        return std::nullopt;
                    return BadValue { std::string(value), expected };
                });
        }

    private:
        template <typename T, typename Bound, typename Parse, typename Format>
        void addQuantity(std::string_view key, T Section::*field, Bound minimum, Bound maximum, std::string_view type,
            std::string_view units, Parse parse, Format format, std::string_view meaning)
        {
            auto const lowest = format(minimum);
            auto const highest = format(maximum);
            auto assign = [=, section = section_](
                              DaemonSettings& settings, std::string_view value) -> std::optional<ConfigErrorReason> {
                auto const quantity = parse(value);
                OutOfRange range { std::string(value), lowest, highest };
                if (quantity.error)
                    return unitFault(*quantity.error, value, units, std::move(range));
                if (quantity.value < minimum || quantity.value > maximum)
                    return range;
                settings.*section.*field = static_cast<T>(quantity.value);
                return std::nullopt;
            };
            auto const defaultValue = format(DaemonSettings {}.*section_.*field);
            add(key, defaultValue, std::string(type), lowest + " to " + highest, meaning, false, std::move(assign));
        }

        void add(std::string_view key, std::string defaultValue, std::string type, std::string range,
            std::string_view meaning, bool isRequired,
            std::function<std::optional<ConfigErrorReason>(DaemonSettings&, std::string_view)> assign)
        {
            bindings_.push_back({ { name_, std::string(key), std::move(defaultValue), std::move(type), std::move(range),
                                      std::string(meaning), isRequired },
                std::move(assign) });
        }

        std::vector<SettingBinding>& bindings_;
        std::string name_;
        Section DaemonSettings::*section_;
    };

    bool parseRoles(HostSettings& host, std::string_view text)
    {
        host.isEntry = text == "entry" || text == "entry, control" || text == "control, entry";
        host.isControl = text == "control" || (host.isEntry && text != "entry");
        return host.isEntry || host.isControl;
    }

    template <typename Field> auto nameInto(Field HostSettings::*field)
    {
        return [field](HostSettings& host, std::string_view value) {
            if constexpr (std::is_same_v<Field, std::string>)
                host.*field = value;
            else
                (host.*field).value = value;
            return isValidName(value);
        };
    }

    template <typename Field> auto endpointInto(Field ListenSettings::*field)
    {
        return [field](ListenSettings& listen, std::string_view value) {
            auto endpoint = Core::Endpoint::parse(value);
            if (!endpoint)
                return false;
            listen.*field = std::move(*endpoint);
            return true;
        };
    }

    void bindHost(std::vector<SettingBinding>& bindings)
    {
        std::string const name = "a name of 1 to 64 letters, digits, '.', '_' and '-'";
        SectionBinder host(bindings, "host", &DaemonSettings::host);
        host.text(
            "name", std::nullopt, name, "Name of this host, unique in the cluster.", nameInto(&HostSettings::name));
        host.text("failure-domain", std::nullopt, name, "Failure domain that this host stands in.",
            nameInto(&HostSettings::failureDomain));
        host.text("region", std::nullopt, name, "Region of the failure domain.", nameInto(&HostSettings::region));
        host.text("cluster", std::nullopt, name,
            "Cluster id. A data directory that belongs to another cluster is rejected.",
            nameInto(&HostSettings::cluster));
        host.text(
            "roles", std::nullopt, "entry, control or both, separated by ', '", "What this process does.", parseRoles);
        host.text("data-directory", std::nullopt, "an absolute path", "The only folder that the process writes to.",
            [](HostSettings& settings, std::string_view value) {
                settings.dataDirectory = value;
                return value.starts_with('/');
            });

        SectionBinder listen(bindings, "listen", &DaemonSettings::listen);
        listen.text("rpc", std::nullopt, "IP:port", "RPC between the processes of the cluster.",
            endpointInto(&ListenSettings::rpc));
        listen.text("caller", "", "IP:port", "HTTP from callers. Required for the entry role.",
            endpointInto(&ListenSettings::caller));
        listen.text("admin", "", "IP:port", "/healthz, /readyz and /metrics. Required for the entry role.",
            endpointInto(&ListenSettings::admin));
        listen.text("operator", "", "IP:port", "Operator API. Required for the control role.",
            endpointInto(&ListenSettings::operatorApi));
    }

    void bindTiming(std::vector<SettingBinding>& bindings)
    {
        using T = TimingSettings;
        SectionBinder timing(bindings, "timing", &DaemonSettings::timing);
        timing.duration("announce-interval", &T::announceInterval, 10ms, 60s,
            "Interval at which backend servers announce themselves.");
        timing.duration("grant-time-to-live", &T::grantTimeToLive, 50ms, 10min,
            "Time for which a grant of slots is valid, counted from the sending of the announcement.");
        timing.duration("heartbeat-interval", &T::heartbeatInterval, 10ms, 60s,
            "Interval of the heartbeats from entry hosts to the control leader.");
        timing.duration("view-lease", &T::viewLease, 50ms, 10min,
            "Time for which an entry host may route by its view, counted from the sending of the heartbeat.");
        timing.duration(
            "guard-time", &T::guardTime, 0ms, 10s, "Work is not sent when less than this is left of the view lease.");
        timing.duration(
            "election-timeout-min", &T::electionTimeoutMin, 50ms, 60s, "Lower end of the election timeout.");
        timing.duration(
            "election-timeout-max", &T::electionTimeoutMax, 50ms, 60s, "Upper end of the election timeout.");
        timing.duration("raft-heartbeat", &T::raftHeartbeat, 5ms, 10s, "Interval of the control leader's heartbeats.");
        timing.number("clock-drift-per-mille", &T::clockDriftPerMille, 0, 100,
            "Added to lease times that another host counts, in parts per thousand.");
        timing.duration("shutdown-grace", &T::shutdownGrace, 1s, 1h,
            "Bound for a graceful stop; requests still running then are aborted.");
    }

    void bindControl(std::vector<SettingBinding>& bindings)
    {
        SectionBinder consensus(bindings, "consensus", &DaemonSettings::consensus);
        consensus.size("max-append", &ConsensusSettings::maxAppendBytes, 4096, 64ULL << 20, "Bound for one append.");
        consensus.number("max-in-flight-appends", &ConsensusSettings::maxInFlightAppends, 1, 1024,
            "Appends sent to a follower before its response.");
        consensus.number("snapshot-every-entries", &ConsensusSettings::snapshotEveryEntries, 100, 100'000'000,
            "Log entries between snapshots, which bounds replay.");
        consensus.size("snapshot-chunk", &ConsensusSettings::snapshotChunkBytes, 4096, 16ULL << 20,
            "Size of the parts in which a snapshot is sent.");
        consensus.size("segment", &ConsensusSettings::segmentBytes, 64ULL << 10, 1ULL << 30,
            "Size of a file of the write-ahead log.");

        SectionBinder orders(bindings, "orders", &DaemonSettings::orders);
        orders.number("max-entries", &OrderSettings::maxEntries, 100, 100'000'000, "Bound of the order ledger.");
        orders.duration("retention", &OrderSettings::retention, 1min, 24h * 30,
            "Time for which a resent order finds its first outcome.");
        orders.size("max-kept-answer", &OrderSettings::maxKeptAnswerBytes, 0, 64ULL << 10,
            "Larger response bodies of orders are not kept for resends.");
    }

    void bindDispatch(std::vector<SettingBinding>& bindings)
    {
        using D = DispatchSettings;
        SectionBinder dispatch(bindings, "dispatch", &DaemonSettings::dispatch);
        dispatch.number(
            "max-queued-requests", &D::maxQueuedRequests, 1, 1'000'000, "Bound of a dispatch group's queue.");
        dispatch.number(
            "max-queued-per-caller", &D::maxQueuedPerCaller, 1, 1'000'000, "Bound for one caller in a queue.");
        dispatch.number("retry-budget-percent", &D::retryBudgetPercent, 0, 100, "Retries per 100 first attempts.");
        dispatch.number("hedge-budget-percent", &D::hedgeBudgetPercent, 0, 100, "Hedges per 100 first attempts.");
        dispatch.duration("hedge-delay-min", &D::hedgeDelayMin, 1ms, 60s, "Earliest start of a hedged request.");
        dispatch.duration("retry-backoff-min", &D::retryBackoffMin, 1ms, 60s, "First backoff before a retry.");
        dispatch.duration("retry-backoff-max", &D::retryBackoffMax, 1ms, 60s, "Longest backoff before a retry.");
        dispatch.number("max-attempts", &D::maxAttempts, 1, 10, "Attempts of one request, including the first.");
        dispatch.duration("slow-start", &D::slowStartDuration, 100ms, 1h,
            "Time over which a new or returned backend server reaches its full limit at the earliest.");
        dispatch.number("ejection-cap-percent", &D::ejectionCapPercent, 0, 100,
            "Share of a pool's backend servers that may be ejected at a time.");
        dispatch.duration("ejection-time", &D::ejectionTime, 100ms, 1h, "First ejection of a straggler.");
        dispatch.number("quarantine-crashes", &D::quarantineCrashes, 1, 100,
            "Backend servers that a request may crash before it is quarantined.");
        dispatch.duration("quarantine-time", &D::quarantineTime, 1s, 24h * 30, "Time until a quarantine expires.");
    }

    void bindTraffic(std::vector<SettingBinding>& bindings)
    {
        using T = TrafficSettings;
        SectionBinder traffic(bindings, "traffic", &DaemonSettings::traffic);
        traffic.number(
            "traffic-threads", &T::trafficThreads, 1, 65'536, "Threads for callers; each connection holds one.");
        traffic.number("max-caller-connections", &T::maxCallerConnections, 1, 65'536,
            "Further connections are rejected as not run.");
        traffic.number("listen-backlog", &T::listenBacklog, 1, 65'535, "Backlog of the caller listener.");
        traffic.size("stream-buffer", &T::streamBufferBytes, 4096, 16ULL << 20, "Buffer per direction of one request.");
        traffic.size("max-headers", &T::maxHeaderBytes, 1024, 1ULL << 20, "Bound for the headers of a request.");
        traffic.duration(
            "caller-idle-timeout", &T::callerIdleTimeout, 1s, 1h, "Idle connections of callers are closed.");
        traffic.duration(
            "caller-read-timeout", &T::callerReadTimeout, 100ms, 1h, "Longest pause in a caller's request.");
        traffic.duration("backend-connect-timeout", &T::backendConnectTimeout, 10ms, 60s,
            "Bound for a connection setup to a backend server.");
        traffic.duration("backend-idle-timeout", &T::backendIdleTimeout, 100ms, 1h,
            "Idle connections to backend servers are closed.");
        traffic.duration("probe-freshness", &T::probeFreshness, 0ms, 60s,
            "A kept connection carries non-idempotent work only when it answered a probe within this time.");
        traffic.duration("probe-timeout", &T::probeTimeout, 10ms, 60s, "Bound for the response to a probe.");

        SectionBinder threads(bindings, "threads", &DaemonSettings::threads);
        threads.number("admin", &ThreadSettings::adminThreads, 1, 256, "Threads of the admin listener.");
        threads.number("operator", &ThreadSettings::operatorThreads, 2, 256, "Threads of the operator API.");
    }

    void bindLog(std::vector<SettingBinding>& bindings)
    {
        SectionBinder log(bindings, "log", &DaemonSettings::log);
        log.text("level", "info", "debug, info, warning or error", "Lowest level written.",
            [](LogSettings& settings, std::string_view value) {
                constexpr std::array<std::string_view, 4> levels { "debug", "info", "warning", "error" };
                auto const found = std::ranges::find(levels, value);
                settings.level = static_cast<LogLevel>(found - levels.begin());
                return found != levels.end();
            });
        log.text("format", "json", "json or key-value", "Form of a line.",
            [](LogSettings& settings, std::string_view value) {
                settings.format = value == "json" ? LogFormat::Json : LogFormat::KeyValue;
                return value == "json" || value == "key-value";
            });
        log.text("file", "", "an absolute path", "Empty writes to standard error.",
            [](LogSettings& settings, std::string_view value) {
                settings.file = value;
                return value.empty() || value.starts_with('/');
            });
        log.size("max-file", &LogSettings::maxFileBytes, 256ULL << 10, 4ULL << 30, "A larger file is rotated.");
        log.number("kept-files", &LogSettings::keptFiles, 1, 100, "Rotated files that are kept.");
        log.number("burst", &LogSettings::burst, 1, 1'000'000, "Lines of one event per burst interval.");
        log.duration("burst-interval", &LogSettings::burstInterval, 10ms, 1h, "Interval of the rate limit.");
    }

    void bindTelemetry(std::vector<SettingBinding>& bindings)
    {
        using T = TelemetrySettings;
        SectionBinder telemetry(bindings, "telemetry", &DaemonSettings::telemetry);
        telemetry.text("span-file", "", "an absolute path", "Empty writes no spans.",
            [](TelemetrySettings& settings, std::string_view value) {
                settings.spanFile = value;
                return value.empty() || value.starts_with('/');
            });
        telemetry.size("max-span-file", &T::maxSpanFileBytes, 64ULL << 10, 4ULL << 30, "A larger file is rotated.");
        telemetry.number("kept-span-files", &T::keptSpanFiles, 1, 100, "Rotated files that are kept.");
        telemetry.number(
            "max-queued-spans", &T::maxQueuedSpans, 16, 1'000'000, "Further spans are dropped and counted.");
        telemetry.number("sampled-per-mille", &T::sampledPerMille, 0, 1000,
            "Traces written per thousand. Spans of failed requests are always written.");
        telemetry.number("max-label-values", &T::maxLabelValues, 8, 100'000,
            "Values per metric label; further names are counted as 'other'.");

        SectionBinder usage(bindings, "usage", &DaemonSettings::usage);
        usage.duration("sync-interval", &UsageSettings::syncInterval, 10ms, 1h,
            "A killed process loses the usage of at most this time plus one sync.");
        usage.size("compact-after", &UsageSettings::compactAfterBytes, 64ULL << 10, 1ULL << 30,
            "Growth of a day's usage file after which its completed hours are merged.");
        usage.duration("retention", &UsageSettings::retention, 1h, 24h * 3650, "Older usage files are removed.");
        usage.number("max-names", &UsageSettings::maxNames, 8, 1'000'000,
            "Combinations of pool, route and caller; further callers are counted as 'other'.");
    }

} // namespace

std::span<SettingBinding const> settingBindings()
{
    static std::vector<SettingBinding> const bindings = [] {
        std::vector<SettingBinding> all;
        bindHost(all);
        bindTiming(all);
        bindControl(all);
        bindDispatch(all);
        bindTraffic(all);
        bindLog(all);
        bindTelemetry(all);
        return all;
    }();
    return bindings;
}

} // namespace Config
