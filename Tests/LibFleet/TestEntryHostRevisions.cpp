#include <LibFleet/EntryHostRevisions.h>

#include <boost/test/unit_test.hpp>

using namespace Fleet;
using namespace std::chrono_literals;

namespace {

Core::TimePoint const start { 1000s };

} // namespace

BOOST_AUTO_TEST_SUITE(EntryHostRevisionsTests)

BOOST_AUTO_TEST_CASE(AHostIsBehindFromTheOldestChangeThatItLacks)
{
    EntryHostRevisions revisions;
    revisions.onJoin("a", 0, start);
    revisions.onJoin("b", 0, start);
    revisions.onChange(1, start + 1s);
    revisions.onChange(2, start + 2s);
    revisions.onReport("a", 2);
    revisions.onReport("b", 1);
    BOOST_TEST(revisions.behind(start + 3s, 1s).empty());
    auto const behind = revisions.behind(start + 4s, 1s);
    BOOST_REQUIRE(behind.size() == 1);
    BOOST_TEST(behind.front().entryHost == "b");
    BOOST_TEST(behind.front().revision == 1);
    BOOST_TEST((behind.front().time == 2s));
    revisions.onReport("b", 2);
    BOOST_TEST(revisions.behind(start + 9s, 1s).empty());
}

BOOST_AUTO_TEST_CASE(AHostThatJoinsIsNotBehindBeforeItsFirstUpdateMayHaveArrived)
{
    EntryHostRevisions revisions;
    revisions.onChange(1, start);
    revisions.onJoin("a", 0, start + 10s);
    BOOST_TEST(revisions.behind(start + 11s, 1s).empty());
    BOOST_TEST(revisions.behind(start + 12s, 1s).size() == 1);
    // A host of an earlier version reports no revision.
    revisions.onReport("a", 0);
    BOOST_TEST(revisions.behind(start + 12s, 1s).size() == 1);
    revisions.onLeave("a");
    BOOST_TEST(revisions.behind(start + 12s, 1s).empty());
    revisions.onReport("a", 1);
    BOOST_TEST(revisions.behind(start + 12s, 1s).empty());
}

BOOST_AUTO_TEST_CASE(OldChangesAreForgotten)
{
    EntryHostRevisions revisions;
    revisions.onJoin("a", 0, start);
    for (std::uint64_t revision = 1; revision <= 1000; ++revision)
        revisions.onChange(revision, start + std::chrono::milliseconds(revision));
    revisions.onReport("a", 1000);
    BOOST_TEST(revisions.behind(start + 9s, 1s).empty());
    revisions.onReport("a", 3);
    BOOST_TEST(revisions.behind(start + 9s, 1s).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
