#include <LibNet/BulkPacer.h>

#include <boost/test/unit_test.hpp>

using namespace Net;
using namespace std::chrono_literals;

namespace {

Core::TimePoint const start { 1000s };
/// A link of 5.3 Mbit/s.
constexpr double linkRate = 5.3e6 / 8;

} // namespace

BOOST_AUTO_TEST_CASE(SomethingSmallWaitsBehindAPieceAndNotBehindWholeBodies)
{
    // Three uploads of 60 KB are there at once. Handed over whole they hold up the next small answer for 270 ms.
    constexpr std::size_t bodyBytes = 60'000;
    BulkPacer pacer(linkRate);
    std::size_t left = 3 * bodyBytes;
    double queued = 0;
    double mostQueued = 0;
    auto now = start;
    while (left > 0 && now < start + 5s) {
        while (auto const bytes = pacer.take(now, left)) {
            left -= bytes;
            queued += static_cast<double>(bytes);
        }
        mostQueued = std::max(mostQueued, queued);
        now += 1ms;
        queued = std::max(0.0, queued - linkRate / 1000);
    }
    BOOST_TEST(left == 0U);
    BOOST_TEST(mostQueued / linkRate < 0.020);
    // The link is not left idle: 180 KB take 272 ms.
    BOOST_TEST((now - start < 330ms));
}

BOOST_AUTO_TEST_CASE(WithoutARateNothingIsHeldUp)
{
    BulkPacer pacer;
    BOOST_TEST(pacer.take(start, 1'000'000) == 1'000'000U);
    BOOST_TEST(pacer.take(start, 1'000'000) == 1'000'000U);
}
