#include <LibCore/Time.h>

#include <ctime>

namespace Core {

TimePoint BootClock::now() noexcept
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

std::int64_t wallClockMilliseconds()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace Core
