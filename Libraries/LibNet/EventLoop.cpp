#include <LibNet/EventLoop.h>

#include <fcntl.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace Net {

namespace {

    /// Events taken from the kernel at once; more wait for the next turn.
    constexpr int maxEvents = 64;
    /// The longest wait. Timers of the boot clock that ran out during a suspension are seen at the latest after this.
    constexpr Core::Duration maxWait = std::chrono::seconds(1);

    std::uint64_t packTag(int fd, std::uint32_t generation)
    {
        return (std::uint64_t { generation } << 32) | static_cast<std::uint32_t>(fd);
    }

} // namespace

EventLoop::EventLoop()
    : epoll_(::epoll_create1(EPOLL_CLOEXEC))
    , now_(Core::BootClock::now())
{
    std::array<int, 2> ends {};
    // Without these descriptors no event can be received, and nothing has been started yet.
    if (epoll_ < 0 || ::pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC) != 0)
        std::abort();
    wakeRead_ = ends[0];
    wakeWrite_ = ends[1];
    epoll_event event { EPOLLIN, { .u64 = packTag(wakeRead_, 0) } };
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, wakeRead_, &event);
}

EventLoop::~EventLoop()
{
    ::close(wakeRead_);
    ::close(wakeWrite_);
    ::close(epoll_);
}

EventLoop::TimerId EventLoop::after(Core::Duration delay, std::function<void()> function)
{
    TimerId const id { now_ + std::max(delay, Core::Duration::zero()), nextTimer_++ };
    timers_.emplace(id, std::move(function));
    return id;
}

void EventLoop::cancel(TimerId& id)
{
    if (id.number != 0)
        timers_.erase(id);
    id = {};
}

void EventLoop::watch(int fd, IoHandler& handler, bool wantsWrite)
{
    auto const index = static_cast<std::size_t>(fd);
    if (watches_.size() <= index)
        watches_.resize(index + 1);
    watches_[index].handler = &handler;
    ++watches_[index].generation;
    epoll_event event { EPOLLIN | (wantsWrite ? EPOLLOUT : 0U), { .u64 = packTag(fd, watches_[index].generation) } };
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
}

void EventLoop::update(int fd, bool wantsRead, bool wantsWrite)
{
    auto const generation = watches_[static_cast<std::size_t>(fd)].generation;
    epoll_event event { (wantsRead ? EPOLLIN : 0U) | (wantsWrite ? EPOLLOUT : 0U), { .u64 = packTag(fd, generation) } };
    ::epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &event);
}

void EventLoop::unwatch(int fd)
{
    watches_[static_cast<std::size_t>(fd)].handler = nullptr;
    ::epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
}

void EventLoop::post(std::function<void()> function)
{
    {
        std::scoped_lock const lock(postMutex_);
        posted_.push_back(std::move(function));
    }
    char const signal = 1;
    // A full pipe already wakes the loop.
    [[maybe_unused]] auto const written = ::write(wakeWrite_, &signal, 1);
}

void EventLoop::reclaim(std::unique_ptr<Reclaimable> object) { reclaimed_.push_back(std::move(object)); }

int EventLoop::waitMilliseconds() const
{
    auto wait = maxWait;
    if (!timers_.empty())
        wait = std::clamp(timers_.begin()->first.due - Core::BootClock::now(), Core::Duration::zero(), maxWait);
    return static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(wait).count());
}

void EventLoop::runTimers()
{
    while (!timers_.empty() && timers_.begin()->first.due <= now_) {
        auto node = timers_.extract(timers_.begin());
        node.mapped()();
    }
}

void EventLoop::runPosted()
{
    std::vector<std::function<void()>> functions;
    {
        std::scoped_lock const lock(postMutex_);
        functions.swap(posted_);
    }
    for (auto& function : functions)
        function();
}

void EventLoop::drainWakePipe() const
{
    std::array<char, 64> bytes {};
    while (::read(wakeRead_, bytes.data(), bytes.size()) > 0) { }
}

void EventLoop::run()
{
    std::array<epoll_event, maxEvents> events {};
    isStopping_ = false;
    while (!isStopping_) {
        auto const count = ::epoll_wait(epoll_, events.data(), maxEvents, waitMilliseconds());
        now_ = Core::BootClock::now();
        for (int i = 0; i < count; ++i) {
            auto const tag = events.at(static_cast<std::size_t>(i)).data.u64;
            auto const fd = static_cast<int>(tag & 0xffffffffU);
            if (fd == wakeRead_) {
                drainWakePipe();
                continue;
            }
            auto const& watch = watches_[static_cast<std::size_t>(fd)];
            // The descriptor may have been closed, and its number used again, by an earlier event of this turn.
            if (!watch.handler || watch.generation != static_cast<std::uint32_t>(tag >> 32))
                continue;
            auto const flags = events.at(static_cast<std::size_t>(i)).events;
            watch.handler->onIo((flags & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0, (flags & EPOLLOUT) != 0);
        }
        runPosted();
        runTimers();
        // Destructors may hand over further objects.
        auto const reclaimed = std::exchange(reclaimed_, {});
    }
}

} // namespace Net
