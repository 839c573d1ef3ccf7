#include <LibProxy/WorkerThreads.h>

#include <system_error>
#include <utility>

namespace Proxy {

bool WorkerThreads::tryRun(std::function<void()>& job)
{
    std::scoped_lock const lock(mutex_);
    if (isStopping_)
        return false;
    if (jobs_.size() < idle_) {
        jobs_.push_back(std::move(job));
        wakeUp_.notify_one();
        return true;
    }
    if (threads_.size() >= limit_)
        return false;
    try {
        threads_.emplace_back([this] { work(); });
    } catch (std::system_error const&) {
        // The host has no thread left; the limit of the settings is larger than the host allows.
        return false;
    }
    ++idle_;
    jobs_.push_back(std::move(job));
    return true;
}

void WorkerThreads::work()
{
    std::unique_lock lock(mutex_);
    while (true) {
        wakeUp_.wait(lock, [&] { return !jobs_.empty() || isStopping_; });
        if (jobs_.empty())
            return;
        auto job = std::move(jobs_.front());
        jobs_.pop_front();
        --idle_;
        lock.unlock();
        job();
        job = nullptr;
        lock.lock();
        ++idle_;
    }
}

void WorkerThreads::join()
{
    std::vector<std::thread> threads;
    {
        std::scoped_lock const lock(mutex_);
        isStopping_ = true;
        threads.swap(threads_);
    }
    wakeUp_.notify_all();
    for (auto& thread : threads)
        thread.join();
}

} // namespace Proxy
