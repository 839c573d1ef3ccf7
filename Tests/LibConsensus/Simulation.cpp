#include "Simulation.h"

#include "SimulatedState.h"

#include <LibConsensus/Codec.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <sstream>

namespace Test {

using namespace Consensus;

namespace {

    /// On average, one in this many messages is encoded and decoded as a check.
    constexpr std::uint64_t encodingCheckInterval = 16;
    constexpr std::uint64_t segmentBytes = 20'000;
    constexpr std::uint64_t maxPadding = 60;
    Core::ClusterId const clusterId { "simulated" };

} // namespace

Simulation::Simulation(SimulationOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
{
    options_.settings.clusterId = clusterId;
}

void Simulation::schedule(Core::Duration delay, std::function<void()> run)
{
    queue_.push({ now_ + delay, nextOrder_++, std::move(run) });
}

Core::Duration Simulation::between(Core::Duration min, Core::Duration max)
{
    auto const spread = static_cast<std::uint64_t>((max - min).count());
    return min + Core::Duration(static_cast<std::int64_t>(random_.below(spread + 1)));
}

std::vector<Simulation::Name> Simulation::names() const
{
    std::vector<Name> names;
    for (auto const& [name, host] : hosts_)
        names.push_back(name);
    return names;
}

Core::TimePoint Simulation::localTime(Name const& name) const
{
    auto const& host = hosts_.at(name);
    auto const elapsed = static_cast<double>(now_.count()) * host.clockRate;
    return Core::TimePoint(host.clockOffset + Core::Duration(static_cast<std::int64_t>(elapsed)));
}

void Simulation::addHost(Name const& name, RecoveredState const& state)
{
    auto& host = hosts_[name];
    // A previous host of this name is replaced and loses all its data. The generation increases, so that events
    // scheduled for the previous host are ignored.
    auto const generation = host.generation + 1;
    host = {};
    host.generation = generation;
    host.disk = std::make_unique<FakeDisk>(random_.next());
    host.clockRate = 1 + (2 * random_.unit() - 1) * options_.clockDrift;
    host.clockOffset = std::chrono::seconds(1 + static_cast<std::int64_t>(random_.below(1000)));
    host.diskMin = options_.diskMin;
    host.diskMax = options_.diskMax;
    auto const created = Storage::Store::create(*host.disk, { clusterId, { name }, segmentBytes }, state);
    if (created.isError())
        recordViolation(concatenate(name, ": ", Storage::describe(created.error())));
    host.durable.hardState = state.hardState;
    for (auto const& entry : state.entries)
        host.durable.entries[entry.index.value] = entry.term;
    start(name);
}

void Simulation::bootstrap(std::vector<Name> const& names)
{
    std::vector<Member> members;
    members.reserve(names.size());
    for (auto const& name : names)
        members.push_back({ { name }, {} });
    auto const state = bootstrapState(Configuration::ofVoters(members));
    for (auto const& name : names)
        addHost(name, state);
}

void Simulation::join(Name const& name) { addHost(name, {}); }

void Simulation::start(Name const& name)
{
    auto& host = hosts_.at(name);
    auto opened = Storage::Store::open(*host.disk, { clusterId, { name }, segmentBytes });
    if (opened.isError())
        return recordViolation(concatenate(name, " cannot restart: ", Storage::describe(opened.error())));
    checkRecovered(name, host, opened.value().state);
    auto& [store, state, report] = opened.value();
    host.store = std::move(store);
    // The first step restores the recovered snapshot.
    host.tokens.clear();
    host.appliedIndex = 0;
    auto settings = options_.settings;
    settings.host = { name };
    host.node = std::make_unique<Node>(settings, std::move(state), random_.next(), localTime(name));
    ++host.generation;
    host.isPaused = false;
    host.isWriting = false;
    host.scheduledTick.reset();
    deliver(name, Tick {});
}

void Simulation::stop(Name const& name, bool isTorn)
{
    auto& host = hosts_.at(name);
    if (!host.node)
        return;
    if (isTorn && !host.writes.empty()) {
        host.disk->dieAfter(random_.below(4));
        markUncertain(host, host.writes);
        static_cast<void>(host.store->persist(host.writes));
    }
    host.writes.clear();
    host.queuedEvents.clear();
    host.crashesInWrite = false;
    host.node.reset();
    host.store.reset();
    ++host.generation;
}

void Simulation::crash(Name const& name, bool isTorn)
{
    stop(name, isTorn);
    hosts_.at(name).disk->crash();
}

void Simulation::kill(Name const& name)
{
    stop(name, false);
    hosts_.at(name).disk->endProcess();
}

void Simulation::restart(Name const& name)
{
    auto const& host = hosts_.at(name);
    if (!host.node)
        start(name);
}

void Simulation::pause(Name const& name) { hosts_.at(name).isPaused = true; }

void Simulation::resume(Name const& name)
{
    auto& host = hosts_.at(name);
    if (!host.isPaused)
        return;
    host.isPaused = false;
    if (!host.node)
        return;
    auto events = std::move(host.queuedEvents);
    host.queuedEvents.clear();
    auto const generation = host.generation;
    for (auto& event : events) {
        if (host.node && host.generation == generation)
            deliver(name, std::move(event));
    }
    if (host.node && host.generation == generation) {
        deliver(name, Tick {});
        scheduleWrite(name);
    }
}

void Simulation::crashInNextWrite(Name const& name) { hosts_.at(name).crashesInWrite = true; }

void Simulation::failNextSync(Name const& name) { hosts_.at(name).disk->failSyncAfter(0); }

void Simulation::fillDisk(Name const& name) { hosts_.at(name).disk->setFreeBytes(200); }

void Simulation::freeDisk(Name const& name) { hosts_.at(name).disk->setFreeBytes(std::nullopt); }

bool Simulation::isFailed(Name const& name) const
{
    auto const& host = hosts_.at(name);
    return host.node && !host.node->isStorageSound();
}

void Simulation::setDiskLatency(Name const& name, Core::Duration min, Core::Duration max)
{
    hosts_.at(name).diskMin = min;
    hosts_.at(name).diskMax = max;
}

void Simulation::blockBoth(Name const& left, Name const& right)
{
    block(left, right);
    block(right, left);
}

void Simulation::isolate(Name const& name)
{
    for (auto const& other : names()) {
        if (other != name)
            blockBoth(name, other);
    }
}

void Simulation::setLoss(double lossRatio, double duplicateRatio)
{
    options_.lossRatio = lossRatio;
    options_.duplicateRatio = duplicateRatio;
}

std::uint64_t Simulation::propose(Name const& name)
{
    auto const token = nextToken_++;
    deliver(name, Propose { { { { token }, payloadOf(token, random_.below(maxPadding)) } } });
    return token;
}

std::uint64_t Simulation::read(Name const& name)
{
    auto const token = nextToken_++;
    minReadIndexes_[token] = acknowledgedIndex_;
    deliver(name, RequestRead { { { token } } });
    return token;
}

std::uint64_t Simulation::change(Name const& name, ConfigurationChange change)
{
    auto const token = nextToken_++;
    deliver(name, RequestChange { { token }, std::move(change) });
    return token;
}

void Simulation::transfer(Name const& name, std::optional<Name> target)
{
    RequestTransfer request;
    if (target)
        request.target = Core::HostName { *target };
    hosts_.at(name).transfer.reset();
    deliver(name, request);
}

void Simulation::takeSnapshot(Name const& name)
{
    auto const& host = hosts_.at(name);
    if (!host.node || host.isPaused)
        return;
    deliver(name, SnapshotTaken { { host.appliedIndex }, std::make_shared<std::string const>(stateOf(host.tokens)) });
}

void Simulation::inject(Message message)
{
    auto const to = message.to.value;
    deliver(to, MessageReceived { std::move(message) });
}

void Simulation::deliver(Name const& name, Event event)
{
    auto& host = hosts_.at(name);
    if (!host.node || !violation_.empty())
        return;
    if (host.isPaused) {
        host.queuedEvents.push_back(std::move(event));
        return;
    }
    ++steps_;
    auto actions = host.node->step(localTime(name), std::move(event));
    checkActions(name, host, actions);
    host.wakeAt = actions.wakeAt;
    std::ranges::move(actions.persist, std::back_inserter(host.writes));
    scheduleWrite(name);
    for (auto const& message : actions.messages)
        transmit(message);
    scheduleTick(name);
    if (actions.isSnapshotDue)
        takeSnapshot(name);
}

void Simulation::scheduleTick(Name const& name)
{
    auto& host = hosts_.at(name);
    if (host.wakeAt == Core::TimePoint::max())
        return;
    auto const local = static_cast<double>((host.wakeAt.time_since_epoch() - host.clockOffset).count());
    auto const at = std::max(now_, Core::Duration(static_cast<std::int64_t>(std::ceil(local / host.clockRate)) + 2));
    if (host.scheduledTick && *host.scheduledTick <= at)
        return;
    host.scheduledTick = at;
    schedule(at - now_, [this, name, at, generation = host.generation] {
        auto& target = hosts_.at(name);
        if (target.generation != generation || target.scheduledTick != at)
            return;
        target.scheduledTick.reset();
        if (target.isPaused)
            return;
        if (localTime(name) >= target.wakeAt)
            deliver(name, Tick {});
        else
            scheduleTick(name);
    });
}

void Simulation::scheduleWrite(Name const& name)
{
    auto& host = hosts_.at(name);
    if (host.isWriting || host.isPaused || host.writes.empty())
        return;
    host.isWriting = true;
    schedule(between(host.diskMin, host.diskMax), [this, name, generation = host.generation] {
        if (hosts_.at(name).generation == generation)
            runWrite(name);
    });
}

void Simulation::runWrite(Name const& name)
{
    auto& host = hosts_.at(name);
    host.isWriting = false;
    if (host.isPaused)
        return;
    if (host.crashesInWrite) {
        crash(name, true);
        return;
    }
    auto const writes = std::exchange(host.writes, {});
    auto const result = host.store->persist(writes);
    if (result.isError()) {
        markUncertain(host, writes);
        deliver(name, StorageFailed {});
        scheduleWrite(name);
        return;
    }
    for (auto const& request : writes)
        recordDurable(host, request);
    deliver(name, Persisted { result.value() });
    scheduleWrite(name);
}

void Simulation::markUncertain(Host& host, std::span<PersistRequest const> writes)
{
    auto const none = std::numeric_limits<std::uint64_t>::max();
    for (auto const& request : writes) {
        auto replaced = none;
        if (request.discardsLog)
            replaced = 0;
        else if (request.replacesAll)
            replaced = firstDifference(host.durable, request);
        else if (!request.entries.empty())
            replaced = request.entries.front().index.value;
        host.uncertainFrom = std::min(host.uncertainFrom.value_or(none), replaced);
    }
}

std::uint64_t Simulation::firstDifference(DurableState const& durable, PersistRequest const& request)
{
    auto const snapshotIndex = request.snapshot ? request.snapshot->metadata.index.value : 0;
    for (auto const& [index, term] : durable.entries) {
        if (index <= snapshotIndex)
            continue;
        auto const found = std::ranges::find(request.entries, LogIndex { index }, &LogEntry::index);
        if (found == request.entries.end() || found->term != term)
            return index;
    }
    return durable.lastIndex() + 1;
}

void Simulation::recordDurable(Host& host, PersistRequest const& request)
{
    auto& durable = host.durable;
    if (request.replacesAll) {
        durable.entries.clear();
        host.uncertainFrom.reset();
    }
    if (request.snapshot) {
        durable.snapshotIndex = std::max(durable.snapshotIndex, request.snapshot->metadata.index.value);
        if (request.discardsLog)
            durable.entries.clear();
    }
    if (request.hardState)
        durable.hardState = *request.hardState;
    if (request.entries.empty())
        return;
    durable.entries.erase(durable.entries.lower_bound(request.entries.front().index.value), durable.entries.end());
    for (auto const& entry : request.entries)
        durable.entries[entry.index.value] = entry.term;
}

void Simulation::transmit(Message const& message)
{
    auto const copies = 1 + (happens(options_.duplicateRatio) ? 1 : 0);
    for (int copy = 0; copy < copies; ++copy) {
        if (blocked_.contains({ message.from.value, message.to.value }) || happens(options_.lossRatio))
            continue;
        if (!hosts_.contains(message.to.value))
            continue;
        schedule(between(options_.latencyMin, options_.latencyMax), [this, message] {
            if (random_.below(encodingCheckInterval) == 0) {
                auto const decoded = decodeMessage(encodeMessage(message));
                if (decoded.isError() || decoded.value() != message)
                    recordViolation("a message changed when it was encoded and decoded");
            }
            auto const to = message.to.value;
            deliver(to, MessageReceived { message });
        });
    }
}

void Simulation::runFor(Core::Duration duration)
{
    runUntil([] { return false; }, duration);
}

bool Simulation::runUntil(std::function<bool()> const& condition, Core::Duration limit)
{
    auto const end = now_ + limit;
    while (violation_.empty()) {
        if (condition())
            return true;
        if (queue_.empty() || queue_.top().at > end) {
            now_ = end;
            return false;
        }
        auto next = queue_.top();
        queue_.pop();
        now_ = next.at;
        next.run();
    }
    return false;
}

bool Simulation::isRunning(Name const& name) const
{
    auto const found = hosts_.find(name);
    return found != hosts_.end() && found->second.node && !found->second.isPaused;
}

bool Simulation::isReady(Name const& name) const
{
    return isRunning(name) && node(name).role() == Role::Leader && node(name).status().isLeaderReady;
}

Simulation::Name Simulation::leader() const
{
    Name best;
    for (auto const& [name, host] : hosts_) {
        if (!isRunning(name) || host.node->role() != Role::Leader)
            continue;
        if (best.empty() || host.node->term() > hosts_.at(best).node->term())
            best = name;
    }
    return best;
}

bool Simulation::commitOne()
{
    std::uint64_t token = 0;
    auto attemptAt = now_;
    return runUntil(
        [&] {
            if (token != 0 && isCommitted(token))
                return true;
            if (now_ >= attemptAt && isReady(leader())) {
                attemptAt = now_ + std::chrono::milliseconds(500);
                token = propose(leader());
            }
            return false;
        },
        std::chrono::seconds(20));
}

bool Simulation::recoverAndConverge()
{
    heal();
    setLoss(0, 0);
    for (auto const& name : names()) {
        hosts_.at(name).crashesInWrite = false;
        freeDisk(name);
        resume(name);
        restart(name);
        setDiskLatency(name, options_.diskMin, options_.diskMax);
    }
    if (!commitOne())
        return false;
    auto const isEverywhere = [this] {
        if (!isReady(leader()))
            return false;
        auto const status = node(leader()).status();
        return std::ranges::all_of(names(), [&](auto const& name) {
            auto const& host = hosts_.at(name);
            auto const isMember = status.configuration.isMember({ name });
            return !isMember || (host.node && !isFailed(name) && host.tokens == committedTokens_);
        });
    };
    return runUntil(isEverywhere, std::chrono::seconds(20));
}

std::optional<ProposalOutcome> Simulation::outcome(std::uint64_t token) const
{
    auto const found = outcomes_.find(token);
    return found == outcomes_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<ReadOutcome> Simulation::readOutcome(std::uint64_t token) const
{
    auto const found = reads_.find(token);
    return found == reads_.end() ? std::nullopt : std::optional(found->second);
}

bool Simulation::isCommitted(std::uint64_t token) const
{
    auto const result = outcome(token);
    return result && std::holds_alternative<Committed>(*result);
}

std::optional<TransferOutcome> Simulation::transferOutcome(Name const& name) const { return hosts_.at(name).transfer; }

std::string Simulation::describe() const
{
    std::ostringstream text;
    text << "committed " << committed_.size() << '\n';
    for (auto const& [name, host] : hosts_) {
        text << "  " << name << (host.isPaused ? " paused" : "") << (isFailed(name) ? " failed" : "");
        if (!host.node) {
            text << " down\n";
            continue;
        }
        auto const status = host.node->status();
        text << ' ' << toString(status.role) << " term " << status.term.value << " leader "
             << status.leader.value_or(Core::HostName {}).value << " first " << status.firstIndex.value << " commit "
             << status.commitIndex.value << " durable " << status.durableIndex.value << " last "
             << status.lastIndex.value << " snapshot " << status.snapshotIndex.value << " voters";
        for (auto const& voter : status.configuration.voters)
            text << ' ' << voter.name.value;
        text << " learners";
        for (auto const& learner : status.configuration.learners)
            text << ' ' << learner.name.value;
        text << '\n';
        for (auto const& peer : status.peers)
            text << "    " << peer.host.value << " state " << static_cast<int>(peer.state) << " match "
                 << peer.matchIndex.value << (peer.hasLostData ? " lost data" : "") << '\n';
    }
    return text.str();
}

void Simulation::recordViolation(std::string const& text)
{
    if (violation_.empty())
        violation_ = concatenate("seed ", options_.seed, ", at ", Core::toMilliseconds(now_), " ms: ", text);
}

} // namespace Test
