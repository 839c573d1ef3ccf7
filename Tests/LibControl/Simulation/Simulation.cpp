#include <Simulation/Simulation.h>

#include <algorithm>

namespace Simulation {

namespace {

    constexpr Duration tickInterval = 50ms;
    constexpr Duration minElectionTimeout = 400ms;

} // namespace

World::World(Options options)
    : options_(options)
    , random_(options.seed)
{
    auto const rate = [&] { return 1 + options_.drift * (2 * random_.unit() - 1); };
    for (std::size_t i = 0; i < 3; ++i) {
        auto& control = *controls_.emplace_back(std::make_unique<ControlHost>());
        control.rate = rate();
        control.leader = std::make_unique<Control::Leader>(
            control.state, std::make_unique<Control::BalancedPlacement>(), options_.leader);
        scheduleEvery(control, tickInterval, [this, &control] { step(control, Control::Tick {}); });
    }
    for (std::uint32_t i = 0; i < options_.hosts; ++i) {
        auto& host = *hosts_.emplace_back(std::make_unique<EntryHost>());
        host.rate = rate();
        host.self = { .name = { "h" + std::to_string(i) }, .rpcEndpoint = { "127.0.0.1", 7000 }, .incarnation = { 1 } };
        startHost(host);
    }
    for (std::uint32_t i = 0; i < options_.servers; ++i) {
        auto& server = *servers_.emplace_back(std::make_unique<BackendServer>());
        server.rate = rate();
        server.self = { .name = { "s" + std::to_string(10000 + i) },
            .pool = { "letter" },
            .endpoint = { "127.0.0.1", 8000 },
            .failureDomain = { std::to_string(i % 3) },
            .incarnation = { 1 },
            .slots = 4,
            .checksFencing = i < options_.checking * options_.servers };
        startServer(server);
    }
    scheduleAfter(0ms, [this] { quorumRound(); });
    elect(0);
    Routing::RouteDefinition route { .name = { "letters" }, .pool = { "letter" }, .pathPrefix = "/letters" };
    route.key = Routing::KeyFromPathSegment { 1 };
    Control::CompleteTables const tables {
        { { .name = { "letter" }, .kind = Routing::PoolKind::KeyPartitioned, .slotCount = options_.slots } }, { route }
    };
    propose(Control::SubmitEdit { { "first" }, {}, "operator", 0, tables });
    scheduleAfter(1s, [this] { injectFault(); });
}

TimePoint World::localTime(Process const& process) const
{
    return TimePoint(std::chrono::duration_cast<Duration>(now_.time_since_epoch() * process.rate));
}

void World::scheduleAfter(Duration delay, std::function<void()> action)
{
    events_.push({ now_ + delay, nextOrder_++, std::move(action) });
}

void World::scheduleEvery(Process& process, Duration interval, std::function<void()> const& action)
{
    auto const run = process.run;
    scheduleAfter(
        Duration(random_.below(static_cast<std::uint64_t>(interval.count()))), [this, &process, interval, run, action] {
            auto repeat = std::make_shared<std::function<void()>>();
            *repeat = [this, &process, interval, run, action, weak = std::weak_ptr(repeat)] {
                if (!process.isAlive || process.run != run)
                    return;
                if (!process.isPaused)
                    action();
                scheduleAfter(interval, [repeat = weak.lock()] { (*repeat)(); });
            };
            (*repeat)();
        });
}

Duration World::delay()
{
    auto const upTo
        = [&](Duration limit) { return Duration(random_.below(static_cast<std::uint64_t>(limit.count()))); };
    return random_.unit() < options_.late ? upTo(3s) : 500us + upTo(options_.maxDelay);
}

void World::send(Process& to, std::function<void()> action)
{
    if (random_.unit() < options_.loss)
        return;
    scheduleAfter(delay(), [this, &to, run = to.run, action = std::move(action)] { deliver(to, run, action); });
}

void World::deliver(Process& to, std::uint64_t run, std::function<void()> action)
{
    if (!to.isAlive || to.run != run)
        return;
    if (to.isPaused)
        to.mailbox.push_back(std::move(action));
    else
        action();
}

void World::pause(Process& process, Duration duration)
{
    if (process.isPaused || !process.isAlive)
        return;
    process.isPaused = true;
    scheduleAfter(duration, [&process] {
        process.isPaused = false;
        for (auto const& action : std::exchange(process.mailbox, {}))
            action();
    });
}

void World::run(Duration duration)
{
    auto const end = now_ + duration;
    while (!events_.empty() && events_.top().at <= end) {
        auto const event = events_.top();
        events_.pop();
        now_ = event.at;
        event.action();
        if (options_.checksInvariants)
            checkInvariants();
    }
    now_ = end;
}

void World::setLoss(double loss, double late)
{
    options_.loss = loss;
    options_.late = late;
}

// Control hosts and the log.

void World::step(ControlHost& control, Control::Event const& event)
{
    for (auto& action : control.leader->step(localTime(control), event)) {
        if (auto* proposal = std::get_if<Control::Propose>(&action)) {
            if (&control == controls_[leader_].get())
                propose(std::move(proposal->command));
            continue;
        }
        auto const answer = std::make_shared<Control::HeartbeatAnswer>(std::get<Control::HeartbeatAnswer>(action));
        for (auto& host : hosts_) {
            if (host->self.name == answer->host)
                send(*host, [this, &host = *host, answer] { receive(host, *answer); });
        }
    }
}

void World::propose(Control::Command command, std::function<void(Control::Outcome const&)> done)
{
    if (!hasQuorum_)
        return;
    auto proposal = std::make_shared<Proposal>(Proposal { std::move(command), term_, std::move(done) });
    pendingProposals_.push_back(proposal);
    lastCommit_ = std::max(lastCommit_, now_ + 5ms + delay() + delay());
    scheduleAfter(lastCommit_ - now_, [this, proposal] { commit(proposal); });
}

void World::commit(std::shared_ptr<Proposal> const& proposal)
{
    if (proposal->term != term_ || !hasQuorum_)
        return;
    std::erase(pendingProposals_, proposal);
    append(*proposal);
}

void World::append(Proposal const& proposal)
{
    log_.push_back(proposal.command);
    auto& control = leading();
    auto const outcome = control.state.apply(log_.size(), proposal.command);
    control.applied = log_.size();
    if (proposal.done && proposal.term == term_)
        proposal.done(outcome);
    deliver(control, control.run, [this, &control] { step(control, Control::StateApplied {}); });
}

void World::catchUp(ControlHost& control)
{
    if (random_.below(3) == 0) {
        // Restores the state from a snapshot, as after a restart.
        auto const bytes = control.state.snapshot();
        if (control.state.restore(bytes).isError())
            report("a snapshot could not be restored");
    }
    for (; control.applied < log_.size(); ++control.applied) {
        auto const before = control.state.viewVersion();
        std::ignore = control.state.apply(control.applied + 1, log_[control.applied]);
        if (control.state.viewVersion() < before)
            report("the view version decreased");
    }
}

void World::elect(std::size_t next)
{
    ++term_;
    ++leaderChanges;
    leader_ = next;
    hasQuorum_ = true;
    // A candidate knows the new term, so its own earlier leadership has ended.
    step(leading(), Control::LostLeadership {});
    catchUp(leading());
    // The new leader may have received a prefix of the earlier leader's uncommitted entries.
    auto const survivors = random_.below(pendingProposals_.size() + 1);
    for (std::size_t i = 0; i < survivors; ++i)
        append(*pendingProposals_[i]);
    pendingProposals_.clear();
    scheduleAfter(5ms + delay(), [this, term = term_, &control = leading()] {
        if (term == term_)
            deliver(control, control.run, [this, &control, term] { step(control, Control::BecameLeader { term }); });
    });
}

void World::quorumRound()
{
    scheduleAfter(50ms, [this] { quorumRound(); });
    auto& control = leading();
    if (!hasQuorum_ || control.isPaused)
        return;
    lastRound_ = now_;
    scheduleAfter(2 * delay(), [this, &control, began = localTime(control)] {
        deliver(control, control.run, [this, &control, began] { step(control, Control::QuorumContact { began }); });
    });
}

std::size_t World::nextLeader()
{
    auto const first = leader_ + 1 + random_.below(2);
    for (auto i = first; i < first + controls_.size(); ++i) {
        auto const candidate = i % controls_.size();
        if (candidate != leader_ && !controls_[candidate]->isPaused)
            return candidate;
    }
    return first % controls_.size();
}

void World::loseLeader(bool isPaused)
{
    if (!hasQuorum_)
        return;
    hasQuorum_ = false;
    auto& old = leading();
    if (isPaused)
        pause(old, 200ms + Duration(random_.below(4'000'000'000)));
    // Followers do not vote until the minimum election timeout after the last round has passed on their clocks, which
    // may be fast.
    auto const earliest = lastRound_ + std::chrono::duration_cast<Duration>(minElectionTimeout / (1 + options_.drift));
    auto const at = std::max(now_, earliest) + Duration(random_.below(450'000'000));
    scheduleAfter(at - now_, [this, &old] {
        elect(nextLeader());
        auto const notificationDelay = Duration(random_.below(3'000'000'000));
        scheduleAfter(notificationDelay, [this, &old] {
            if (&old != &leading())
                deliver(old, old.run, [this, &old] { step(old, Control::LostLeadership {}); });
        });
    });
}

// Faults and checks.

void World::injectFault()
{
    scheduleAfter(100ms + Duration(random_.below(900'000'000)), [this] { injectFault(); });
    if (!options_.faults)
        return;
    auto& server = *servers_[random_.below(servers_.size())];
    auto& host = *hosts_[random_.below(hosts_.size())];
    auto const duration = Duration(random_.below(6'000'000'000));
    switch (random_.below(14)) {
    case 0:
    case 1:
        return pause(server, duration);
    case 2:
        return restart(server);
    case 3:
        return pause(host, duration);
    case 4:
        return restart(host);
    case 5:
        return loseLeader(true);
    case 6:
        return loseLeader(false);
    case 7:
        return pause(leading(), Duration(random_.below(300'000'000)));
    case 8:
        return propose(Control::DrainDomain { { std::to_string(random_.below(3)) }, true, {} });
    case 9:
    case 10:
        for (auto const& domain : std::set(leading().state.drainedDomains()))
            propose(Control::ReturnDomain { domain });
        return;
    case 11:
        server.isDraining = !server.isDraining;
        return;
    case 12:
        server.isCold = !server.isCold;
        return;
    default:
        submitEdit();
        return runOrder();
    }
}

void World::submitEdit()
{
    Core::EditId const id { "edit" + std::to_string(nextEdit_++) };
    Control::PutPool const put { { .name = { id.value } }, false };
    Control::SubmitEdit const edit { id, leading().state.revision(), "operator", 0,
        std::vector<Control::EditOperation> { put } };
    propose(edit, [this, id](Control::Outcome const& outcome) {
        if (auto const* accepted = std::get_if<Control::EditAccepted>(&outcome))
            acknowledgedEdits[id] = accepted->revision;
    });
}

void World::runOrder()
{
    // The caller resends the order through each entry host; at most one of the attempts may run.
    auto const number = nextOrderNumber_++;
    for (auto& host : hosts_) {
        Core::RequestId const requestId { random_.next(), random_.next() };
        Control::OrderKey const key { { "letters" }, { "caller" }, std::to_string(number) };
        Control::ClaimOrder const claim { key, { number, 0 }, requestId, host->self.name, host->self.incarnation };
        scheduleAfter(Duration(random_.below(2'000'000'000)), [this, claim, number] {
            propose(claim, [this, claim, number](Control::Outcome const& outcome) {
                if (!std::holds_alternative<Control::OrderClaimed>(outcome))
                    return;
                if (random_.below(4) == 0)
                    return propose(Control::AbandonOrder { claim.key, claim.requestId });
                ++ordersRun;
                if (++orderRuns_[number] > 1)
                    report("an order ran twice");
                if (random_.below(2) == 0)
                    propose(Control::CompleteOrder { claim.key, claim.requestId, std::nullopt });
            });
        });
    }
}

void World::checkInvariants()
{
    std::map<std::uint64_t, std::string> owners;
    for (auto const& server : servers_) {
        for (auto const& [slot, grant] : server->owned) {
            if (localTime(*server) >= grant.expiry)
                continue;
            auto const [other, isFirst] = owners.emplace(slot, server->self.name.value);
            if (!isFirst)
                report("slot " + std::to_string(slot) + " has two owners: " + other->second + " and "
                    + server->self.name.value);
        }
    }
}

void World::report(std::string const& text)
{
    constexpr std::size_t maxReports = 20;
    if (violations.size() < maxReports)
        violations.push_back(
            std::to_string(Core::toMilliseconds(now_.time_since_epoch()) - 3'600'000) + " ms: " + text);
}

bool World::isServed(std::uint64_t slot)
{
    auto const* table = leading().state.findSlots({ "letter" });
    auto const* record = table ? table->find({ slot }) : nullptr;
    if (!record)
        return false;
    auto const isOwner = [&](auto const& server) {
        auto const grant = server->owned.find(slot);
        return server->isAlive && !server->isPaused && server->self.name == record->owner
            && grant != server->owned.end() && grant->second.epoch == record->epoch
            && localTime(*server) < grant->second.expiry;
    };
    auto const routes = [&](auto const& host) {
        auto const* assignment = host->view ? host->view->findSlot({ "letter" }, { slot }) : nullptr;
        return !host->isAlive
            || (assignment && assignment->phase == Routing::SlotPhase::Owned && assignment->epoch == record->epoch
                && localTime(*host) < host->leaseExpiry);
    };
    return std::ranges::any_of(servers_, isOwner) && std::ranges::all_of(hosts_, routes);
}

std::size_t World::servedSlots()
{
    std::size_t served = 0;
    for (std::uint64_t slot = 0; slot < options_.slots; ++slot)
        served += isServed(slot) ? 1 : 0;
    return served;
}

} // namespace Simulation
