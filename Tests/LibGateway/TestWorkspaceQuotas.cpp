#include <LibCore/Random.h>
#include <LibGateway/WorkspaceLimiter.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <map>

using namespace Gateway;
using namespace std::chrono_literals;

namespace {

Core::TimePoint const start { 1000s };
Fleet::QuotaBounds const bounds { 5s, 0.1, 20 };

Fleet::WorkspaceItem workspaceWith(double ratePerSecond, double burst)
{
    Fleet::WorkspaceItem workspace;
    workspace.name = { "w" };
    workspace.ratePerSecond = ratePerSecond;
    workspace.burst = burst;
    return workspace;
}

double allowedInWindow(Fleet::WorkspaceItem const& workspace, Fleet::QuotaBounds const& checked)
{
    auto const window = std::chrono::duration<double>(checked.window).count();
    return (workspace.ratePerSecond * window + workspace.burst) * (1 + checked.excess) + checked.slack;
}

std::size_t mostInWindow(std::vector<Core::TimePoint> times, Core::Duration window)
{
    std::ranges::sort(times);
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        auto const end = std::ranges::lower_bound(first, times.end(), *first + window);
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
}

/// One entry host in virtual time: its share, and credits that it asks for one by one.
struct Host {
    SendShareLimiter share { bounds.window + 250ms };
    std::deque<Core::TimePoint> credits;
    /// When the host started; its share counts from a window later.
    Core::TimePoint startedAt { start - 1min };
    bool hasLeader { true };
};

} // namespace

BOOST_AUTO_TEST_SUITE(WorkspaceQuotas)

// Guards against divisions whose parts add up to more than the quota.
BOOST_AUTO_TEST_CASE(ThePartsOfAQuotaAddUpToNoMoreThanTheQuota)
{
    for (auto const& checked : { bounds, Fleet::QuotaBounds { 5s, 0, 0 }, Fleet::QuotaBounds { 1s, 0, 3 } }) {
        for (auto const rate : { 0.1, 0.5, 3.0, 40.0, 400.0, 100'000.0 }) {
            for (auto const burst : { 0.0, 1.0, rate, 10 * rate }) {
                auto const workspace = workspaceWith(rate, burst);
                auto const division = Fleet::divideQuota(workspace, checked);
                auto const window = std::chrono::duration<double>(checked.window + Fleet::creditLifetime).count();
                auto const used
                    = static_cast<double>(division.shared) + division.maxCredits + division.creditsPerSecond * window;
                BOOST_TEST(used <= allowedInWindow(workspace, checked) + 1e-6);
                BOOST_TEST(division.maxCredits >= 0);
            }
        }
    }
}

// Load: uneven callers at 1 to 200 entry hosts that all ask as fast as they can, over lost leaders, restarts, freezes
// and falls of the limit. The platform checks any window over all hosts, also those without a leader.
BOOST_AUTO_TEST_CASE(AllEntryHostsTogetherStayWithinTheQuota)
{
    for (std::uint64_t seed = 1; seed <= 24; ++seed) {
        Core::Random random(seed);
        auto const hostCount = std::array { 1U, 8U, 59U, 200U }.at(seed % 4);
        auto const rate = std::array { 0.5, 5.0, 50.0, 400.0 }.at(seed / 4 % 4);
        auto workspace = workspaceWith(rate, rate);
        std::vector<Host> hosts(hostCount);
        auto leader = std::make_unique<Fleet::WorkspaceQuotas>(bounds, start);
        std::vector<Core::TimePoint> sent;
        auto const loweredAt = start + 20s;
        auto leaderBackAt = start;
        auto const perStep = std::max(1U, static_cast<std::uint32_t>(3 * rate / 100));
        for (auto now = start; now < start + 40s; now += 10ms) {
            if (now == loweredAt)
                workspace = workspaceWith(rate / 4, rate / 4);
            if (random.unit() < 0.001) {
                leader = std::make_unique<Fleet::WorkspaceQuotas>(bounds, now);
                leaderBackAt = now + std::chrono::milliseconds(random.below(3000));
            }
            for (std::uint32_t i = 0; i < perStep; ++i) {
                // Half of the requests arrive at the first tenth of the hosts.
                auto const chosen = random.below(random.unit() < 0.5 ? std::max(hostCount / 10, 1U) : hostCount);
                auto& host = hosts[chosen];
                if (random.unit() < 0.0005)
                    host = { .startedAt = now };
                if (random.unit() < 0.001)
                    host.hasLeader = !host.hasLeader;
                SendShare const share { Fleet::divideQuota(workspace, bounds).shared, hostCount,
                    static_cast<std::uint32_t>(chosen) };
                // A request leaves up to 200 ms after the decision.
                auto const leaves = now + std::chrono::milliseconds(random.below(200));
                if (now - host.startedAt >= bounds.window && host.share.tryAcquire(now, share)) {
                    sent.push_back(leaves);
                    continue;
                }
                std::erase_if(host.credits, [&](auto const expiry) { return expiry <= now; });
                if (host.credits.empty() && host.hasLeader && now >= leaderBackAt) {
                    auto const count = static_cast<std::uint32_t>(1 + random.below(3));
                    auto const reply = leader->grant(workspace, { 1, workspace.name, count }, now);
                    host.credits.insert(host.credits.end(), reply.granted, now + Fleet::creditLifetime);
                }
                if (!host.credits.empty()) {
                    host.credits.pop_front();
                    sent.push_back(now);
                }
            }
        }
        auto const full = allowedInWindow(workspaceWith(rate, rate), bounds);
        BOOST_TEST(static_cast<double>(mostInWindow(sent, bounds.window)) <= full, "seed " << seed);
        // The lower limit binds one window after all hosts have it.
        std::erase_if(sent, [&](auto const at) { return at < loweredAt + bounds.window; });
        BOOST_TEST(static_cast<double>(mostInWindow(sent, bounds.window)) <= allowedInWindow(workspace, bounds),
            "seed " << seed);
    }
}

// Load: a workspace at its mean traffic, which is its rate divided by 1.6, spread over 59 hosts. Guards against
// refusals of small workspaces, whose shares are below one request.
BOOST_AUTO_TEST_CASE(AWorkspaceAtItsMeanTrafficIsNotRefused)
{
    for (auto const rate : { 1.0, 5.0, 50.0, 400.0 }) {
        auto const workspace = workspaceWith(rate, rate);
        constexpr std::uint32_t hostCount = 59;
        std::vector<Host> hosts(hostCount);
        Fleet::WorkspaceQuotas leader(bounds, start - 10s);
        Core::Random random(static_cast<std::uint64_t>(rate));
        std::size_t refused = 0;
        std::size_t total = 0;
        for (auto now = start; now < start + 30s; now += 5ms) {
            // At most three requests in a step.
            for (int i = 0; i < 3; ++i) {
                if (random.unit() >= rate / 1.6 * 0.005 / 3)
                    continue;
                ++total;
                auto const chosen = static_cast<std::uint32_t>(random.below(hostCount));
                SendShare const share { Fleet::divideQuota(workspace, bounds).shared, hostCount, chosen };
                if (hosts[chosen].share.tryAcquire(now, share))
                    continue;
                refused += leader.grant(workspace, { 1, workspace.name, 1 }, now).granted == 0 ? 1 : 0;
            }
        }
        BOOST_TEST(total > 0);
        BOOST_TEST(refused == 0, "rate " << rate << ", " << total << " requests");
    }
}

BOOST_AUTO_TEST_SUITE_END()
