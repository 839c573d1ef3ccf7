#pragma once

#include <LibConsensus/Node.h>

#include <span>

namespace ControlHost {

/// A control host that asks to take part.
struct Joiner {
    Consensus::Member member;
    Core::TimePoint lastHeard;
};

/// The next change of the control group, if one is due.
///
/// A host is known by an identity on its disk, so one that lost its disk is another member at the same address. It
/// receives the log as a learner first; only then does it take the place of the identity that is gone for good, so that
/// the group never has more absent voters than it had. A voter that is silent gives its place to a learner that is
/// present. At most `maxVoters` vote: two of them may be lost.
std::optional<Consensus::ConfigurationChange> planMembership(
    Consensus::Status const&, std::span<Joiner const>, Core::TimePoint now);

inline constexpr std::size_t maxVoters = 5;
/// A voter that was not heard of for this long may be replaced by a learner. Longer than a restart of a process.
inline constexpr Core::Duration voterSilenceLimit = std::chrono::milliseconds(2500);
/// A learner that was heard of within this time is present.
inline constexpr Core::Duration learnerPresence = std::chrono::milliseconds(800);

} // namespace ControlHost
