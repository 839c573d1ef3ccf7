#include "FakeLeader.h"
#include "FakeServers.h"

#include <LibCore/Random.h>
#include <LibGateway/EntryHost.h>

#include <boost/test/unit_test.hpp>

#include <charconv>
#include <cstdlib>

using namespace TestGateway;

namespace {

/// Hosts that are stopped side by side in CI. The variable PRIMROSESHIFT_SEEDS asks for more.
constexpr std::uint64_t defaultSeeds = 10;
/// Hosts that share the loop at a time: more would be late on a loaded machine.
constexpr std::uint64_t seedsAtOnce = 10;
constexpr auto grace = 4s;
/// Callers stop sending while the host still takes requests.
constexpr auto lastArrival = 2300ms;
constexpr auto firstArrival = 1500ms;
constexpr std::size_t callersPerHost = 24;
constexpr std::size_t serversPerPool = 4;

Core::PoolName const scans { "scans" };
Core::PoolName const orders { "orders" };

std::uint64_t seedCount()
{
    auto const* const asked = std::getenv("PRIMROSESHIFT_SEEDS"); // NOLINT(concurrency-mt-unsafe): one thread
    std::uint64_t count = defaultSeeds;
    if (asked)
        std::from_chars(asked, asked + std::string_view(asked).size(), count);
    return count;
}

/// Servers that answer, answer late, refuse, stay silent, or break off, by lot, and record what they ran.
class MixedServers {
public:
    MixedServers(Net::EventLoop& loop, std::uint64_t seed)
        : random_(seed)
    {
        for (std::size_t i = 0; i < 2 * serversPerPool; ++i)
            servers_.push_back(std::make_unique<FakeServer>(loop, [this](auto const& text) { return react(text); }));
    }

