#include "Fixtures.h"

#include <LibControl/BalancedPlacement.h>
#include <LibControl/ModuloPlacement.h>
#include <LibCore/Random.h>

#include <numeric>

using namespace Control;

namespace {

PlacementInput input(std::size_t servers, std::size_t slots, std::size_t domains = 3)
{
    PlacementInput result { .pool = { "letter" } };
    for (std::size_t i = 0; i < servers; ++i)
        result.servers.push_back({ { "s" + std::to_string(1000 + i) }, { std::to_string(i % domains) }, 4 });
    result.slots.resize(slots);
    return result;
}

/// Applies a plan to the input and returns the number of moved slots.
std::size_t applyPlan(PlacementInput& input, std::vector<PlannedSlot> const& plan)
{
    for (auto const& planned : plan)
        input.slots[planned.slot.value].owner = planned.to;
    return plan.size();
}

std::vector<double> loadsPerServer(PlacementInput const& input)
{
    std::vector<double> loads(input.servers.size());
    for (auto const& slot : input.slots) {
        if (slot.owner != noServer)
            loads[slot.owner] += slot.load > 0 ? slot.load : 1;
    }
    return loads;
}

double imbalance(PlacementInput const& input)
{
    auto const loads = loadsPerServer(input);
    auto const mean = std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(loads.size());
    return *std::ranges::max_element(loads) / mean;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementOfSlots)

// Guards against needless ownership changes: the loss of a server must move only the slots of that server.
BOOST_AUTO_TEST_CASE(ALossMovesOnlyTheLostSlots)
{
    auto current = input(20, 1024);
    BalancedPlacement const placement;
    BOOST_TEST(applyPlan(current, placement.plan(current)) == 1024U);
    BOOST_TEST(imbalance(current) < 1.05);
    std::size_t lost = 0;
    current.servers[7].capacity = 0;
    for (auto& slot : current.slots) {
        if (slot.owner == 7) {
            slot.owner = noServer;
            ++lost;
        }
    }
    current.balanceBudget = 1024;
    BOOST_TEST(applyPlan(current, placement.plan(current)) == lost);
    BOOST_TEST(loadsPerServer(current)[7] == 0);
    auto baseline = input(20, 1024);
    applyPlan(baseline, ModuloPlacement().plan(baseline));
    baseline.servers[7].capacity = 0;
    BOOST_TEST(ModuloPlacement().plan(baseline).size() > 10 * lost);
}

// Guards against a new server that gets too many slots, no slots, or slots of servers that do not exceed their share.
BOOST_AUTO_TEST_CASE(AJoinMovesAboutItsShareWithinTheBudget)
{
    auto current = input(20, 1024);
    BalancedPlacement const placement;
    applyPlan(current, placement.plan(current));
    current.servers.push_back({ { "s2000" }, { "0" }, 4 });
    current.balanceBudget = 10;
    BOOST_TEST(applyPlan(current, placement.plan(current)) == 10U);
    current.balanceBudget = 1024;
    auto const moved = 10 + applyPlan(current, placement.plan(current));
    BOOST_TEST(moved <= 1024 / 21 + 1);
    BOOST_TEST(moved >= 1024 / 21 * 8 / 10);
    BOOST_TEST(placement.plan(current).empty());
}

// Guards against slots that move back and forth on small changes of the measured load.
BOOST_AUTO_TEST_CASE(HysteresisKeepsSlotsInPlace)
{
    auto current = input(20, 1024);
    BalancedPlacement const placement;
    applyPlan(current, placement.plan(current));
    Core::Random random(3);
    current.balanceBudget = 1024;
    for (auto round = 0; round < 20; ++round) {
        for (auto& slot : current.slots)
            slot.load = 0.9 + 0.2 * random.unit();
        BOOST_TEST(placement.plan(current).empty());
    }
}

// Guards against an overloaded server: slots must be weighted by their measured load.
BOOST_AUTO_TEST_CASE(HotSlotsAreSpread)
{
    auto current = input(20, 1024);
    BalancedPlacement const placement;
    applyPlan(current, placement.plan(current));
    for (auto& slot : current.slots)
        slot.load = slot.owner < 3 ? 6 : 1;
    BOOST_TEST(imbalance(current) > 2);
    current.balanceBudget = 1024;
    applyPlan(current, placement.plan(current));
    BOOST_TEST(imbalance(current) < 1.3);
}

// Guards against a drained server that keeps slots, and against slots that concentrate in one failure domain.
BOOST_AUTO_TEST_CASE(ADrainedDomainIsHandedOverCompletelyAndEvenly)
{
    auto current = input(21, 1024);
    BalancedPlacement const placement;
    applyPlan(current, placement.plan(current));
    for (auto& server : current.servers)
        server.capacity = server.domain.value == "1" ? 0 : 4;
    auto const plan = placement.plan(current);
    BOOST_TEST(plan.size() > 300U);
    applyPlan(current, plan);
    auto const loads = loadsPerServer(current);
    std::map<std::string, double> perDomain;
    for (std::size_t i = 0; i < loads.size(); ++i)
        perDomain[current.servers[i].domain.value] += loads[i];
    BOOST_TEST(perDomain["1"] == 0);
    BOOST_TEST(perDomain["0"] / perDomain["2"] > 0.95);
    BOOST_TEST(perDomain["0"] / perDomain["2"] < 1.05);
}

// Guards against a plan for slots whose owner has not stopped, and against a plan for a pool without servers.
BOOST_AUTO_TEST_CASE(WaitingSlotsAndEmptyPoolsAreNotPlanned)
{
    auto current = input(2, 4);
    for (auto& slot : current.slots)
        slot.isWaiting = true;
    current.balanceBudget = 4;
    BOOST_TEST(BalancedPlacement().plan(current).empty());
    BOOST_TEST(ModuloPlacement().plan(current).empty());
    BOOST_TEST(BalancedPlacement().plan(input(0, 4)).empty());
    BOOST_TEST(ModuloPlacement().plan(input(0, 4)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
