#pragma once

#include <LibCore/Time.h>

#include <kj/async-io.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <vector>

/// Cap'n Proto RPC between our processes.
namespace Rpc {

/// The event loop of the control thread. Owns all control state: other threads reach it only by `post`.
///
/// Must be created, run and destroyed on the same thread.
class EventLoop final : private kj::TaskSet::ErrorHandler {
public:
    using Task = std::function<void()>;

    EventLoop();
    ~EventLoop() noexcept(false);
    KJ_DISALLOW_COPY(EventLoop);

    /// Runs until `stop` is called.
    void run();
    /// Ends `run`. May be called from any thread and from a posted task.
    void stop();
    /// Runs a task on the loop's thread. May be called from any thread. Returns false when the loop has stopped; the
    /// task is then dropped.
    bool post(Task);

    /// Calls a function at an interval on the loop's thread until the loop is destroyed.
    void every(Core::Duration interval, Task);
    /// Keeps a promise alive until it is done. A failure is passed to the failure handler.
    void detach(kj::Promise<void>);
    /// Called with the description of a failed detached promise or of an exception from a task.
    void setFailureHandler(std::function<void(kj::Exception const&)> handler) { failureHandler_ = std::move(handler); }

    kj::Network& network() { return io_.provider->getNetwork(); }
    kj::Timer& timer() { return io_.provider->getTimer(); }
    kj::WaitScope& waitScope() { return io_.waitScope; }

private:
    void taskFailed(kj::Exception&&) override;
    kj::Promise<void> drainPosted();
    kj::Promise<void> repeat(Core::Duration interval, Task);
    void runPosted();

    kj::AsyncIoContext io_;
    int wakeDescriptor_ { -1 };
    kj::Own<kj::AsyncInputStream> wakeStream_;
    std::uint64_t wakeBuffer_ { 0 };
    std::mutex mutex_;
    std::vector<Task> posted_;
    bool stopped_ { false };
    kj::Own<kj::PromiseFulfiller<void>> stopFulfiller_;
    std::function<void(kj::Exception const&)> failureHandler_;
    kj::TaskSet tasks_;
};

} // namespace Rpc
