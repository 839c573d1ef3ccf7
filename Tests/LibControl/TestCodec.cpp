#include "Fixtures.h"

#include <LibCore/Random.h>

#include <cstring>

using namespace Control;
using namespace Fixtures;

namespace {

std::vector<Command> oneOfEach()
{
    Routing::RouteDefinition route { .name = { "r" }, .pool = { "p" }, .host = "site", .methods = { "GET", "PUT" } };
    route.header = Routing::HeaderCondition { "X-Kind", "scan" };
    route.key = Routing::KeyFromQuery { "k" };
    route.priority = Routing::Priority::Interactive;
    route.deadline = 250ms;
    OrderKey const key { { "letters" }, { std::string("c\0r", 3) }, std::string("k\0y", 3) };
    return { RegisterServer { server("s1"), true }, ServerLost { { "s1" }, { 3 } },
        DrainServer { { "s1" }, DrainCause::Announced, true, { { { "p" }, 1.5 } } },
        ReturnServer { { "s1" }, DrainCause::Operator }, DrainDomain { { "a" }, true, { { { "p" }, 2.5 } } },
        ReturnDomain { { "a" } }, JoinEntryHost { entryHost("h1", 4) }, RemoveEntryHost { { "h1" }, { 4 }, { 9 } },
        BeginRelease { { "p" }, { { { 1 }, { 2 }, { "s1" }, { "s2" } }, { { 2 }, { 2 }, { "s2" }, { "s1" } } } },
        AssignSlots { { "p" }, { { { 1 }, { 2 }, { "s2" }, ReleaseBasis::GrantExpired } }, { 77 } },
        edit("e1", 5, tables()),
        edit("e2", 5,
            std::vector<EditOperation> { PutPool { { .name = { "p" } }, true }, RemovePool { { "q" } },
                PutRoute { route, true }, RemoveRoute { { "s" } } }),
        ClaimOrder { key, { 1, 2 }, { 3, 4 }, { "h1" }, { 5 } },
        CompleteOrder { key, { 3, 4 }, KeptAnswer { 201, "text/plain", std::string("a\0b", 3) } },
        CompleteOrder { key, { 3, 4 }, std::nullopt }, AbandonOrder { key, { 3, 4 } },
        MarkOrderUnknown { key, { 3, 4 } }, AddQuarantine { { { 1, 2 }, { "letters" } } }, LiftQuarantine { { 1, 2 } },
        ExpireRecords { 90s } };
}

bool failsWith(std::span<std::byte const> bytes, DecodeErrorKind kind)
{
    auto const decoded = decodeCommand(bytes);
    return decoded.isError() && decoded.error().kind == kind;
}

/// Returns a replica whose state has content in each of its parts.
Replica populatedReplica()
{
    Replica replica;
    replica.apply(edit("e1", 0, tables()));
    replica.apply(edit("e2", 0, tables()));
    replica.apply(edit("e3", 1, std::vector<EditOperation> { RemovePool { { "none" } } }));
    replica.apply(RegisterServer { server("s1", "letter", "a"), true });
    replica.apply(RegisterServer { server("s2", "letter", "b", false) });
    replica.apply(RegisterServer { server("u1", "upload", "b") });
    replica.apply(JoinEntryHost { entryHost("h1") });
    replica.apply(assign(0, 0, "s1", ReleaseBasis::None, 1'000));
    replica.apply(assign(1, 0, "s2", ReleaseBasis::None, 1'000));
    replica.apply(release(1, 1, "s2", "s1"));
    replica.apply(DrainServer { { "s2" }, DrainCause::Operator, true, {} });
    replica.apply(DrainDomain { { "z" }, false, {} });
    replica.apply(ServerLost { { "u1" }, { 1 } });
    for (std::uint64_t i = 0; i < 4; ++i)
        replica.apply(
            ClaimOrder { { { "letters" }, { "c" }, std::to_string(i) }, { i, 0 }, { i, 0 }, { "h1" }, { 1 } });
    replica.apply(CompleteOrder { { { "letters" }, { "c" }, "1" }, { 1, 0 }, KeptAnswer { 200, "t", "body" } });
    replica.apply(AbandonOrder { { { "letters" }, { "c" }, "2" }, { 2, 0 } });
    replica.apply(MarkOrderUnknown { { { "letters" }, { "c" }, "3" }, { 3, 0 } });
    replica.apply(AddQuarantine { { { 1, 2 }, { "letters" } } });
    replica.apply(ExpireRecords { 60s });
    return replica;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Codec)

// Guards against a field that is lost or swapped with another one when a command is replicated.
BOOST_AUTO_TEST_CASE(EachCommandSurvivesEncoding)
{
    std::set<std::size_t> kinds;
    for (auto const& command : oneOfEach()) {
        kinds.insert(command.index());
        auto const decoded = decodeCommand(encodeCommand(command));
        BOOST_REQUIRE(!decoded.isError());
        BOOST_TEST((decoded.value() == command), "command " << command.index());
    }
    BOOST_TEST(kinds.size() == std::variant_size_v<Command>);
}

// Guards against a crash or a decoder that does not terminate on truncated input or input with flipped bits.
BOOST_AUTO_TEST_CASE(DamagedInputIsRejectedWithATypedError)
{
    Core::Random random(11);
    for (auto const& command : oneOfEach()) {
        auto const bytes = encodeCommand(command);
        for (std::size_t size = 0; size < bytes.size(); ++size)
            BOOST_TEST(decodeCommand(std::span(bytes).first(size)).isError());
        for (auto round = 0; round < 300; ++round) {
            auto damaged = bytes;
            damaged[random.below(damaged.size())] ^= static_cast<std::byte>(1U << random.below(8));
            std::ignore = decodeCommand(damaged);
        }
    }
    BOOST_TEST(failsWith({}, DecodeErrorKind::InvalidLength));
    Bytes const huge(maxCommandBytes + 8);
    BOOST_TEST(failsWith(huge, DecodeErrorKind::InvalidLength));
    auto const longName = encodeCommand(ReturnDomain { { std::string(maxNameBytes + 1, 'n') } });
    BOOST_TEST(failsWith(longName, DecodeErrorKind::ValueOutOfRange));
    // A demand of NaN would cause any drain to be accepted.
    auto const notANumber = encodeCommand(DrainDomain { { "a" }, false, { { { "p" }, std::nan("") } } });
    BOOST_TEST(failsWith(notANumber, DecodeErrorKind::ValueOutOfRange));
}

// Guards against replicas that diverge after one of them was restored from a snapshot.
BOOST_AUTO_TEST_CASE(ARestoredStateContinuesLikeTheOriginal)
{
    auto original = populatedReplica();
    Replica restored;
    BOOST_REQUIRE(!restored.state.restore(original.state.snapshot()).isError());
    restored.index = original.index;
    BOOST_TEST((restored.state.snapshot() == original.state.snapshot()));
    BOOST_TEST((restored.state.viewVersion() == original.state.viewVersion()));
    std::vector<Command> const further { edit("e1", 0, tables()), assign(1, 1, "s1", ReleaseBasis::Confirmed, 1'000),
        ServerLost { { "s1" }, { 1 } }, RemoveEntryHost { { "h1" }, { 1 }, { 7 } }, ReturnDomain { { "z" } },
        ClaimOrder { { { "letters" }, { "c" }, "1" }, { 1, 0 }, { 9, 0 }, { "h1" }, { 1 } }, ExpireRecords { 600s },
        edit("e9", 1, tables()) };
    for (auto const& command : further) {
        BOOST_TEST((original.apply(command) == restored.apply(command)), "command " << command.index());
        BOOST_TEST((restored.state.snapshot() == original.state.snapshot()), "command " << command.index());
    }
}

// Guards against a truncated snapshot that replaces the state, and against a snapshot with flipped bits that is
// accepted although it violates an invariant of the state.
BOOST_AUTO_TEST_CASE(ADamagedSnapshotIsRejectedAndChangesNothing)
{
    auto const bytes = populatedReplica().state.snapshot();
    auto replica = populatedReplica();
    auto const before = replica.state.snapshot();
    Core::Random random(12);
    for (std::size_t size = 0; size < bytes.size(); size += 1 + random.below(16))
        BOOST_TEST(replica.state.restore(std::span(bytes).first(size)).isError());
    BOOST_TEST((replica.state.snapshot() == before));
    for (auto round = 0; round < 2'000; ++round) {
        auto damaged = bytes;
        damaged[random.below(damaged.size())] ^= static_cast<std::byte>(1U << random.below(8));
        State other;
        if (!other.restore(damaged).isError())
            std::ignore = other.buildView();
    }
}

BOOST_AUTO_TEST_SUITE_END()
