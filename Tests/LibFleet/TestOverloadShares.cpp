#include <LibFleet/OverloadShares.h>

#include <boost/test/unit_test.hpp>

#include <numeric>

using namespace Fleet;

namespace {

double admittedLoad(std::vector<double> const& loads, std::vector<double> const& parts)
{
    return std::inner_product(loads.begin(), loads.end(), parts.begin(), 0.0);
}

} // namespace

BOOST_AUTO_TEST_CASE(AServerThatBearsItsLoadGetsAllOfIt)
{
    std::vector<double> const loads { 3, 4, 2, 2 };
    auto const parts = OverloadShares::admittedParts(loads, 10);
    BOOST_TEST(parts == std::vector<double>(4, 1.0), boost::test_tools::per_element());
    BOOST_TEST(OverloadShares::admittedParts({}, 10).empty());
}

BOOST_AUTO_TEST_CASE(AHotKeyTakesNothingFromItsNeighboursOnTheSameServer)
{
    // One key with 16 of 100 requests of a fleet, on a server that does ten a second.
    std::vector<double> const loads { 0.4, 372, 0.5, 0.3, 0.4 };
    auto const parts = OverloadShares::admittedParts(loads, 10);
    for (std::size_t i = 0; i < loads.size(); ++i) {
        if (i != 1)
            BOOST_TEST(parts[i] == 1.0);
    }
    // At least what the server can do, and at most twice as much.
    BOOST_TEST(admittedLoad(loads, parts) <= 20.0001);
    BOOST_TEST(admittedLoad(loads, parts) >= 10);
}

BOOST_AUTO_TEST_CASE(HotRangesShareWhatIsLeftEvenly)
{
    std::vector<double> const loads { 40, 20, 1 };
    auto const parts = OverloadShares::admittedParts(loads, 11);
    BOOST_TEST(parts[0] * loads[0] == parts[1] * loads[1], boost::test_tools::tolerance(1e-9));
    BOOST_TEST(parts[1] < 1);
    BOOST_TEST(parts[2] == 1.0);
}

BOOST_AUTO_TEST_CASE(SomeRequestsOfEveryRangeAreAdmitted)
{
    std::vector<double> const loads { 100'000 };
    BOOST_TEST(OverloadShares::admittedParts(loads, 1).front() > 0);
}
