#include <LibCore/OneShotThread.h>

#include <utility>

namespace Core {

bool OneShotThread::start(std::function<void()> function)
{
    std::lock_guard const lock(mutex_);
    if (std::exchange(isClosed_, true))
        return false;
    thread_ = std::thread(std::move(function));
    return true;
}

void OneShotThread::join()
{
    std::thread started;
    {
        std::lock_guard const lock(mutex_);
        isClosed_ = true;
        started = std::move(thread_);
    }
    if (started.joinable())
        started.join();
}

} // namespace Core
