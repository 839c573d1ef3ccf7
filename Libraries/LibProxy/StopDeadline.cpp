#include <LibProxy/StopDeadline.h>

#include <sys/timerfd.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace Proxy {

namespace {

    /// Two attempts and their caller.
    constexpr std::size_t maxPolled = 3;

} // namespace

StopDeadline::StopDeadline()
    : timer_(timerfd_create(CLOCK_BOOTTIME, TFD_CLOEXEC | TFD_NONBLOCK))
{
}

void StopDeadline::limit(Core::TimePoint deadline)
{
    std::scoped_lock const lock(mutex_);
    if (deadline >= value())
        return;
    // The value comes first, so that a thread that the timer wakes sees that the time has passed.
    value_ = deadline.time_since_epoch().count();
    auto const seconds = std::chrono::floor<std::chrono::seconds>(deadline.time_since_epoch());
    itimerspec time {};
    time.it_value.tv_sec = seconds.count();
    time.it_value.tv_nsec = (deadline.time_since_epoch() - seconds).count();
    timerfd_settime(timer_.descriptor(), TFD_TIMER_ABSTIME, &time, nullptr);
}

bool StopDeadline::waitFor(std::span<pollfd> polled, Core::TimePoint deadline) const
{
    assert(polled.size() <= maxPolled);
    std::array<pollfd, maxPolled + 1> all {};
    std::ranges::copy(polled, all.begin());
    all.at(polled.size()) = { descriptor(), POLLIN, 0 };
    auto const isReady = Proxy::waitFor(std::span(all).first(polled.size() + 1), std::min(deadline, value()));
    std::ranges::copy(std::span(all).first(polled.size()), polled.begin());
    return isReady && std::ranges::any_of(polled, [](auto const& entry) { return entry.revents != 0; });
}

} // namespace Proxy
