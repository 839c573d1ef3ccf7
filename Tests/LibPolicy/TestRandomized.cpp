#include "GroupFixture.h"

#include <LibPolicy/RetryRule.h>

#include <map>
#include <set>

namespace {

/// A backend server that sheds requests beyond its slots, has slow phases and can crash.
struct FakeBackend {
    std::string name;
    std::uint32_t slots { 2 };
    std::uint64_t incarnation { 1 };
    std::uint32_t running { 0 };
    bool present { false };
    double slowFactor { 1 };
};

/// Drives one dispatch group with random events and checks the invariants after each event.
class RandomRun {
public:
    RandomRun(Routing::PoolKind kind, std::uint64_t seed)
        : random_(seed)
        , fixture_({ .kind = kind, .queue = { .maxQueuedRequests = 24 } }, false)
        , keyed_(kind == Routing::PoolKind::KeyPartitioned)
    {
        for (auto const* name : { "a", "b", "c", "d", "e" })
            backends_.push_back({ name, 1 + static_cast<std::uint32_t>(random_.below(4)) });
    }

    void run(int steps)
    {
        for (int i = 0; i < 3; ++i)
            present(backends_[i]);
        apply(fixture_.send(Start {}));
        for (int i = 0; i < steps; ++i) {
            applyRandomEvent();
            checkCounts();
        }
        finish();
    }

private:
    struct Running {
        Permit permit;
        AcquireRequest request;
        Core::TimePoint ends;
    };

    void applyRandomEvent()
    {
        switch (random_.below(16)) {
        case 0:
            present(backends_[random_.below(backends_.size())]);
            break;
        case 1:
            if (random_.below(8) == 0)
                remove(backends_[random_.below(backends_.size())]);
            break;
        case 2:
            for (auto& backend : backends_)
                backend.slowFactor = random_.below(5) == 0 ? 10 : 1;
            break;
        case 3:
            apply(fixture_.send(
                LoadReport { { backends_[random_.below(5)].name }, static_cast<std::uint32_t>(random_.below(9)) }));
            break;
        case 4:
            if (!waiting_.empty() && random_.below(3) == 0)
                apply(fixture_.send(Cancel { waiting_.begin()->first }));
            break;
        case 5:
            if (random_.below(20) == 0)
                loseHolder();
            break;
        case 6:
        case 7:
        case 8:
            fixture_.now += Core::Duration(1ms) * static_cast<std::int64_t>(random_.below(12));
            finishDueRequests();
            apply(fixture_.send(Tick {}));
            break;
        default:
            acquire();
        }
    }

    void acquire()
    {
        auto request = fixture_.request("caller" + std::to_string(random_.below(4)));
        request.holder = { "entry" + std::to_string(random_.below(4)) };
        request.priority = static_cast<Routing::Priority>(random_.below(3));
        request.requestClass = static_cast<Routing::RequestClass>(random_.below(2));
        request.deadline = fixture_.now + Core::Duration(1ms) * static_cast<std::int64_t>(1 + random_.below(200));
        request.fingerprint = { random_.below(12), 0 };
        if (keyed_)
            request.owner = Core::ServerName { backends_[random_.below(5)].name };
        submit(request);
    }

    void submit(AcquireRequest const& request)
    {
        TicketId const ticket { ++fixture_.tickets };
        waiting_.emplace(ticket, request);
        apply(fixture_.send(Acquire { ticket, request }));
    }

    void apply(std::vector<Action> const& actions)
    {
        for (auto const& action : actions) {
            if (auto const* granted = std::get_if<Granted>(&action))
                onGranted(*granted);
            else if (auto const* refused = std::get_if<Refused>(&action))
                BOOST_REQUIRE_EQUAL(waiting_.erase(refused->ticket), 1);
        }
    }

    void onGranted(Granted const& granted)
    {
        auto const found = waiting_.find(granted.ticket);
        BOOST_REQUIRE(found != waiting_.end());
        auto const request = found->second;
        waiting_.erase(found);
        BOOST_REQUIRE(request.deadline > fixture_.now);
        BOOST_REQUIRE(permitIds_.insert(granted.permit.id.value).second);
        auto& backend = find(granted.permit.server.value);
        BOOST_REQUIRE(backend.present);
        BOOST_REQUIRE(!request.owner || request.owner->value == backend.name);
        if (request.kind != AttemptKind::First && request.requestClass == Routing::RequestClass::NonIdempotent)
            BOOST_REQUIRE(request.previousOutcome && certainlyNotRun(*request.previousOutcome));
        ++backend.running;
        BOOST_REQUIRE_LE(backend.running, backend.slots);
        auto const time = Core::Duration(1ms)
            * static_cast<std::int64_t>(1 + static_cast<double>(random_.below(20)) * backend.slowFactor);
        running_.push_back({ granted.permit, request, fixture_.now + time });
    }

