#include <LibCore/Random.h>
#include <LibGateway/ServerBackpressure.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <queue>

using namespace Gateway;
using namespace std::chrono_literals;

namespace {

Core::TimePoint const start { 1000s };

/// Replays, in virtual time, the requests for one server that names a limit. They come through many entry hosts, which
/// reserve sends with the control leader while there is one.
class LimitReplay {
public:
    std::uint32_t hosts { 195 };
    double perSecond { 24 };
    /// A server without keys: requests that it may not get run at others.
    bool isKeyDivided { true };
    /// The time between bursts of one request at each entry host; zero for none.
    Core::Duration burstInterval {};
    /// The limit that the server names at this time of the replay.
    std::function<std::optional<double>(Core::Duration)> limit;
    /// A time without a leader. A new leader knows nothing of the old one.
    Core::Duration leaderLostAt { Core::Duration::max() };
    Core::Duration leaderDownFor { 1500ms };
    Core::Duration length { 30s };
    std::uint64_t seed { 1 };

    void run()
    {
        Core::Random random(seed);
        hosts_.resize(hosts);
        leader_.emplace();
        for (now_ = start; now_ < start + length; now_ += 5ms) {
            auto const time = now_ - start;
            if (time >= leaderLostAt && time < leaderLostAt + leaderDownFor)
                leader_.reset();
            else if (!leader_)
                beginTerm();
            while (!events_.empty() && events_.top().at <= now_) {
                auto const event = events_.top();
                events_.pop();
                event.action();
            }
            if ((time / 5ms) % 100 == 0)
                report();
            if (random.unit() < perSecond * 0.005)
                request(static_cast<std::size_t>(random.below(hosts)), random.below(20) * 1ms);
            for (std::size_t host = 0; burstInterval > 0ms && time % burstInterval == 0ms && host < hosts; ++host)
                request(host, random.below(20) * 1ms);
        }
    }

    /// The requests that arrived at the server in this time.
    std::ptrdiff_t arrived(Core::Duration from, Core::Duration to) const
    {
        return std::ranges::count_if(arrivals_, [&](auto const& at) { return at >= start + from && at < start + to; });
    }

    /// Once and a half of what the limit allows within four seconds, and five requests more.
    double allowed(Core::Duration from) const
    {
        double requests = 0;
        for (auto at = from; at < from + 4s; at += 10ms)
            requests += limit(at).value_or(0) * 0.01;
        return 1.5 * requests + 5;
    }

    /// The largest excess over the bound in any four seconds of this time.
    double worstExcess(Core::Duration from, Core::Duration to) const
    {
        double worst = -1e9;
        for (auto at = from; at + 4s <= to; at += 10ms)
            worst = std::max(worst, static_cast<double>(arrived(at, at + 4s)) - allowed(at));
        return worst;
    }

private:
    struct Event {
        Core::TimePoint at;
        std::function<void()> action;
        bool operator<(Event const& other) const { return at > other.at; }
    };

    static constexpr Core::Duration patience = 300ms;

    void after(Core::Duration delay, std::function<void()> action)
    {
        events_.push({ now_ + delay, std::move(action) });
    }

    EntryHostShare shareOf(std::size_t host) const
    {
        return { hosts, static_cast<std::uint32_t>((host + 17) % hosts) };
    }

    void request(std::size_t host, Core::Duration transit)
    {
        auto& backpressure = hosts_[host];
        if (!backpressure.requestLimit()) {
            send(host, transit);
            return;
        }
        if (!isKeyDivided) {
            requestAnyServer(host, transit);
            return;
        }
        if (backpressure.refusedFor(now_, patience))
            return;
        if (!leader_) {
            after(200ms, [=, this] {
                if (hosts_[host].tryAcquireLeaderlessShare(now_, shareOf(host)))
                    send(host, transit);
            });
            return;
        }
        leader_->update(0, Fleet::toStatement(Fleet::toRow(0, backpressure.newestStatement(), now_), now_), now_);
        auto const reservation = leader_->reserve(0, patience, now_);
        if (!reservation.isGranted) {
            backpressure.onRefused(now_, patience, reservation.wait);
            return;
        }
        backpressure.recordSend(now_);
        after(reservation.wait, [=, this] { send(host, transit); });
    }

    /// A request that another server runs unless this one may get it at once.
    void requestAnyServer(std::size_t host, Core::Duration transit)
    {
        auto& backpressure = hosts_[host];
        if (!leader_) {
            if (backpressure.tryAcquireLeaderlessShare(now_, shareOf(host)))
                send(host, transit);
            return;
        }
        if (!backpressure.hasShare(now_, shareOf(host)) || backpressure.refusedFor(now_, 0ms))
            return;
        leader_->update(0, Fleet::toStatement(Fleet::toRow(0, backpressure.newestStatement(), now_), now_), now_);
        auto const reservation = leader_->reserve(0, 0ms, now_);
        if (!reservation.isGranted) {
            backpressure.onRefused(now_, 0ms, reservation.wait);
            return;
        }
        backpressure.recordSend(now_);
        send(host, transit);
    }

