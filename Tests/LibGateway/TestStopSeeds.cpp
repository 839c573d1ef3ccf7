#include "FakeLeader.h"
#include "FakeServers.h"

#include <LibCore/Random.h>
#include <LibGateway/EntryHost.h>

#include <boost/test/unit_test.hpp>

#include <charconv>
#include <cstdlib>

using namespace TestGateway;

namespace {

/// Number of hosts that CI stops, each with its own seed. The environment variable PRIMROSESHIFT_SEEDS overrides it.
constexpr std::uint64_t defaultSeeds = 10;
/// Number of hosts that share an event loop; more would miss deadlines on a loaded machine.
constexpr std::uint64_t seedsAtOnce = 10;
constexpr auto grace = 4s;
/// Callers stop sending this long after the stop has begun, while the host still accepts requests.
constexpr auto lastArrival = 2300ms;
constexpr auto firstArrival = 1500ms;
constexpr std::size_t callersPerHost = 24;
constexpr std::size_t serversPerPool = 4;

Core::PoolName const scans { "scans" };
Core::PoolName const orders { "orders" };

std::uint64_t seedCount()
{
    auto const* const sent = std::getenv("PRIMROSESHIFT_SEEDS"); // NOLINT(concurrency-mt-unsafe): one thread
    std::uint64_t count = defaultSeeds;
    if (sent)
        std::from_chars(sent, sent + std::string_view(sent).size(), count);
    return count;
}

/// Servers that at random answer, answer late, refuse, never answer or close the connection early, and that count how
/// often they ran each request.
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
        auto const sample = random_.unit();
        if (sample < 0.2)
            return {};
        if (sample < 0.35)
            return { answerTo(text, "503 Busy", "", "Not-Run: 1\r\n") };
        ++runs_[headerOf(text, "Attempt")];
        if (sample < 0.4)
            return { {}, Then::Reset };
        if (sample < 0.45)
            return { "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", Then::Close };
        auto reaction = FakeServer::Reaction { answerTo(text, "200 OK", std::string(random_.below(200'000), 'a')) };
        // The delay may exceed the lifetime of the host.
        reaction.after = sample < 0.7 ? Core::Duration::zero() : std::chrono::milliseconds(random_.below(6000));
        return reaction;
    }

    Core::Random random_;
    std::map<std::string, std::size_t> runs_;
    std::vector<std::unique_ptr<FakeServer>> servers_;
};

/// One entry host that is stopped while requests of all kinds are in progress.
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
        for (auto const& sent : sentRequests_) {
            BOOST_TEST_CONTEXT("seed " << seed_ << ", request " << sent.id << ", pool " << sent.path)
            {
                BOOST_TEST(isComplete(sent.caller->received()));
                auto const runs = servers_.runsOf(sent.id);
                // A 503 guarantees that the request was not run.
                if (sent.caller->status() == "503")
                    BOOST_TEST(runs == 0);
                if (!sent.isSafe)
                    BOOST_TEST(runs <= 1);
            }
        }
    }

private:
    struct SentRequest {
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
        // On every third host the keys have no owner, and their requests wait for one.
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
        SentRequest sent;
        sent.id = std::to_string(seed_) + "-" + std::to_string(number);
        sent.path = paths.at(random_.below(paths.size()));
        sent.isSafe = sent.path == paths[1];
        sent.caller = std::make_unique<Caller>(loop_, address_);
        auto const isUpload = sent.path == paths[0];
        sent.caller->send(request(sent.path, sent.id, std::string(isUpload ? random_.below(60'000) : 0, 'b'),
            static_cast<int>(500 + random_.below(7500))));
        sentRequests_.push_back(std::move(sent));
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
    std::vector<SentRequest> sentRequests_;
};

} // namespace

// A stop can cut off a request at any stage of its processing; see docs/incidents/inc1.md.
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
