#include "Group.h"

#include <LibConsensus/Codec.h>
#include <LibCore/Hash.h>

#include <cxxopts.hpp>
#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>

namespace {

using namespace Consensus;

double secondsBetween(Core::TimePoint start, Core::TimePoint end)
{
    return std::chrono::duration<double>(end - start).count();
}

double cpuSeconds()
{
    rusage usage {};
    ::getrusage(RUSAGE_SELF, &usage);
    auto const seconds
        = [](timeval time) { return static_cast<double>(time.tv_sec) + 1e-6 * static_cast<double>(time.tv_usec); };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double percentile(std::vector<double> const& sorted, double share)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

std::vector<Proposal> makeProposals(std::uint64_t& token, std::size_t count, std::size_t payloadBytes)
{
    std::vector<Proposal> proposals;
    for (std::size_t i = 0; i < count; ++i)
        proposals.push_back({ { ++token }, std::string(payloadBytes, 'p') });
    return proposals;
}

/// Proposes batch after batch, the next one when the last one is committed, and prints one row of a table.
int measureCommits(std::string const& directory, std::size_t batch, std::size_t payloadBytes, double seconds)
{
    Bench::Group group(directory);
    if (!group.elect()) {
        std::fputs("no leader\n", stderr);
        return 1;
    }
    std::uint64_t token = 0;
    auto const runBatch = [&] {
        auto const target = group.answered() + batch;
        group.propose(makeProposals(token, batch, payloadBytes));
        group.runUntil([&] { return group.answered() >= target; });
    };
    for (int i = 0; i < 20; ++i)
        runBatch();

    auto const committed = group.committed();
    auto const written = group.bytesWritten();
    auto const sent = group.bytesSent();
    auto const writes = group.writes();
    auto const cpu = cpuSeconds();
    auto const start = Core::BootClock::now();
    std::vector<double> latencies;
    while (secondsBetween(start, Core::BootClock::now()) < seconds) {
        auto const batchStart = Core::BootClock::now();
        runBatch();
        latencies.push_back(1e3 * secondsBetween(batchStart, Core::BootClock::now()));
    }
    auto const elapsed = secondsBetween(start, Core::BootClock::now());
    auto const commits = static_cast<double>(group.committed() - committed);
    auto const perCommit = [&](double value) { return value / commits; };
    std::ranges::sort(latencies);
    std::printf("| %zu | %zu | %.0f | %.2f | %.2f | %.0f | %.0f | %.0f | %.1f |\n", batch, payloadBytes,
        commits / elapsed, percentile(latencies, 0.5), percentile(latencies, 0.99),
        static_cast<double>(group.writes() - writes) / elapsed / 3,
        perCommit(static_cast<double>(group.bytesWritten() - written)) / 3,
        perCommit(static_cast<double>(group.bytesSent() - sent)), 1e6 * perCommit(cpuSeconds() - cpu));
    return 0;
}

/// Writes a log of this many entries and measures how long it takes until a node is ready to run.
int measureRecovery(std::string const& directory, std::uint64_t entries, std::size_t payloadBytes, bool hasSnapshot)
{
    Storage::RealDisk disk(directory);
    Storage::StoreSettings const settings { { "bench" }, { "voter0" } };
    auto const configuration = Configuration::ofVoters({ { { "voter0" }, {} } });
    if (Storage::Store::create(disk, settings, bootstrapState(configuration)).isError())
        return 1;
    {
        auto opened = Storage::Store::open(disk, settings);
        if (opened.isError())
            return 1;
        constexpr std::uint64_t batch = 256;
        Payload const payload { std::string(payloadBytes, 'p') };
        for (std::uint64_t index = 2; index <= entries + 1;) {
            PersistRequest request;
            for (std::uint64_t i = 0; i < batch && index <= entries + 1; ++i, ++index)
                request.entries.push_back({ .term = { 1 }, .index = { index }, .content = Command { payload } });
            if (opened.value().store->persist(std::span(&request, 1)).isError())
                return 1;
        }
        if (hasSnapshot) {
            auto const data = std::make_shared<std::string const>(entries * payloadBytes, 's');
            SnapshotMetadata const metadata { .index = { entries + 1 },
                .term = { 1 },
                .configuration = configuration,
                .configurationIndex = { 1 },
                .size = data->size(),
                .checksum = Core::hash64(*data) };
            PersistRequest const request { .snapshot = Snapshot { metadata, data } };
            if (opened.value().store->persist(std::span(&request, 1)).isError())
                return 1;
        }
    }
    std::vector<double> milliseconds;
    Storage::RecoveryReport report;
    for (int run = 0; run < 5; ++run) {
        auto const start = Core::BootClock::now();
        auto opened = Storage::Store::open(disk, settings);
        if (opened.isError())
            return 1;
        report = opened.value().report;
        Settings nodeSettings;
        nodeSettings.clusterId = { "bench" };
        nodeSettings.host = { "voter0" };
        Node const node(nodeSettings, std::move(opened.value().state), 1, Core::BootClock::now());
        milliseconds.push_back(1e3 * secondsBetween(start, Core::BootClock::now()));
    }
    std::ranges::sort(milliseconds);
    std::printf("| %lu | %zu | %s | %.2f | %.1f | %.1f |\n", entries, payloadBytes, hasSnapshot ? "yes" : "no",
        static_cast<double>(report.bytesRead) / 1e6, milliseconds[milliseconds.size() / 2], milliseconds.back());
    return 0;
}

/// Steps a leader and two followers without disk or codec and prints bytes and CPU time per entry.
int measureSlopes(std::size_t payloadBytes, std::uint64_t entries)
{
    auto const configuration = Configuration::ofVoters({ { { "0" }, {} }, { { "1" }, {} }, { { "2" }, {} } });
    Core::TimePoint now { std::chrono::seconds(1) };
    std::vector<std::unique_ptr<Node>> nodes;
    for (std::size_t i = 0; i < 3; ++i) {
        Settings settings;
        settings.clusterId = { "bench" };
        settings.host = { std::to_string(i) };
        settings.snapshotInterval = entries * 10;
        nodes.push_back(std::make_unique<Node>(settings, bootstrapState(configuration), i, now));
    }
    std::vector<double> cpu(3, 0);
    std::deque<std::pair<std::size_t, Event>> queue;
    auto const deliver = [&](std::size_t host, Event event) {
        auto const start = cpuSeconds();
        auto actions = nodes[host]->step(now, std::move(event));
        cpu[host] += cpuSeconds() - start;
        if (!actions.persist.empty())
            queue.emplace_back(host, Persisted { actions.persist.back().sequence });
        for (auto& message : actions.messages) {
            auto const target = static_cast<std::size_t>(message.to.value[0] - '0');
            queue.emplace_back(target, MessageReceived { std::move(message) });
        }
    };
    auto const drain = [&] {
        while (!queue.empty()) {
            auto [host, event] = std::move(queue.front());
            queue.pop_front();
            deliver(host, std::move(event));
        }
    };
    auto const leaderOf
        = [&] { return std::ranges::find_if(nodes, [](auto const& node) { return node->role() == Role::Leader; }); };
    while (leaderOf() == nodes.end()) {
        now += std::chrono::milliseconds(50);
        for (std::size_t host = 0; host < 3; ++host)
            deliver(host, Tick {});
        drain();
    }
    auto const leader = static_cast<std::size_t>(leaderOf() - nodes.begin());
    auto const memory = ::mallinfo2().uordblks;
    std::ranges::fill(cpu, 0);
    std::uint64_t token = 0;
    constexpr std::size_t batch = 64;
    for (std::uint64_t done = 0; done < entries; done += batch) {
        deliver(leader, Propose { makeProposals(token, batch, payloadBytes) });
        drain();
    }
    auto const perEntry = static_cast<double>(::mallinfo2().uordblks - memory) / static_cast<double>(entries) / 3;
    auto const leaderCpu = cpu[leader];
    auto const followerCpu = (cpu[0] + cpu[1] + cpu[2] - leaderCpu) / 2;
    std::printf("| %zu | %.0f | %.2f | %.2f | %zu | %zu |\n", payloadBytes, perEntry,
        1e6 * leaderCpu / static_cast<double>(entries), 1e6 * followerCpu / static_cast<double>(entries),
        encodeEntry({ { 1 }, { 1 }, Command { std::string(payloadBytes, 'p') } }).size(), sizeof(LogEntry));
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("ConsensusBench", "Measures the replicated log. Prints rows of a Markdown table.");
    options.add_options()("mode", "commits, recovery or slopes", cxxopts::value<std::string>())(
        "directory", "an empty directory on the disk to measure", cxxopts::value<std::string>()->default_value(""))(
        "batch", "proposals per batch", cxxopts::value<std::size_t>()->default_value("1"))(
        "payload", "bytes per proposal", cxxopts::value<std::size_t>()->default_value("300"))(
        "seconds", "length of the measurement", cxxopts::value<double>()->default_value("5"))(
        "entries", "length of the log", cxxopts::value<std::uint64_t>()->default_value("1000"))(
        "snapshot", "recover from a snapshot of the same size", cxxopts::value<bool>()->default_value("false"));
    try {
        auto const values = options.parse(argc, argv);
        auto const mode = values["mode"].as<std::string>();
        auto const directory = values["directory"].as<std::string>();
        auto const payload = values["payload"].as<std::size_t>();
        auto const entries = values["entries"].as<std::uint64_t>();
        if (mode == "commits") {
            std::filesystem::create_directories(directory);
            return measureCommits(
                directory, values["batch"].as<std::size_t>(), payload, values["seconds"].as<double>());
        }
        if (mode == "recovery")
            return measureRecovery(directory, entries, payload, values["snapshot"].as<bool>());
        if (mode == "slopes")
            return measureSlopes(payload, entries);
    } catch (std::exception const& error) {
        std::fprintf(stderr, "%s\n", error.what());
    }
    std::fputs(options.help().c_str(), stderr);
    return 2;
}
