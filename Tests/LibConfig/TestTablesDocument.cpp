#include <LibConfig/TablesDocument.h>
#include <LibConfig/Units.h>
#include <LibCore/Random.h>

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace Config;
using namespace std::chrono_literals;

namespace {

ConfigErrors errorsOf(std::string_view text)
{
    auto result = parseTables(text, "tables.ini");
    return result.isError() ? std::move(result).error() : ConfigErrors {};
}

template <typename Reason> bool failsAt(std::string_view text, std::uint32_t line)
{
    auto const errors = errorsOf(text);
    return errors.size() == 1 && errors.front().line == line && std::holds_alternative<Reason>(errors.front().reason);
}

std::string randomText(Core::Random& random, std::size_t maxBytes)
{
    std::string text(random.below(maxBytes + 1), '\0');
    for (auto& c : text)
        c = static_cast<char>(random.below(3) == 0 ? random.below(256) : ' ' + random.below(95));
    return text;
}

Routing::RouteDefinition randomRoute(Core::Random& random, std::size_t index, Core::PoolName pool)
{
    Routing::RouteDefinition route { .name = { "r" + std::to_string(index) }, .pool = std::move(pool) };
    route.host = randomText(random, 20);
    // The index keeps routes from overlapping, which the tables refuse.
    route.pathPrefix = "/" + std::to_string(index) + "/" + randomText(random, 40);
    if (random.below(2) == 0)
        route.methods = { "GET", "M-SEARCH" };
    if (random.below(2) == 0)
        route.header = Routing::HeaderCondition { "X-Kind", randomText(random, 1024) };
    switch (random.below(3)) {
    case 0:
        route.key = Routing::KeyFromPathSegment { static_cast<std::uint32_t>(random.next()) };
        break;
    case 1:
        route.key = Routing::KeyFromQuery { "q" + randomText(random, 20) };
        break;
    default:
        route.key = Routing::KeyFromHeader { "X-Key" };
    }
    route.requestClass = static_cast<Routing::RequestClass>(random.below(2));
    route.priority = static_cast<Routing::Priority>(random.below(3));
    route.deadline = Core::Duration(static_cast<std::int64_t>(random.next() >> (1 + random.below(60))));
    route.maxBodyBytes = random.next() >> random.below(64);
    return route;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Tables)

// Guards against an edit that changes definitions which the operator only fetched and sent back.
BOOST_AUTO_TEST_CASE(FormattedTablesAreReadBackUnchanged)
{
    Core::Random random(20);
    for (int round = 0; round < 200; ++round) {
        TablesDocument tables;
        tables.pools.push_back({ { "keyed" }, Routing::PoolKind::KeyPartitioned,
            static_cast<std::uint32_t>(1 + random.below(Routing::maxSlotCount)), 3 });
        tables.pools.push_back({ { "any" } });
        for (std::size_t index = 0; index < random.below(8); ++index)
            tables.routes.push_back(randomRoute(random, index, { "keyed" }));
        auto const text = formatTables(tables);
        auto const result = parseTables(text, "tables.ini");
        BOOST_REQUIRE_MESSAGE(!result.isError(), (result.isError() ? describe(result.error().front()) : ""));
        BOOST_REQUIRE(result.value() == tables);
    }
}

BOOST_AUTO_TEST_CASE(DocumentGivesDefinitions)
{
    auto const result = parseTables(R"(# Letters
[pool letter]
kind = key-partitioned
slots = 64
[pool upload]

[route letter-status]
pool = letter
methods = GET, HEAD
path = /letters
header = X-Kind
header-value = "  a;b \"c\" "
key = path-segment 1
class = idempotent
priority = interactive
deadline = 2s
max-body = 8KiB
)",
        "tables.ini");
    BOOST_REQUIRE(!result.isError());
    auto const& route = result.value().routes.front();
    BOOST_TEST(result.value().pools.size() == 2U);
    BOOST_TEST((result.value().pools[0].kind == Routing::PoolKind::KeyPartitioned));
    BOOST_TEST(result.value().pools[0].slotCount == 64U);
    BOOST_TEST(route.methods.size() == 2U);
    BOOST_TEST(route.header->value == "  a;b \"c\" ");
    BOOST_TEST((route.key == Routing::KeySource(Routing::KeyFromPathSegment { 1 })));
    BOOST_TEST((route.requestClass == Routing::RequestClass::Idempotent));
    BOOST_TEST((route.deadline == 2s));
    BOOST_TEST(route.maxBodyBytes == 8192U);
}

