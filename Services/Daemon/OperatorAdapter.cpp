#include "OperatorAdapter.h"

#include <algorithm>
#include <future>

namespace Daemon {

namespace {

    using namespace Operator;

    constexpr Core::Duration callLimit = std::chrono::seconds(5);
    constexpr Core::Duration infoTimeout = std::chrono::milliseconds(500);
    constexpr Core::Duration waitPollInterval = std::chrono::milliseconds(20);

    std::string sentence(Control::DrainRefused const& refused)
    {
        return "the remaining backend servers of pool '" + refused.pool.value + "' can carry "
            + std::to_string(refused.remainingCapacity) + " requests at a time, the pool needs "
            + std::to_string(refused.demand);
    }

    OperatorError toError(Control::Outcome const& outcome, ServiceTarget const& target)
    {
        auto const name = std::visit([](auto const& n) { return n.value; }, target);
        auto const subject
            = std::holds_alternative<Core::ServerName>(target) ? Subject::Server : Subject::FailureDomain;
        if (auto const* refused = std::get_if<Control::DrainRefused>(&outcome))
            return InvalidEdit { { sentence(*refused) } };
        return NotFound { subject, name };
    }

    OperatorResult<EditResponse> toResult(Control::Outcome const& outcome, EditRequest const& request, bool isRepeated)
    {
        using Result = OperatorResult<EditResponse>;
        return std::visit(Core::Overloaded {
                              [&](Control::EditAccepted const& accepted) -> Result {
                                  return EditResponse { accepted.revision, isRepeated };
                              },
                              [](Control::EditConflict const& conflict) -> Result {
                                  return OperatorError(Conflict { conflict.currentRevision });
                              },
                              [](Control::EditInvalid const& invalid) -> Result {
                                  InvalidEdit error;
                                  std::ranges::transform(invalid.problems, std::back_inserter(error.reasons),
                                      [](auto const& problem) { return Control::describe(problem); });
                                  return OperatorError(std::move(error));
                              },
                              [&](Control::EditIdReused const&) -> Result {
                                  return OperatorError(Operator::EditIdReused { request.id });
                              },
                              [](auto const&) -> Result { return OperatorError(Unavailable { "unexpected outcome" }); },
                          },
            outcome);
    }

    void countServer(PoolStatus& status, Routing::ServerState state)
    {
        switch (state) {
        case Routing::ServerState::InService:
            ++status.serversInService;
            break;
        case Routing::ServerState::Draining:
            ++status.serversDraining;
            break;
        case Routing::ServerState::OutOfService:
            ++status.serversOutOfService;
            break;
        }
    }

    void countSlot(PoolStatus& status, Routing::SlotPhase phase)
    {
        switch (phase) {
        case Routing::SlotPhase::Unassigned:
            ++status.slotsUnassigned;
            break;
        case Routing::SlotPhase::Owned:
            ++status.slotsOwned;
            break;
        case Routing::SlotPhase::Releasing:
            ++status.slotsReleasing;
            break;
        }
    }

    TablesResponse currentTables(Control::State const& state)
    {
        TablesResponse response { state.revision(), {}, {} };
        auto const& table = state.table();
        response.pools.assign(table->pools().begin(), table->pools().end());
        response.routes.assign(table->routes().begin(), table->routes().end());
        return response;
    }

    OwnerRange rangeOf(Core::SlotNumber slot, Control::SlotRecord const& record)
    {
        auto const isUnassigned = record.phase == Routing::SlotPhase::Unassigned;
        return { slot, slot, record.phase, record.epoch, isUnassigned ? Core::ServerName {} : record.owner };
    }

