#include "LoadRun.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <iostream>

namespace {

cxxopts::Options makeOptions()
{
    cxxopts::Options options("LoadTool",
        "Sends load to entry hosts and checks what came back. Exit code 1: a promise "
        "was broken, 2: wrong arguments");
    options.add_options()("entry", "Entry hosts, ADDRESS:PORT", cxxopts::value<std::vector<std::string>>())("workload",
        "letters, orders, mixed, or the name of one operation", cxxopts::value<std::string>()->default_value("mixed"))(
        "connections", "Connections, one thread each", cxxopts::value<std::uint32_t>()->default_value("16"))(
        "rate", "Requests per second, 0 for as fast as possible", cxxopts::value<double>()->default_value("0"))(
        "requests", "Bound of requests", cxxopts::value<std::uint64_t>()->default_value("10000"))(
        "seconds", "Bound of time", cxxopts::value<std::uint32_t>()->default_value("30"))("warm-up",
        "Seconds at the start that do not count in throughput and latencies",
        cxxopts::value<std::uint32_t>()->default_value("0"))("sticky", "Keep each connection to one entry host")(
        "keys", "Distinct keys", cxxopts::value<std::uint64_t>()->default_value("1000"))("upload-bytes",
        "Body size of uploads and scans", cxxopts::value<std::uint64_t>()->default_value("65536"))("max-sends",
        "Sends per request, resends included", cxxopts::value<std::uint32_t>()->default_value("5"))("keyed-share",
        "Share of non-idempotent requests with an Idempotency-Key", cxxopts::value<double>()->default_value("0.5"))(
        "seed", "Seed of the random numbers", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "run", "Prefix of the load ids, distinct for each run", cxxopts::value<std::string>()->default_value("run"))(
        "execution-log", "Execution logs of the emulators", cxxopts::value<std::vector<std::string>>())(
        "latencies", "Print only throughput and latency percentiles")("help", "Print usage");
    return options;
}

LoadTool::Plan toPlan(cxxopts::ParseResult const& arguments)
{
    LoadTool::Plan plan { .operations = LoadTool::operationsOf(arguments["workload"].as<std::string>()),
        .connections = std::clamp(arguments["connections"].as<std::uint32_t>(), 1U, 4096U),
        .rate = arguments["rate"].as<double>(),
        .maxRequests = arguments["requests"].as<std::uint64_t>(),
        .maxTime = std::chrono::seconds(arguments["seconds"].as<std::uint32_t>()),
        .keys = std::max<std::uint64_t>(1, arguments["keys"].as<std::uint64_t>()),
        .uploadBytes = arguments["upload-bytes"].as<std::uint64_t>(),
        .warmUp = std::chrono::seconds(arguments["warm-up"].as<std::uint32_t>()),
        .isSticky = arguments.count("sticky") > 0,
        .maxSends = arguments["max-sends"].as<std::uint32_t>(),
        .keyedShare = arguments["keyed-share"].as<double>(),
        .seed = arguments["seed"].as<std::uint64_t>(),
        .runName = arguments["run"].as<std::string>() };
    for (auto const& text : arguments["entry"].as<std::vector<std::string>>()) {
        if (auto endpoint = Core::Endpoint::parse(text))
            plan.entryHosts.push_back(std::move(*endpoint));
    }
    return plan;
}

int run(cxxopts::ParseResult const& arguments)
{
    auto const plan = toPlan(arguments);
    if (plan.operations.empty() || plan.entryHosts.size() != arguments["entry"].as<std::vector<std::string>>().size()) {
        std::cerr << "unknown workload or invalid entry host\n";
        return 2;
    }
    LoadTool::Report report;
    auto const seconds = LoadTool::runLoad(plan, report);
    if (arguments.count("execution-log") > 0) {
        LoadTool::RunCounts counts;
        if (!LoadTool::readExecutionLogs(arguments["execution-log"].as<std::vector<std::string>>(), counts)) {
            std::cerr << "cannot read an execution log\n";
            return 2;
        }
        report.check(counts);
    }
    if (arguments.count("latencies") == 0)
        std::cout << report.table();
    std::cout << report.latencies(seconds) << '\n';
    if (!report.hasBrokenPromise())
        return 0;
    std::cerr << "a promise was broken\n";
    return 1;
}

} // namespace

int main(int argc, char** argv)
{
    auto options = makeOptions();
    try {
        auto const arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0 || arguments.count("entry") == 0) {
            std::cout << options.help();
            return arguments.count("help") > 0 ? 0 : 2;
        }
        return run(arguments);
    } catch (cxxopts::exceptions::exception const& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