    void send(std::size_t host, Core::Duration transit)
    {
        auto const sentAt = now_;
        after(transit, [=, this] {
            arrivals_.push_back(now_);
            after(70ms, [=, this] {
                auto const stated = limit(now_ - start);
                after(transit, [=, this] { hosts_[host].onAnswer({ stated, sentAt, now_ }); });
            });
        });
    }

    void report()
    {
        if (!leader_)
            return;
        for (auto& host : hosts_) {
            if (host.takeReportDue())
                leader_->update(0, Fleet::toStatement(Fleet::toRow(0, host.newestStatement(), now_), now_), now_);
        }
        for (auto const& row : leader_->takeChanges(now_)) {
            for (auto& host : hosts_)
                host.onLeaderStatement(Fleet::toStatement(row, now_));
        }
    }

    void beginTerm()
    {
        leader_.emplace();
        for (auto& host : hosts_)
            host.repeatReport();
    }

    Core::TimePoint now_;
    std::vector<ServerBackpressure> hosts_;
    std::optional<Fleet::RequestLimits> leader_;
    std::priority_queue<Event> events_;
    std::vector<Core::TimePoint> arrivals_;
};

/// A limit from the second second on.
std::optional<double> from2s(Core::Duration time, double limit)
{
    return time < 2s ? std::nullopt : std::optional(limit);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerLimitReplays)

// Load pattern: four times as many requests as an owner takes, from few hosts and from many, each of which has far less
// than one request a second for it.
BOOST_AUTO_TEST_CASE(AllEntryHostsTogetherKeepTheLimitAndUseIt)
{
    for (std::uint32_t const hosts : { 1U, 8U, 77U, 195U, 700U }) {
        for (double const limit : { 0.0, 0.2, 2.0, 5.4, 15.0 }) {
            LimitReplay replay;
            replay.hosts = hosts;
            replay.limit = [limit](auto time) { return from2s(time, limit); };
            replay.run();
            BOOST_TEST_CONTEXT(hosts << " entry hosts, limit " << limit)
            {
                BOOST_TEST(replay.worstExcess(5s, 30s) <= 0);
                BOOST_TEST(static_cast<double>(replay.arrived(6s, 30s)) >= 0.8 * 24 * limit);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(TheLimitHoldsAsItFalls)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        LimitReplay replay;
        replay.seed = seed;
        replay.perSecond = 60;
        replay.limit = [](auto time) { return from2s(time, time < 12s ? 12.0 : time < 20s ? 3.0 : 0.0); };
        replay.run();
        BOOST_TEST_CONTEXT("seed " << seed) { BOOST_TEST(replay.worstExcess(5s, 30s) <= 0); }
    }
}

// Load pattern: a pool without keys that has more requests than the server may get, with bursts in which all entry
// hosts have a request at the same time. The limit falls just after such a burst.
BOOST_AUTO_TEST_CASE(TheLimitOfAServerWithoutKeysHoldsAsItFallsAfterABurst)
{
    for (std::uint32_t const hosts : { 8U, 48U, 195U }) {
        for (double const limit : { 2.0, 5.4 }) {
            for (double const lower : { 0.0, 0.2 }) {
                LimitReplay replay;
                replay.hosts = hosts;
                replay.perSecond = 200;
                replay.isKeyDivided = false;
                replay.burstInterval = 1300ms;
                replay.limit = [=](auto time) { return from2s(time, time < 14350ms ? limit : lower); };
                replay.run();
                BOOST_TEST_CONTEXT(hosts << " entry hosts, limit " << limit << ", then " << lower)
                {
                    BOOST_TEST(replay.worstExcess(5s, 30s) <= 0);
                    // Enough requests are sent to use the limit, and to notice its end.
                    BOOST_TEST(static_cast<double>(replay.arrived(6s, 14s)) >= 0.5 * 8 * limit);
                    BOOST_TEST(replay.arrived(18s, 30s) >= 4);
                }
            }
        }
    }
}

// A new leader knows neither the limit nor what the old one granted in the last seconds.
BOOST_AUTO_TEST_CASE(TheLimitHoldsOverALossOfTheLeader)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        for (std::uint32_t const hosts : { 8U, 195U }) {
            for (auto const down : { 0ms, 300ms, 1500ms, 5000ms }) {
                LimitReplay replay;
                replay.seed = seed;
                replay.hosts = hosts;
                replay.limit = [](auto time) { return from2s(time, 5.4); };
                replay.leaderLostAt = 12s;
                replay.leaderDownFor = down;
                replay.run();
                BOOST_TEST_CONTEXT("seed " << seed << ", " << hosts << " hosts, " << down.count() << " ms")
                {
                    BOOST_TEST(replay.worstExcess(5s, 30s) <= 0);
                    BOOST_TEST(replay.arrived(12s + down + 1s, 30s) >= 30);
                }
            }
        }
    }
}

// No host may send freely before it has an answer without the limit, but all hosts must learn of its end.
BOOST_AUTO_TEST_CASE(AfterItsEndTheServerGetsAllRequestsAgain)
{
    for (std::uint32_t const hosts : { 8U, 195U }) {
        for (double const limit : { 0.0, 0.2, 5.4 }) {
            LimitReplay replay;
            replay.hosts = hosts;
            replay.limit = [limit](auto time) { return time < 15s ? from2s(time, limit) : std::nullopt; };
            replay.run();
            // A request in two seconds shows the end at the latest, and the report of its host takes half a second.
            BOOST_TEST(static_cast<double>(replay.arrived(18s, 30s)) >= 0.8 * 24 * 12);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ServerBackpressureTests)

// Load pattern: each entry host has enough requests for a pool without keys to use up the limit of one server by
// itself.
BOOST_AUTO_TEST_CASE(TheSendsToAServerWithoutKeysKeepTheLimitInAnyFourSeconds)
{
    for (std::uint32_t const hosts : { 1U, 8U, 48U, 195U }) {
        for (double const limit : { 0.0, 0.2, 3.0, 5.4, 60.0 }) {
            std::vector<ServerBackpressure> backpressures(hosts);
            for (auto& backpressure : backpressures)
                backpressure.onLeaderStatement({ limit, start, start });
            Fleet::RequestLimits leader;
            leader.update(0, { limit, start, start }, start);
            Core::Random random(hosts);
            std::vector<Core::TimePoint> sends;
            for (auto now = start; now < start + 20s; now += 20ms) {
                for (std::uint32_t i = 0; i < hosts; ++i) {
                    if (random.unit() >= 0.5 || !backpressures[i].hasShare(now, { hosts, i }))
                        continue;
                    if (!leader.reserve(0, 0ms, now).isGranted)
                        continue;
                    backpressures[i].recordSend(now);
                    sends.emplace_back(now + random.below(20) * 1ms);
                }
            }
            std::ranges::sort(sends);
            BOOST_TEST_CONTEXT(hosts << " entry hosts, limit " << limit)
            {
                for (auto from = sends.begin(); from != sends.end(); ++from) {
                    auto const count = std::ranges::lower_bound(sends, *from + 4s) - from;
                    BOOST_REQUIRE_LE(static_cast<double>(count), 1.5 * 4 * limit + 5);
                }
                BOOST_TEST(static_cast<double>(sends.size()) >= 0.75 * 20 * std::min(limit, 25.0 * hosts));
                // Something is sent also if the limit is zero, so that its end shows.
                BOOST_TEST(sends.size() >= 12);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(AnEntryHostThatIsNotInTheListHasNoShare)
{
    ServerBackpressure backpressure;
    BOOST_TEST(backpressure.hasShare(start, { 8, std::nullopt }));
    backpressure.onAnswer({ 20.0, start, start + 1ms });
    BOOST_TEST(!backpressure.hasShare(start + 1ms, { 8, std::nullopt }));
    BOOST_TEST(!backpressure.tryAcquireLeaderlessShare(start + 1ms, { 8, std::nullopt }));
    BOOST_TEST(!backpressure.isShareDue(start + 1ms, { 8, std::nullopt }));
    BOOST_TEST(backpressure.isShareDue(start + 1ms, { 8, 0 }));
    BOOST_TEST(backpressure.hasShare(start + 1ms, { 8, 0 }));
    backpressure.recordSend(start + 1ms);
    BOOST_TEST(!backpressure.isShareDue(start + 1ms, { 8, 0 }));
    BOOST_TEST(backpressure.isShareDue(start + 1s, { 8, 0 }));
}

BOOST_AUTO_TEST_CASE(AStatementIsReportedOnceAndRepeatedToANewLeader)
{
    ServerBackpressure backpressure;
    backpressure.onAnswer({ std::nullopt, start, start + 1ms });
    BOOST_TEST(!backpressure.takeReportDue());
    backpressure.onAnswer({ 5.0, start + 1ms, start + 2ms });
    BOOST_TEST(backpressure.takeReportDue());
    BOOST_TEST(!backpressure.takeReportDue());
    backpressure.repeatReport();
    BOOST_TEST(backpressure.takeReportDue());
    // The end is reported too.
    backpressure.onAnswer({ std::nullopt, start + 2ms, start + 3ms });
    BOOST_TEST(backpressure.takeReportDue());
    backpressure.repeatReport();
    BOOST_TEST(!backpressure.takeReportDue());
}

// A refused request is not sent to the leader again while it would be refused again.
BOOST_AUTO_TEST_CASE(ARefusalHoldsForRequestsThatWaitNoLonger)
{
    ServerBackpressure backpressure;
    backpressure.onAnswer({ 1.0, start, start + 1ms });
    BOOST_TEST(!backpressure.refusedFor(start, 300ms).has_value());
    backpressure.onRefused(start, 300ms, 800ms);
    BOOST_TEST((*backpressure.refusedFor(start, 300ms) == 800ms));
    BOOST_TEST((*backpressure.refusedFor(start + 400ms, 100ms) == 400ms));
    BOOST_TEST(!backpressure.refusedFor(start, 400ms).has_value());
    BOOST_TEST(!backpressure.refusedFor(start + 500ms, 300ms).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
