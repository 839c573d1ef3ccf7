#include <LibCore/Hash.h>
#include <LibTelemetry/Hex.h>
#include <LibTelemetry/Usage.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace Telemetry {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t checksumDigits = 16;
    constexpr std::int64_t millisecondsPerHour = 3'600'000;
    constexpr std::array counterFields { &UsageCounters::answered, &UsageCounters::notRun, &UsageCounters::unknown,
        &UsageCounters::bytesFromCaller, &UsageCounters::bytesToCaller, &UsageCounters::serverBusyMicroseconds,
        &UsageCounters::retries, &UsageCounters::hedges };

    std::int64_t hourOf(UsageBatch const& batch) { return batch.wallMilliseconds / millisecondsPerHour; }

    bool isSameRun(UsageBatchId const& left, UsageBatchId const& right)
    {
        return left.source == right.source && left.incarnation == right.incarnation;
    }

    bool overlaps(UsageBatchId const& left, UsageBatchId const& right)
    {
        return isSameRun(left, right) && left.firstSequence <= right.lastSequence
            && right.firstSequence <= left.lastSequence;
    }

    std::uint64_t width(UsageBatch const& batch) { return batch.id.lastSequence - batch.id.firstSequence; }

    UsageKey groupedKey(UsageKey const& key, UsageGrouping grouping)
    {
        switch (grouping) {
        case UsageGrouping::Pool:
            return { key.pool, {}, {} };
        case UsageGrouping::Route:
            return { {}, key.route, {} };
        case UsageGrouping::Caller:
            return { {}, {}, key.caller };
        case UsageGrouping::All:
            break;
        }
        return key;
    }

    std::vector<UsageRow> toRows(std::map<UsageKey, UsageCounters> const& sums)
    {
        std::vector<UsageRow> rows;
        rows.reserve(sums.size());
        for (auto const& [key, counters] : sums)
            rows.push_back({ key, counters });
        return rows;
    }

    void addRows(std::map<UsageKey, UsageCounters>& sums, std::span<UsageRow const> rows, UsageGrouping grouping)
    {
        for (auto const& [key, counters] : rows)
            sums[groupedKey(key, grouping)] += counters;
    }

    Json rowToJson(UsageRow const& row)
    {
        Json json { row.key.pool.value, row.key.route.value, row.key.caller.value };
        for (auto const field : counterFields)
            json.push_back(row.counters.*field);
        return json;
    }

    UsageRow rowFromJson(Json const& json)
    {
        UsageRow row { { { json.at(0).get<std::string>() }, { json.at(1).get<std::string>() },
                           { json.at(2).get<std::string>() } },
            {} };
        std::size_t index = 3;
        for (auto const field : counterFields)
            row.counters.*field = json.at(index++).get<std::uint64_t>();
        return row;
    }

} // namespace

UsageCounters& UsageCounters::operator+=(UsageCounters const& other)
{
    for (auto const field : counterFields)
        this->*field += other.*field;
    return *this;
}

UsageCounter::UsageCounter(std::uint32_t maxKeys)
    : maxKeys_(maxKeys)
{
}

void UsageCounter::add(UsageKey const& key, UsageCounters const& counters) { countersOf(key) += counters; }

UsageCounters& UsageCounter::countersOf(UsageKey const& key)
{
    auto const found = counters_.find(key);
    if (found != counters_.end())
        return found->second;
    if (counters_.size() < maxKeys_)
        return counters_[key];
    ++boundedAdds_;
    Core::CallerName const otherCaller { std::string(otherName) };
    UsageKey const withoutCaller { key.pool, key.route, otherCaller };
    if (counters_.size() < 2ULL * maxKeys_ || counters_.contains(withoutCaller))
        return counters_[withoutCaller];
    return counters_[{ { std::string(otherName) }, { std::string(otherName) }, otherCaller }];
}

std::vector<UsageRow> UsageCounter::take()
{
    std::vector<UsageRow> rows;
    for (auto& [key, counters] : counters_) {
        if (counters != UsageCounters {})
            rows.push_back({ key, std::exchange(counters, {}) });
    }
    return rows;
}

