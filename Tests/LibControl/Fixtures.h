#pragma once

#include <LibControl/State.h>

#include <boost/test/unit_test.hpp>

/// Fixtures shared by the tests of the control state.
namespace Fixtures {

using namespace std::chrono_literals;

inline Routing::BackendServer server(
    std::string name, std::string pool = "letter", std::string domain = "a", bool checksFencing = true)
{
    return { .name = { std::move(name) },
        .pool = { std::move(pool) },
        .endpoint = { "127.0.0.1", 8000 },
        .failureDomain = { std::move(domain) },
        .incarnation = { 1 },
        .slots = 4,
        .connections = 100,
        .checksFencing = checksFencing };
}

inline Routing::EntryHost entryHost(std::string name, std::uint64_t incarnation = 1)
{
    return { .name = { std::move(name) },
        .rpcEndpoint = { "127.0.0.1", 7000 },
        .failureDomain = { "a" },
        .incarnation = { incarnation } };
}

inline Control::CompleteTables tables(std::uint32_t slotCount = 4)
{
    Routing::RouteDefinition route { .name = { "letters" }, .pool = { "letter" }, .pathPrefix = "/letters" };
    route.key = Routing::KeyFromPathSegment { 1 };
    return { { { .name = { "letter" }, .kind = Routing::PoolKind::KeyPartitioned, .slotCount = slotCount },
                 { .name = { "upload" } } },
        { route } };
}

inline Control::SubmitEdit edit(std::string id, std::uint64_t base, Control::EditContent content)
{
    return { { std::move(id) }, { base }, "operator", 1'700'000'000'000, std::move(content) };
}

/// Control state with a log index that increases with each applied command.
struct Replica {
    Control::State state;
    std::uint64_t index { 0 };

    explicit Replica(Control::LedgerLimits ledger = {}, Control::EditLogLimits edits = {})
        : state(ledger, edits)
    {
    }
    Control::Outcome apply(Control::Command const& command) { return state.apply(++index, command); }
    /// Applies a command whose outcome must be of type `T`.
    template <typename T> T expect(Control::Command const& command)
    {
        auto const outcome = apply(command);
        BOOST_REQUIRE_MESSAGE(std::holds_alternative<T>(outcome), "outcome has index " << outcome.index());
        return std::get<T>(outcome);
    }
    /// Applies a change of one slot. Returns the reason if it was rejected.
    std::optional<Control::SlotRejectionReason> rejection(Control::Command const& command)
    {
        auto const changed = expect<Control::SlotsChanged>(command);
        if (changed.rejected.empty())
            return std::nullopt;
        return changed.rejected.front().reason;
    }
    Control::SlotRecord const& slot(std::uint64_t number) const
    {
        return *state.findSlots({ "letter" })->find({ number });
    }
};

inline Control::AssignSlots assign(
    std::uint64_t slot, std::uint64_t epoch, std::string to, Control::ReleaseBasis basis, std::uint64_t acknowledged)
{
    return { { "letter" }, { { { slot }, { epoch }, { std::move(to) }, basis } }, { acknowledged } };
}

inline Control::BeginRelease release(std::uint64_t slot, std::uint64_t epoch, std::string from, std::string to)
{
    return { { "letter" }, { { { slot }, { epoch }, { std::move(from) }, { std::move(to) } } } };
}

} // namespace Fixtures
