#include "Bench.h"

#include <LibControl/BalancedPlacement.h>
#include <LibControl/ModuloPlacement.h>
#include <LibCore/Random.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>

namespace Bench {

namespace {

    using namespace Control;

    constexpr std::size_t domains = 3;

    PlacementServer server(std::size_t index)
    {
        return { { "s" + std::to_string(100'000 + index) }, { std::to_string(index % domains) }, 4 };
    }

    PlacementInput makeInput(std::size_t servers, std::size_t slots)
    {
        PlacementInput input { .pool = { "letter" } };
        for (std::size_t i = 0; i < servers; ++i)
            input.servers.push_back(server(i));
        input.slots.resize(slots);
        return input;
    }

    /// Plans until nothing moves any more. Returns the number of moves.
    std::size_t settle(PlacementInput& input, Placement const& placement, std::size_t budget, std::size_t maxRounds)
    {
        std::size_t moved = 0;
        input.balanceBudget = budget;
        for (std::size_t round = 0; round < maxRounds; ++round) {
            auto const plan = placement.plan(input);
            if (plan.empty())
                break;
            for (auto const& planned : plan)
                input.slots[planned.slot.value].owner = planned.to;
            moved += plan.size();
        }
        return moved;
    }

    void printMoves(char const* change, std::size_t servers, std::size_t slots, double ideal, std::size_t balanced,
        std::size_t modulo)
    {
        auto const share = [&](double moved) { return 100 * moved / static_cast<double>(slots); };
        std::printf("| %s | %zu | %zu | %.3f %% | %.3f %% | %.2f | %.2f %% |\n", change, servers, slots, share(ideal),
            share(static_cast<double>(balanced)), static_cast<double>(balanced) / ideal,
            share(static_cast<double>(modulo)));
    }

    std::size_t movesOnJoin(Placement const& placement, std::size_t servers, std::size_t slots)
    {
        auto input = makeInput(servers, slots);
        settle(input, placement, slots, 100);
        input.servers.push_back(server(servers));
        return settle(input, placement, slots, 100);
    }

    std::size_t movesOnLeave(Placement const& placement, std::size_t servers, std::size_t slots)
    {
        auto input = makeInput(servers, slots);
        settle(input, placement, slots, 100);
        input.servers[servers / 2].capacity = 0;
        return settle(input, placement, slots, 100);
    }

    double imbalance(PlacementInput const& input)
    {
        std::vector<double> loads(input.servers.size());
        for (auto const& slot : input.slots)
            loads[slot.owner] += slot.load;
        auto const mean = std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(loads.size());
        return *std::ranges::max_element(loads) / mean;
    }

    /// Load of each slot when the popularity of `keys` keys follows Zipf's law.
    std::vector<double> zipfLoads(std::size_t slots, std::size_t keys, double exponent, std::uint64_t seed)
    {
        Core::Random random(seed);
        std::vector<double> loads(slots);
        for (std::size_t rank = 1; rank <= keys; ++rank)
            loads[random.below(slots)] += std::pow(static_cast<double>(rank), -exponent);
        return loads;
    }

    void printImbalance(std::size_t servers, std::size_t slots, double exponent)
    {
        constexpr std::size_t keys = 200'000;
        constexpr std::uint64_t seeds = 20;
        std::vector<double> modulo;
        std::vector<double> byCount;
        std::vector<double> byLoad;
        std::vector<double> bound;
        std::vector<double> moves;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            auto const loads = zipfLoads(slots, keys, exponent, seed);
            auto input = makeInput(servers, slots);
            auto const withLoads = [&](PlacementInput base) {
                for (std::size_t i = 0; i < slots; ++i)
                    base.slots[i].load = loads[i];
                return base;
            };
            auto baseline = input;
            settle(baseline, ModuloPlacement(), 0, 1);
            modulo.push_back(imbalance(withLoads(baseline)));
            settle(input, BalancedPlacement(), 0, 1);
            auto measured = withLoads(input);
            byCount.push_back(imbalance(measured));
            moves.push_back(static_cast<double>(settle(measured, BalancedPlacement(), slots / 50, 100)));
            byLoad.push_back(imbalance(measured));
            auto const total = std::accumulate(loads.begin(), loads.end(), 0.0);
            bound.push_back(std::max(1.0, *std::ranges::max_element(loads) * static_cast<double>(servers) / total));
        }
        std::printf("| %zu | %zu | %.1f | %.2f | %.2f | %.2f | %.2f | %.0f |\n", servers, slots, exponent,
            quantile(modulo, 0.5), quantile(byCount, 0.5), quantile(byLoad, 0.5), quantile(bound, 0.5),
            quantile(moves, 0.5));
    }

} // namespace

void runChurn()
{
    std::printf("| change | servers | slots | ideal 1/n | moved | moved / ideal | moved by hash modulo |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
    BalancedPlacement const balanced;
    ModuloPlacement const modulo;
    std::pair<std::size_t, std::size_t> const sizes[]
        = { { 20, 1'024 }, { 30, 1'024 }, { 300, 16'384 }, { 4'000, 131'072 } };
    for (auto const& size : sizes) {
        auto const servers = size.first;
        auto const slots = size.second;
        auto const perServer
            = [&](std::size_t count) { return static_cast<double>(slots) / static_cast<double>(count); };
        printMoves("join", servers, slots, perServer(servers + 1), movesOnJoin(balanced, servers, slots),
            movesOnJoin(modulo, servers, slots));
        printMoves("leave", servers, slots, perServer(servers), movesOnLeave(balanced, servers, slots),
            movesOnLeave(modulo, servers, slots));
    }
    std::printf(
        "\n| servers | slots | Zipf exponent | hash modulo | by count | by measured load | hottest slot alone | "
        "moves |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (auto const exponent : { 0.8, 1.0, 1.2 }) {
        printImbalance(20, 1'024, exponent);
        printImbalance(30, 1'024, exponent);
        printImbalance(300, 16'384, exponent);
    }
}

} // namespace Bench
