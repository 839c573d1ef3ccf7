#include <LibControlHost/MembershipPlan.h>

#include <algorithm>

namespace ControlHost {

namespace {

    using Consensus::Member;
    using Consensus::PeerStatus;

    Member const* memberAt(
        std::span<Member const> members, Core::Endpoint const& endpoint, Core::HostName const& except)
    {
        auto const found = std::ranges::find_if(
            members, [&](auto const& member) { return member.endpoint == endpoint && member.name != except; });
        return found == members.end() ? nullptr : &*found;
    }

    PeerStatus const* peerOf(Consensus::Status const& status, Core::HostName const& host)
    {
        auto const found = std::ranges::find(status.peers, host, &PeerStatus::host);
        return found == status.peers.end() ? nullptr : &*found;
    }

    bool isReachable(Consensus::Status const& status, Member const& member, Core::TimePoint now, Core::Duration within)
    {
        auto const* const peer = peerOf(status, member.name);
        return peer && now - peer->lastContact <= within;
    }

    bool hasCaughtUp(Consensus::Status const& status, Member const& member)
    {
        auto const* const peer = peerOf(status, member.name);
        return peer && peer->matchIndex.value > 0 && peer->matchIndex >= status.commitIndex;
    }

    Member const* silentVoter(Consensus::Status const& status, Core::TimePoint now)
    {
        auto const found = std::ranges::find_if(status.configuration.voters, [&](auto const& voter) {
            return peerOf(status, voter.name) && !isReachable(status, voter, now, voterSilenceLimit);
        });
        return found == status.configuration.voters.end() ? nullptr : &*found;
    }

} // namespace

std::optional<Consensus::ConfigurationChange> planMembership(
    Consensus::Status const& status, std::span<Joiner const> joiners, Core::TimePoint now)
{
    auto const& group = status.configuration;
    for (auto const& learner : group.learners) {
        if (!isReachable(status, learner, now, learnerContactLimit) || !hasCaughtUp(status, learner))
            continue;
        if (auto const* const previous = memberAt(group.voters, learner.endpoint, learner.name))
            return Consensus::RemoveMember { previous->name };
        if (group.voters.size() < maxVoters)
            return Consensus::PromoteLearner { learner.name };
        if (auto const* const silent = silentVoter(status, now))
            return Consensus::RemoveMember { silent->name };
    }
    for (auto const& joiner : joiners) {
        if (group.isMember(joiner.member.name))
            continue;
        if (auto const* const previous = memberAt(group.learners, joiner.member.endpoint, joiner.member.name))
            return Consensus::RemoveMember { previous->name };
        return Consensus::AddLearner { joiner.member };
    }
    // A learner that is permanently lost would otherwise stay in the configuration forever.
    auto const lost = std::ranges::find_if(group.learners, [&](auto const& learner) {
        auto const* const peer = peerOf(status, learner.name);
        return peer && now - peer->lastContact > voterSilenceLimit * 4;
    });
    if (lost != group.learners.end())
        return Consensus::RemoveMember { lost->name };
    return std::nullopt;
}

} // namespace ControlHost
