#pragma once

#include <LibConsensus/Actions.h>
#include <LibRpc/EventLoop.h>
#include <LibStorage/Store.h>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

/// The thin shell of primroseshiftd: threads, sockets and files around the decision libraries.
namespace Daemon {

/// Writes to the store on a thread of its own, so that a slow disk does not block heartbeats. Requests that queue up
/// during one write share the next fsync.
class StorageThread {
public:
    using Completion
        = std::function<void(Core::Result<Consensus::PersistSequence, Storage::StoreError>, Core::Duration)>;

    /// `completion` runs on the loop's thread after each write, with the time that the write took.
    StorageThread(Rpc::EventLoop&, std::unique_ptr<Storage::Store>, Completion completion);
    /// Finishes the queued writes.
    ~StorageThread();
    StorageThread(StorageThread const&) = delete;
    StorageThread& operator=(StorageThread const&) = delete;

    void persist(std::vector<Consensus::PersistRequest>);

private:
    void run();

    Rpc::EventLoop& loop_;
    std::unique_ptr<Storage::Store> store_;
    Completion completion_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::vector<Consensus::PersistRequest> queue_;
    bool isStopping_ { false };
    std::thread thread_;
};

} // namespace Daemon
