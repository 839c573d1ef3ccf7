#include <LibControlHost/MembershipPlan.h>

#include <boost/test/unit_test.hpp>

using namespace ControlHost;
using namespace Consensus;
using namespace std::chrono_literals;

namespace {

Core::TimePoint const now { 1000s };

Member member(int host, std::string const& identity = "a")
{
    Core::Endpoint const address { "10.0.0." + std::to_string(host), 7000 };
    return { { address.toString() + "#" + identity }, address };
}

/// The status of a group of the hosts 1 to `voters`, as seen by its leader, host 1.
struct Group {
    explicit Group(int voters)
    {
        std::vector<Member> members;
        for (int i = 1; i <= voters; ++i)
            members.push_back(member(i));
        status.configuration = Configuration::ofVoters(members);
        status.commitIndex = { 50 };
        for (int i = 2; i <= voters; ++i)
            addPeer(member(i), true);
    }

    void addPeer(Member const& peer, bool isVoter, Core::Duration silentFor = 0s, std::uint64_t match = 50)
    {
        PeerStatus entry;
        entry.host = peer.name;
        entry.isVoter = isVoter;
        entry.matchIndex = { match };
        entry.lastContact = now - silentFor;
        status.peers.push_back(entry);
    }

    void addLearner(Member const& learner, Core::Duration silentFor = 0s, std::uint64_t match = 50)
    {
        status.configuration.learners.push_back(learner);
        addPeer(learner, false, silentFor, match);
    }

    void silence(int host, Core::Duration time)
    {
        std::ranges::find(status.peers, member(host).name, &PeerStatus::host)->lastContact = now - time;
    }

    Status status;
};

template <typename Change> Core::HostName hostOf(std::optional<ConfigurationChange> const& change)
{
    auto const* const found = change ? std::get_if<Change>(&*change) : nullptr;
    return found ? found->host : Core::HostName {};
}

} // namespace

BOOST_AUTO_TEST_CASE(AJoiningHostBecomesALearnerFirst)
{
    Group const group(3);
    std::vector<Joiner> const joiners { { member(4), now } };
    auto const change = planMembership(group.status, joiners, now);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST((std::get<AddLearner>(*change).member == member(4)));
}

BOOST_AUTO_TEST_CASE(ALearnerIsPromotedAfterItHasCaughtUp)
{
    Group group(3);
    group.addLearner(member(4), 0s, 30);
    BOOST_TEST(!planMembership(group.status, {}, now).has_value());
    group.status.peers.back().matchIndex = { 50 };
    BOOST_TEST((hostOf<PromoteLearner>(planMembership(group.status, {}, now)) == member(4).name));
}

// Two of five hosts lost their disks. An old identity is removed only after the new identity of its host has the log.
BOOST_AUTO_TEST_CASE(TheIdentityOfALostDiskIsReplacedByTheNewOneAtItsAddress)
{
    Group group(5);
    group.silence(5, 1s);
    std::vector<Joiner> const joiners { { member(5, "b"), now } };
    BOOST_TEST((std::get<AddLearner>(*planMembership(group.status, joiners, now)).member == member(5, "b")));
    group.addLearner(member(5, "b"), 0s, 0);
    BOOST_TEST(!planMembership(group.status, joiners, now).has_value());
    group.status.peers.back().matchIndex = { 50 };
    BOOST_TEST((hostOf<RemoveMember>(planMembership(group.status, joiners, now)) == member(5).name));
}

BOOST_AUTO_TEST_CASE(ASilentVoterIsReplacedOnlyByAReachableLearner)
{
    Group group(5);
    group.silence(3, 4s);
    BOOST_TEST(!planMembership(group.status, {}, now).has_value());
    group.addLearner(member(6), 5s);
    BOOST_TEST(!planMembership(group.status, {}, now).has_value());
    group.status.peers.back().lastContact = now;
    BOOST_TEST((hostOf<RemoveMember>(planMembership(group.status, {}, now)) == member(3).name));
}

BOOST_AUTO_TEST_CASE(ARestartingVoterIsNotReplaced)
{
    Group group(5);
    group.addLearner(member(6));
    group.silence(3, 1500ms);
    BOOST_TEST(!planMembership(group.status, {}, now).has_value());
}

BOOST_AUTO_TEST_CASE(ALostLearnerIsRemoved)
{
    Group group(5);
    group.addLearner(member(6), 30s);
    BOOST_TEST((hostOf<RemoveMember>(planMembership(group.status, {}, now)) == member(6).name));
}
