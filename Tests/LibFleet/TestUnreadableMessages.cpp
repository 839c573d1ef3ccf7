#include "Builders.h"

#include <LibCore/Random.h>
#include <LibFleet/View.h>

#include <boost/test/unit_test.hpp>

using namespace TestFleet;
using namespace Fleet;

namespace {

constexpr int mutations = 20'000;

ViewUpdate makeUpdate()
{
    ViewUpdate update;
    update.isWhole = true;
    update.itemRevision = 3;
    update.routes.push_back({ "route", { 1, makeRoute("route", 1) } });
    update.pools.push_back({ "letters", { 1, makePool() } });
    update.servers.push_back({ makeServer(1), 500 });
    update.ranges.rows.push_back({ lettersPool, 0, keyCount - 1, 1, 0 });
    update.occupancies.rows.push_back({ 1, 12, 380 });
    update.quarantined = std::vector<std::string> { "fingerprint" };
    update.suspects = std::vector<std::string> { "other" };
    return update;
}

LoadReport makeReport()
{
    LoadReport report;
    report.arrivals.push_back({ lettersPool, { { 7, 3 } } });
    report.contacts.push_back({ 1, 2, 0 });
    report.latencies.push_back({ 1, 2, 250.0 });
    report.suspicions.push_back({ "fingerprint", 1 });
    report.harmless.emplace_back("other");
    report.occupancies.push_back({ 1, 2, 24 });
    return report;
}

/// Decodes copies of the encoding with changed, removed and added bytes. The process ends if an exception escapes.
template <typename Message> int countRejected(Message const& message)
{
    Core::Random random(17);
    auto const bytes = encode(message);
    int rejected = 0;
    for (int i = 0; i < mutations; ++i) {
        auto damaged = bytes;
        auto const position = random.below(damaged.size());
        switch (random.below(3)) {
        case 0:
            damaged[position] = static_cast<char>(random.below(256));
            break;
        case 1:
            damaged.resize(position);
            break;
        default:
            damaged.insert(position, 1, static_cast<char>(random.below(256)));
        }
        rejected += decode<Message>(damaged) ? 0 : 1;
    }
    return rejected;
}

} // namespace

BOOST_AUTO_TEST_SUITE(UnreadableMessages)

// One unreadable frame must not end a control host or an entry host.
BOOST_AUTO_TEST_CASE(ADamagedViewUpdateIsRejectedOrDecoded)
{
    BOOST_TEST_REQUIRE(decode<ViewUpdate>(encode(makeUpdate())).has_value());
    BOOST_CHECK_NO_THROW(BOOST_TEST(countRejected(makeUpdate()) > 0));
}

BOOST_AUTO_TEST_CASE(ADamagedLoadReportIsRejectedOrDecoded)
{
    BOOST_TEST_REQUIRE(decode<LoadReport>(encode(makeReport())).has_value());
    BOOST_CHECK_NO_THROW(BOOST_TEST(countRejected(makeReport()) > 0));
}

// Decoding recursed once for each level, so that one such frame ended the process.
BOOST_AUTO_TEST_CASE(AFrameThatIsNestedTooDeeplyIsRejected)
{
    constexpr std::size_t levels = 400'000;
    constexpr char listOfOne = static_cast<char>(0x81);
    std::string const frame = std::string(levels, listOfOne) + '\0';
    BOOST_TEST(!decode<ViewUpdate>(frame).has_value());
    BOOST_TEST(!decode<LoadReport>(frame).has_value());
}

BOOST_AUTO_TEST_CASE(AReportOfAnEarlierVersionHasNoOccupancies)
{
    nlohmann::json encoded = makeReport();
    encoded.erase("occupancies");
    auto const report = encoded.get<LoadReport>();
    BOOST_TEST(report.occupancies.empty());
    BOOST_TEST(report.contacts.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
