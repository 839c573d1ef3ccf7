#include "Fixtures.h"
#include "Simulation/Simulation.h"

using namespace Fixtures;

namespace {

std::string joined(std::vector<std::string> const& lines)
{
    std::string text;
    for (auto const& line : lines)
        text += line + "\n";
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Random)

// Guards against two owners of a slot, requests to a former owner, versions or epochs that decrease, orders that run
// twice, lost edits, and slots that stay without an owner, under random combinations of faults.
BOOST_AUTO_TEST_CASE(InvariantsHoldUnderRandomFaults)
{
    // Fewer seeds under sanitizers, which make the simulation ten times slower.
#if defined(__SANITIZE_THREAD__) || defined(__SANITIZE_ADDRESS__)
    constexpr std::uint64_t seeds = 20;
#else
    constexpr std::uint64_t seeds = 150;
#endif
    std::uint64_t changes = 0;
    std::uint64_t elections = 0;
    std::uint64_t served = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Simulation::World world({ .seed = seed, .loss = 0.03, .late = 0.03, .faults = true });
        world.run(60s);
        world.stopFaults();
        world.setLoss(0, 0);
        auto const canServe = [&] {
            auto const& state = world.leading().state;
            return std::ranges::any_of(state.servers(), [&](auto const& entry) { return state.canOwn(entry.second); });
        };
        for (auto waited = 0s; waited < 30s && (waited < 10s || world.servedSlots() < 8); waited += 1s)
            world.run(1s);
        BOOST_TEST(world.violations.empty(), "seed " << seed << "\n" << joined(world.violations));
        auto const& state = world.leading().state;
        if (canServe())
            BOOST_TEST(world.servedSlots() == 8U, "seed " << seed << " serves " << world.servedSlots());
        for (auto const& [id, revision] : world.acknowledgedEdits) {
            auto const* known = state.edits().find(id);
            auto const* accepted = known ? std::get_if<Control::EditAccepted>(&known->outcome) : nullptr;
            BOOST_TEST((accepted && accepted->revision == revision), "seed " << seed << " lost " << id.value);
            BOOST_TEST(state.table()->findPool({ id.value }) != nullptr);
        }
        served += world.requestsServed;
        changes += world.ownerChanges;
        elections += world.leaderChanges;
    }
    // Guards against a test that passes because nothing happened: ownership changes, requests and elections must occur.
    BOOST_TEST(changes > 30 * seeds);
    BOOST_TEST(served > 1'000 * seeds);
    BOOST_TEST(elections > 4 * seeds);
    BOOST_TEST_MESSAGE("changes of owner: " << changes << ", elections: " << elections);
}

BOOST_AUTO_TEST_SUITE_END()
