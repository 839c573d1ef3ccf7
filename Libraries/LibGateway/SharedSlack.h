#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <deque>

namespace Gateway {

/// One entry host's part of an allowance that all entry hosts share within a sliding window.
///
/// No host knows what the others have used of it, so a part that changes hands must be idle for a window first.
///
/// - A host that no leader has listed for a window has none, since the others may divide its part among them.
/// - When hosts leave the list, the parts of the others grow two windows later. For the first of them the missing hosts
///   may still use theirs.
/// - A host has none in the first two windows after it was listed. The process that it replaces may have used its part,
///   and the list may lack hosts that still use theirs.
class SharedSlack {
public:
    explicit SharedSlack(Core::Duration window)
        : window_(window)
    {
    }

    /// Records that a control leader lists this host as one of `entryHosts`. To be called several times in each window.
    /// Time must include that for which the host was suspended.
    void confirm(Core::TimePoint now, std::uint32_t entryHosts);
    /// The part of this host, from zero to one.
    double share(Core::TimePoint now) const;
    /// The number of hosts among which the allowance is divided; zero if this host has no part.
    std::uint32_t entryHosts(Core::TimePoint now) const;
    /// The largest number of hosts that may have parts, also if this host has none; zero if it was never listed.
    std::uint32_t largestEntryHosts() const { return recent_.empty() ? 0 : recent_.front().entryHosts; }

private:
    struct Confirmation {
        Core::TimePoint at;
        std::uint32_t entryHosts { 0 };
    };

    Core::Duration growthDelay() const { return 2 * window_; }

    bool isLapsed(Core::TimePoint now) const { return recent_.empty() || now - recent_.back().at >= window_; }

    Core::Duration window_;
    /// Since when the host has been listed without a gap of a window.
    Core::TimePoint listedSince_;
    /// The confirmations that count, in the order of their times. Those before a larger number of hosts are dropped, so
    /// that the first has the largest.
    std::deque<Confirmation> recent_;
};

} // namespace Gateway
