#include "Seeds.h"
#include "Simulation.h"

#include <boost/test/unit_test.hpp>

#include <iostream>

using namespace Consensus;
using namespace std::chrono_literals;
using Test::Simulation;

namespace {

/// Injects random faults into a cluster under continuous load.
class Chaos {
public:
    explicit Chaos(std::uint64_t seed)
        : random_(seed ^ 0x5eedULL)
        , simulation_(optionsFor(seed, random_))
    {
        auto const voters = random_.below(3) == 0 ? 5U : 3U;
        std::vector<std::string> names;
        for (unsigned i = 0; i < voters; ++i)
            names.push_back(newName());
        simulation_.bootstrap(names);
        mayChangeMembers_ = random_.below(2) == 0;
        mayFailDisks_ = random_.below(2) == 0;
    }

    /// Runs the test. Returns a description of the first violated invariant, or an empty string.
    std::string run()
    {
        auto const end = simulation_.now() + 15s;
        while (simulation_.now() < end && simulation_.violation().empty()) {
            simulation_.runFor(std::chrono::milliseconds(5 + random_.below(150)));
            sendRequests();
            if (random_.below(3) == 0)
                injectFault();
        }
        if (!simulation_.recoverAndConverge() && simulation_.violation().empty())
            return "the cluster did not recover: " + simulation_.describe();
        return simulation_.violation();
    }

    Simulation const& simulation() const { return simulation_; }

private:
    static Test::SimulationOptions optionsFor(std::uint64_t seed, Core::Random& random)
    {
        Test::SimulationOptions options;
        options.seed = seed;
        options.clockDrift = random.below(2) == 0 ? 0 : 0.01;
        options.latencyMax = random.below(3) == 0 ? 60ms : 4ms;
        options.lossRatio = random.below(2) == 0 ? 0 : 0.05;
        options.duplicateRatio = random.below(2) == 0 ? 0 : 0.05;
        options.diskMax = random.below(3) == 0 ? 50ms : 3ms;
        auto& settings = options.settings;
        settings.snapshotInterval = random.below(2) == 0 ? 30 : 100'000;
        settings.retainedEntries = random.below(40);
        settings.snapshotChunkBytes = 100 + random.below(400);
        settings.maxAppendsInFlight = 1 + random.below(8);
        settings.maxBytesPerAppend = 200 + random.below(2000);
        settings.maxPromotionLag = 8;
        return options;
    }

    std::string newName() { return "h" + std::to_string(10 + nextName_++); }

    std::string randomHost()
    {
        auto const names = simulation_.names();
        return names[random_.below(names.size())];
    }

    std::string leaderOrRandomHost()
    {
        auto const leader = simulation_.leader();
        return leader.empty() || random_.below(5) == 0 ? randomHost() : leader;
    }

    void sendRequests()
    {
        for (auto count = random_.below(6); count > 0; --count)
            simulation_.propose(leaderOrRandomHost());
        if (random_.below(2) == 0)
            simulation_.read(leaderOrRandomHost());
    }

    void injectFault()
    {
        auto const host = randomHost();
        switch (random_.below(18)) {
        case 0:
            simulation_.crash(host, random_.below(2) == 0);
            break;
        case 1:
            simulation_.crashInNextWrite(host);
            break;
        case 2:
            simulation_.kill(host);
            break;
        case 3:
        case 4:
        case 5:
            for (auto const& name : simulation_.names())
                simulation_.restart(name);
            break;
        case 6:
            simulation_.pause(leaderOrRandomHost());
            break;
        case 7:
            for (auto const& name : simulation_.names())
                simulation_.resume(name);
            break;
        case 8:
            simulation_.block(host, randomHost());
            break;
        case 9:
            simulation_.isolate(leaderOrRandomHost());
            break;
        case 10:
        case 11:
            simulation_.heal();
            break;
        case 12:
            simulation_.transfer(leaderOrRandomHost());
            break;
        case 13:
            simulation_.takeSnapshot(host);
            break;
        case 14:
            changeMembers();
            break;
        default:
            failDisk(host);
            break;
        }
    }

    void changeMembers()
    {
        auto const leader = simulation_.leader();
        if (!mayChangeMembers_ || leader.empty())
            return;
        auto const configuration = simulation_.status(leader).configuration;
        auto const kind = random_.below(3);
        if (!configuration.learners.empty() && kind != 0) {
            simulation_.change(leader, PromoteLearner { configuration.learners.front().name });
        } else if (configuration.voters.size() > 3 || (configuration.voters.size() > 2 && kind == 0)) {
            auto const& voter = configuration.voters[random_.below(configuration.voters.size())];
            simulation_.change(leader, RemoveMember { voter.name });
        } else if (nextName_ < maxHosts) {
            auto const name = newName();
            simulation_.join(name);
            simulation_.change(leader, AddLearner { { { name }, {} } });
        }
    }

    /// Disks fail in series and at the same time, on any number of hosts.
    void failDisk(std::string const& host)
    {
        if (!mayFailDisks_)
            return;
        switch (random_.below(3)) {
        case 0:
            simulation_.failNextSync(host);
            break;
        case 1:
            simulation_.fillDisk(host);
            break;
        default:
            for (auto const& name : simulation_.names())
                simulation_.freeDisk(name);
            break;
        }
    }

    static constexpr unsigned maxHosts = 9;

    Core::Random random_;
    Simulation simulation_;
    unsigned nextName_ { 0 };
    bool mayChangeMembers_ { false };
    bool mayFailDisks_ { false };
};

} // namespace

BOOST_AUTO_TEST_SUITE(RandomFaults)

BOOST_AUTO_TEST_CASE(InvariantsHoldUnderRandomFaults)
{
    auto const range = Test::seedRange(1000);
    std::uint64_t committed = 0;
    std::uint64_t acknowledged = 0;
    std::uint64_t steps = 0;
    std::uint64_t terms = 0;
    for (auto seed = range.first; seed <= range.last; ++seed) {
        Chaos chaos(seed);
        auto const violation = chaos.run();
        BOOST_REQUIRE_MESSAGE(violation.empty(), "seed " << seed << ": " << violation);
        committed += chaos.simulation().committedCount();
        acknowledged += chaos.simulation().acknowledgedCount();
        steps += chaos.simulation().steps();
        terms += chaos.simulation().leaderCount();
    }
    std::cout << "seeds " << range.first << " to " << range.last << ": " << steps << " steps, " << committed
              << " entries committed, " << acknowledged << " proposals acknowledged, " << terms
              << " terms with a leader" << std::endl;
    BOOST_TEST(acknowledged > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
