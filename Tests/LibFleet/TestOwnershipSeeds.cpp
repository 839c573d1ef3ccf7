#include "Builders.h"

#include <LibCore/Random.h>

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace TestFleet;
using namespace Fleet;

namespace {

/// Seeds of a run in CI. The variable PRIMROSESHIFT_SEEDS asks for more.
constexpr std::uint64_t defaultSeeds = 30;
constexpr Core::Duration step = 50ms;

/// A backend server with its own slow clock, which loses and delays answers.
struct SimulatedServer {
    struct Hold {
        std::uint32_t first;
        std::uint32_t last;
        std::uint64_t fence;
    };

    ServerRecord record;
    bool isUp { true };
    bool isCut { false };
    std::uint64_t sequence { 0 };
    std::vector<Hold> holds;
    std::vector<ReleasedKeys> released;
    Core::TimePoint holdUntil;
    Core::TimePoint nextBeat;
};

struct LateAnswer {
    std::size_t server;
    std::int64_t bornMs;
    std::uint64_t sequence;
    Core::TimePoint sentAt;
    Core::TimePoint arrivesAt;
    Grant grant;
};

/// Leaders that change without warning, servers that crash, start anew, are cut off and drain; the rules are checked
/// after each step.
class Simulation {
public:
    explicit Simulation(std::uint64_t seed)
        : random_(seed)
    {
        state_.apply(configure());
        for (int i = 1; i <= 5; ++i) {
            servers_.push_back({ makeServer(i) });
            servers_.back().nextBeat = now_;
        }
        elect();
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            now_ += step;
            disturb();
            deliverLate();
            for (std::size_t s = 0; s < servers_.size(); ++s)
                runServer(s);
            if (coordinator_)
                coordinator_->tick(now_);
            commitDecisions();
            if (!coordinator_ && now_ >= electionAt_)
                elect();
            check();
        }
    }

private:
    bool chance(double probability) { return random_.unit() < probability; }

    void elect() { coordinator_ = std::make_unique<Coordinator>(state_, settings_, now_); }

    void disturb()
    {
        if (coordinator_ && chance(0.004)) {
            // What the old leader has not committed is lost.
            coordinator_.reset();
            electionAt_ = now_ + std::chrono::milliseconds(100 + random_.below(2000));
        }
        auto& server = servers_[random_.below(servers_.size())];
        if (chance(0.004)) {
            server.isUp = !server.isUp;
            if (server.isUp) {
                auto const bornMs = server.record.bornMs + 1000 + static_cast<std::int64_t>(random_.below(1000));
                auto const isSameName = chance(0.3);
                auto const name = server.record.name;
                server.record.bornMs = bornMs;
                if (!isSameName)
                    server.record.name = { "server-" + std::to_string(bornMs) + "-" + server.record.address.address };
                server.record.isDraining = false;
                server.sequence = 0;
                server.holds.clear();
                server.released.clear();
            }
        }
        if (chance(0.006))
            server.isCut = !server.isCut;
        // A cut that resets connections looks to entry hosts on the other side like a process that has ended.
        auto const* const known = state_.findServer(server.record.name);
        if (coordinator_ && server.isCut && known && chance(0.5)) {
            LoadReport report;
            report.contacts.push_back({ known->number, 0, 3 });
            coordinator_->onReport(now_, report);
        }
        if (chance(0.002))
            server.record.isDraining = true;
    }

    void runServer(std::size_t index)
    {
        auto& server = servers_[index];
        if (!server.isUp)
            return;
        if (now_ >= server.holdUntil)
            server.holds.clear();
        if (now_ < server.nextBeat)
            return;
        server.nextBeat = now_ + std::chrono::milliseconds(700 + random_.below(600));
        auto const beat = makeBeat(server);
        if (server.isCut || !coordinator_ || chance(0.05))
            return;
        auto const sentAt = now_;
        if (auto const command = coordinator_->admit(beat))
            commit(*command);
        auto const grant = coordinator_->answer(now_, now_, beat);
        commitDecisions();
        // The answer is lost, late, or there at once.
        if (!grant || chance(0.05))
            return;
        auto const delay = chance(0.1) ? std::chrono::milliseconds(random_.below(900)) : 0ms;
        late_.push_back({ index, server.record.bornMs, server.sequence, sentAt, now_ + delay, *grant });
    }