std::vector<UsageBatch> withoutRepeatedBatches(std::vector<UsageBatch> batches)
{
    // Wider batches first, so that the kept one of an overlapping pair covers more. Kept batches of one run are
    // disjoint, so only the neighbours in sequence can overlap.
    std::ranges::stable_sort(batches, std::greater {}, width);
    std::map<std::pair<Core::HostName, Core::Incarnation>, std::map<std::uint64_t, UsageBatch>> runs;
    for (auto& batch : batches) {
        auto& run = runs[{ batch.id.source, batch.id.incarnation }];
        auto const next = run.lower_bound(batch.id.firstSequence);
        if (next != run.end() && overlaps(next->second.id, batch.id))
            continue;
        if (next != run.begin() && overlaps(std::prev(next)->second.id, batch.id))
            continue;
        run.emplace_hint(next, batch.id.firstSequence, std::move(batch));
    }
    std::vector<UsageBatch> kept;
    kept.reserve(batches.size());
    for (auto& [name, run] : runs) {
        for (auto& [sequence, batch] : run)
            kept.push_back(std::move(batch));
    }
    return kept;
}

std::vector<UsageBatch> mergeWithinHours(std::vector<UsageBatch> batches)
{
    std::vector<UsageBatch> merged;
    std::vector<UsageRow> rows;
    for (auto& batch : withoutRepeatedBatches(std::move(batches))) {
        auto const continues = !merged.empty() && isSameRun(merged.back().id, batch.id)
            && merged.back().id.lastSequence + 1 == batch.id.firstSequence && hourOf(merged.back()) == hourOf(batch);
        if (!continues) {
            merged.push_back(std::move(batch));
            continue;
        }
        auto& last = merged.back();
        last.id.lastSequence = batch.id.lastSequence;
        last.wallMilliseconds = batch.wallMilliseconds;
        std::ranges::move(batch.rows, std::back_inserter(last.rows));
    }
    for (auto& batch : merged)
        batch.rows = groupUsage(std::span<UsageRow const>(batch.rows), UsageGrouping::All);
    return merged;
}

std::vector<UsageRow> groupUsage(std::span<UsageRow const> rows, UsageGrouping grouping)
{
    std::map<UsageKey, UsageCounters> sums;
    addRows(sums, rows, grouping);
    return toRows(sums);
}

std::vector<UsageRow> groupUsage(std::span<UsageBatch const> batches, UsageGrouping grouping)
{
    std::map<UsageKey, UsageCounters> sums;
    for (auto const& batch : batches)
        addRows(sums, batch.rows, grouping);
    return toRows(sums);
}

std::string formatUsageBatch(UsageBatch const& batch)
{
    Json rows = Json::array();
    for (auto const& row : batch.rows)
        rows.push_back(rowToJson(row));
    Json const json { batch.id.source.value, batch.id.incarnation.value, batch.id.firstSequence, batch.id.lastSequence,
        batch.wallMilliseconds, std::move(rows) };
    auto const text = json.dump(-1, ' ', false, Json::error_handler_t::replace);
    return formatHex(Core::hash64(text)) + " " + text;
}

std::optional<UsageBatch> parseUsageBatch(std::string_view line)
{
    if (line.size() <= checksumDigits || line[checksumDigits] != ' ')
        return std::nullopt;
    auto const text = line.substr(checksumDigits + 1);
    if (parseHex(line.substr(0, checksumDigits)) != Core::hash64(text))
        return std::nullopt;
    try {
        auto const json = Json::parse(text);
        UsageBatch batch;
        batch.id = { { json.at(0).get<std::string>() }, { json.at(1).get<std::uint64_t>() },
            json.at(2).get<std::uint64_t>(), json.at(3).get<std::uint64_t>() };
        batch.wallMilliseconds = json.at(4).get<std::int64_t>();
        std::ranges::transform(json.at(5), std::back_inserter(batch.rows), rowFromJson);
        return batch;
    } catch (Json::exception const&) {
        return std::nullopt;
    }
}

} // namespace Telemetry
