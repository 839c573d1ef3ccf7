#include <LibCore/Hash.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Random.h>
#include <LibCore/Result.h>

#include <boost/test/unit_test.hpp>

#include <array>
#include <vector>

BOOST_AUTO_TEST_SUITE(Identifiers)

BOOST_AUTO_TEST_CASE(EndpointRejectsHostNamesAndBadPorts)
{
    BOOST_TEST(Core::Endpoint::parse("127.0.0.1:8080").has_value());
    BOOST_TEST(Core::Endpoint::parse("[::1]:8080").value().toString() == "[::1]:8080");
    for (auto const* text :
        { "", "127.0.0.1", "localhost:80", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:80x", "::1:80" })
        BOOST_TEST(!Core::Endpoint::parse(text).has_value(), text);
}

BOOST_AUTO_TEST_CASE(RequestIdSurvivesItsTextForm)
{
    Core::Random random(7);
    auto const id = Core::RequestId::generate(random);
    auto const parsed = Core::RequestId::parse(id.toString());
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((*parsed == id));
    BOOST_TEST(!Core::RequestId::parse("xyz").has_value());
}

BOOST_AUTO_TEST_CASE(RendezvousMovesOnlyTheKeysOfTheRemovedCandidate)
{
    std::array<std::string_view, 4> const all { "a", "b", "c", "d" };
    std::array<std::string_view, 3> const withoutD { "a", "b", "c" };
    for (int i = 0; i < 1000; ++i) {
        auto const key = std::to_string(i);
        auto const before = all[Core::rendezvousChoice(key, all)];
        auto const after = withoutD[Core::rendezvousChoice(key, withoutD)];
        BOOST_TEST((before == "d" || before == after));
    }
}

BOOST_AUTO_TEST_CASE(HashIsStableAcrossVersions)
{
    // Owners are stored by slot, so a change of the hash would move every key.
    BOOST_TEST(Core::hash64("") == 0xef46db3751d8e999ULL);
}

BOOST_AUTO_TEST_SUITE_END()