    Heartbeat makeBeat(SimulatedServer& server)
    {
        Heartbeat beat;
        beat.server = server.record;
        beat.server.isDraining = false;
        beat.isDraining = server.record.isDraining;
        beat.sequence = ++server.sequence;
        for (auto const& hold : server.holds)
            beat.holds.push_back({ hold.first, hold.last, hold.fence });
        beat.released = server.released;
        return beat;
    }

    void deliverLate()
    {
        auto const arrived
            = std::partition(late_.begin(), late_.end(), [&](auto const& answer) { return answer.arrivesAt > now_; });
        std::vector<LateAnswer> const answers(arrived, late_.end());
        late_.erase(arrived, late_.end());
        for (auto const& answer : answers) {
            auto& server = servers_[answer.server];
            // An answer counts only for the newest heartbeat of the same life.
            if (server.isUp && server.record.bornMs == answer.bornMs && server.sequence == answer.sequence)
                take(server, answer);
        }
    }

    void take(SimulatedServer& server, LateAnswer const& answer)
    {
        std::vector<SimulatedServer::Hold> next;
        for (auto const& range : answer.grant.ranges) {
            BOOST_REQUIRE_GE(range.fence, highestFence_[range.first]);
            highestFence_[range.first] = range.fence;
            next.push_back({ range.first, range.last, range.fence });
        }
        server.released.clear();
        for (auto const& hold : server.holds) {
            if (std::ranges::none_of(next, [&](auto const& kept) { return kept.first == hold.first; }))
                server.released.push_back({ hold.first, hold.last, "h" });
        }
        server.holds = std::move(next);
        // The slowest clock that is allowed.
        server.holdUntil
            = answer.sentAt + std::chrono::duration_cast<Core::Duration>(answer.grant.leaseDuration * 1.02);
    }

    void commit(Command const& command)
    {
        auto const applied = state_.apply(command);
        coordinator_->onApplied(now_, command, applied);
    }

    void commitDecisions()
    {
        while (coordinator_) {
            auto const command = coordinator_->takeCommand();
            if (!command)
                return;
            commit(*command);
        }
    }

    /// No key has two holders that are up.
    void check() const
    {
        std::map<std::uint32_t, std::uint32_t> ends;
        for (auto const& server : servers_) {
            if (!server.isUp || now_ >= server.holdUntil)
                continue;
            for (auto const& hold : server.holds) {
                auto const isNew = ends.emplace(hold.first, hold.last).second;
                BOOST_REQUIRE(isNew);
            }
        }
        std::uint32_t next = 0;
        for (auto const& [first, last] : ends) {
            BOOST_REQUIRE_GE(first, next);
            next = last + 1;
        }
    }

    Core::Random random_;
    CoordinatorSettings settings_;
    State state_;
    Core::TimePoint now_ { 1000s };
    Core::TimePoint electionAt_;
    std::unique_ptr<Coordinator> coordinator_;
    std::vector<SimulatedServer> servers_;
    std::vector<LateAnswer> late_;
    std::map<std::uint32_t, std::uint64_t> highestFence_;
};

} // namespace

BOOST_AUTO_TEST_CASE(NoKeyHasTwoOwnersWhateverFails)
{
    auto const* const asked = std::getenv("PRIMROSESHIFT_SEEDS"); // NOLINT(concurrency-mt-unsafe): one thread
    auto const seeds = asked ? std::strtoull(asked, nullptr, 10) : defaultSeeds;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed) { Simulation(seed).run(600); }
    }
}
