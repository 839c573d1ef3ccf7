#include <LibFleet/CrashSuspects.h>

#include <boost/test/unit_test.hpp>

using namespace Fleet;
using namespace std::chrono_literals;

namespace {

constexpr Core::TimePoint start { 1000s };
constexpr Core::Duration verificationTime = 1200ms;
constexpr Core::Duration quarantineTime = 10min;

void crash(CrashSuspects& suspects, ServerNumber server, std::string const& fingerprint, Core::TimePoint now)
{
    suspects.suspect(server, fingerprint, now);
    suspects.onCrash(server, now);
}

/// Quarantines the request at `start`, and returns when that was done.
Core::TimePoint quarantine(CrashSuspects& suspects, std::string const& fingerprint)
{
    for (ServerNumber server = 1; server <= 3; ++server)
        crash(suspects, server, fingerprint, start);
    suspects.tick(start);
    suspects.tick(start + verificationTime);
    BOOST_REQUIRE(suspects.quarantined().size() == 1U);
    return start + verificationTime;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CrashSuspect)

BOOST_AUTO_TEST_CASE(TwoCrashesOfOneServerCountOnce)
{
    CrashSuspects suspects;
    for (int i = 0; i < 5; ++i)
        crash(suspects, 1, "poison", start);
    suspects.tick(start);
    suspects.tick(start + verificationTime);
    BOOST_TEST(suspects.suspects().empty());
    BOOST_TEST(suspects.quarantined().empty());
}

BOOST_AUTO_TEST_CASE(ADecisionNamesItsEvidence)
{
    CrashSuspects suspects;
    quarantine(suspects, "poison");
    BOOST_TEST(suspects.takeChange());
    auto const decisions = suspects.takeDecisions();
    BOOST_REQUIRE(decisions.size() == 1U);
    BOOST_TEST(decisions.front().fingerprint == "poison");
    BOOST_TEST(decisions.front().isQuarantined);
    BOOST_TEST(decisions.front().crashedServers == 3U);
    BOOST_TEST(suspects.takeDecisions().empty());
}

BOOST_AUTO_TEST_CASE(AQuarantineEnds)
{
    CrashSuspects suspects;
    auto const begin = quarantine(suspects, "poison");
    suspects.tick(begin + quarantineTime - 1s);
    BOOST_TEST(suspects.quarantined().size() == 1U);
    suspects.tick(begin + quarantineTime);
    BOOST_TEST(suspects.quarantined().empty());
    BOOST_TEST(!suspects.takeDecisions().back().isQuarantined);
}

// An entry host may report what was in progress after the leader has noticed the crash.
BOOST_AUTO_TEST_CASE(ALateReportCounts)
{
    CrashSuspects suspects;
    for (ServerNumber server = 1; server <= 3; ++server) {
        suspects.onCrash(server, start);
        suspects.onRemoved(server);
        suspects.suspect(server, "poison", start + 2s);
    }
    suspects.tick(start + 2s);
    suspects.tick(start + 2s + verificationTime);
    BOOST_TEST(suspects.quarantined().size() == 1U);
}

BOOST_AUTO_TEST_CASE(ASuspicionLongBeforeACrashDoesNotCount)
{
    CrashSuspects suspects;
    for (ServerNumber server = 1; server <= 3; ++server)
        suspects.suspect(server, "common", start);
    suspects.tick(start + 30s);
    for (ServerNumber server = 1; server <= 3; ++server)
        suspects.onCrash(server, start + 30s);
    suspects.tick(start + 30s);
    BOOST_TEST(suspects.suspects().empty());
}

BOOST_AUTO_TEST_CASE(CrashesAreForgottenAfterAWhile)
{
    CrashSuspects suspects;
    crash(suspects, 1, "poison", start);
    crash(suspects, 2, "poison", start);
    suspects.tick(start + 2min);
    crash(suspects, 3, "poison", start + 2min);
    suspects.tick(start + 2min);
    BOOST_TEST(suspects.suspects().empty());
}

// A new leader takes over the quarantine; an entry host that was away does not bring back what was lifted.
BOOST_AUTO_TEST_CASE(AnAdoptedQuarantineHoldsUntilItIsLifted)
{
    CrashSuspects suspects;
    suspects.adopt("poison", start);
    suspects.tick(start);
    BOOST_TEST(suspects.quarantined().size() == 1U);
    suspects.clear("poison", start + 1s);
    BOOST_TEST(suspects.quarantined().empty());
    suspects.adopt("poison", start + 2s);
    BOOST_TEST(suspects.quarantined().empty());
}

// Guards against memory that grows with what entry hosts report.
BOOST_AUTO_TEST_CASE(WhatIsKeptIsBounded)
{
    CrashSuspects suspects;
    for (int i = 0; i < 1000; ++i)
        suspects.suspect(1, "request-" + std::to_string(i), start);
    suspects.suspect(2, "request-0", start);
    suspects.onCrash(1, start);
    suspects.onCrash(2, start);
    suspects.tick(start);
    BOOST_TEST(suspects.suspects().size() == 1U);
    for (ServerNumber server = 10; server < 2000; ++server) {
        for (int i = 0; i < 64; ++i)
            suspects.suspect(server, "r" + std::to_string(server % 500) + "-" + std::to_string(i), start);
        suspects.onCrash(server, start);
    }
    suspects.tick(start);
    BOOST_TEST(suspects.suspects().size() <= 64U);
    suspects.tick(start + 2min);
    BOOST_TEST(suspects.suspects().empty());
    BOOST_TEST(suspects.suspectedServers().empty());
}

BOOST_AUTO_TEST_SUITE_END()
