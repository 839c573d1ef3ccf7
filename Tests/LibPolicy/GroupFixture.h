#pragma once

#include <LibPolicy/DispatchGroup.h>
#include <LibPolicy/DispatchPolicies.h>

#include <boost/test/unit_test.hpp>

using namespace Policy;
using namespace std::chrono_literals;

/// A dispatch group, started by default, with helper functions for the events that tests send.
struct GroupFixture {
    explicit GroupFixture(DispatchSettings settings = {}, bool start = true)
        : group(settings, 7)
    {
        if (start)
            send(Start {});
    }

    std::vector<Action> send(Event const& event)
    {
        std::vector<Action> actions;
        group.step(now, event, actions);
        return actions;
    }

    /// Advances the time tick by tick and returns all resulting actions.
    std::vector<Action> advance(Core::Duration by)
    {
        std::vector<Action> all;
        for (auto const end = now + by; now < end;) {
            now = std::min(now + tickInterval, end);
            std::ranges::move(send(Tick {}), std::back_inserter(all));
        }
        return all;
    }

    void addServer(std::string name, std::uint32_t slots = 2, std::uint64_t incarnation = 1)
    {
        send(ServerPresent { { std::move(name) }, { incarnation }, slots });
    }

    AcquireRequest request(std::string caller = "caller")
    {
        return { .holder = { "entry1" },
            .pool = { "pool" },
            .route = { "route" },
            .caller = { std::move(caller) },
            .requestClass = Routing::RequestClass::Idempotent,
            .deadline = now + 10s,
            .fingerprint = { ++fingerprints, 1 } };
    }

    AcquireRequest ownedBy(std::string server)
    {
        auto result = request();
        result.owner = Core::ServerName { std::move(server) };
        return result;
    }

    std::vector<Action> acquire(AcquireRequest const& request) { return send(Acquire { { ++tickets }, request }); }

    /// Acquires and expects a grant.
    Permit granted(AcquireRequest const& request)
    {
        auto const actions = acquire(request);
        BOOST_REQUIRE(!actions.empty());
        BOOST_REQUIRE(std::holds_alternative<Granted>(actions.front()));
        return std::get<Granted>(actions.front()).permit;
    }

    /// Acquires and expects a refusal.
    Refusal refused(AcquireRequest const& request)
    {
        auto const actions = acquire(request);
        BOOST_REQUIRE(!actions.empty());
        BOOST_REQUIRE(std::holds_alternative<Refused>(actions.front()));
        return std::get<Refused>(actions.front()).refusal;
    }

    std::vector<Action> release(Permit const& permit, AttemptOutcome outcome = AttemptOutcome::Answered,
        Core::Duration latency = 5ms, bool unreachable = false)
    {
        return send(Release { { permit.id, outcome, latency, unreachable } });
    }

    /// Runs requests at one server, as many at a time as its limit allows, until the limit has reached `slots`.
    void warm(std::string const& server, std::uint32_t slots = 2)
    {
        for (int round = 0; round < 400 && status(server).limit < slots; ++round) {
            std::vector<Permit> permits;
            for (std::uint32_t i = status(server).limit; i > 0; --i)
                permits.push_back(granted(ownedBy(server)));
            advance(20ms);
            for (auto const& permit : permits)
                release(permit, AttemptOutcome::Answered, 20ms);
        }
        BOOST_REQUIRE_EQUAL(status(server).limit, slots);
    }

    ServerStatus status(std::string const& server) const
    {
        for (auto const& status : group.servers()) {
            if (status.server.value == server)
                return status;
        }
        return {};
    }

    template <typename T> static std::vector<T> only(std::vector<Action> const& actions)
    {
        std::vector<T> result;
        for (auto const& action : actions) {
            if (auto const* found = std::get_if<T>(&action))
                result.push_back(*found);
        }
        return result;
    }

    Core::TimePoint now { 1h };
    DispatchGroup group;
    std::uint64_t tickets { 0 };
    std::uint64_t fingerprints { 0 };
};