    FakeServer const& at(std::size_t index) const { return *servers_[index]; }
    std::size_t runsOf(std::string const& id) const
    {
        auto const found = runs_.find(id);
        return found == runs_.end() ? 0 : found->second;
    }

private:
    FakeServer::Reaction react(std::string const& text)
    {
        using Then = FakeServer::Reaction::Then;
        auto const lot = random_.unit();
        if (lot < 0.2)
            return {};
        if (lot < 0.35)
            return { answerTo(text, "503 Busy", "", "Not-Run: 1\r\n") };
        ++runs_[headerOf(text, "Attempt")];
        if (lot < 0.4)
            return { {}, Then::Reset };
        if (lot < 0.45)
            return { "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", Then::Close };
        auto reaction = FakeServer::Reaction { answerTo(text, "200 OK", std::string(random_.below(200'000), 'a')) };
        // Up to beyond the end of the host.
        reaction.after = lot < 0.7 ? Core::Duration::zero() : std::chrono::milliseconds(random_.below(6000));
        return reaction;
    }

    Core::Random random_;
    std::map<std::string, std::size_t> runs_;
    std::vector<std::unique_ptr<FakeServer>> servers_;
};

/// One entry host that is stopped while requests of all kinds are under way.
class StoppedHost {
public:
    StoppedHost(Net::EventLoop& loop, Telemetry::EventLog& events, std::uint64_t seed)
        : loop_(loop)
        , seed_(seed)
        , random_(seed)
        , servers_(loop, seed + 1)
        , leader_(loop, 0s)
    {
        fillView();
        auto const settings = entryHostSettings(leader_, grace, random_.unit() < 0.5 ? 0 : 300e3);
        host_ = std::make_unique<Gateway::EntryHost>(loop, events, metrics_, codec_, settings);
        BOOST_REQUIRE(host_->listen());
        address_ = settings.callers;
    }

    bool isReady() const { return host_->isReady(); }

    void begin()
    {
        for (std::size_t i = 0; i < callersPerHost; ++i)
            loop_.after(pickTime(), [this, i] { ask(i); });
        loop_.after(firstArrival, [this] { host_->beginStop(); });
    }

    void check()
    {
        for (auto const& asked : asked_) {
            BOOST_TEST_CONTEXT("seed " << seed_ << ", request " << asked.id << ", pool " << asked.path)
            {
                BOOST_TEST(isComplete(asked.caller->received()));
                auto const runs = servers_.runsOf(asked.id);
                // "Not run" is a promise.
                if (asked.caller->status() == "503")
                    BOOST_TEST(runs == 0);
                if (!asked.isSafe)
                    BOOST_TEST(runs <= 1);
            }
        }
    }

private:
    struct Asked {
        std::string id;
        std::string path;
        bool isSafe { false };
        std::unique_ptr<Caller> caller;
    };

    void fillView()
    {
        auto& view = leader_.view;
        auto const add = [&](std::string const& name, Fleet::RequestKind kind, Core::PoolName const& to) {
            auto item = route(name, "/" + name + "/", kind, to);
            item.timeoutMs = 8000;
            view.routes.push_back({ name, { item.version, item } });
        };
        add("scan", Fleet::RequestKind::Unsafe, scans);
        add("look", Fleet::RequestKind::Safe, orders);
        add("order", Fleet::RequestKind::Unsafe, orders);
        view.pools = { { scans.value, { 1, pool(scans, false) } }, { orders.value, { 1, pool(orders, true) } } };
        for (std::size_t i = 0; i < 2 * serversPerPool; ++i)
            view.servers.push_back(
                server(static_cast<Fleet::ServerNumber>(i + 1), servers_.at(i), i < serversPerPool ? scans : orders));
        auto const owner = static_cast<Fleet::ServerNumber>(serversPerPool + 1 + random_.below(serversPerPool));
        // Every third host finds no owner and waits for one.
        auto const isOwned = random_.below(3) > 0;
        view.ranges.rows.push_back(
            { orders, 0, Fleet::keyCount - 1, isOwned ? owner : 0, static_cast<std::int64_t>(random_.below(6000)) });
        view.entryHosts = { "entry" };
    }

    Core::Duration pickTime()
    {
        auto const span = std::chrono::duration_cast<std::chrono::milliseconds>(firstArrival + lastArrival).count();
        return std::chrono::milliseconds(random_.below(static_cast<std::uint64_t>(span)));
    }

    void ask(std::size_t number)
    {
        static constexpr std::array<char const*, 3> paths { "/scan/x", "/look/x", "/order/x" };
        Asked asked;
        asked.id = std::to_string(seed_) + "-" + std::to_string(number);
        asked.path = paths.at(random_.below(paths.size()));
        asked.isSafe = asked.path == paths[1];
        asked.caller = std::make_unique<Caller>(loop_, address_);
        auto const isUpload = asked.path == paths[0];
        asked.caller->send(request(asked.path, asked.id, std::string(isUpload ? random_.below(60'000) : 0, 'b'),
            static_cast<int>(500 + random_.below(7500))));
        asked_.push_back(std::move(asked));
    }

    static bool isComplete(std::string const& text)
    {
        auto const headEnd = text.find("\r\n\r\n");
        auto const length = headerOf(text, "Content-Length");
        return headEnd != std::string::npos && !length.empty() && text.size() == headEnd + 4 + std::stoul(length);
    }

    Net::EventLoop& loop_;
    std::uint64_t seed_;
    Core::Random random_;
    MixedServers servers_;
    FakeLeader leader_;
    Telemetry::Metrics metrics_;
    TestCodec codec_;
    std::unique_ptr<Gateway::EntryHost> host_;
    Core::Endpoint address_;
    std::vector<Asked> asked_;
};

} // namespace

// A stop may cut off a request at any point of its way; see docs/incidents/inc1.md.
BOOST_AUTO_TEST_CASE(NoStopCutsOffARequestWhateverItsServerDoes)
{
    Core::SystemClock clock;
    auto const events = Telemetry::EventLog::open({ .file = "/dev/null" }, clock).value();
    auto const seeds = seedCount();
    for (std::uint64_t first = 0; first < seeds; first += seedsAtOnce) {
        Net::EventLoop loop;
        std::vector<std::unique_ptr<StoppedHost>> hosts;
        for (auto seed = first; seed < std::min(first + seedsAtOnce, seeds); ++seed)
            hosts.push_back(std::make_unique<StoppedHost>(loop, *events, seed));
        BOOST_REQUIRE(runUntil(
            loop, [&] { return std::ranges::all_of(hosts, [](auto const& host) { return host->isReady(); }); }));
        for (auto const& host : hosts)
            host->begin();
        runUntil(
            loop, [] { return false; }, firstArrival + grace);
        for (auto const& host : hosts)
            host->check();
    }
}
