#include "EntryAgent.h"

#include <algorithm>
#include <future>

namespace Daemon {

namespace {

    constexpr Core::Duration tickInterval = std::chrono::milliseconds(10);
    /// A leader that does not answer within this time is given up. Below the view lease less an election, so that the
    /// lease outlasts one silent connection.
    constexpr Core::Duration heartbeatTimeout = std::chrono::milliseconds(400);
    /// Wait before the next control host is asked when one is not the leader.
    constexpr Core::Duration retryDelay = std::chrono::milliseconds(30);
    /// Announcements are refused when no leader was found within this time. The server announces again.
    constexpr Core::Duration announceLimit = std::chrono::milliseconds(1200);
    /// After this time a view is acknowledged although the new dispatcher of a group could not be told of all permits.
    /// Its limits may then be exceeded by these permits; holding the acknowledgment longer would hold up every change
    /// of owner and every edit.
    constexpr Core::Duration registrationLimit = std::chrono::seconds(1);
    constexpr Core::Duration registrationTimeout = std::chrono::milliseconds(300);

    Control::Announcement toControl(Proxy::Announcement const& announcement)
    {
        Control::Announcement result;
        auto& server = result.server;
        server.name = announcement.name;
        server.pool = announcement.pool;
        server.endpoint = announcement.endpoint;
        server.failureDomain = announcement.failureDomain;
        server.incarnation = announcement.incarnation;
        server.slots = announcement.slots;
        server.connections = announcement.connections;
        server.checksFencing = announcement.checksFencing;
        result.draining = announcement.isDraining;
        result.busySlots = announcement.load.inFlight;
        for (auto const& slot : announcement.releasedSlots)
            result.released.push_back({ slot.slot, slot.epoch });
        return result;
    }

    /// Joins neighbouring slots of the same epoch.
    std::vector<Proxy::SlotGrant> toRanges(std::vector<Control::EpochSlot> slots)
    {
        std::ranges::sort(slots);
        std::vector<Proxy::SlotGrant> ranges;
        for (auto const& slot : slots) {
            auto const extends
                = !ranges.empty() && ranges.back().epoch == slot.epoch && ranges.back().last.next() == slot.slot;
            if (extends)
                ranges.back().last = slot.slot;
            else
                ranges.push_back({ slot.slot, slot.slot, slot.epoch });
        }
        return ranges;
    }

