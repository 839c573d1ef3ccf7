#include <LibNet/BulkPacer.h>

#include <boost/test/unit_test.hpp>

using namespace Net;
using namespace std::chrono_literals;

namespace {

Core::TimePoint const start { 1000s };
struct Sender final : BulkSender {
    void onTurn() override { ++turns; }

    int turns { 0 };
};

/// A link of 5.3 Mbit/s.
constexpr double linkRate = 5.3e6 / 8;

/// A link that sends in the order in which bytes are handed over, beside bodies that wait without a pause.
struct BusyLink {
    void run(Core::Duration duration, double otherBytesPerSecond)
    {
        constexpr std::size_t messageBytes = 2000;
        double due = 0;
        for (Core::Duration time {}; time < duration; time += 1ms) {
            now += 1ms;
            queued = std::max(0.0, queued - linkRate / 1000);
            due += otherBytesPerSecond / 1000;
            while (due >= messageBytes) {
                due -= messageBytes;
                pacer.countOther(now, messageBytes);
                queued += messageBytes;
                mostQueued = std::max(mostQueued, queued);
            }
            while (auto const bytes = pacer.take(now, sender, 1'000'000)) {
                bodyBytes += bytes;
                queued += static_cast<double>(bytes);
                mostQueued = std::max(mostQueued, queued);
            }
        }
    }

    BulkPacer pacer { linkRate };
    Sender sender;
    Core::TimePoint now { start };
    std::size_t bodyBytes { 0 };
    double queued { 0 };
    double mostQueued { 0 };
};

} // namespace

BOOST_AUTO_TEST_CASE(SomethingSmallWaitsBehindAPieceAndNotBehindWholeBodies)
{
    // Three uploads of 60 KB are there at once. Handed over whole they hold up the next small answer for 270 ms.
    constexpr std::size_t bodyBytes = 60'000;
    BulkPacer pacer(linkRate);
    Sender sender;
    std::size_t left = 3 * bodyBytes;
    double queued = 0;
    double mostQueued = 0;
    auto now = start;
    while (left > 0 && now < start + 5s) {
        while (auto const bytes = pacer.take(now, sender, left)) {
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

// CONFIG: requests with a second to run were held up for longer than that behind bodies which took the whole link.
BOOST_FIXTURE_TEST_CASE(BodiesTakeWhatSmallMessagesLeave, BusyLink)
{
    run(10s, 0.6 * linkRate);
    BOOST_TEST(mostQueued / linkRate < 0.030);
    BOOST_TEST(static_cast<double>(bodyBytes) > 0.35 * 10 * linkRate);
}

BOOST_FIXTURE_TEST_CASE(BodiesKeepAPartOfALinkThatSmallMessagesFill, BusyLink)
{
    run(10s, 1.5 * linkRate);
    BOOST_TEST(static_cast<double>(bodyBytes) > 0.2 * 10 * linkRate);
    BOOST_TEST(static_cast<double>(bodyBytes) < 0.3 * 10 * linkRate);
}

BOOST_FIXTURE_TEST_CASE(ABurstOfOtherBytesHoldsBodiesUpForABoundedTime, BusyLink)
{
    pacer.countOther(now, 50'000'000);
    BOOST_TEST((pacer.nextAt() > now));
    BOOST_TEST((pacer.nextAt() <= now + 200ms));
    // What was left idle is not made up for later.
    run(1s, 0);
    now += 10s;
    pacer.countOther(now, 50'000'000);
    BOOST_TEST((pacer.nextAt() <= now + 200ms));
}

BOOST_AUTO_TEST_CASE(BodiesAreSentOneAfterTheOther)
{
    BulkPacer pacer(linkRate);
    Sender first;
    Sender second;
    Sender third;
    BOOST_TEST(pacer.take(start, first, 60'000) > 0U);
    // The link has taken the first piece by then.
    auto const later = start + 1s;
    BOOST_TEST(pacer.take(later, second, 60'000) == 0U);
    BOOST_TEST(pacer.take(later, third, 60'000) == 0U);
    BOOST_TEST(pacer.take(later, first, 60'000) > 0U);
    pacer.leave(second);
    BOOST_TEST(third.turns == 0);
    pacer.leave(first);
    BOOST_TEST(third.turns == 1);
    BOOST_TEST(second.turns == 0);
    BOOST_TEST(pacer.take(later, third, 60'000) == 0U);
    BOOST_TEST(pacer.take(pacer.nextAt(), third, 60'000) > 0U);
    pacer.leave(third);
}

BOOST_AUTO_TEST_CASE(WithoutARateNothingIsHeldUp)
{
    BulkPacer pacer;
    Sender sender;
    pacer.countOther(start, 1'000'000);
    BOOST_TEST(pacer.take(start, sender, 1'000'000) == 1'000'000U);
    BOOST_TEST(pacer.take(start, sender, 1'000'000) == 1'000'000U);
}
