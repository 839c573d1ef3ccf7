#include "Targets.h"

#include <LibConfig/DaemonSettings.h>
#include <LibConfig/IniDocument.h>
#include <LibConfig/TablesDocument.h>
#include <LibTelemetry/Trace.h>

#include <boost/test/unit_test.hpp>

#include <filesystem>

namespace {

/// Replays each input of a folder and returns how many there are and how many were accepted.
template <typename Accepts>
std::pair<int, int> replay(std::string const& folder, void (*check)(std::string_view), Accepts accepts)
{
    std::pair<int, int> counts;
    for (auto const& entry : std::filesystem::directory_iterator(PRIMROSESHIFT_CORPUS "/" + folder)) {
        auto const input = Config::readFile(entry.path());
        BOOST_REQUIRE(!input.isError());
        BOOST_TEST_CHECKPOINT(entry.path());
        check(input.value());
        ++counts.first;
        counts.second += accepts(input.value()) ? 1 : 0;
    }
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Corpus)

// Guards against inputs that the fuzzer found once. Seeds must hold accepted and rejected inputs, since a corpus
// without accepted ones would not reach the code behind the first check.
BOOST_AUTO_TEST_CASE(InputsAreReplayed)
{
    auto const check = [](std::pair<int, int> counts) {
        BOOST_TEST(counts.second > 0);
        BOOST_TEST(counts.first > counts.second);
    };
    check(replay("settings", Fuzz::checkSettings,
        [](auto const& input) { return !Config::parseDaemonSettings(input, "input").isError(); }));
    check(replay(
        "tables", Fuzz::checkTables, [](auto const& input) { return !Config::parseTables(input, "input").isError(); }));
    check(replay("traceparent", Fuzz::checkTraceparent,
        [](auto const& input) { return Telemetry::TraceContext::parse(input).has_value(); }));
}

BOOST_AUTO_TEST_SUITE_END()
