#pragma once

#include <chrono>
#include <cstdint>

namespace Core {

using Duration = std::chrono::nanoseconds;

/// CLOCK_BOOTTIME. It goes on while a virtual machine is suspended, so a lease that ran out meanwhile is seen as
/// expired.
struct BootClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

using TimePoint = BootClock::time_point;

/// Source of the current time. Decision libraries take the time as an argument; only their callers hold a clock.
class Clock {
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

/// The clock of the running host.
class SystemClock final : public Clock {
public:
    TimePoint now() const override { return BootClock::now(); }
};

/// A clock that moves only when told to.
class ManualClock final : public Clock {
public:
    TimePoint now() const override { return now_; }
    void advance(Duration by) { now_ += by; }

private:
    TimePoint now_ {};
};

/// Wall-clock time in milliseconds since the Unix epoch. For records that people read, never for leases or deadlines.
std::int64_t wallClockMilliseconds();

inline std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace Core
