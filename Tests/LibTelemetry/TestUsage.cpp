#include "../Support/TemporaryFolder.h"

#include <LibTelemetry/UsageAccount.h>

#include <algorithm>
#include <limits>
#include <thread>

using namespace Telemetry;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t hour = 3'600'000;
constexpr std::int64_t day = 24 * hour;
constexpr std::int64_t endOfTime = std::numeric_limits<std::int64_t>::max() / 2;

UsageKey key(std::string caller, std::string route = "status")
{
    return { { "letter" }, { std::move(route) }, { std::move(caller) } };
}

UsageBatch batch(std::uint64_t sequence, std::int64_t time, std::uint64_t answered = 1, std::string source = "e1")
{
    return { { { std::move(source) }, { 7 }, sequence, sequence }, time,
        { { key("bank"), { .answered = answered, .bytesToCaller = 10 } } } };
}

std::unique_ptr<UsageStore> openStore(TemporaryFolder const& folder)
{
    auto result = UsageStore::open({ .folder = folder.file("usage"), .compactAfterBytes = 1000 });
    BOOST_REQUIRE(!result.isError());
    return std::move(result).value();
}

std::uint64_t answeredIn(UsageStore const& store, std::int64_t from = 0, std::int64_t to = endOfTime)
{
    auto const result = store.read(from, to);
    BOOST_REQUIRE(!result.isError());
    std::uint64_t sum = 0;
    for (auto const& row : groupUsage(std::span<UsageBatch const>(result.value().batches), UsageGrouping::All))
        sum += row.counters.answered;
    return sum;
}

std::string onlyFile(TemporaryFolder const& folder)
{
    std::vector<std::string> names;
    for (auto const& entry : std::filesystem::directory_iterator(folder.file("usage")))
        names.push_back(entry.path());
    BOOST_REQUIRE_EQUAL(names.size(), 1U);
    return names.front();
}

UsageAccountSettings accountSettings(TemporaryFolder const& folder, std::uint64_t incarnation)
{
    return { .store = { .folder = folder.file("usage") },
        .host = { "e1" },
        .incarnation = { incarnation },
        .syncInterval = 1h };
}

} // namespace

BOOST_AUTO_TEST_SUITE(Usage)

// Guards against usage that is lost or counted twice over a restart, a torn record included.
BOOST_AUTO_TEST_CASE(RecordsOutliveARestartWithATornTail)
{
    TemporaryFolder const folder;
    BOOST_REQUIRE(!openStore(folder)->append(std::vector { batch(1, hour), batch(2, hour) }).isError());
    auto const file = onlyFile(folder);
    auto const complete = std::filesystem::file_size(file);
    // Every length at which a crash can cut the third record.
    auto const record = formatUsageBatch(batch(3, hour));
    for (std::size_t length = 1; length <= record.size(); length += 7) {
        std::filesystem::resize_file(file, complete);
        std::ofstream(file, std::ios::app) << record.substr(0, length);
        auto const store = openStore(folder);
        BOOST_TEST(answeredIn(*store) == 2U);
        BOOST_REQUIRE(!store->append(std::vector { batch(4, hour) }).isError());
        BOOST_TEST(store->truncatedBytes() == length);
        BOOST_TEST(answeredIn(*store) == 3U);
    }
}

// Guards against damaged records that pass as usage, and against damage that goes unnoticed.
BOOST_AUTO_TEST_CASE(DamagedRecordsAreLeftOutAndCounted)
{
    TemporaryFolder const folder;
    auto const store = openStore(folder);
    BOOST_REQUIRE(!store->append(std::vector { batch(1, hour, 5), batch(2, hour, 6), batch(3, hour, 7) }).isError());
    auto lines = readLines(onlyFile(folder));
    auto& damaged = lines[1];
    damaged.replace(damaged.find(",6,"), 3, ",8,");
    std::ofstream rewritten(onlyFile(folder));
    for (auto const& line : lines)
        rewritten << line << "\n";
    rewritten.close();
    auto const result = store->read(0, endOfTime);
    BOOST_REQUIRE(!result.isError());
    BOOST_TEST(result.value().corruptRecords == 1U);
    BOOST_TEST(answeredIn(*store) == 12U);
    BOOST_REQUIRE(!store->maintain(2 * day).isError());
    BOOST_TEST(readLines(onlyFile(folder)).size() == 3U);
}

// Guards against double charging when batches reach several stores or are reported again.
BOOST_AUTO_TEST_CASE(RepeatedBatchesCountOnce)
{
    std::vector<UsageBatch> batches { batch(1, hour), batch(2, hour), batch(3, hour), batch(2, hour),
        batch(1, hour, 1, "e2") };
    auto merged = mergeWithinHours({ batch(1, hour), batch(2, hour) });
    BOOST_REQUIRE_EQUAL(merged.size(), 1U);
    BOOST_TEST(merged.front().id.lastSequence == 2U);
    batches.push_back(merged.front());
    auto const kept = withoutRepeatedBatches(batches);
    auto const rows = groupUsage(std::span<UsageBatch const>(kept), UsageGrouping::All);
    BOOST_REQUIRE_EQUAL(rows.size(), 1U);
    BOOST_TEST(rows.front().counters.answered == 4U);
}

