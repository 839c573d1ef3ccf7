#pragma once

#include <LibPolicy/DispatchGroup.h>
#include <LibRouting/View.h>

#include <functional>
#include <mutex>
#include <unordered_map>

namespace Daemon {

struct GroupId {
    Core::PoolName pool;
    std::uint32_t group { 0 };

    auto operator<=>(GroupId const&) const = default;
};

/// A dispatch group for which this entry host is the dispatcher. Thread-safe.
class LocalGroup {
public:
    using Completion = std::function<void(Policy::AcquireResult)>;
    /// Receives crash suspicions, ejections and reinstatements. Called with the group's lock held.
    using Listener = std::function<void(GroupId const&, Policy::Action const&)>;

    /// `appointedAt` is the view version that made this host the dispatcher.
    LocalGroup(GroupId, Routing::PoolDefinition const&, Core::ViewVersion appointedAt, std::uint64_t seed, Listener);

    /// Answers through `completion`, at once or later from any thread that calls this object, exactly once. The
    /// completion must not call back into this object.
    Policy::TicketId acquire(Policy::AcquireRequest const&, Completion completion);
    void cancel(Policy::TicketId);
    void release(Policy::ReleaseReport const&);
    void handle(Policy::Event const&);

    /// Follows the servers, entry hosts and quarantine of a view.
    void follow(Routing::View const& before, Routing::View const& now, Core::Duration holderCountedFor);
    /// Grants from now on, if the version that appointed this dispatcher is in effect everywhere.
    void startIfInEffect(Core::ViewVersion effective);

    GroupId const& id() const { return id_; }
    std::vector<Policy::ServerStatus> servers() const;
    std::size_t waiting() const;
    Policy::DispatchCounters counters() const;

private:
    void step(Policy::Event const&);
    void followServers(Routing::View const& before, Routing::View const& now);
    void dispatchActions();
    bool contains(Routing::BackendServer const&) const;

    GroupId id_;
    Routing::PoolDefinition pool_;
    Core::ViewVersion appointedAt_;
    Listener listener_;
    mutable std::mutex mutex_;
    Policy::DispatchGroup group_;
    bool isStarted_ { false };
    std::uint64_t nextTicket_ { 1 };
    std::unordered_map<Policy::TicketId, Completion> waiting_;
    std::vector<Policy::Action> actions_;
};

} // namespace Daemon
