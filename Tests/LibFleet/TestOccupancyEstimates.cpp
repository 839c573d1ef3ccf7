#include <LibFleet/OccupancyEstimates.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Fleet;

namespace {

/// Adds the same reports in each of a number of intervals, and returns the changes of the last one.
std::vector<ServerOccupancy> report(OccupancyEstimates& estimates, ServerNumber server, double requests, int intervals)
{
    std::vector<ServerOccupancy> changes;
    for (int i = 0; i < intervals; ++i) {
        estimates.add(server, 2, 2 * requests);
        estimates.advance();
        changes = estimates.takeChanges();
    }
    return changes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OccupancyEstimatesTests)

BOOST_AUTO_TEST_CASE(AFilledQueueIsDistributedWithinASecond)
{
    OccupancyEstimates estimates;
    report(estimates, 7, 20, 2);
    BOOST_REQUIRE(estimates.all().size() == 1);
    BOOST_TEST(estimates.all().front().server == 7);
    BOOST_TEST(estimates.all().front().requests >= 16);
}

BOOST_AUTO_TEST_CASE(SmallFluctuationsAreNotDistributed)
{
    OccupancyEstimates estimates;
    report(estimates, 7, 10, 8);
    int changes = 0;
    for (int i = 0; i < 5; ++i) {
        estimates.add(7, 1, i % 2 == 0 ? 9 : 11);
        estimates.advance();
        changes += static_cast<int>(estimates.takeChanges().size());
    }
    // An unchanged estimate is repeated once in three seconds.
    BOOST_TEST(changes <= 1);
}

BOOST_AUTO_TEST_CASE(AnUnchangedEstimateIsRepeatedBeforeEntryHostsDisregardIt)
{
    OccupancyEstimates estimates;
    report(estimates, 7, 10, 4);
    int repeats = 0;
    for (int i = 0; i < 8; ++i)
        repeats += static_cast<int>(report(estimates, 7, 10, 1).size());
    BOOST_TEST(repeats >= 1);
}

// A server that was overloaded and then stopped answering must not be regarded as full for ever.
BOOST_AUTO_TEST_CASE(TheEstimateOfASilentServerDecaysToZeroAndIsForgotten)
{
    OccupancyEstimates estimates;
    report(estimates, 7, 24, 3);
    std::uint32_t last = 24;
    for (int i = 0; i < 40; ++i) {
        estimates.advance();
        for (auto const& change : estimates.takeChanges())
            last = change.requests;
    }
    BOOST_TEST(last == 0);
    BOOST_TEST(estimates.all().empty());
}

BOOST_AUTO_TEST_CASE(ARemovedServerHasNoEstimate)
{
    OccupancyEstimates estimates;
    report(estimates, 7, 10, 2);
    estimates.remove(7);
    BOOST_TEST(estimates.all().empty());
}

BOOST_AUTO_TEST_CASE(TheEncodingKeepsAllFields)
{
    ServerOccupancies const sent { { { 3, 12, 380 }, { 4000, 0, 0 } } };
    auto const received = nlohmann::json(sent).get<ServerOccupancies>();
    BOOST_REQUIRE(received.rows.size() == 2);
    BOOST_TEST(received.rows[0].server == 3);
    BOOST_TEST(received.rows[0].requests == 12);
    BOOST_TEST(received.rows[0].serviceMs == 380);
    BOOST_TEST(received.rows[1].server == 4000);
    BOOST_CHECK_THROW(nlohmann::json({ 1, "x", 3 }).get<ServerOccupancies>(), nlohmann::json::exception);
}

BOOST_AUTO_TEST_SUITE_END()
