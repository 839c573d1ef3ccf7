#pragma once

#include <LibCore/Time.h>

#include <atomic>

namespace Daemon {

/// The time by which a stop ends the waits of traffic threads for answers of the control side.
class WaitLimit {
public:
    /// How often a wait looks at the limit, which may be set while it lasts. Few waits take this long.
    static constexpr Core::Duration checkInterval = std::chrono::milliseconds(100);

    void set(Core::TimePoint limit) { value_ = limit.time_since_epoch().count(); }
    /// The largest time while nothing stops.
    Core::TimePoint value() const { return Core::TimePoint(Core::Duration(value_.load())); }

private:
    std::atomic<Core::Duration::rep> value_ { Core::TimePoint::max().time_since_epoch().count() };
};

} // namespace Daemon
