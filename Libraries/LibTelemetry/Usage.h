#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Telemetry {

/// What usage is charged to: names that stay the same while hosts are replaced.
struct UsageKey {
    Core::PoolName pool;
    Core::RouteName route;
    Core::CallerName caller;

    auto operator<=>(UsageKey const&) const = default;
};

struct UsageCounters {
    std::uint64_t answered { 0 };
    std::uint64_t notRun { 0 };
    std::uint64_t unknown { 0 };
    std::uint64_t bytesFromCaller { 0 };
    std::uint64_t bytesToCaller { 0 };
    /// Time in which a backend server was held by attempts, including those of retries and hedges.
    std::uint64_t serverBusyMicroseconds { 0 };
    std::uint64_t retries { 0 };
    std::uint64_t hedges { 0 };

    bool operator==(UsageCounters const&) const = default;
    UsageCounters& operator+=(UsageCounters const&);
    std::uint64_t requests() const { return answered + notRun + unknown; }
};

struct UsageRow {
    UsageKey key;
    UsageCounters counters;

    bool operator==(UsageRow const&) const = default;
};

/// The usage that one process counted between two syncs. Identified by source, incarnation and sequence number, so that
/// a batch that reaches several stores or arrives twice is counted once.
struct UsageBatch {
    Core::HostName source;
    Core::Incarnation incarnation;
    std::uint64_t sequence { 0 };
    /// Wall-clock time in milliseconds since the Unix epoch at the end of the batch.
    std::int64_t wallMilliseconds { 0 };
    std::vector<UsageRow> rows;

    bool operator==(UsageBatch const&) const = default;
};

/// Replaces names beyond the bound of distinct keys. Pool and route are kept as long as possible.
inline constexpr std::string_view otherName = "other";

/// Counts usage in memory. Not synchronized; `UsageAccount` adds the lock and the storage.
class UsageCounter {
public:
    explicit UsageCounter(std::uint32_t maxKeys);

    void add(UsageKey const&, UsageCounters const&);
    /// The rows counted since the last call, sorted by key.
    std::vector<UsageRow> take();
    std::uint64_t boundedAdds() const { return boundedAdds_; }

private:
    UsageKey const& boundedKey(UsageKey const&);

    std::uint32_t maxKeys_;
    /// Keys seen since the start, which bounds the number of distinct keys in the records of one process.
    std::map<UsageKey, UsageCounters> counters_;
    std::uint64_t boundedAdds_ { 0 };
};

enum class UsageGrouping : std::uint8_t { Pool, Route, Caller, All };

/// Batches with `from <= time < to`, each counted once, summed by the grouping. Fields outside the grouping are empty.
std::vector<UsageRow> summarizeUsage(
    std::span<UsageBatch const>, std::int64_t fromMilliseconds, std::int64_t toMilliseconds, UsageGrouping);
/// Adds up rows with equal keys, for example those of several hosts.
std::vector<UsageRow> mergeUsage(std::vector<UsageRow>, UsageGrouping);

/// One line of JSON with a checksum in front, without the newline.
std::string formatUsageBatch(UsageBatch const&);
std::optional<UsageBatch> parseUsageBatch(std::string_view line);

} // namespace Telemetry
