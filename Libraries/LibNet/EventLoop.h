#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

/// Event-driven sockets, timers and HTTP for processes that serve many connections on one thread.
namespace Net {

/// Receives the events of one file descriptor.
class IoHandler {
public:
    virtual ~IoHandler() = default;
    virtual void onIo(bool isReadable, bool isWritable) = 0;
};

/// An object that is destroyed at the end of the turn, so that callbacks may drop the object that called them.
class Reclaimable {
public:
    virtual ~Reclaimable() = default;
};

/// One thread that waits for sockets, timers and posted functions. All members but `post` belong to that thread.
class EventLoop {
public:
    EventLoop();
    ~EventLoop();
    EventLoop(EventLoop const&) = delete;
    EventLoop& operator=(EventLoop const&) = delete;

    struct TimerId {
        Core::TimePoint due;
        /// Zero is no timer.
        std::uint64_t number { 0 };

        auto operator<=>(TimerId const&) const = default;
    };
    TimerId after(Core::Duration, std::function<void()>);
    /// Does nothing for a timer that has run or was cancelled. Clears the id.
    void cancel(TimerId&);

    void watch(int fd, IoHandler&, bool wantsWrite);
    void update(int fd, bool wantsRead, bool wantsWrite);
    void unwatch(int fd);

    /// Runs the function on the loop's thread. Thread-safe.
    void post(std::function<void()>);
    /// Destroys the object at the end of this turn.
    void reclaim(std::unique_ptr<Reclaimable>);

    void run();
    void stop() { isStopping_ = true; }
    /// The time at the start of the current turn.
    Core::TimePoint now() const { return now_; }

private:
    struct Watch {
        IoHandler* handler { nullptr };
        std::uint32_t generation { 0 };
    };

    void runTimers();
    void runPosted();
    int waitMilliseconds() const;
    void drainWakePipe() const;

    int epoll_ { -1 };
    int wakeRead_ { -1 };
    int wakeWrite_ { -1 };
    bool isStopping_ { false };
    Core::TimePoint now_;
    std::uint64_t nextTimer_ { 1 };
    std::map<TimerId, std::function<void()>> timers_;
    std::vector<Watch> watches_;
    std::vector<std::unique_ptr<Reclaimable>> reclaimed_;
    std::mutex postMutex_;
    std::vector<std::function<void()>> posted_;
};

} // namespace Net
