#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstdint>
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

/// Identifies what one process counted between two syncs, or in several consecutive such intervals.
struct UsageBatchId {
    Core::HostName source;
    Core::Incarnation incarnation;
    std::uint64_t firstSequence { 0 };
    std::uint64_t lastSequence { 0 };

    auto operator<=>(UsageBatchId const&) const = default;
};

struct UsageBatch {
    UsageBatchId id;
    /// Wall-clock time in milliseconds since the Unix epoch at the end of the batch.
    std::int64_t wallMilliseconds { 0 };
    std::vector<UsageRow> rows;

    bool operator==(UsageBatch const&) const = default;
};

/// Replaces names beyond the bound of distinct keys.
inline constexpr std::string_view otherName = "other";

/// Counts usage in memory. Not synchronized.
class UsageCounter {
public:
    /// Keys beyond `maxKeys` are counted under the caller `other`, and beyond twice as many under `other` altogether.
    explicit UsageCounter(std::uint32_t maxKeys);

    void add(UsageKey const&, UsageCounters const&);
    /// The rows counted since the last call, sorted by key.
    std::vector<UsageRow> take();
    /// Calls of `add` whose key was replaced.
    std::uint64_t boundedAdds() const { return boundedAdds_; }

private:
    UsageCounters& countersOf(UsageKey const&);

    std::uint32_t maxKeys_;
    /// All keys since the start: the bound holds for the records of the whole run, not for each batch.
    std::map<UsageKey, UsageCounters> counters_;
    std::uint64_t boundedAdds_ { 0 };
};

enum class UsageGrouping : std::uint8_t { Pool, Route, Caller, All };

/// Drops batches that repeat others, for example because they reached several stores. Of batches that overlap, the one
/// that covers more sequence numbers is kept.
std::vector<UsageBatch> withoutRepeatedBatches(std::vector<UsageBatch>);

/// Merges consecutive batches of one source within one hour of wall-clock time. Queries by whole hours give the same
/// result before and after.
std::vector<UsageBatch> mergeWithinHours(std::vector<UsageBatch>);

/// Adds up rows by the grouping. Fields of the key outside the grouping are empty. Sorted by key.
std::vector<UsageRow> groupUsage(std::span<UsageRow const>, UsageGrouping);
std::vector<UsageRow> groupUsage(std::span<UsageBatch const>, UsageGrouping);

/// One line: a checksum and compact JSON, without the newline.
std::string formatUsageBatch(UsageBatch const&);
std::optional<UsageBatch> parseUsageBatch(std::string_view line);

} // namespace Telemetry