// Guards against a faulty document that is accepted in part.
BOOST_AUTO_TEST_CASE(FaultsNameTheirLine)
{
    BOOST_TEST(failsAt<BadValue>("[pool a b]\n", 1));
    BOOST_TEST(failsAt<BadValue>("[pool]\n", 1));
    BOOST_TEST(failsAt<UnknownSection>("[server a]\n", 1));
    BOOST_TEST(failsAt<UnknownSection>("kind = any-server\n", 1));
    BOOST_TEST(failsAt<DuplicateSection>("[pool a]\n[pool a]\n", 2));
    BOOST_TEST(failsAt<UnknownKey>("[pool a]\nslot = 1\n", 2));
    BOOST_TEST(failsAt<BadValue>("[pool a]\nkind = any\n", 2));
    BOOST_TEST(failsAt<OutOfRange>("[pool a]\nslots = 4294967296\n", 2));
    BOOST_TEST(failsAt<OutOfRange>("[pool a]\ndispatch-groups = 0\n", 2));
    BOOST_TEST(failsAt<MissingKey>("[pool a]\n[route r]\n", 2));
    BOOST_TEST(failsAt<MissingKey>("[pool a]\n[route r]\npool = a\nheader-value = x\n", 2));
    BOOST_TEST(failsAt<BadUnit>("[pool a]\n[route r]\npool = a\ndeadline = 5\n", 4));
    BOOST_TEST(failsAt<BadUnit>("[pool a]\n[route r]\npool = a\nmax-body = 5KB\n", 4));
    BOOST_TEST(failsAt<BadValue>("[pool a]\n[route r]\npool = a\nhost = \"a\\q\"\n", 4));
    BOOST_TEST(failsAt<BadValue>("[pool a]\n[route r]\npool = a\nkey = cookie x\n", 4));
    BOOST_TEST(failsAt<InvalidTable>("[route r]\npool = a\n", 1));
    BOOST_TEST(failsAt<InvalidTable>("[pool a]\nkind = key-partitioned\nslots = 0\n", 1));
    BOOST_TEST(failsAt<InvalidTable>("[pool a]\n[route r]\npool = a\n[route s]\npool = a\n", 4));
}

// Guards against overflow when a unit is applied, and against a unit that does not represent the value exactly.
BOOST_AUTO_TEST_CASE(UnitsAreExact)
{
    BOOST_TEST((parseDuration("300ms").value == 300ms));
    BOOST_TEST((parseDuration("2 min").value == 2min));
    BOOST_TEST((parseDuration("106751d").value == 24h * 106751));
    BOOST_TEST((parseDuration("106752d").error == UnitError::TooLarge));
    BOOST_TEST((parseDuration("99999999999999999999s").error == UnitError::TooLarge));
    BOOST_TEST((parseDuration("1.5s").error == UnitError::UnknownUnit));
    BOOST_TEST((parseDuration("-1s").error == UnitError::NotANumber));
    BOOST_TEST((parseSize("17179869184GiB").error == UnitError::TooLarge));
    BOOST_TEST(parseSize("17179869183GiB").value == std::numeric_limits<std::uint64_t>::max() - (1ULL << 30) + 1);
    BOOST_TEST(formatDuration(90s) == "90s");
    BOOST_TEST(formatDuration(0s) == "0ns");
    BOOST_TEST(formatSize(1536) == "1536B");
}

BOOST_AUTO_TEST_SUITE_END()
