#pragma once

#include <LibConsensus/Node.h>

#include <span>

namespace ControlHost {

/// A control host that has requested to join the group.
struct Joiner {
    Consensus::Member member;
    Core::TimePoint lastHeard;
};

/// Returns the next membership change of the control group, if one is due.
///
/// A host is identified by an identity on its disk, so a host that lost its disk is another member at the same address.
/// It first receives the log as a learner. Only then does it replace the identity that is permanently lost, so that the
/// number of unreachable voters never increases. A silent voter is replaced by a reachable learner. The group has at
/// most `maxVoters` voters, of which two may fail.
std::optional<Consensus::ConfigurationChange> planMembership(
    Consensus::Status const&, std::span<Joiner const>, Core::TimePoint now);

inline constexpr std::size_t maxVoters = 5;
/// The time without contact after which a voter may be replaced by a learner. It is longer than the restart of a
/// process.
inline constexpr Core::Duration voterSilenceLimit = std::chrono::milliseconds(2500);
/// The maximum time since the last contact with a learner that counts as reachable.
inline constexpr Core::Duration learnerContactLimit = std::chrono::milliseconds(800);

} // namespace ControlHost