    void finishDueRequests()
    {
        for (std::size_t i = 0; i < running_.size();) {
            if (running_[i].ends > fixture_.now) {
                ++i;
                continue;
            }
            auto const ended = running_[i];
            running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(i));
            finishRequest(ended);
        }
    }

    void finishRequest(Running const& ended)
    {
        auto outcome = static_cast<AttemptOutcome>(random_.below(24));
        if (outcome > AttemptOutcome::NotSent)
            outcome = AttemptOutcome::Answered;
        auto const unreachable = outcome == AttemptOutcome::ConnectionLost && random_.below(3) == 0;
        --find(ended.permit.server.value).running;
        apply(fixture_.release(ended.permit, outcome, 5ms, unreachable));
        if (random_.below(8) == 0)
            apply(fixture_.release(ended.permit, outcome, 5ms, unreachable));
        if (outcome == AttemptOutcome::Answered || ended.request.deadline <= fixture_.now)
            return;
        auto retry = ended.request;
        retry.kind = AttemptKind::Retry;
        retry.previousOutcome = outcome;
        retry.excluded = { ended.permit.server };
        submit(retry);
    }

    /// The holder's permits stay counted for a while, then are free without a release.
    void loseHolder()
    {
        Core::HostName const holder { "entry" + std::to_string(random_.below(4)) };
        apply(fixture_.send(HolderLost { holder, fixture_.now + 20ms }));
        for (auto const& [ticket, request] : waiting_)
            BOOST_REQUIRE(request.holder != holder);
        std::ranges::for_each(running_, [&](Running& running) {
            if (running.request.holder == holder)
                running.ends = std::min(running.ends, fixture_.now + 19ms);
        });
    }

    void present(FakeBackend& backend)
    {
        backend.incarnation += random_.below(4) == 0 ? 1 : 0;
        backend.present = true;
        apply(fixture_.send(ServerPresent { { backend.name }, { backend.incarnation }, backend.slots }));
    }

    void remove(FakeBackend& backend)
    {
        backend.present = false;
        apply(fixture_.send(ServerRemoved { { backend.name } }));
    }

    void checkCounts()
    {
        BOOST_REQUIRE_EQUAL(fixture_.group.waiting(), waiting_.size());
        for (auto const& status : fixture_.group.servers()) {
            BOOST_REQUIRE_LE(status.limit, status.slots);
            // Permits of lost holders stay counted after their requests have ended, never the other way round.
            BOOST_REQUIRE_GE(status.inFlight, find(status.server.value).running);
        }
        for (auto const& [ticket, request] : waiting_)
            BOOST_REQUIRE(request.deadline > fixture_.now - 12ms);
    }

    void finish()
    {
        while (!running_.empty() || !waiting_.empty()) {
            fixture_.now += 10ms;
            finishDueRequests();
            apply(fixture_.send(Tick {}));
        }
        BOOST_REQUIRE_EQUAL(fixture_.group.heldPermits(), 0);
        for (auto const& status : fixture_.group.servers())
            BOOST_REQUIRE_EQUAL(status.inFlight, 0U);
        auto const& counters = fixture_.group.counters();
        auto const first = counters.granted - counters.retries - counters.hedges;
        BOOST_REQUIRE_LE(static_cast<double>(counters.retries), 0.1 * static_cast<double>(first));
    }

    FakeBackend& find(std::string const& name) { return *std::ranges::find(backends_, name, &FakeBackend::name); }

    Core::Random random_;
    GroupFixture fixture_;
    bool keyed_;
    std::vector<FakeBackend> backends_;
    std::map<TicketId, AcquireRequest> waiting_;
    std::vector<Running> running_;
    std::set<std::uint64_t> permitIds_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Randomized)

/// Guards, over random events, against: more requests at a server than its slots; a permit counted twice or never
/// freed; an acquire without an outcome or with two; a grant past the deadline or at a missing server; a retry of
/// non-idempotent work that may have run; retries beyond the budget.
BOOST_AUTO_TEST_CASE(InvariantsHold)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            RandomRun(Routing::PoolKind::AnyServer, seed).run(3000);
            RandomRun(Routing::PoolKind::KeyPartitioned, seed).run(3000);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
