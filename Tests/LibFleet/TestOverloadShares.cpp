#include <LibFleet/OverloadShares.h>

#include <boost/test/unit_test.hpp>

#include <numeric>

using namespace Fleet;

namespace {

double admittedLoad(std::vector<double> const& loads, std::vector<double> const& fractions)
{
    return std::inner_product(loads.begin(), loads.end(), fractions.begin(), 0.0);
}

} // namespace

BOOST_AUTO_TEST_CASE(AllRequestsAreAdmittedBelowTheCapacity)
{
    std::vector<double> const loads { 3, 4, 2, 2 };
    auto const fractions = OverloadShares::admittedFractions(loads, 10);
    BOOST_TEST(fractions == std::vector<double>(4, 1.0), boost::test_tools::per_element());
    BOOST_TEST(OverloadShares::admittedFractions({}, 10).empty());
}

BOOST_AUTO_TEST_CASE(AHotKeyTakesNoCapacityFromOtherRangesOfItsServer)
{
    // One key gets 16 % of the requests of a fleet, on a server with a capacity of ten requests per second.
    std::vector<double> const loads { 0.4, 372, 0.5, 0.3, 0.4 };
    auto const fractions = OverloadShares::admittedFractions(loads, 10);
    for (std::size_t i = 0; i < loads.size(); ++i) {
        if (i != 1)
            BOOST_TEST(fractions[i] == 1.0);
    }
    // The admitted load is at least the capacity of the server, and at most twice the capacity.
    BOOST_TEST(admittedLoad(loads, fractions) <= 20.0001);
    BOOST_TEST(admittedLoad(loads, fractions) >= 10);
}

BOOST_AUTO_TEST_CASE(HotRangesShareTheRemainingCapacityEvenly)
{
    std::vector<double> const loads { 40, 20, 1 };
    auto const fractions = OverloadShares::admittedFractions(loads, 11);
    BOOST_TEST(fractions[0] * loads[0] == fractions[1] * loads[1], boost::test_tools::tolerance(1e-9));
    BOOST_TEST(fractions[1] < 1);
    BOOST_TEST(fractions[2] == 1.0);
}

BOOST_AUTO_TEST_CASE(SomeRequestsOfEveryRangeAreAdmitted)
{
    std::vector<double> const loads { 100'000 };
    BOOST_TEST(OverloadShares::admittedFractions(loads, 1).front() > 0);
}
