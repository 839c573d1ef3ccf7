#include <LibRpc/EventLoop.h>

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdlib>
#include <utility>

namespace Rpc {

EventLoop::EventLoop()
    : io_(kj::setupAsyncIo())
    , wakeDescriptor_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
    , tasks_(*this)
{
    // Without the descriptor no other thread can reach the loop. Only descriptor exhaustion at start-up causes this.
    if (wakeDescriptor_ < 0)
        std::abort();
    // The stream owns the descriptor: closing it while the stream still watches it makes the stream's destructor throw.
    wakeStream_ = io_.lowLevelProvider->wrapInputFd(wakeDescriptor_,
        kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP | kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC
            | kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
    tasks_.add(drainPosted());
}

EventLoop::~EventLoop() noexcept(false)
{
    std::scoped_lock const lock(mutex_);
    stopped_ = true;
}

void EventLoop::run()
{
    auto paf = kj::newPromiseAndFulfiller<void>();
    stopFulfiller_ = kj::mv(paf.fulfiller);
    paf.promise.wait(io_.waitScope);
}

void EventLoop::stop()
{
    post([this] {
        {
            std::scoped_lock const lock(mutex_);
            stopped_ = true;
        }
        stopFulfiller_->fulfill();
    });
}

bool EventLoop::post(Task task)
{
    std::scoped_lock const lock(mutex_);
    if (stopped_)
        return false;
    posted_.push_back(std::move(task));
    std::uint64_t const one = 1;
    // The write can only fail when the counter is at its maximum, and then the loop is awake already.
    [[maybe_unused]] auto const written = write(wakeDescriptor_, &one, sizeof(one));
    return true;
}

void EventLoop::every(Core::Duration interval, Task task) { tasks_.add(repeat(interval, std::move(task))); }

void EventLoop::detach(kj::Promise<void> promise) { tasks_.add(kj::mv(promise)); }

void EventLoop::taskFailed(kj::Exception&& exception)
{
    if (failureHandler_)
        failureHandler_(exception);
}

kj::Promise<void> EventLoop::drainPosted()
{
    return wakeStream_->read(&wakeBuffer_, sizeof(wakeBuffer_)).then([this] {
        runPosted();
        return drainPosted();
    });
}

void EventLoop::runPosted()
{
    std::vector<Task> tasks;
    {
        std::scoped_lock const lock(mutex_);
        tasks.swap(posted_);
    }
    for (auto& task : tasks) {
        KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&] { task(); }))
            taskFailed(kj::mv(*exception));
    }
}

kj::Promise<void> EventLoop::repeat(Core::Duration interval, Task task)
{
    return timer()
        .afterDelay(interval.count() * kj::NANOSECONDS)
        .then([this, interval, task = std::move(task)]() mutable {
            KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&] { task(); }))
                taskFailed(kj::mv(*exception));
            return repeat(interval, std::move(task));
        });
}

} // namespace Rpc
