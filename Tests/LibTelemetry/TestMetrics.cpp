#include <LibTelemetry/Metrics.h>

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>
#include <thread>
#include <vector>

using namespace Telemetry;
using namespace std::chrono_literals;

namespace {

bool contains(std::string const& text, std::string_view part) { return text.find(part) != std::string::npos; }

std::size_t countLines(std::string const& text, std::string_view prefix)
{
    std::size_t lines = 0;
    for (auto at = text.find(prefix); at != std::string::npos; at = text.find(prefix, at + 1))
        ++lines;
    return lines;
}

void setEveryMetric(Metrics& metrics)
{
    Core::PoolName const pool { "letter" };
    metrics.countRequest(pool, { "status" }, "answered", "", 3ms);
    metrics.countAttempt(pool, { "s1" }, { "fd1" }, "answered", 1ms);
    metrics.countBytes(pool, 1, 2);
    metrics.setLoadImbalance(pool, 1);
    metrics.countOwnerChanges(pool, "loss", 1);
    metrics.addUnservedSlotTime(pool, 1s);
    metrics.setUnassignedSlots(pool, 1);
    metrics.setBackendServers(pool, { "fd1" }, "in-service", 1);
    metrics.setViewLeaseRemaining(1s);
    metrics.setReady(true);
    metrics.setRevision({ 1 });
    metrics.setInEffectRevision({ 1 });
    metrics.setRaft(1, 1, true, true);
    metrics.setStorageSound(true);
    metrics.countElection();
    metrics.observeCommit(1ms);
    metrics.observeSync(1ms);
    metrics.setQueueLength(pool, 1);
    metrics.setInFlight(pool, { "s1" }, 1, 2);
    metrics.observeQueueTime(pool, 1ms);
    metrics.setRequestLimit(pool, { "s1" }, 5.4);
    metrics.countUnreadableLimit(pool);
    metrics.countSilence(pool);
    metrics.setEntryHostsBehind(2);
    metrics.countShed(pool, "overloaded");
    metrics.countRetry(pool);
    metrics.countHedge(pool, true);
    metrics.countEjection(pool, { "s1" });
    metrics.setEjected(pool, 1);
    metrics.countQuarantine({ "status" });
    metrics.countIgnoredHeartbeat("removed");
    metrics.setCrashSuspects(1, 2);
    metrics.setLogBytes(1, 2, 3);
    metrics.setOrderLedger(1, 2);
    metrics.setCallerConnections(1);
    metrics.setDroppedSpans(1);
}

} // namespace

BOOST_AUTO_TEST_SUITE(MetricFamilies)

BOOST_AUTO_TEST_CASE(RequestLimitsThatHaveEndedAreRemoved)
{
    Metrics metrics;
    metrics.setRequestLimit({ "letter" }, { "s1" }, 5.4);
    metrics.setRequestLimit({ "letter" }, { "s2" }, 0);
    BOOST_TEST(contains(metrics.exposition(), "primroseshift_request_limit{pool=\"letter\",server=\"s1\"} 5.4"));
    metrics.clearRequestLimits();
    BOOST_TEST(!contains(metrics.exposition(), "primroseshift_request_limit{"));
}

BOOST_AUTO_TEST_CASE(ExpositionShowsWhatWasCounted)
{
    Metrics metrics;
    metrics.countRequest({ "letter" }, { "status" }, "answered", "", 3ms);
    metrics.countRequest({ "letter" }, { "status" }, "answered", "", 20ms);
    metrics.setLoadImbalance({ "letter" }, 1.25);
    metrics.setViewLeaseRemaining(-5ms);
    metrics.setRaft(7, 100, true, false);
    auto const text = metrics.exposition();
    BOOST_TEST(contains(
        text, "primroseshift_requests_total{outcome=\"answered\",pool=\"letter\",reason=\"\",route=\"status\"} 2\n"));
    BOOST_TEST(
        contains(text, "primroseshift_request_seconds_bucket{outcome=\"answered\",pool=\"letter\",le=\"0.014\"} 1\n"));
    BOOST_TEST(contains(text, "primroseshift_load_imbalance_ratio{pool=\"letter\"} 1.25\n"));
    BOOST_TEST(contains(text, "primroseshift_view_lease_remaining_seconds 0\n"));
    BOOST_TEST(contains(text, "primroseshift_raft_quorum 0\n"));
}

