#include "Builders.h"

#include <LibCore/Random.h>

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace TestFleet;
using namespace Fleet;

namespace {

/// The number of seeds of a CI run. The environment variable PRIMROSESHIFT_SEEDS overrides it.
constexpr std::uint64_t defaultSeeds = 30;
constexpr Core::Duration step = 50ms;

/// A backend server whose clock is slow, and for which heartbeats and answers are lost or delayed.
struct SimulatedServer {
    struct Hold {
        std::uint32_t first;
        std::uint32_t last;
        std::uint64_t fence;
    };

    ServerRecord record;
    bool isUp { true };
    bool isPartitioned { false };
    std::uint64_t sequence { 0 };
    std::vector<Hold> holds;
    std::vector<ReleasedKeys> released;
    Core::TimePoint leaseEnd;
    Core::TimePoint nextHeartbeat;
};

struct DelayedAnswer {
    std::size_t server;
    std::int64_t bornMs;
    std::uint64_t sequence;
    Core::TimePoint sentAt;
    Core::TimePoint arrivesAt;
    Grant grant;
};

/// Simulates unannounced changes of the leader, and servers that crash, restart, are partitioned and drain. After each
/// step, it checks that no key has two owners.
class Simulation {
public:
    explicit Simulation(std::uint64_t seed)
        : random_(seed)
    {
        state_.apply(configure());
        for (int i = 1; i <= 5; ++i) {
            servers_.push_back({ makeServer(i) });
            servers_.back().nextHeartbeat = now_;
        }
        elect();
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            now_ += step;
            injectFaults();
            deliverDelayedAnswers();
            for (std::size_t s = 0; s < servers_.size(); ++s)
                runServer(s);
            if (coordinator_)
                coordinator_->tick(now_);
            commitDecisions();
            if (!coordinator_ && now_ >= electionAt_)
                elect();
            checkOwnership();
        }
    }

private:
    bool withProbability(double probability) { return random_.unit() < probability; }

    void elect() { coordinator_ = std::make_unique<Coordinator>(state_, settings_, now_); }

    void injectFaults()
    {
        if (coordinator_ && withProbability(0.004)) {
            // Decisions that the old leader has not committed are lost.
            coordinator_.reset();
            electionAt_ = now_ + std::chrono::milliseconds(100 + random_.below(2000));
        }
        auto& server = servers_[random_.below(servers_.size())];
        if (withProbability(0.004)) {
            server.isUp = !server.isUp;
            if (server.isUp) {
                auto const bornMs = server.record.bornMs + 1000 + static_cast<std::int64_t>(random_.below(1000));
                auto const isSameName = withProbability(0.3);
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
        if (withProbability(0.006))
            server.isPartitioned = !server.isPartitioned;
        // To entry hosts on the other side, a network partition that resets connections looks like the end of the
        // server's process.
        auto const* const known = state_.findServer(server.record.name);
        if (coordinator_ && server.isPartitioned && known && withProbability(0.5)) {
            LoadReport report;
            report.contacts.push_back({ known->number, 0, 3 });
            coordinator_->onLoadReport(now_, report);
        }
        if (withProbability(0.002))
            server.record.isDraining = true;
    }

    void runServer(std::size_t index)
    {
        auto& server = servers_[index];
        if (!server.isUp)
            return;
        if (now_ >= server.leaseEnd)
            server.holds.clear();
        if (now_ < server.nextHeartbeat)
            return;
        server.nextHeartbeat = now_ + std::chrono::milliseconds(700 + random_.below(600));
        auto const heartbeat = makeHeartbeat(server);
        if (server.isPartitioned || !coordinator_ || withProbability(0.05))
            return;
        auto const sentAt = now_;
        if (auto const admission = coordinator_->admit(now_, heartbeat); admission.command)
            commit(*admission.command);
        auto const grant = coordinator_->answer(now_, now_, heartbeat);
        commitDecisions();
        // The answer is lost, delayed, or delivered immediately.
        if (!grant || withProbability(0.05))
            return;
        auto const delay = withProbability(0.1) ? std::chrono::milliseconds(random_.below(900)) : 0ms;
        delayedAnswers_.push_back({ index, server.record.bornMs, server.sequence, sentAt, now_ + delay, *grant });
    }

    Heartbeat makeHeartbeat(SimulatedServer& server)
    {
        Heartbeat heartbeat;
        heartbeat.server = server.record;
        heartbeat.server.isDraining = false;
        heartbeat.isDraining = server.record.isDraining;
        heartbeat.sequence = ++server.sequence;
        for (auto const& hold : server.holds)
            heartbeat.holds.push_back({ hold.first, hold.last, hold.fence });
        heartbeat.released = server.released;
        return heartbeat;
    }

    void deliverDelayedAnswers()
    {
        auto const arrived = std::partition(delayedAnswers_.begin(), delayedAnswers_.end(),
            [&](auto const& answer) { return answer.arrivesAt > now_; });
        std::vector<DelayedAnswer> const answers(arrived, delayedAnswers_.end());
        delayedAnswers_.erase(arrived, delayedAnswers_.end());
        for (auto const& answer : answers) {
            auto& server = servers_[answer.server];
            // A server ignores answers to any heartbeat but the latest one of the same incarnation.
            if (server.isUp && server.record.bornMs == answer.bornMs && server.sequence == answer.sequence)
                applyGrant(server, answer);
        }
    }

    void applyGrant(SimulatedServer& server, DelayedAnswer const& answer)
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
        // The server's clock is as slow as `CoordinatorSettings::clockDrift` allows.
        server.leaseEnd = answer.sentAt + std::chrono::duration_cast<Core::Duration>(answer.grant.leaseDuration * 1.02);
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

    /// Checks that no key is held by two running servers.
    void checkOwnership() const
    {
        std::map<std::uint32_t, std::uint32_t> ends;
        for (auto const& server : servers_) {
            if (!server.isUp || now_ >= server.leaseEnd)
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
    std::vector<DelayedAnswer> delayedAnswers_;
    std::map<std::uint32_t, std::uint64_t> highestFence_;
};

} // namespace

BOOST_AUTO_TEST_CASE(NoKeyHasTwoOwnersUnderInjectedFaults)
{
    auto const* const asked = std::getenv("PRIMROSESHIFT_SEEDS"); // NOLINT(concurrency-mt-unsafe): one thread
    auto const seeds = asked ? std::strtoull(asked, nullptr, 10) : defaultSeeds;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed) { Simulation(seed).run(600); }
    }
}
