#pragma once

#include <LibConsensus/Node.h>
#include <LibStorage/RealDisk.h>
#include <LibStorage/Store.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Bench {

/// One voter with a store on a real disk and a storage thread, as in the daemon. `step` is called by one thread.
class Voter {
public:
    /// Called by the storage thread once writes are durable.
    using OnPersisted = std::function<void(Consensus::PersistSequence)>;

    Voter(std::string const& directory, Core::HostName const&, Consensus::Configuration const&, OnPersisted);
    ~Voter();
    Voter(Voter const&) = delete;
    Voter& operator=(Voter const&) = delete;

    Consensus::Actions step(Consensus::Event);
    Consensus::Node const& node() const { return *node_; }
    Core::TimePoint wakeAt() const { return wakeAt_; }

    std::uint64_t bytesWritten() const { return store_->bytesWritten(); }
    std::uint64_t writes() const { return writes_; }

private:
    void runStorage();

    Storage::RealDisk disk_;
    std::unique_ptr<Storage::Store> store_;
    std::unique_ptr<Consensus::Node> node_;
    OnPersisted onPersisted_;
    Core::TimePoint wakeAt_;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<Consensus::PersistRequest> queue_;
    bool isStopping_ { false };
    std::uint64_t writes_ { 0 };
    std::thread thread_;
};

} // namespace Bench
