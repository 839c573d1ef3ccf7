#pragma once

#include <functional>
#include <mutex>
#include <thread>

namespace Core {

/// A thread that is started at most once, by any thread, and joined by another one.
///
/// `start` returns only after the thread object is stored, and `join` waits for that, so the function may end the
/// owner's event loop before `start` has returned.
class OneShotThread {
public:
    OneShotThread() = default;
    /// Joins the thread.
    ~OneShotThread() { join(); }
    OneShotThread(OneShotThread const&) = delete;
    OneShotThread& operator=(OneShotThread const&) = delete;

    /// Runs the function on a new thread. Returns false, and runs nothing, after an earlier call of `start` or `join`.
    bool start(std::function<void()>);
    /// Waits for the function to return, if it was started. No thread is started afterwards.
    void join();

private:
    std::mutex mutex_;
    bool isClosed_ { false };
    std::thread thread_;
};

} // namespace Core
