#pragma once

#include <LibProxy/Socket.h>

#include <atomic>
#include <mutex>

namespace Proxy {

/// The time by which a stop ends every request. Waits take it together with their own deadline, since a request may
/// already wait when the stop begins.
class StopDeadline {
public:
    StopDeadline();

    /// Sets the time, or moves it forward. It never moves back.
    void limit(Core::TimePoint);
    /// The largest time while nothing stops.
    Core::TimePoint value() const { return Core::TimePoint(Core::Duration(value_.load())); }
    bool hasPassed() const { return Core::BootClock::now() >= value(); }
    /// Readable from the deadline on, which ends the waits that poll it.
    int descriptor() const { return timer_.descriptor(); }
    /// Waits until one of the descriptors is ready. False when the deadline or the stop's deadline passed.
    bool waitFor(std::span<pollfd>, Core::TimePoint deadline) const;

private:
    std::mutex mutex_;
    std::atomic<Core::Duration::rep> value_ { Core::TimePoint::max().time_since_epoch().count() };
    /// Owns a timer's descriptor.
    Socket timer_;
};

} // namespace Proxy
