#include "Bench.h"

#include <Simulation/Simulation.h>

#include <algorithm>
#include <cstdio>

namespace Bench {

namespace {

    using namespace std::chrono_literals;
    using Simulation::World;

    constexpr std::uint32_t slots = 200;
    constexpr auto step = 5ms;
    constexpr auto giveUp = 20s;

    struct Scenario {
        char const* name;
        double checking;
        bool losesLeader;
        bool losesEntryHost;
    };

    World makeWorld(std::uint64_t seed, double checking)
    {
        return World({ .seed = seed,
            .servers = 20,
            .hosts = 8,
            .slots = slots,
            .checking = checking,
            .maxDelay = 5ms,
            .loss = 0.005,
            .checksInvariants = false });
    }

    double seconds(Core::Duration duration) { return std::chrono::duration<double>(duration).count(); }

    struct Recovery {
        double assigned { 0 };
        double served { 0 };
        /// Other servers that were declared lost by then.
        double falselyLost { 0 };
    };

    Recovery measure(Scenario const& scenario, std::uint64_t seed)
    {
        auto world = makeWorld(seed, scenario.checking);
        world.run(45s + std::chrono::milliseconds(seed * 37 % 1'000));
        auto& lost = world.server(seed % world.servers());
        auto const name = lost.self.name;
        auto const records = [&] { return world.leading().state.findSlots({ "letter" })->records(); };
        std::vector<std::uint64_t> affected;
        for (std::uint64_t slot = 0; slot < slots; ++slot) {
            if (records()[slot].owner == name)
                affected.push_back(slot);
        }
        auto const isAssigned = [&](std::uint64_t slot) {
            return records()[slot].owner != name && records()[slot].phase == Routing::SlotPhase::Owned;
        };
        auto const began = world.now();
        world.crash(lost);
        if (scenario.losesLeader)
            world.loseLeader(seed % 2 == 0);
        if (scenario.losesEntryHost)
            world.crash(world.host(seed % 8));
        Recovery recovery { seconds(giveUp), seconds(giveUp) };
        while (world.now() - began < giveUp) {
            world.run(step);
            auto const passed = seconds(world.now() - began);
            if (!std::ranges::all_of(affected, isAssigned))
                continue;
            recovery.assigned = std::min(recovery.assigned, passed);
            if (std::ranges::all_of(affected, [&](auto slot) { return world.isServed(slot); })) {
                recovery.served = passed;
                break;
            }
        }
        auto const& servers = world.leading().state.servers();
        recovery.falselyLost = static_cast<double>(std::ranges::count_if(
            servers, [&](auto const& entry) { return entry.second.lost && entry.first != name; }));
        return recovery;
    }

    void print(Scenario const& scenario, std::uint64_t seeds)
    {
        std::vector<double> assigned;
        std::vector<double> served;
        double falselyLost = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            auto const recovery = measure(scenario, seed);
            assigned.push_back(recovery.assigned);
            served.push_back(recovery.served);
            falselyLost += recovery.falselyLost;
        }
        std::printf("| %s | %llu | %.2f | %.2f | %.2f | %.2f | %.0f |\n", scenario.name,
            static_cast<unsigned long long>(seeds), quantile(assigned, 0.5), quantile(assigned, 1),
            quantile(served, 0.5), quantile(served, 1), falselyLost);
        std::fflush(stdout);
    }

    /// Drains a failure domain. Collects the time until it owns nothing, and how long each slot was without a server
    /// that all entry hosts route to.
    void printDrain(std::uint64_t seeds)
    {
        std::vector<double> left;
        std::vector<double> held;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            auto world = makeWorld(seed, 0.5);
            world.run(45s);
            auto const& state = world.leading().state;
            auto const began = world.now();
            world.propose(Control::DrainDomain { { "1" }, false, {} });
            std::map<std::uint64_t, double> unserved;
            auto leftAt = seconds(giveUp);
            while (world.now() - began < 8s) {
                world.run(step);
                for (std::uint64_t slot = 0; slot < slots; ++slot)
                    unserved[slot] += world.isServed(slot) ? 0 : seconds(step);
                auto const owns = std::ranges::any_of(state.servers(), [](auto const& entry) {
                    return entry.second.server.failureDomain.value == "1" && entry.second.ownedSlots > 0;
                });
                if (!owns)
                    leftAt = std::min(leftAt, seconds(world.now() - began));
            }
            left.push_back(leftAt);
            for (auto const& [slot, duration] : unserved) {
                if (duration > 0)
                    held.push_back(duration);
            }
        }
        std::printf("\nDrain of a failure domain, %llu seeds: owns nothing after p50 %.2f s, max %.2f s. New work of a "
                    "moved slot is held for p50 %.2f s, p99 %.2f s, max %.2f s.\n",
            static_cast<unsigned long long>(seeds), quantile(left, 0.5), quantile(left, 1), quantile(held, 0.5),
            quantile(held, 0.99), quantile(held, 1));
    }

} // namespace

void runRecovery(std::uint64_t seeds)
{
    std::printf("| lost at the same moment | seeds | assigned p50 (s) | max | served everywhere p50 (s) | max | others "
                "declared lost |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
    print({ "server that checks tokens", 1, false, false }, seeds);
    print({ "server that does not", 0, false, false }, seeds);
    print({ "server that checks tokens, leader", 1, true, false }, seeds);
    print({ "server that does not, leader", 0, true, false }, seeds);
    print({ "server that does not, entry host", 0, false, true }, seeds);
    print({ "server that does not, entry host, leader", 0, true, true }, seeds);
    printDrain(seeds);
}

bool runSafety(std::uint64_t firstSeed, std::uint64_t seeds)
{
    std::uint64_t violations = 0;
    std::uint64_t changes = 0;
    std::uint64_t elections = 0;
    for (auto seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        World world({ .seed = seed,
            .servers = static_cast<std::uint32_t>(2 + seed % 4),
            .hosts = static_cast<std::uint32_t>(1 + seed % 4),
            .checking = static_cast<double>(seed % 3) * 0.5,
            .loss = static_cast<double>(seed % 5) * 0.02,
            .late = static_cast<double>(seed % 7) * 0.02,
            .faults = true });
        world.run(60s);
        changes += world.ownerChanges;
        elections += world.leaderChanges;
        violations += world.violations.empty() ? 0 : 1;
        if (!world.violations.empty())
            std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), world.violations.front().c_str());
    }
    std::printf("%llu seeds, %llu changes of owner, %llu elections, %llu seeds with violations\n",
        static_cast<unsigned long long>(seeds), static_cast<unsigned long long>(changes),
        static_cast<unsigned long long>(elections), static_cast<unsigned long long>(violations));
    return violations == 0;
}

} // namespace Bench