    Proxy::AnnounceReply toReply(Control::Grant const& grant)
    {
        Proxy::AnnounceReply reply;
        reply.timeToLive = grant.timeToLive;
        reply.grants = toRanges(grant.slots);
        for (auto const& slot : grant.release)
            reply.slotsToRelease.push_back(slot.slot);
        return reply;
    }

} // namespace

EntryAgent::EntryAgent(
    Config::DaemonSettings const& settings, EntryDependencies dependencies, Core::Incarnation incarnation)
    : settings_(settings)
    , dependencies_(dependencies)
    , self_ { settings.host.name, settings.listen.rpc, settings.host.failureDomain, incarnation, {} }
{
}

void EntryAgent::start(SlotsInFlight slotsInFlight)
{
    slotsInFlight_ = std::move(slotsInFlight);
    dependencies_.loop.every(tickInterval, [this] {
        dependencies_.dispatch.tick();
        watchLease();
        auto const isDue = Core::BootClock::now() - lastSent_ >= settings_.timing.heartbeatInterval;
        if (!isInFlight_ && (isDue || !pending_.empty()))
            sendHeartbeat();
    });
}

Core::Result<Proxy::AnnounceReply, Proxy::AnnounceRefusal> EntryAgent::announce(Proxy::Announcement const& announcement)
{
    auto const promise = std::make_shared<std::promise<AnnounceResult>>();
    auto answer = promise->get_future();
    auto const isPosted = dependencies_.loop.post([this, promise, converted = toControl(announcement)] {
        pending_.push_back({ converted, Core::BootClock::now(),
            [promise](AnnounceResult result) { promise->set_value(std::move(result)); } });
        if (!isInFlight_)
            sendHeartbeat();
    });
    if (!isPosted || answer.wait_for(2 * announceLimit) != std::future_status::ready)
        return Proxy::AnnounceRefusal::NotReady;
    return answer.get();
}

Control::Heartbeat EntryAgent::buildHeartbeat(Batch const& batch)
{
    Control::Heartbeat heartbeat;
    heartbeat.host = self_;
    heartbeat.sequence = ++sequence_;
    heartbeat.appliedVersion = acknowledgedVersion_;
    for (auto const& pending : batch)
        heartbeat.announcements.push_back(pending.announcement);
    auto const view = dependencies_.views.currentView();
    if (!view)
        return heartbeat;
    for (auto const& slot : slotsInFlight_()) {
        auto const* assignment = view->findSlot(slot.pool, slot.slot);
        if (assignment && assignment->phase == Routing::SlotPhase::Releasing && assignment->epoch == slot.epoch)
            heartbeat.heldReleases.push_back({ slot.pool, slot.slot });
    }
    return heartbeat;
}

void EntryAgent::sendHeartbeat()
{
    isInFlight_ = true;
    lastSent_ = Core::BootClock::now();
    auto batch = std::make_shared<Batch>(std::exchange(pending_, {}));
    auto call = dependencies_.leader.host().heartbeatRequest();
    Rpc::writeHeartbeat(call.initHeartbeat(), buildHeartbeat(*batch));
    auto const from = dependencies_.leader.endpoint();
    auto const sentAt = lastSent_;
    // The response is handled while its message is alive, so the call's promise is not split.
    auto handled = call.send().then([this, from, sentAt, batch](auto&& response) {
        isInFlight_ = false;
        onReply(from, sentAt, std::move(*batch), response.getReply());
    });
    auto guarded = Rpc::withTimeout(dependencies_.loop, heartbeatTimeout, kj::mv(handled));
    dependencies_.loop.detach(guarded.then([] {},
        [this, from, batch](kj::Exception&&) {
            isInFlight_ = false;
            dependencies_.leader.fail(from);
            retryLater(std::move(*batch));
        }));
}

void EntryAgent::onReply(
    Core::Endpoint const& from, Core::TimePoint sentAt, Batch batch, Rpc::Wire::HeartbeatReply::Reader reply)
{
    if (reply.isNotLeader()) {
        dependencies_.leader.follow(from, { std::string(reply.getNotLeader().getLeader().cStr()) });
        retryLater(std::move(batch));
        return;
    }
    auto answer = Rpc::readHeartbeatAnswer(reply.getAnswer());
    if (answer.isError()) {
        dependencies_.leader.fail(from);
        retryLater(std::move(batch));
        return;
    }
    onAnswer(sentAt, batch, answer.value());
}

void EntryAgent::onAnswer(Core::TimePoint sentAt, Batch const& batch, Rpc::HeartbeatAnswer const& answer)
{
    if (answer.view)
        applyView(answer.view);
    // The view comes first: under the lease of this answer, work is sent by the new view only.
    if (answer.viewLease > Core::Duration::zero()) {
        dependencies_.views.extendLease(sentAt + answer.viewLease);
        dependencies_.dispatch.extendLease(dependencies_.views.leaseUntil());
    }
    effectiveVersion_ = std::max(effectiveVersion_, answer.effectiveVersion);
    dependencies_.dispatch.startGroups(effectiveVersion_);
    answerAnnouncements(batch, answer.grants);
    // Acknowledges a new view at once: changes of owner wait for it.
    if (answer.view && !isInFlight_ && openRegistrations_ == 0)
        sendHeartbeat();
}

void EntryAgent::applyView(std::shared_ptr<Routing::View const> const& view)
{
    auto const before = dependencies_.views.currentView();
    if (!dependencies_.views.publish(view))
        return;
    appliedVersion_ = view->version;
    Routing::View const empty;
    auto const toRegister
        = dependencies_.dispatch.applyView(before ? *before : empty, *view, settings_.timing.viewLease);
    if (!before || before->revision != view->revision) {
        dependencies_.metrics.setRevision(view->revision);
        dependencies_.events.write(Telemetry::EventId::ViewApplied,
            { { "version", view->version.value }, { "revision", view->revision.value } });
    }
    for (auto const& [dispatcher, permits] : toRegister) {
        ++openRegistrations_;
        registerHeld(dispatcher, permits, Core::BootClock::now() + registrationLimit);
    }
    if (openRegistrations_ == 0)
        acknowledgedVersion_ = appliedVersion_;
}

void EntryAgent::registerHeld(
    Core::HostName const& dispatcher, std::vector<HeldPermit> const& permits, Core::TimePoint giveUpAt)
{
    auto const finish = [this] {
        if (--openRegistrations_ == 0)
            acknowledgedVersion_ = appliedVersion_;
    };
    auto const view = dependencies_.views.currentView();
    auto const host = std::ranges::find(view->entryHosts, dispatcher, &Routing::EntryHost::name);
    if (permits.empty() || host == view->entryHosts.end() || Core::BootClock::now() >= giveUpAt) {
        finish();
        return;
    }
    std::map<GroupId, std::vector<HeldPermit const*>> byGroup;
    for (auto const& held : permits)
        byGroup[held.group].push_back(&held);
    auto calls = kj::heapArrayBuilder<kj::Promise<void>>(byGroup.size());
    for (auto const& [group, held] : byGroup) {
        auto call = dependencies_.connections.host(host->rpcEndpoint).registerHeldRequest();
        call.setPool(group.pool.value);
        call.setGroup(group.group);
        call.setHolder(self_.name.value);
        auto list = call.initPermits(static_cast<unsigned>(held.size()));
        for (unsigned index = 0; index < held.size(); ++index) {
            list[index].setPermit(held[index]->permit.id.value);
            list[index].setServer(held[index]->permit.server.value);
            list[index].setRoute(held[index]->route.value);
            Rpc::writeFingerprint(list[index].initFingerprint(), held[index]->fingerprint);
        }
        calls.add(call.send().ignoreResult());
    }
    auto const endpoint = host->rpcEndpoint;
    auto registered = Rpc::withTimeout(dependencies_.loop, registrationTimeout, kj::joinPromises(calls.finish()));
    dependencies_.loop.detach(registered.then(finish, [this, dispatcher, giveUpAt, endpoint](kj::Exception&&) {
        dependencies_.connections.drop(endpoint);
        // Permits that were released meanwhile must not be registered any more.
        registerHeld(dispatcher, dependencies_.dispatch.heldAt(dispatcher), giveUpAt);
    }));
}

void EntryAgent::retryLater(Batch batch)
{
    auto const now = Core::BootClock::now();
    for (auto& pending : batch) {
        if (now - pending.receivedAt >= announceLimit)
            pending.answer(Proxy::AnnounceRefusal::NotReady);
        else
            pending_.push_back(std::move(pending));
    }
    isInFlight_ = true;
    auto delay = dependencies_.loop.timer().afterDelay(retryDelay.count() * kj::NANOSECONDS);
    dependencies_.loop.detach(delay.then([this] {
        isInFlight_ = false;
        sendHeartbeat();
    }));
}

void EntryAgent::answerAnnouncements(Batch const& batch, std::vector<Control::Grant> const& grants)
{
    for (auto const& pending : batch) {
        auto const& server = pending.announcement.server;
        auto const grant = std::ranges::find_if(
            grants, [&](auto const& g) { return g.server == server.name && g.incarnation == server.incarnation; });
        if (grant == grants.end())
            pending.answer(Proxy::AnnounceRefusal::NotReady);
        else
            pending.answer(toReply(*grant));
    }
}

void EntryAgent::watchLease()
{
    auto const left = dependencies_.views.leaseUntil() - Core::BootClock::now();
    dependencies_.metrics.setViewLeaseRemaining(std::max(left, Core::Duration::zero()));
    auto const hasLease = dependencies_.views.hasValidLease();
    dependencies_.metrics.setReady(hasLease);
    if (hasLease == std::exchange(hadLease_, hasLease))
        return;
    dependencies_.events.write(
        hasLease ? Telemetry::EventId::ViewLeaseRestored : Telemetry::EventId::ViewLeaseLost, {});
}

} // namespace Daemon
