#include <LibConsensus/Codec.h>
#include <LibCore/Random.h>

#include <boost/test/unit_test.hpp>

using namespace Consensus;

namespace {

Configuration configuration()
{
    auto members = Configuration::ofVoters({ { { "c" }, { "10.0.0.3", 7000 } }, { { "a" }, { "10.0.0.1", 7000 } } });
    members.learners = { { { "l" }, { "::1", 1 } } };
    return members;
}

SnapshotMetadata metadata()
{
    return { .index = { 12 },
        .term = { 3 },
        .configuration = configuration(),
        .configurationIndex = { 4 },
        .size = 100,
        .checksum = 77 };
}

std::vector<Message> messages()
{
    std::vector<LogEntry> const entries {
        { { 3 }, { 8 }, Noop {} },
        { { 3 }, { 9 }, Command { std::string("\0\xff payload", 10) } },
        { { 4 }, { 10 }, configuration() },
        { { 4 }, { 11 }, Command {} },
    };
    std::vector<MessageBody> const bodies {
        VoteRequest { { 9 }, { 8 }, { 7 }, true, false },
        VoteRequest { { 9 }, { 8 }, { 7 }, false, true },
        VoteResponse { { 9 }, true, false },
        Heartbeat { { 5 }, { 6 }, true },
        HeartbeatResponse { { 5 }, { 6 }, { 7 } },
        AppendRequest { { 5 }, { 7 }, { 3 }, { 6 }, true, entries },
        AppendRequest {},
        AppendResponse { { 1 }, AppendOutcome::Mismatch, { 2 }, { 3 }, { 4 }, { 5 }, { 6 } },
        SnapshotChunk { { 1 }, metadata(), false, 40, std::string(60, 's') },
        SnapshotResponse { { 1 }, { 12 }, 99 },
        TimeoutNow {},
    };
    std::vector<Message> all;
    all.reserve(bodies.size());
    for (auto const& body : bodies)
        all.push_back({ { "cluster" }, { "a" }, { "b" }, { ~0ULL }, body });
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Codec)

BOOST_AUTO_TEST_CASE(MessagesRoundTrip)
{
    for (auto const& message : messages()) {
        auto const bytes = encodeMessage(message);
        auto const decoded = decodeMessage(bytes);
        BOOST_REQUIRE(!decoded.isError());
        BOOST_TEST((decoded.value() == message));
        BOOST_TEST(encodeMessage(decoded.value()) == bytes);
    }
}

BOOST_AUTO_TEST_CASE(RecordsRoundTrip)
{
    LogEntry const entry { { 4 }, { 10 }, configuration() };
    BOOST_TEST((decodeEntry(encodeEntry(entry)).value() == entry));
    for (auto const& state : { HardState { { 3 }, Core::HostName { "x" } }, HardState {} })
        BOOST_TEST((decodeHardState(encodeHardState(state)).value() == state));
    BOOST_TEST((decodeSnapshotMetadata(encodeSnapshotMetadata(metadata())).value() == metadata()));
}

BOOST_AUTO_TEST_CASE(CorruptInputIsRejectedOrDecodesToAValidMessage)
{
    Core::Random random(3);
    for (auto const& message : messages()) {
        auto const bytes = encodeMessage(message);
        for (std::size_t size = 0; size < bytes.size(); ++size)
            BOOST_TEST(decodeMessage(std::string_view(bytes).substr(0, size)).isError());
        BOOST_TEST(decodeMessage(bytes + std::string(8, '\0')).isError());
        for (int i = 0; i < 3000; ++i) {
            auto corrupted = bytes;
            for (auto count = 1 + random.below(4); count > 0; --count)
                corrupted[random.below(corrupted.size())] = static_cast<char>(random.below(256));
            auto const decoded = decodeMessage(corrupted);
            // If a message is accepted, encoding and decoding it again must not change it.
            if (!decoded.isError())
                BOOST_TEST((decodeMessage(encodeMessage(decoded.value())).value() == decoded.value()));
        }
    }
    for (int i = 0; i < 3000; ++i) {
        std::string noise(8 * random.below(64), '\0');
        for (auto& byte : noise)
            byte = static_cast<char>(random.below(256));
        static_cast<void>(decodeMessage(noise));
        static_cast<void>(decodeEntry(noise));
        static_cast<void>(decodeSnapshotMetadata(noise));
        static_cast<void>(decodeHardState(noise));
    }
}

BOOST_AUTO_TEST_CASE(OversizedInputIsRejected)
{
    std::string const bytes(maxEncodedBytes + 8, '\0');
    BOOST_TEST(std::holds_alternative<MalformedEncoding>(decodeMessage(bytes).error()));
}

BOOST_AUTO_TEST_CASE(InvalidFieldsAreNamedInTheError)
{
    auto const fieldOf = [](Message const& message) {
        auto const decoded = decodeMessage(encodeMessage(message));
        return decoded.isError() ? std::get<InvalidField>(decoded.error()).field : std::string_view("none");
    };
    Message message { { "cluster" }, {}, { "b" }, { 1 }, TimeoutNow {} };
    BOOST_TEST(fieldOf(message) == "from");
    message.from = { "a" };
    message.body = AppendRequest { .previousIndex = { 4 }, .entries = { { { 1 }, { 6 }, Noop {} } } };
    BOOST_TEST(fieldOf(message) == "entries");
    // A voter that is listed twice would count twice in a quorum.
    Configuration twice;
    twice.voters = { { { "a" }, {} }, { { "a" }, {} } };
    message.body = AppendRequest { .previousIndex = { 4 }, .entries = { { { 1 }, { 5 }, twice } } };
    BOOST_TEST(fieldOf(message) == "voters");
    Configuration both;
    both.voters = { { { "a" }, {} } };
    both.learners = both.voters;
    message.body = AppendRequest { .previousIndex = { 4 }, .entries = { { { 1 }, { 5 }, both } } };
    BOOST_TEST(fieldOf(message) == "learners");
    message.body = SnapshotChunk { .metadata = { .index = { 1 }, .size = 3 }, .offset = 2, .data = "xx" };
    BOOST_TEST(fieldOf(message) == "offset");
}

BOOST_AUTO_TEST_SUITE_END()
