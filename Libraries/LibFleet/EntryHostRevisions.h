#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Fleet {

/// Which revision of the configuration items each connected entry host has, as the control leader knows from its
/// reports.
class EntryHostRevisions {
public:
    /// An entry host that lacks a change.
    struct Behind {
        std::string entryHost;
        std::uint64_t revision { 0 };
        /// How long the host has lacked the oldest change that it does not have.
        Core::Duration time {};
    };

    /// Records that a change has brought the items to this revision.
    void onChange(std::uint64_t revision, Core::TimePoint now);
    void onJoin(std::string const& entryHost, std::uint64_t revision, Core::TimePoint now);
    /// Zero is the revision of a host that does not report it.
    void onReport(std::string const& entryHost, std::uint64_t revision);
    void onLeave(std::string const& entryHost) { hosts_.erase(entryHost); }

    /// Returns the hosts that have lacked a change for longer than `tolerance`, which has to cover the interval of
    /// their reports.
    std::vector<Behind> behind(Core::TimePoint now, Core::Duration tolerance) const;

private:
    struct Change {
        std::uint64_t revision { 0 };
        Core::TimePoint at;
    };
    struct Host {
        std::uint64_t revision { 0 };
        Core::TimePoint joinedAt;
    };

    static constexpr std::size_t maxChanges = 256;

    /// The latest changes, in order.
    std::deque<Change> changes_;
    std::map<std::string, Host> hosts_;
};

} // namespace Fleet
