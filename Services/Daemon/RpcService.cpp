#include "RpcService.h"

#include <LibConsensus/Codec.h>
#include <LibControl/Codec.h>
#include <LibRpc/Convert.h>

#include <kj/debug.h>

namespace Daemon {

namespace {

    template <typename Builder> void setNotLeader(Builder reply, NotLeader const& notLeader)
    {
        reply.initNotLeader().setLeader(notLeader.leader ? notLeader.leader->value : std::string());
    }

    [[noreturn]] void refuseMessage() { kj::throwFatalException(KJ_EXCEPTION(FAILED, "invalid message")); }

    bool isOrderCommand(Control::Command const& command)
    {
        return std::holds_alternative<Control::ClaimOrder>(command)
            || std::holds_alternative<Control::CompleteOrder>(command)
            || std::holds_alternative<Control::AbandonOrder>(command)
            || std::holds_alternative<Control::MarkOrderUnknown>(command);
    }

    std::string_view toView(capnp::Data::Reader data) { return { data.asChars().begin(), data.size() }; }

} // namespace

kj::Promise<void> RpcService::deliver(DeliverContext context)
{
    if (!roles_.control)
        return kj::READY_NOW;
    auto message = Consensus::decodeMessage(toView(context.getParams().getMessage()));
    if (message.isError())
        refuseMessage();
    roles_.control->deliver(std::move(message).value());
    return kj::READY_NOW;
}

kj::Promise<void> RpcService::heartbeat(HeartbeatContext context)
{
    auto reply = context.getResults().initReply();
    if (!roles_.control) {
        setNotLeader(reply, {});
        return kj::READY_NOW;
    }
    auto heartbeat = Rpc::readHeartbeat(context.getParams().getHeartbeat());
    if (heartbeat.isError())
        refuseMessage();
    auto const answer = roles_.control->heartbeat(std::move(heartbeat).value());
    if (answer.isError())
        setNotLeader(reply, answer.error());
    else
        Rpc::writeHeartbeatAnswer(reply.initAnswer(), answer.value(), roles_.control->effectiveVersion());
    return kj::READY_NOW;
}

kj::Promise<void> RpcService::order(OrderContext context)
{
    if (!roles_.control) {
        setNotLeader(context.getResults().initReply(), {});
        return kj::READY_NOW;
    }
    auto const data = context.getParams().getCommand();
    auto const command = Control::decodeCommand(std::as_bytes(std::span(data.begin(), data.size())));
    if (command.isError() || !isOrderCommand(command.value()))
        refuseMessage();
    context.allowCancellation();
    auto paf = kj::newPromiseAndFulfiller<void>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(paf.fulfiller));
    roles_.control->submit(command.value(), [context, fulfiller](SubmitResult const& result) mutable {
        // The caller has gone: its call was cancelled and the context must not be used.
        if (!(*fulfiller)->isWaiting())
            return;
        auto reply = context.getResults().initReply();
        if (result)
            Rpc::writeOrderOutcome(reply, result.value());
        else if (auto const* notLeader = std::get_if<NotLeader>(&result.error()))
            setNotLeader(reply, *notLeader);
        else
            reply.setUnresolved();
        (*fulfiller)->fulfill();
    });
    return kj::mv(paf.promise);
}

kj::Promise<void> RpcService::confirmOwner(ConfirmOwnerContext context)
{
    if (!roles_.control) {
        setNotLeader(context.getResults().initReply(), {});
        return kj::READY_NOW;
    }
    auto const params = context.getParams();
    Core::PoolName const pool { params.getPool().cStr() };
    Core::SlotNumber const slot { params.getSlot() };
    Core::Epoch const epoch { params.getEpoch() };
    context.allowCancellation();
    auto paf = kj::newPromiseAndFulfiller<void>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(paf.fulfiller));
    roles_.control->confirmLeadership([this, context, fulfiller, pool, slot, epoch](auto const& confirmed) mutable {
        if (!(*fulfiller)->isWaiting())
            return;
        auto reply = context.getResults().initReply();
        if (!confirmed)
            setNotLeader(reply, confirmed.error());
        else if (roles_.control->leader().confirmOwner(pool, slot, epoch))
            reply.setConfirmed();
        else
            reply.setNotOwner();
        (*fulfiller)->fulfill();
    });
    return kj::mv(paf.promise);
}

kj::Promise<void> RpcService::reportCrash(ReportCrashContext context)
{
    auto const params = context.getParams();
    if (roles_.control) {
        auto const reported = roles_.control->reportCrash(Rpc::readFingerprint(params.getFingerprint()),
            { params.getServer().cStr() }, { params.getRoute().cStr() }, params.getCleared());
        if (reported)
            return kj::READY_NOW;
    }
    // The sender goes on to the next control host.
    return KJ_EXCEPTION(DISCONNECTED, "not the leader");
}