// Guards against families that operators cannot look up.
BOOST_AUTO_TEST_CASE(EveryFamilyIsDocumented)
{
    Metrics metrics;
    setEveryMetric(metrics);
    std::istringstream exposition(metrics.exposition());
    std::ifstream stream(PRIMROSESHIFT_SOURCE_DIR "/docs/metrics.md");
    std::string const document(std::istreambuf_iterator<char>(stream), {});
    std::size_t families = 0;
    for (std::string hash, kind, name, type, line; std::getline(exposition, line);) {
        if (!line.starts_with("# TYPE "))
            continue;
        std::istringstream(line) >> hash >> kind >> name >> type;
        std::string row = "| `";
        row.append(name).append("` | ").append(type).append(" |");
        BOOST_TEST(contains(document, row), name);
        ++families;
    }
    BOOST_TEST(families == countLines(document, "\n| `primroseshift_"));
}

// Guards against names from outside that grow the memory of the process and of the scraper without bound.
BOOST_AUTO_TEST_CASE(NamesBeyondTheBoundAreCountedAsOther)
{
    Metrics metrics({ .maxLabelValues = 10 });
    for (int pool = 0; pool < 100; ++pool)
        metrics.countRetry({ "pool" + std::to_string(pool) });
    auto const text = metrics.exposition();
    BOOST_TEST(countLines(text, "\nprimroseshift_retries_total{") == 11U);
    BOOST_TEST(contains(text, "primroseshift_retries_total{pool=\"other\"} 90\n"));
}

// Guards against label values that replaced backend servers use up for good.
BOOST_AUTO_TEST_CASE(ForgottenServersMakeRoom)
{
    Metrics metrics({ .maxLabelValues = 4 });
    for (int generation = 0; generation < 20; ++generation) {
        Core::ServerName const server { "s" + std::to_string(generation) };
        metrics.setInFlight({ "letter" }, server, 1, 2);
        metrics.countAttempt({ "letter" }, server, { "fd1" }, "answered", 1ms);
        auto const text = metrics.exposition();
        std::string series = "primroseshift_in_flight{pool=\"letter\",server=\"";
        series.append(server.value).append("\"} 1\n");
        BOOST_TEST(contains(text, series));
        BOOST_TEST(countLines(text, "\nprimroseshift_attempts_total{") == 1U);
        metrics.forgetServer({ "letter" }, server);
    }
    BOOST_TEST(countLines(metrics.exposition(), "\nprimroseshift_in_flight{") == 0U);
}

// Guards against use of a series while it is removed; shown by the sanitizer builds.
BOOST_AUTO_TEST_CASE(UpdatesAndRemovalsMayRunTogether)
{
    Metrics metrics;
    std::vector<std::thread> threads;
    threads.reserve(3);
    for (int thread = 0; thread < 3; ++thread) {
        threads.emplace_back([&metrics] {
            for (int round = 0; round < 500; ++round) {
                metrics.countAttempt({ "letter" }, { "s1" }, { "fd1" }, "answered", 1ms);
                metrics.countRetry({ "letter" });
            }
        });
    }
    for (int round = 0; round < 50; ++round)
        metrics.forgetServer({ "letter" }, { "s1" });
    for (auto& thread : threads)
        thread.join();
    BOOST_TEST(contains(metrics.exposition(), "primroseshift_retries_total{pool=\"letter\"} 1500\n"));
}

BOOST_AUTO_TEST_SUITE_END()
