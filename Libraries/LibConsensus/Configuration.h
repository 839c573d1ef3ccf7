#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Result.h>

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace Consensus {

/// A control host and the address of its listener for other control hosts.
struct Member {
    Core::HostName name;
    Core::Endpoint endpoint;

    auto operator<=>(Member const&) const = default;
};

/// Adds a host that receives the log and does not count in any quorum.
struct AddLearner {
    Member member;
};
/// Makes a learner that has caught up a voter.
struct PromoteLearner {
    Core::HostName host;
};
/// Removes a voter or a learner.
struct RemoveMember {
    Core::HostName host;
};
using ConfigurationChange = std::variant<AddLearner, PromoteLearner, RemoveMember>;

enum class ChangeRefusal : std::uint8_t {
    /// An earlier change is not committed yet.
    ChangeInProgress,
    /// The leader has not committed an entry of its own term yet. Worth a retry within a second.
    LeaderNotReady,
    /// The leader is handing over its leadership.
    Transferring,
    AlreadyMember,
    NotMember,
    NotLearner,
    /// The learner lags behind or has not answered lately. Worth a retry.
    NotCaughtUp,
    LastVoter,
};

std::string_view toString(ChangeRefusal);

/// The members of the cluster. A configuration takes effect when its entry is appended, not when it is committed.
struct Configuration {
    /// Both sorted by name; a host is in at most one of them.
    std::vector<Member> voters;
    std::vector<Member> learners;

    bool operator==(Configuration const&) const = default;

    bool isVoter(Core::HostName const&) const;
    bool isLearner(Core::HostName const&) const;
    bool isMember(Core::HostName const& host) const { return isVoter(host) || isLearner(host); }
    /// The number of voters that form a majority.
    std::size_t quorum() const { return voters.size() / 2 + 1; }
    /// Null for a host that is not a member.
    Member const* find(Core::HostName const&) const;

    /// The configuration after one change. Whether a learner has caught up is for the leader to check.
    Core::Result<Configuration, ChangeRefusal> with(ConfigurationChange const&) const;

    static Configuration ofVoters(std::vector<Member> voters);
};

} // namespace Consensus
