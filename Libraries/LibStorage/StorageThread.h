#pragma once

#include <LibConsensus/Actions.h>
#include <LibStorage/Store.h>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace Storage {

/// Writes to the store on a thread of its own, so that a slow disk does not block heartbeats. Requests that queue up
/// during one write share the next fsync.
class StorageThread {
public:
    using Completion = std::function<void(Core::Result<Consensus::PersistSequence, StoreError>, Core::Duration)>;

    /// Runs a function on the thread that owns this object.
    using Poster = std::function<void(std::function<void()>)>;

    /// `completion` is posted after each write, with the time that the write took.
    StorageThread(Poster, std::unique_ptr<Store>, Completion completion);
    /// Finishes the queued writes.
    ~StorageThread();
    StorageThread(StorageThread const&) = delete;
    StorageThread& operator=(StorageThread const&) = delete;

    void persist(std::vector<Consensus::PersistRequest>);

private:
    void run();

    Poster post_;
    std::unique_ptr<Store> store_;
    Completion completion_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::vector<Consensus::PersistRequest> queue_;
    bool isStopping_ { false };
    std::thread thread_;
};

} // namespace Storage
