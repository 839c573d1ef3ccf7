#include "Bench.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>

namespace Bench {

double cpuMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

double quantile(std::vector<double> values, double share)
{
    std::ranges::sort(values);
    auto const rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

} // namespace Bench

int main(int argc, char** argv)
{
    cxxopts::Options options("ControlBench", "Measures the control state.");
    options.add_options()("mode", "churn, recovery, cost or safety", cxxopts::value<std::string>())(
        "seeds", "Number of seeds", cxxopts::value<std::uint64_t>()->default_value("60"))(
        "first-seed", "First seed of the safety mode", cxxopts::value<std::uint64_t>()->default_value("1"));
    options.parse_positional({ "mode" });
    try {
        auto const parsed = options.parse(argc, argv);
        auto const mode = parsed["mode"].as<std::string>();
        auto const seeds = parsed["seeds"].as<std::uint64_t>();
        if (mode == "churn")
            Bench::runChurn();
        else if (mode == "recovery")
            Bench::runRecovery(seeds);
        else if (mode == "cost")
            Bench::runCost();
        else if (mode == "safety")
            return Bench::runSafety(parsed["first-seed"].as<std::uint64_t>(), seeds) ? 0 : 1;
        else
            std::fprintf(stderr, "unknown mode: %s\n", mode.c_str());
    } catch (std::exception const& error) {
        std::fprintf(stderr, "%s\n%s", error.what(), options.help().c_str());
        return 2;
    }
    return 0;
}
