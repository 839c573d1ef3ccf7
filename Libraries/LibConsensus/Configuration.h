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

/// Adds a host as a learner, which receives the log but does not count towards any quorum.
struct AddLearner {
    Member member;
};
/// Promotes a learner that has caught up to a voter.
struct PromoteLearner {
    Core::HostName host;
};
/// Removes a voter or a learner.
struct RemoveMember {
    Core::HostName host;
};
using ConfigurationChange = std::variant<AddLearner, PromoteLearner, RemoveMember>;

enum class ChangeRefusal : std::uint8_t {
    /// An earlier configuration change is not committed yet.
    ChangeInProgress,
    /// The leader has not committed an entry of its own term yet. The caller can retry within a second.
    LeaderNotReady,
    /// A leadership transfer is in progress.
    Transferring,
    AlreadyMember,
    NotMember,
    NotLearner,
    /// The learner's log lags too far behind, or the learner has not responded recently. The caller can retry.
    NotCaughtUp,
    LastVoter,
};

std::string_view toString(ChangeRefusal);

/// The members of the cluster. A configuration takes effect when its entry is appended, not when it is committed.
struct Configuration {
    /// Voters and learners are both sorted by name; a host is in at most one of the two.
    std::vector<Member> voters;
    std::vector<Member> learners;

    bool operator==(Configuration const&) const = default;

    bool isVoter(Core::HostName const&) const;
    bool isLearner(Core::HostName const&) const;
    bool isMember(Core::HostName const& host) const { return isVoter(host) || isLearner(host); }
    /// The number of voters that form a majority.
    std::size_t quorum() const { return voters.size() / 2 + 1; }
    /// Returns the member with this name, or null if the host is not a member.
    Member const* find(Core::HostName const&) const;

    /// Returns the configuration that results from one change, or the reason why the change is not allowed. The leader
    /// must check separately whether a learner has caught up.
    Core::Result<Configuration, ChangeRefusal> with(ConfigurationChange const&) const;

    /// A name that is given more than once counts once.
    static Configuration ofVoters(std::vector<Member> voters);
};

} // namespace Consensus