// Guards against a merge that changes the result of a query by whole hours, and against files that keep growing.
BOOST_AUTO_TEST_CASE(MergedHoursGiveTheSameUsage)
{
    TemporaryFolder const folder;
    auto const store = openStore(folder);
    std::vector<UsageBatch> batches;
    batches.reserve(300);
    for (std::uint64_t sequence = 1; sequence <= 300; ++sequence)
        batches.push_back(batch(sequence, static_cast<std::int64_t>(sequence) * hour / 100, sequence));
    BOOST_REQUIRE(!store->append(batches).isError());
    std::vector<std::uint64_t> before;
    before.reserve(4);
    for (int index = 0; index < 4; ++index)
        before.push_back(answeredIn(*store, index * hour, (index + 1) * hour));
    BOOST_REQUIRE(!store->maintain(2 * hour + 1).isError());
    // Two completed hours as one record each, then 200 to 300 as they were.
    BOOST_TEST(readLines(onlyFile(folder)).size() == 2U + 101U);
    BOOST_REQUIRE(!store->append(std::vector { batch(150, 3 * hour / 2, 150), batch(301, day - 1, 1) }).isError());
    for (int index = 0; index < 4; ++index)
        BOOST_TEST(answeredIn(*store, index * hour, (index + 1) * hour) == before.at(static_cast<std::size_t>(index)));
    BOOST_REQUIRE(!store->maintain(2 * day).isError());
    BOOST_TEST(readLines(onlyFile(folder)).size() == 5U);
    BOOST_TEST(answeredIn(*store) == 300U * 301U / 2 + 1);
}

BOOST_AUTO_TEST_CASE(ExpiredDaysAreRemoved)
{
    TemporaryFolder const folder;
    auto store = UsageStore::open({ .folder = folder.file("usage"), .retention = 24h * 10 });
    BOOST_REQUIRE(!store.isError());
    BOOST_REQUIRE(!store.value()->append(std::vector { batch(1, 1), batch(2, 2 * day) }).isError());
    BOOST_REQUIRE(!store.value()->maintain(11 * day + 1).isError());
    BOOST_TEST(answeredIn(*store.value()) == 1U);
}

// Guards against caller names that grow the records without bound.
BOOST_AUTO_TEST_CASE(CallersBeyondTheBoundAreCountedAsOther)
{
    UsageCounter counter(10);
    for (int caller = 0; caller < 100; ++caller)
        counter.add(key("c" + std::to_string(caller)), { .answered = 1 });
    for (int route = 0; route < 100; ++route)
        counter.add(key("bank", "r" + std::to_string(route)), { .answered = 1 });
    auto const rows = counter.take();
    BOOST_TEST(rows.size() <= 21U);
    BOOST_TEST(counter.boundedAdds() == 190U);
    std::uint64_t sum = 0;
    std::ranges::for_each(rows, [&](auto const& row) { sum += row.counters.answered; });
    BOOST_TEST(sum == 200U);
    BOOST_TEST(std::ranges::count(rows, key("other"), &UsageRow::key) == 1);
    BOOST_TEST(counter.take().empty());
}

// Guards against usage that a graceful stop loses, and against batches that a restart forgets to report.
BOOST_AUTO_TEST_CASE(AccountKeepsUsageOverRestartsAndReportsIt)
{
    TemporaryFolder const folder;
    TemporaryFolder const controlFolder;
    auto control = UsageAccount::open(accountSettings(controlFolder, 1));
    BOOST_REQUIRE(!control.isError());
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
        auto account = UsageAccount::open(accountSettings(folder, incarnation));
        BOOST_REQUIRE(!account.isError());
        account.value()->add(key("bank"), { .answered = 2, .retries = 1 });
        BOOST_REQUIRE(!account.value()->sync().isError());
        auto const reported = account.value()->unreportedBatches(100);
        BOOST_TEST(reported.size() == incarnation);
        BOOST_REQUIRE(!control.value()->addReported(reported).isError());
        std::vector<UsageBatchId> ids;
        std::ranges::transform(reported, std::back_inserter(ids), &UsageBatch::id);
        account.value()->confirmReported(ids);
        BOOST_TEST(account.value()->unreportedBatches(100).empty());
        account.value()->add(key("shop"), { .notRun = 1 });
    }
    std::filesystem::remove_all(folder.file("usage"));
    auto const result = control.value()->query(0, endOfTime, UsageGrouping::Caller);
    BOOST_REQUIRE(!result.isError());
    auto const& rows = result.value().rows;
    BOOST_REQUIRE_EQUAL(rows.size(), 2U);
    BOOST_TEST(rows[0].counters.answered == 6U);
    BOOST_TEST(rows[0].counters.retries == 3U);
    // The last run stopped before it reported its second batch; its own store had it.
    BOOST_TEST(rows[1].counters.notRun == 2U);
}

// Guards against usage that is lost when the disk fails for a while.
BOOST_AUTO_TEST_CASE(FailedWritesAreTriedAgain)
{
    TemporaryFolder const folder;
    auto account = UsageAccount::open(accountSettings(folder, 1));
    BOOST_REQUIRE(!account.isError());
    std::filesystem::remove_all(folder.file("usage"));
    account.value()->add(key("bank"), { .answered = 2 });
    BOOST_TEST(account.value()->sync().isError());
    BOOST_TEST(account.value()->lastFailure().has_value());
    account.value()->add(key("bank"), { .answered = 3 });
    std::filesystem::create_directories(folder.file("usage"));
    BOOST_REQUIRE(!account.value()->sync().isError());
    auto const result = account.value()->query(0, endOfTime, UsageGrouping::Pool);
    BOOST_REQUIRE(!result.isError());
    BOOST_TEST(result.value().rows.at(0).counters.answered == 5U);
    BOOST_TEST(!account.value()->lastFailure().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
