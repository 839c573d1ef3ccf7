#include <LibConsensus/Configuration.h>

#include <algorithm>

namespace Consensus {

namespace {

    bool contains(std::vector<Member> const& members, Core::HostName const& host)
    {
        return std::ranges::find(members, host, &Member::name) != members.end();
    }

    void insert(std::vector<Member>& members, Member member)
    {
        members.insert(std::ranges::lower_bound(members, member.name, {}, &Member::name), std::move(member));
    }

    void erase(std::vector<Member>& members, Core::HostName const& host)
    {
        std::erase_if(members, [&](auto const& member) { return member.name == host; });
    }

    Core::Result<Configuration, ChangeRefusal> apply(Configuration configuration, AddLearner const& change)
    {
        if (configuration.isMember(change.member.name))
            return ChangeRefusal::AlreadyMember;
        insert(configuration.learners, change.member);
        return configuration;
    }

    Core::Result<Configuration, ChangeRefusal> apply(Configuration configuration, PromoteLearner const& change)
    {
        if (!configuration.isMember(change.host))
            return ChangeRefusal::NotMember;
        if (configuration.isVoter(change.host))
            return ChangeRefusal::NotLearner;
        auto const member = *configuration.find(change.host);
        erase(configuration.learners, change.host);
        insert(configuration.voters, member);
        return configuration;
    }

    Core::Result<Configuration, ChangeRefusal> apply(Configuration configuration, RemoveMember const& change)
    {
        if (!configuration.isMember(change.host))
            return ChangeRefusal::NotMember;
        if (configuration.isVoter(change.host) && configuration.voters.size() == 1)
            return ChangeRefusal::LastVoter;
        erase(configuration.voters, change.host);
        erase(configuration.learners, change.host);
        return configuration;
    }

} // namespace

std::string_view toString(ChangeRefusal refusal)
{
    switch (refusal) {
    case ChangeRefusal::ChangeInProgress:
        return "change-in-progress";
    case ChangeRefusal::LeaderNotReady:
        return "leader-not-ready";
    case ChangeRefusal::Transferring:
        return "transferring";
    case ChangeRefusal::AlreadyMember:
        return "already-member";
    case ChangeRefusal::NotMember:
        return "not-member";
    case ChangeRefusal::NotLearner:
        return "not-learner";
    case ChangeRefusal::NotCaughtUp:
        return "not-caught-up";
    case ChangeRefusal::LastVoter:
        return "last-voter";
    }
    return "unknown";
}

bool Configuration::isVoter(Core::HostName const& host) const { return contains(voters, host); }
bool Configuration::isLearner(Core::HostName const& host) const { return contains(learners, host); }

Member const* Configuration::find(Core::HostName const& host) const
{
    for (auto const* members : { &voters, &learners }) {
        auto const found = std::ranges::find(*members, host, &Member::name);
        if (found != members->end())
            return &*found;
    }
    return nullptr;
}

Core::Result<Configuration, ChangeRefusal> Configuration::with(ConfigurationChange const& change) const
{
    return std::visit([&](auto const& kind) { return apply(*this, kind); }, change);
}

Configuration Configuration::ofVoters(std::vector<Member> voters)
{
    std::ranges::sort(voters);
    auto const haveSameName = [](auto const& a, auto const& b) { return a.name == b.name; };
    voters.erase(std::unique(voters.begin(), voters.end(), haveSameName), voters.end());
    return { std::move(voters), {} };
}

} // namespace Consensus
