#pragma once

#include <LibProxy/Server.h>

#include <array>
#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <unordered_map>

namespace Relay {

/// All collaborators of `Proxy::Server` within one process: exact permit counts per server with a blocking queue, an
/// order ledger in memory, and a view that follows the announcements. Stands in for the control plane in measurements.
class LocalControl final : public Proxy::ViewSource,
                           public Proxy::PermitSource,
                           public Proxy::OrderGate,
                           public Proxy::AnnounceHandler,
                           public Proxy::Observer {
public:
    /// Adds `fillers` pools with one route and one server each to the pools of the workloads.
    explicit LocalControl(std::uint32_t fillers);

    std::shared_ptr<Routing::View const> currentView() const override;
    bool hasValidLease() const override { return true; }

    Policy::AcquireResult acquire(Policy::AcquireRequest const&) override;
    void release(Core::PoolName const&, Core::ServerName const&, Policy::ReleaseReport const&) override;

    Core::Result<Proxy::ClaimResult, Proxy::OrderGateUnavailable> claim(
        Proxy::OrderKey const&, Core::Digest const&, Core::RequestId, Core::TimePoint) override;
    void complete(Proxy::OrderKey const&, Core::RequestId, std::optional<Proxy::KeptAnswer>) override;
    void abandon(Proxy::OrderKey const&, Core::RequestId) override;
    void markUnknown(Proxy::OrderKey const&, Core::RequestId) override;
    Core::Result<Core::Void, Proxy::ConfirmError> confirmOwner(
        Core::PoolName const&, Core::SlotNumber, Core::Epoch, Core::TimePoint) override;

    Core::Result<Proxy::AnnounceReply, Proxy::AnnounceRefusal> announce(Proxy::Announcement const&) override;

    void requestFinished(Proxy::RequestRecord const&) override { ++finished_; }
    void attemptBegan(Proxy::AttemptSpan const&) override { }
    void attemptEnded(Proxy::AttemptSpan const&, Proxy::AttemptEnd const&) override { }
    void inputRejected(Proxy::RejectedInput const&) override { }

private:
    struct Order {
        Core::Digest fingerprint;
        Proxy::ClaimResult state;
    };
    struct Group {
        std::mutex mutex;
        std::condition_variable changed;
        std::map<std::string, std::uint32_t> inFlight;
        std::size_t next { 0 };
    };

    Group& groupOf(Core::PoolName const&);
    std::shared_ptr<Routing::View> buildView() const;
    void publish(std::shared_ptr<Routing::View const>);
    void setOrder(Proxy::OrderKey const&, Proxy::ClaimResult);

    std::shared_ptr<Routing::RoutingTable const> table_;
    mutable std::mutex viewMutex_;
    std::map<std::string, Routing::BackendServer> servers_;
    std::uint64_t version_ { 0 };
    /// Published views, counted; a thread copies the pointer under the lock only when the count changed. libstdc++'s
    /// std::atomic<std::shared_ptr> spins on a lock bit, which burns whole time slices when its holder is descheduled.
    std::atomic<std::uint64_t> published_ { 0 };
    mutable std::mutex publishedMutex_;
    std::shared_ptr<Routing::View const> view_;
    std::unordered_map<std::string, Group> groups_;
    std::mutex ordersMutex_;
    std::unordered_map<std::string, Order> orders_;
    std::atomic<std::uint64_t> finished_ { 0 };
};

} // namespace Relay
