#include "../Support/Loopback.h"

#include <boost/test/unit_test.hpp>
#include <platform/ChangeParser.h>

using namespace std::chrono_literals;

namespace {

std::string changeWithRoutes(std::size_t count)
{
    std::string routes;
    for (std::size_t i = 0; i < count; ++i) {
        auto const name = std::to_string(i);
        if (!routes.empty())
            routes += ',';
        routes += R"({"Name":"r)";
        routes += name;
        routes += R"(","Host":"h","PathPrefix":"/)";
        routes += name;
        routes
            += R"(/","Kind":"safe","TimeoutS":1,"TargetLatencyS":1,"Priority":1,"Service":"s","MaxAttempts":2,"Version":1})";
    }
    return R"({"Upsert":{"Routes":[)" + routes + R"(],"Services":[]},"Remove":{"Routes":[]}})";
}

struct Fixture {
    Net::EventLoop loop;
    std::unique_ptr<Platform::ChangeParser> parser { std::make_unique<Platform::ChangeParser>(
        [this](std::function<void()> function) { loop.post(std::move(function)); }) };
    std::optional<Platform::ChangeParser::Result> parsed;

    void parse(std::string body)
    {
        parser->parse(std::move(body), [this](auto result) { parsed.emplace(std::move(result)); });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ChangeParsers, Fixture)

BOOST_AUTO_TEST_CASE(ChangesAreParsedOneAfterTheOther)
{
    for (std::size_t count = 1; count <= 3; ++count) {
        parsed.reset();
        parse(changeWithRoutes(count));
        BOOST_REQUIRE(Test::runUntil(loop, [&] { return parsed.has_value(); }));
        BOOST_REQUIRE(!parsed->isError());
        BOOST_TEST(parsed->value().routes.size() == count);
    }
    parsed.reset();
    parse("{");
    BOOST_REQUIRE(Test::runUntil(loop, [&] { return parsed.has_value(); }));
    BOOST_TEST(parsed->isError());
}

// Guards against a leader that reads a large change on its loop, sends no heartbeat in that time, and is taken for
// lost.
BOOST_AUTO_TEST_CASE(TheLoopTurnsWhileALargeChangeIsParsed)
{
    parse(changeWithRoutes(5000));
    std::size_t turns = 0;
    std::function<void()> const turn = [&] {
        ++turns;
        if (!parsed)
            loop.post(turn);
    };
    loop.post(turn);
    BOOST_REQUIRE(Test::runUntil(loop, [&] { return parsed.has_value(); }));
    BOOST_TEST(parsed->value().routes.size() == 5000U);
    BOOST_TEST(turns > 10U);
}

BOOST_AUTO_TEST_CASE(NoCallbackFollowsTheEndOfTheParser)
{
    for (int i = 0; i < 20; ++i) {
        parser = std::make_unique<Platform::ChangeParser>(
            [this](std::function<void()> function) { loop.post(std::move(function)); });
        parse(changeWithRoutes(20));
        parser.reset();
        Test::runFor(loop, 5ms);
        BOOST_TEST(!parsed.has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
