#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Proxy {

/// Threads that each run one job at a time. Started on demand up to a limit, so that a listener for many connections
/// costs little while there are few.
class WorkerThreads {
public:
    explicit WorkerThreads(std::uint32_t limit)
        : limit_(limit)
    {
    }
    ~WorkerThreads() { join(); }
    WorkerThreads(WorkerThreads const&) = delete;
    WorkerThreads& operator=(WorkerThreads const&) = delete;

    /// False when all threads are busy; the job was not taken.
    bool tryRun(std::function<void()>&);
    /// Waits for the jobs that were taken. Nothing may be added afterwards.
    void join();

private:
    void work();

    std::uint32_t limit_;
    std::mutex mutex_;
    std::condition_variable wakeUp_;
    std::deque<std::function<void()>> jobs_;
    std::vector<std::thread> threads_;
    std::size_t idle_ { 0 };
    bool isStopping_ { false };
};

} // namespace Proxy
