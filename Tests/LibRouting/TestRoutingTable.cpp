#include <LibRouting/RoutingTable.h>
#include <LibRouting/View.h>

#include <boost/test/unit_test.hpp>

using namespace Routing;

namespace {

PoolDefinition keyPartitioned(std::string name)
{
    return { .name = { std::move(name) }, .kind = PoolKind::KeyPartitioned };
}
PoolDefinition anyServer(std::string name) { return { .name = { std::move(name) } }; }

RouteDefinition route(std::string name, std::string pool, std::string prefix, KeySource key = NoKey {})
{
    return {
        .name = { std::move(name) }, .pool = { std::move(pool) }, .pathPrefix = std::move(prefix), .key = std::move(key)
    };
}

RequestHead request(std::string_view method, std::string_view path, std::string_view query = {})
{
    return { "site.example:8080", method, path, query, [](std::string_view name) -> std::optional<std::string_view> {
                if (name == "X-Account")
                    return "account 9";
                return std::nullopt;
            } };
}

RoutingTable build(std::vector<PoolDefinition> pools, std::vector<RouteDefinition> routes)
{
    auto result = RoutingTable::build(std::move(pools), std::move(routes));
    BOOST_REQUIRE(!result.isError());
    return std::move(result).value();
}

template <typename E> bool failsWith(std::vector<PoolDefinition> pools, std::vector<RouteDefinition> routes)
{
    auto const result = RoutingTable::build(std::move(pools), std::move(routes));
    if (!result.isError())
        return false;
    return std::ranges::any_of(result.error(), [](auto const& error) { return std::holds_alternative<E>(error); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(Tables)

BOOST_AUTO_TEST_CASE(LongestPrefixOfWholeSegmentsWins)
{
    auto const table
        = build({ anyServer("a"), anyServer("b") }, { route("all", "a", "/"), route("letters", "b", "/letters") });
    BOOST_TEST(table.match(request("GET", "/letters/7"))->name.value == "letters");
    BOOST_TEST(table.match(request("GET", "/letters"))->name.value == "letters");
    BOOST_TEST(table.match(request("GET", "/letters2"))->name.value == "all");
}

BOOST_AUTO_TEST_CASE(HostMethodAndHeaderRaisePrecedence)
{
    auto byHost = route("host", "a", "/x");
    byHost.host = "Site.example";
    auto byMethod = route("method", "a", "/y");
    byMethod.methods = { "POST" };
    auto byHeader = route("header", "a", "/y");
    byHeader.header = HeaderCondition { "X-Account", "" };
    auto const table
        = build({ anyServer("a") }, { byHost, route("x", "a", "/x"), byMethod, byHeader, route("y", "a", "/y") });
    BOOST_TEST(table.match(request("GET", "/x"))->name.value == "host");
    BOOST_TEST(table.match(request("POST", "/y"))->name.value == "header");
    BOOST_TEST(table.match(request("GET", "/none")) == nullptr);
}

BOOST_AUTO_TEST_CASE(InvalidTablesAreRefusedWithTheReason)
{
    BOOST_TEST(failsWith<RouteToMissingPool>({}, { route("r", "missing", "/") }));
    BOOST_TEST(failsWith<DuplicatePool>({ anyServer("a"), anyServer("a") }, {}));
    BOOST_TEST(failsWith<DuplicateRoute>({ anyServer("a") }, { route("r", "a", "/1"), route("r", "a", "/2") }));
    BOOST_TEST(failsWith<OverlappingRoutes>({ anyServer("a") }, { route("r", "a", "/1"), route("s", "a", "/1/") }));
    BOOST_TEST(failsWith<KeySourceMismatch>({ keyPartitioned("a") }, { route("r", "a", "/") }));
    BOOST_TEST(failsWith<KeySourceMismatch>({ anyServer("a") }, { route("r", "a", "/", KeyFromHeader { "K" }) }));
    BOOST_TEST(failsWith<InvalidPathPrefix>({ anyServer("a") }, { route("r", "a", "letters") }));
    auto pool = keyPartitioned("a");
    pool.slotCount = 0;
    BOOST_TEST(failsWith<SlotCountOutOfRange>({ pool }, {}));
}

BOOST_AUTO_TEST_CASE(KeyComesFromEachSourceDecoded)
{
    auto const head = request("GET", "/letters/a%2Fb/status", "x=1&letter=c%20d");
    BOOST_TEST(extractKey(KeyFromPathSegment { 1 }, head).value() == "a/b");
    BOOST_TEST(extractKey(KeyFromQuery { "letter" }, head).value() == "c d");
    BOOST_TEST(extractKey(KeyFromHeader { "X-Account" }, head).value() == "account 9");
    BOOST_TEST(std::holds_alternative<KeyMissing>(extractKey(KeyFromPathSegment { 3 }, head).error()));
    BOOST_TEST(std::holds_alternative<KeyMissing>(extractKey(KeyFromQuery { "none" }, head).error()));
}

BOOST_AUTO_TEST_CASE(LongKeysAreRefused)
{
    auto const path = "/letters/" + std::string(maxKeyBytes + 1, 'k');
    auto const result = extractKey(KeyFromPathSegment { 1 }, request("GET", path));
    BOOST_REQUIRE(result.isError());
    BOOST_TEST(std::holds_alternative<KeyTooLong>(result.error()));
}

BOOST_AUTO_TEST_SUITE_END()
