#include "Builders.h"

#include <LibCore/Random.h>

#include <boost/test/unit_test.hpp>

#include <bitset>
#include <cstdlib>

using namespace TestFleet;
using namespace Fleet;

namespace {

/// The number of seeds of a CI run. The environment variable PRIMROSESHIFT_SEEDS overrides it.
constexpr std::uint64_t defaultSeeds = 200;
/// The time within which a key must be served again after a loss, as the users' letter states it.
constexpr Core::Duration recoveryTarget = 4s;
constexpr Core::Duration step = 50ms;

/// Servers that join a new key-divided pool, and control leaders that replace each other. Commands are committed
/// immediately. Decisions of a leader that were not taken are lost with it.
class Founding {
public:
    Founding()
    {
        state_.apply(configure());
        elect();
    }

    void elect()
    {
        coordinator_ = std::make_unique<Coordinator>(state_, settings_, now_);
        granted_.reset();
    }

    void join(int index)
    {
        servers_.push_back({ makeServer(index) });
        sendHeartbeat(servers_.back());
    }

    void advance(Core::Duration time)
    {
        auto const until = now_ + time;
        while (now_ < until) {
            now_ += step;
            for (auto& server : servers_) {
                if (now_ >= server.nextHeartbeat)
                    sendHeartbeat(server);
            }
            coordinator_->tick(now_);
            commitDecisions();
        }
    }

    /// The number of keys that the leader has granted to a server. A key that moves on to another server counts.
    std::size_t grantedKeyCount() const { return granted_.count(); }

private:
    struct FoundingServer {
        ServerRecord record;
        std::uint64_t sequence { 0 };
        Core::TimePoint nextHeartbeat {};
        std::vector<HeldKeys> holds {};
    };

    void sendHeartbeat(FoundingServer& server)
    {
        server.nextHeartbeat = now_ + 1s;
        Heartbeat heartbeat;
        heartbeat.server = server.record;
        heartbeat.sequence = ++server.sequence;
        heartbeat.holds = server.holds;
        if (auto const admission = coordinator_->admit(now_, heartbeat); admission.command)
            commit(*admission.command);
        auto const grant = coordinator_->answer(now_, now_, heartbeat);
        server.holds.clear();
        if (grant) {
            for (auto const& range : grant->ranges) {
                server.holds.push_back({ range.first, range.last, range.fence });
                for (auto key = range.first; key <= range.last; ++key)
                    granted_.set(key);
            }
        }
        commitDecisions();
    }

    void commit(Command const& command)
    {
        auto const applied = state_.apply(command);
        coordinator_->onApplied(now_, command, applied);
    }

    void commitDecisions()
    {
        while (auto const command = coordinator_->takeCommand())
            commit(*command);
    }

    CoordinatorSettings settings_;
    State state_;
    Core::TimePoint now_ { 1000s };
    std::unique_ptr<Coordinator> coordinator_;
    std::vector<FoundingServer> servers_;
    std::bitset<keyCount> granted_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(FirstAssignment)

// The leader was lost between the registration of a new pool's servers and their first keys. The next leader had seen
// no server join, and the pool stayed without keys for good.
BOOST_FIXTURE_TEST_CASE(APoolWhoseServersJoinedUnderAnEarlierLeaderGetsItsKeys, Founding)
{
    join(1);
    join(2);
    advance(500ms);
    BOOST_REQUIRE_EQUAL(grantedKeyCount(), 0);
    elect();
    advance(recoveryTarget);
    BOOST_TEST(grantedKeyCount() == keyCount);
}

// Each join restarted the quiet time, so that a pool whose servers joined less than that apart stayed without keys.
BOOST_FIXTURE_TEST_CASE(ServersThatKeepJoiningDoNotHoldUpTheFirstKeys, Founding)
{
    int index = 0;
    for (auto waited = 0ms; waited < recoveryTarget; waited += 500ms) {
        join(++index);
        advance(500ms);
    }
    BOOST_TEST(grantedKeyCount() == keyCount);
}

// Servers that register within a second of each other share the keys from the start: no key moves afterwards.
BOOST_FIXTURE_TEST_CASE(ServersThatJoinTogetherShareTheFirstKeys, Founding)
{
    for (int index = 1; index <= 8; ++index) {
        join(index);
        advance(100ms);
    }
    BOOST_TEST(grantedKeyCount() == 0);
    advance(recoveryTarget);
    BOOST_TEST(grantedKeyCount() == keyCount);
}

// Leaders are lost at any moment of the founding of a pool.
BOOST_AUTO_TEST_CASE(APoolGetsItsKeysHoweverOftenItsLeaderChanged)
{
    auto const* const asked = std::getenv("PRIMROSESHIFT_SEEDS"); // NOLINT(concurrency-mt-unsafe): one thread
    auto const seeds = asked ? std::strtoull(asked, nullptr, 10) : defaultSeeds;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Core::Random random(seed);
        Founding founding;
        auto const servers = 1 + static_cast<int>(random.below(6));
        for (int index = 1; index <= servers; ++index) {
            founding.join(index);
            founding.advance(std::chrono::milliseconds(random.below(1500)));
            if (random.below(2) == 0)
                founding.elect();
        }
        founding.elect();
        founding.advance(recoveryTarget);
        BOOST_TEST(founding.grantedKeyCount() == keyCount, "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