std::shared_ptr<LocalGroup> RpcService::findGroup(capnp::Text::Reader pool, std::uint32_t group) const
{
    return roles_.dispatch ? roles_.dispatch->findLocal({ { pool.cStr() }, group }) : nullptr;
}

kj::Promise<void> RpcService::acquire(AcquireContext context)
{
    auto const params = context.getParams().getRequest();
    auto request = Rpc::readAcquire(params, Core::BootClock::now());
    if (request.isError())
        refuseMessage();
    auto const group = findGroup(params.getPool(), params.getGroup());
    if (!group) {
        Rpc::writeAcquireResult(
            context.getResults().initReply(), Policy::Refusal { Policy::RefusalReason::NotDispatcher });
        return kj::READY_NOW;
    }
    context.allowCancellation();
    auto paf = kj::newPromiseAndFulfiller<void>();
    auto const id = nextAcquire_++;
    acquires_.emplace(id, PendingAcquire { context, kj::mv(paf.fulfiller), group });
    // A grant can come from a traffic thread that released a permit, while the call belongs to the loop's thread.
    group->acquire(request.value(), [this, id](Policy::AcquireResult result) {
        loop_.post([this, id, result = std::move(result)] { finishAcquire(id, result); });
    });
    return kj::mv(paf.promise);
}

void RpcService::finishAcquire(std::uint64_t id, Policy::AcquireResult const& result)
{
    auto const found = acquires_.find(id);
    auto pending = std::move(found->second);
    acquires_.erase(found);
    if (pending.fulfiller->isWaiting()) {
        Rpc::writeAcquireResult(pending.context.getResults().initReply(), result);
        pending.fulfiller->fulfill();
    } else if (result) {
        // The holder hung up before the grant, so nobody will release the permit.
        pending.group->release({ result.value().id, Policy::AttemptOutcome::NotSent, Core::Duration::zero(), false });
    }
}

kj::Promise<void> RpcService::release(ReleaseContext context)
{
    auto const params = context.getParams();
    auto const report = Rpc::readRelease(params.getReport());
    if (report.isError())
        refuseMessage();
    if (auto const group = findGroup(params.getPool(), params.getGroup()))
        group->release(report.value());
    return kj::READY_NOW;
}

kj::Promise<void> RpcService::registerHeld(RegisterHeldContext context)
{
    auto const params = context.getParams();
    auto const group = findGroup(params.getPool(), params.getGroup());
    // This host has not applied the view that appoints it yet. The holder tries again.
    if (!group)
        return KJ_EXCEPTION(DISCONNECTED, "not the dispatcher yet");
    for (auto const permit : params.getPermits()) {
        group->handle(Policy::RegisterHeld { { { permit.getPermit() }, { permit.getServer().cStr() }, std::nullopt },
            { params.getHolder().cStr() }, { permit.getRoute().cStr() },
            Rpc::readFingerprint(permit.getFingerprint()) });
    }
    return kj::READY_NOW;
}

kj::Promise<void> RpcService::reportUsage(ReportUsageContext context)
{
    if (!roles_.control || !roles_.usage)
        return KJ_EXCEPTION(UNIMPLEMENTED, "no usage is stored here");
    std::vector<Telemetry::UsageBatch> batches;
    for (auto const line : context.getParams().getBatches()) {
        auto batch = Telemetry::parseUsageBatch({ line.cStr(), line.size() });
        if (!batch)
            refuseMessage();
        batches.push_back(std::move(*batch));
    }
    auto paf = kj::newPromiseAndCrossThreadFulfiller<void>();
    auto fulfiller = std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<void>>>(kj::mv(paf.fulfiller));
    background_.enqueue([usage = roles_.usage, batches = std::move(batches), fulfiller] {
        if (usage->addReported(batches).isError())
            (*fulfiller)->reject(KJ_EXCEPTION(FAILED, "the usage records cannot be written"));
        else
            (*fulfiller)->fulfill();
    });
    return kj::mv(paf.promise);
}

kj::Promise<void> RpcService::info(InfoContext context)
{
    auto results = context.getResults();
    results.setHost(settings_.host.name.value);
    results.setOperatorApi(settings_.listen.operatorApi ? settings_.listen.operatorApi->toString() : std::string());
    results.setVersion(Rpc::Wire::PROTOCOL_VERSION);
    return kj::READY_NOW;
}

} // namespace Daemon