    bool extends(OwnerRange const& range, OwnerRange const& next)
    {
        return range.last.next() == next.first && range.phase == next.phase && range.epoch == next.epoch
            && range.owner == next.owner;
    }

} // namespace

template <typename T>
OperatorResult<T> OperatorAdapter::onLoop(Core::Duration limit, std::function<void(Answer<T>)> function)
{
    auto const promise = std::make_shared<std::promise<OperatorResult<T>>>();
    auto answer = promise->get_future();
    auto const isPosted = sources_.loop.post([promise, function = std::move(function)] {
        function([promise](OperatorResult<T> result) { promise->set_value(std::move(result)); });
    });
    if (!isPosted)
        return OperatorError(Unavailable { "the process is stopping" });
    if (answer.wait_for(limit) != std::future_status::ready)
        return OperatorError(Timeout { limit });
    return answer.get();
}

template <typename T> void OperatorAdapter::answerNotLeader(Answer<T> const& answer)
{
    auto const leader = sources_.control.notLeader().leader;
    auto const peer
        = std::ranges::find_if(settings_.controlPeers, [&](auto const& p) { return leader && p.name == *leader; });
    if (peer == settings_.controlPeers.end() || peer->name == settings_.host.name) {
        answer(OperatorError(Unavailable { "no leader is known" }));
        return;
    }
    auto const endpoint = peer->rpc;
    auto call = Rpc::withTimeout(sources_.loop, infoTimeout,
        sources_.connections.host(endpoint).infoRequest().send().then(
            [](auto&& response) { return Core::Endpoint::parse(response.getOperatorApi().cStr()); }));
    sources_.loop.detach(call.then(
        [answer, leader](std::optional<Core::Endpoint>&& api) {
            answer(OperatorError(Operator::NotLeader { leader, std::move(api) }));
        },
        [this, answer, leader, endpoint](kj::Exception&&) {
            sources_.connections.drop(endpoint);
            answer(OperatorError(Operator::NotLeader { leader, std::nullopt }));
        }));
}

template <typename T> OperatorResult<T> OperatorAdapter::read(std::function<OperatorResult<T>()> function)
{
    return onLoop<T>(callLimit, [this, function = std::move(function)](Answer<T> const& answer) {
        sources_.control.confirmLeadership([this, function, answer](auto const& confirmed) {
            if (confirmed && sources_.control.isLeading())
                answer(function());
            else
                answerNotLeader(answer);
        });
    });
}

OperatorResult<Control::Outcome> OperatorAdapter::commit(std::function<Control::Command()> makeCommand)
{
    using Result = Control::Outcome;
    return onLoop<Result>(callLimit, [this, makeCommand = std::move(makeCommand)](Answer<Result> const& answer) {
        if (!sources_.control.isLeading()) {
            answerNotLeader(answer);
            return;
        }
        sources_.control.submit(makeCommand(), [this, answer](SubmitResult const& result) {
            if (result)
                answer(result.value());
            else if (std::holds_alternative<NotLeader>(result.error()))
                answerNotLeader(answer);
            else
                answer(OperatorError(Timeout { callLimit }));
        });
    });
}

Core::Revision OperatorAdapter::inEffectRevision() const
{
    auto const effective = sources_.control.effectiveVersion();
    Core::Revision newest;
    for (auto const& [id, known] : sources_.control.state().edits().knownEdits()) {
        auto const* accepted = std::get_if<Control::EditAccepted>(&known.outcome);
        if (accepted && accepted->version <= effective)
            newest = std::max(newest, accepted->revision);
    }
    return newest;
}

OperatorResult<StatusResponse> OperatorAdapter::status()
{
    return read<StatusResponse>([this]() -> OperatorResult<StatusResponse> {
        auto const& state = sources_.control.state();
        auto const consensus = sources_.control.consensusStatus();
        StatusResponse response;
        response.cluster = settings_.host.cluster;
        response.host = settings_.host.name;
        response.leader = consensus.leader;
        response.term = consensus.term.value;
        response.hasQuorum = true;
        response.revision = state.revision();
        response.inEffectEverywhere = inEffectRevision();
        auto const now = Core::BootClock::now();
        for (auto const& peer : settings_.controlPeers) {
            ControlHostStatus host { peer.name, peer.failureDomain, peer.name == settings_.host.name,
                consensus.configuration.isVoter(peer.name), peer.name == settings_.host.name, 0 };
            auto const found = std::ranges::find(consensus.peers, peer.name, &Consensus::PeerStatus::host);
            if (found != consensus.peers.end()) {
                host.isReachable = now - found->lastContact < settings_.timing.electionTimeoutMax;
                host.lag = consensus.lastIndex.value - std::min(found->matchIndex.value, consensus.lastIndex.value);
            }
            response.controlHosts.push_back(std::move(host));
        }
        for (auto const& [name, host] : state.entryHosts())
            response.entryHosts.push_back({ name, host.failureDomain, response.inEffectEverywhere, true });
        return response;
    });
}

OperatorResult<PoolsResponse> OperatorAdapter::pools()
{
    return read<PoolsResponse>([this]() -> OperatorResult<PoolsResponse> {
        auto const& state = sources_.control.state();
        PoolsResponse response { state.revision(), {} };
        auto const view = sources_.control.leader().view();
        for (auto const& pool : state.table()->pools()) {
            PoolStatus status;
            status.definition = pool;
            for (auto const& server : view->servers) {
                if (server.pool == pool.name)
                    countServer(status, server.state);
            }
            if (auto const* slots = state.findSlots(pool.name)) {
                for (auto const& record : slots->records())
                    countSlot(status, record.phase);
            }
            response.pools.push_back(std::move(status));
        }
        return response;
    });
}

OperatorResult<RoutesResponse> OperatorAdapter::routes()
{
    return read<RoutesResponse>([this]() -> OperatorResult<RoutesResponse> {
        auto tables = currentTables(sources_.control.state());
        return RoutesResponse { tables.revision, std::move(tables.routes) };
    });
}

OperatorResult<BackendsResponse> OperatorAdapter::backends(BackendsRequest const& request)
{
    return read<BackendsResponse>([this, request]() -> OperatorResult<BackendsResponse> {
        BackendsResponse response;
        auto const& state = sources_.control.state();
        for (auto const& server : sources_.control.leader().view()->servers) {
            if (request.pool && server.pool != *request.pool)
                continue;
            BackendStatus status;
            status.server = server;
            auto const* record = state.findServer(server.name);
            status.ownedSlots = record ? record->ownedSlots : 0;
            response.backends.push_back(std::move(status));
        }
        return response;
    });
}

OperatorResult<DomainsResponse> OperatorAdapter::domains()
{
    return read<DomainsResponse>([this]() -> OperatorResult<DomainsResponse> {
        auto const& drained = sources_.control.state().drainedDomains();
        std::map<Core::FailureDomain, DomainStatus> domains;
        for (auto const& server : sources_.control.leader().view()->servers) {
            auto& domain = domains[server.failureDomain];
            domain.name = server.failureDomain;
            ++domain.servers;
            domain.serversInService += server.state == Routing::ServerState::InService ? 1 : 0;
            if (drained.contains(domain.name))
                domain.state = server.state == Routing::ServerState::Draining || domain.state == DomainState::Draining
                    ? DomainState::Draining
                    : DomainState::OutOfService;
        }
        DomainsResponse response;
        for (auto& [name, domain] : domains)
            response.domains.push_back(std::move(domain));
        return response;
    });
}

OperatorResult<OwnersResponse> OperatorAdapter::owners(OwnersRequest const& request)
{
    return read<OwnersResponse>([this, request]() -> OperatorResult<OwnersResponse> {
        auto const& state = sources_.control.state();
        auto const* pool = state.table()->findPool(request.pool);
        auto const* slots = state.findSlots(request.pool);
        if (!pool || !slots)
            return OperatorError(NotFound { Subject::Pool, request.pool.value });
        OwnersResponse response { request.pool, {} };
        auto const records = slots->records();
        auto const first = request.key ? Routing::slotOfKey(*request.key, *pool).value : 0;
        auto const end = request.key ? std::min(first + 1, records.size()) : records.size();
        for (std::size_t index = first; index < end; ++index) {
            auto next = rangeOf({ index }, records[index]);
            if (!response.ranges.empty() && extends(response.ranges.back(), next))
                response.ranges.back().last = next.last;
            else
                response.ranges.push_back(std::move(next));
        }
        return response;
    });
}

OperatorResult<UsageResponse> OperatorAdapter::usage(UsageRequest const& request)
{
    if (!sources_.usage)
        return OperatorError(Unavailable { "this host stores no usage" });
    auto rows = sources_.usage->query(request.from, request.to, request.grouping);
    if (rows.isError())
        return OperatorError(Unavailable { "the usage records cannot be read" });
    UsageResponse response;
    response.rows = std::move(rows).value().rows;
    return response;
}

OperatorResult<HistoryResponse> OperatorAdapter::history(HistoryRequest const& request)
{
    return read<HistoryResponse>([this, request]() -> OperatorResult<HistoryResponse> {
        HistoryResponse response;
        auto const& history = sources_.control.state().edits().history();
        for (auto entry = history.rbegin(); entry != history.rend(); ++entry) {
            if (response.entries.size() >= request.limit)
                break;
            if (!request.before || entry->revision < *request.before)
                response.entries.push_back(
                    { entry->revision, entry->id, entry->author, {}, entry->wallClockMilliseconds });
        }
        return response;
    });
}

OperatorResult<TablesResponse> OperatorAdapter::tables(TablesRequest const& request)
{
    return read<TablesResponse>([this, request]() -> OperatorResult<TablesResponse> {
        auto const& state = sources_.control.state();
        // FIXME: Keep the tables of earlier revisions in the control state; only the current ones can be read now.
        if (request.revision && *request.revision != state.revision())
            return OperatorError(NotFound { Subject::Revision, std::to_string(request.revision->value) });
        return currentTables(state);
    });
}

OperatorResult<DiffResponse> OperatorAdapter::diff(DiffRequest const& request)
{
    auto const from = TRY(tables({ request.from }));
    auto const to = TRY(tables({ request.to }));
    return compareTables(from, to);
}

OperatorResult<EditResponse> OperatorAdapter::submitEdit(EditRequest const& request)
{
    auto const isRepeated = std::make_shared<bool>(false);
    auto const outcome = TRY(commit([this, request, isRepeated]() -> Control::Command {
        *isRepeated = sources_.control.state().edits().find(request.id) != nullptr;
        return Control::SubmitEdit { request.id, request.base, request.author, Core::wallClockMilliseconds(),
            Control::CompleteTables { request.pools, request.routes } };
    }));
    return toResult(outcome, request, *isRepeated);
}

std::vector<Core::ServerName> OperatorAdapter::serversOf(ServiceTarget const& target) const
{
    if (auto const* server = std::get_if<Core::ServerName>(&target))
        return { *server };
    std::vector<Core::ServerName> servers;
    for (auto const& [name, record] : sources_.control.state().servers()) {
        if (record.server.failureDomain == std::get<Core::FailureDomain>(target))
            servers.push_back(name);
    }
    return servers;
}

OperatorResult<ServiceResponse> OperatorAdapter::drain(DrainRequest const& request)
{
    auto const servers = std::make_shared<std::vector<Core::ServerName>>();
    auto const outcome = TRY(commit([this, request, servers]() -> Control::Command {
        *servers = serversOf(request.target);
        auto demand = sources_.control.leader().measuredDemand();
        if (auto const* server = std::get_if<Core::ServerName>(&request.target))
            return Control::DrainServer { *server, Control::DrainCause::Operator, false, std::move(demand) };
        return Control::DrainDomain { std::get<Core::FailureDomain>(request.target), false, std::move(demand) };
    }));
    if (!std::holds_alternative<Control::Accepted>(outcome))
        return toError(outcome, request.target);
    return ServiceResponse { std::move(*servers) };
}

OperatorResult<ServiceResponse> OperatorAdapter::returnToService(ReturnRequest const& request)
{
    auto const servers = std::make_shared<std::vector<Core::ServerName>>();
    auto const outcome = TRY(commit([this, request, servers]() -> Control::Command {
        *servers = serversOf(request.target);
        if (auto const* server = std::get_if<Core::ServerName>(&request.target))
            return Control::ReturnServer { *server, Control::DrainCause::Operator };
        return Control::ReturnDomain { std::get<Core::FailureDomain>(request.target) };
    }));
    if (!std::holds_alternative<Control::Accepted>(outcome))
        return toError(outcome, request.target);
    return ServiceResponse { std::move(*servers) };
}

OperatorResult<QuarantineResponse> OperatorAdapter::quarantine()
{
    return read<QuarantineResponse>([this]() -> OperatorResult<QuarantineResponse> {
        QuarantineResponse response;
        for (auto const& request : sources_.control.leader().view()->quarantine)
            response.entries.push_back({ request.fingerprint, request.route, 0, Core::Duration::zero() });
        return response;
    });
}

OperatorResult<LiftQuarantineResponse> OperatorAdapter::liftQuarantine(LiftQuarantineRequest const& request)
{
    auto const outcome
        = TRY(commit([request]() -> Control::Command { return Control::LiftQuarantine { request.fingerprint }; }));
    if (!std::holds_alternative<Control::Accepted>(outcome))
        return OperatorError(NotFound { Subject::Fingerprint, formatDigest(request.fingerprint) });
    return LiftQuarantineResponse {};
}

OperatorResult<WaitResponse> OperatorAdapter::waitUntilInEffect(WaitRequest const& request)
{
    auto const deadline = Core::BootClock::now() + std::min(request.timeout, maxWait);
    while (true) {
        auto const inEffect = TRY(read<WaitResponse>(
            [this]() -> OperatorResult<WaitResponse> { return WaitResponse { inEffectRevision() }; }));
        if (inEffect.inEffectEverywhere >= request.revision)
            return inEffect;
        if (Core::BootClock::now() >= deadline)
            return OperatorError(Timeout { request.timeout });
        std::this_thread::sleep_for(waitPollInterval);
    }
}

} // namespace Daemon
