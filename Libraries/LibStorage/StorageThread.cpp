#include <LibStorage/StorageThread.h>

#include <algorithm>
#include <iterator>

namespace Storage {

StorageThread::StorageThread(Poster post, std::unique_ptr<Store> store, Completion completion)
    : post_(std::move(post))
    , store_(std::move(store))
    , completion_(std::move(completion))
    , thread_([this] { run(); })
{
}

StorageThread::~StorageThread()
{
    {
        std::scoped_lock const lock(mutex_);
        isStopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
}

void StorageThread::persist(std::vector<Consensus::PersistRequest> requests)
{
    {
        std::scoped_lock const lock(mutex_);
        std::ranges::move(requests, std::back_inserter(queue_));
    }
    wake_.notify_one();
}

void StorageThread::run()
{
    while (true) {
        std::vector<Consensus::PersistRequest> batch;
        {
            std::unique_lock lock(mutex_);
            wake_.wait(lock, [this] { return isStopping_ || !queue_.empty(); });
            if (queue_.empty())
                return;
            batch.swap(queue_);
        }
        auto const begin = Core::BootClock::now();
        auto result = store_->persist(batch);
        auto const took = Core::BootClock::now() - begin;
        post_([this, result = std::move(result), took] { completion_(result, took); });
    }
}

} // namespace Storage
