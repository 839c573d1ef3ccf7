#include "Voter.h"

#include <cstdlib>
#include <iostream>

namespace Bench {

namespace {

    template <typename T> T require(Core::Result<T, Storage::StoreError> result)
    {
        if (result.isError()) {
            std::cerr << Storage::describe(result.error()) << '\n';
            std::abort();
        }
        return std::move(result).value();
    }

} // namespace

Voter::Voter(std::string const& directory, Core::HostName const& host, Consensus::Configuration const& configuration,
    OnPersisted onPersisted)
    : disk_(directory)
    , onPersisted_(std::move(onPersisted))
{
    Storage::StoreSettings const storeSettings { { "bench" }, host };
    require(Storage::Store::create(disk_, storeSettings, Consensus::bootstrapState(configuration)));
    auto opened = require(Storage::Store::open(disk_, storeSettings));
    store_ = std::move(opened.store);
    Consensus::Settings settings;
    settings.clusterId = { "bench" };
    settings.host = host;
    auto const seed = std::hash<Core::HostName> {}(host);
    node_
        = std::make_unique<Consensus::Node>(std::move(settings), std::move(opened.state), seed, Core::BootClock::now());
    wakeAt_ = Core::BootClock::now();
    thread_ = std::thread([this] { runStorage(); });
}

Voter::~Voter()
{
    {
        std::lock_guard const lock(mutex_);
        isStopping_ = true;
    }
    changed_.notify_one();
    thread_.join();
}

Consensus::Actions Voter::step(Consensus::Event event)
{
    auto actions = node_->step(Core::BootClock::now(), std::move(event));
    wakeAt_ = actions.wakeAt;
    if (!actions.persist.empty()) {
        {
            std::lock_guard const lock(mutex_);
            std::ranges::move(actions.persist, std::back_inserter(queue_));
        }
        changed_.notify_one();
    }
    return actions;
}

void Voter::runStorage()
{
    while (true) {
        std::vector<Consensus::PersistRequest> requests;
        {
            std::unique_lock lock(mutex_);
            changed_.wait(lock, [this] { return isStopping_ || !queue_.empty(); });
            if (isStopping_)
                return;
            requests.swap(queue_);
        }
        auto const sequence = require(store_->persist(requests));
        ++writes_;
        onPersisted_(sequence);
    }
}

} // namespace Bench
