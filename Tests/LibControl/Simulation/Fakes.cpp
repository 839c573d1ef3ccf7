#include <Simulation/Simulation.h>

#include <algorithm>

namespace Simulation {

namespace {

    constexpr Duration heartbeatInterval = 300ms;
    constexpr Duration announceInterval = 300ms;

} // namespace

// Entry hosts.

void World::startHost(EntryHost& host)
{
    scheduleEvery(host, heartbeatInterval, [this, &host] { heartbeat(host); });
    scheduleEvery(host, 20ms, [this, &host] { sendRequest(host); });
}

void World::heartbeat(EntryHost& host)
{
    host.isHeartbeatDue = false;
    if (now_ - host.answeredAt > 450ms) {
        host.target = random_.below(controls_.size());
        host.answeredAt = now_;
    }
    Control::Heartbeat heartbeat { .host = host.self, .sequence = ++host.sequence };
    heartbeat.appliedVersion = host.view ? host.view->version : Core::ViewVersion {};
    for (auto const& [slot, count] : host.inFlight) {
        auto const* assignment = host.view ? host.view->findSlot({ "letter" }, { slot }) : nullptr;
        if (count > 0 && assignment && assignment->phase == Routing::SlotPhase::Releasing)
            heartbeat.heldReleases.push_back({ { "letter" }, { slot } });
    }
    auto& numbers = host.forwarded[host.sequence];
    for (auto const& [name, pending] : host.announcements) {
        heartbeat.announcements.push_back(pending.announcement);
        numbers.push_back(pending.number);
    }
    host.sentAt[host.sequence] = localTime(host);
    auto& control = *controls_[host.target];
    send(control, [this, &control, &host, heartbeat] {
        step(control, heartbeat);
        // A control host that is not the leader redirects to the leader.
        if (!control.leader->isLeading())
            send(host, [this, &host, leader = leader_] {
                if (std::exchange(host.target, leader) != leader)
                    this->heartbeat(host);
            });
    });
}

void World::receive(EntryHost& host, Control::HeartbeatAnswer const& answer)
{
    if (answer.incarnation != host.self.incarnation)
        return;
    host.answeredAt = now_;
    if (!answer.hasQuorum)
        host.target = random_.below(controls_.size());
    if (answer.view && (!host.view || answer.view->version > host.view->version)) {
        if (host.view && answer.view->revision < host.view->revision)
            report("the revision of a view decreased");
        for (auto const& [pool, slots] : answer.view->slots) {
            for (std::size_t i = 0; host.view && i < slots.size(); ++i) {
                auto const* known = host.view->findSlot(pool, { i });
                if (known && slots[i].epoch < known->epoch)
                    report("the epoch of a slot decreased");
            }
        }
        host.view = answer.view;
    }
    if (answer.viewLease > Duration::zero())
        host.leaseExpiry = std::max(host.leaseExpiry, host.sentAt[answer.sequence] + answer.viewLease);
    auto const numbers = std::exchange(host.forwarded[answer.sequence], {});
    for (std::size_t i = 0; i < numbers.size(); ++i) {
        auto const& grant = answer.grants[i];
        if (auto const pending = host.announcements.find(grant.server.value);
            pending != host.announcements.end() && pending->second.number == numbers[i])
            host.announcements.erase(pending);
        for (auto& server : servers_) {
            if (server->self.name == grant.server)
                send(
                    *server, [this, &server = *server, grant, number = numbers[i]] { receive(server, grant, number); });
        }
    }
}

void World::sendRequest(EntryHost& host)
{
    if (!host.view || localTime(host) >= host.leaseExpiry)
        return;
    auto const slot = random_.below(options_.slots);
    auto const* assignment = host.view->findSlot({ "letter" }, { slot });
    if (!assignment || assignment->phase != Routing::SlotPhase::Owned)
        return;
    auto const& owner = host.view->servers[assignment->server];
    if (!owner.checksFencing && highestEpoch_[slot] > assignment->epoch)
        report("a request was sent to an owner without fencing checks after its successor was granted");
    for (auto& server : servers_) {
        if (server->self.name != owner.name)
            continue;
        ++host.inFlight[slot];
        // The request ends with its response or its timeout, whichever comes first.
        auto const end = [&host, slot, run = host.run, hasEnded = std::make_shared<bool>(false)] {
            if (!std::exchange(*hasEnded, true) && host.run == run)
                --host.inFlight[slot];
        };
        send(*server,
            [this, &server = *server, slot, epoch = assignment->epoch, end] { serve(server, slot, epoch, end); });
        scheduleAfter(1'500ms, end);
    }
}

void World::crash(EntryHost& host)
{
    host.isAlive = false;
    ++host.run;
}

void World::restart(EntryHost& host)
{
    crash(host);
    host.self.incarnation = host.self.incarnation.next();
    host.view.reset();
    host.leaseExpiry = {};
    host.inFlight.clear();
    host.announcements.clear();
    host.isPaused = false;
    host.mailbox.clear();
    host.isAlive = true;
    startHost(host);
}

// Backend servers.

void World::startServer(BackendServer& server)
{
    scheduleEvery(server, announceInterval, [this, &server] { announce(server); });
}

void World::announce(BackendServer& server)
{
    Control::Announcement announcement { .server = server.self, .cold = server.isCold, .draining = server.isDraining };
    for (auto const& [slot, epoch] : server.released)
        announcement.released.push_back({ { slot }, epoch });
    server.sentAt[++server.number] = localTime(server);
    auto& host = *hosts_[random_.below(hosts_.size())];
    send(host, [this, &host, announcement, number = server.number] {
        auto& pending = host.announcements[announcement.server.name.value];
        if (pending.number < number)
            pending = { announcement, number };
        if (!std::exchange(host.isHeartbeatDue, true))
            scheduleAfter(
                20ms, [this, &host, run = host.run] { deliver(host, run, [this, &host] { heartbeat(host); }); });
    });
}

void World::receive(BackendServer& server, Control::Grant const& grant, std::uint64_t number)
{
    if (grant.incarnation != server.self.incarnation || number <= server.answered)
        return;
    server.answered = number;
    auto const expiry = server.sentAt[number] + grant.timeToLive;
    std::map<std::uint64_t, BackendServer::SlotGrant> owned;
    for (auto const& slot : grant.slots) {
        owned[slot.slot.value] = { slot.epoch, expiry };
        auto& highest = highestEpoch_[slot.slot.value];
        ownerChanges += slot.epoch > highest ? 1 : 0;
        highest = std::max(highest, slot.epoch);
    }
    server.released.clear();
    for (auto const& slot : grant.release) {
        auto const known = server.owned.find(slot.slot.value);
        if (known != server.owned.end() && server.inFlight[slot.slot.value] > 0)
            owned[slot.slot.value] = known->second;
        else
            server.released[slot.slot.value] = slot.epoch;
    }
    server.owned = std::move(owned);
}

void World::serve(BackendServer& server, std::uint64_t slot, Core::Epoch epoch, std::function<void()> const& end)
{
    auto const known = server.owned.find(slot);
    auto const owns
        = known != server.owned.end() && known->second.epoch == epoch && localTime(server) < known->second.expiry;
    if (server.self.checksFencing && !owns)
        return end();
    if (server.self.checksFencing && highestEpoch_[slot] > epoch)
        report("a server accepted a request after its successor was granted");
    ++requestsServed;
    ++server.inFlight[slot];
    scheduleAfter(5ms + 4 * delay(), [&server, slot, run = server.run, end] {
        if (server.run == run)
            --server.inFlight[slot];
        end();
    });
}

void World::crash(BackendServer& server)
{
    server.isAlive = false;
    ++server.run;
    server.owned.clear();
}

void World::restart(BackendServer& server)
{
    crash(server);
    server.self.incarnation = server.self.incarnation.next();
    server.owned.clear();
    server.released.clear();
    server.inFlight.clear();
    server.answered = server.number;
    server.isPaused = false;
    server.mailbox.clear();
    server.isAlive = true;
    startServer(server);
}

} // namespace Simulation
