#include <LibControl/WireTypes.h>
#include <LibRpc/Convert.h>

#include <algorithm>

namespace Rpc {

namespace {

    using Control::Wire::FieldReader;

    /// No deadline is longer. Keeps a wrong number from overflowing the time.
    constexpr Core::Duration maxRemaining = std::chrono::hours(24);

    void writeClaim(Wire::OrderReply::Builder builder, Control::OrderCompleted const& completed)
    {
        auto group = builder.initCompleted();
        group.setHasAnswer(completed.answer.has_value());
        if (completed.answer)
            Control::Wire::writeAnswer(group.initAnswer(), *completed.answer);
    }

} // namespace

void writeOrderOutcome(Wire::OrderReply::Builder builder, Control::Outcome const& outcome)
{
    std::visit(Core::Overloaded {
                   [&](Control::OrderClaimed const&) { builder.setClaimed(); },
                   [&](Control::OrderInProgress const&) { builder.setInProgress(); },
                   [&](Control::OrderCompleted const& completed) { writeClaim(builder, completed); },
                   [&](Control::OrderUnknown const&) { builder.setUnknown(); },
                   [&](Control::OrderMismatch const&) { builder.setMismatch(); },
                   [&](Control::OrderAbandoned const&) { builder.setAbandoned(); },
                   [&](Control::LedgerFull const&) { builder.setLedgerFull(); },
                   [&](Control::ClaimantNotLive const&) { builder.setClaimantNotLive(); },
                   [&](Control::OrderInvalid const&) { builder.setInvalid(); },
                   [&](Control::OrderRecorded const&) { builder.setRecorded(); },
                   [&](Control::OrderNotClaimed const&) { builder.setNotClaimed(); },
                   [&](auto const&) { builder.setUnresolved(); },
               },
        outcome);
}

void writeAcquire(Wire::AcquireRequest::Builder builder, Policy::AcquireRequest const& request, std::uint32_t group,
    Core::TimePoint now)
{
    Control::Wire::writeRequestId(builder.initRequestId(), request.requestId);
    builder.setHolder(request.holder.value);
    builder.setPool(request.pool.value);
    builder.setGroup(group);
    builder.setHasOwner(request.owner.has_value());
    if (request.owner)
        builder.setOwner(request.owner->value);
    builder.setRoute(request.route.value);
    builder.setCaller(request.caller.value);
    builder.setPriority(static_cast<std::uint8_t>(request.priority));
    builder.setRequestClass(static_cast<std::uint8_t>(request.requestClass));
    builder.setRemainingNanoseconds((request.deadline - now).count());
    builder.setKind(static_cast<std::uint8_t>(request.kind));
    writeFingerprint(builder.initFingerprint(), request.fingerprint);
    auto excluded = builder.initExcluded(static_cast<unsigned>(request.excluded.size()));
    for (unsigned index = 0; index < request.excluded.size(); ++index)
        excluded.set(index, request.excluded[index].value);
    builder.setHasPreviousOutcome(request.previousOutcome.has_value());
    if (request.previousOutcome)
        builder.setPreviousOutcome(static_cast<std::uint8_t>(*request.previousOutcome));
}

Decoded<Policy::AcquireRequest> readAcquire(Wire::AcquireRequest::Reader reader, Core::TimePoint now)
{
    FieldReader fields;
    Policy::AcquireRequest request;
    request.requestId = Control::Wire::readRequestId(reader.getRequestId());
    request.holder = { fields.text(reader.getHolder()) };
    request.pool = { fields.text(reader.getPool()) };
    if (reader.getHasOwner())
        request.owner = Core::ServerName { fields.text(reader.getOwner()) };
    request.route = { fields.text(reader.getRoute()) };
    request.caller = { fields.text(reader.getCaller()) };
    request.priority = fields.enumeration(reader.getPriority(), Routing::Priority::Interactive);
    request.requestClass = fields.enumeration(reader.getRequestClass(), Routing::RequestClass::NonIdempotent);
    request.deadline = now + std::min(Core::Duration(reader.getRemainingNanoseconds()), maxRemaining);
    request.kind = fields.enumeration(reader.getKind(), Policy::AttemptKind::Hedge);
    request.fingerprint = readFingerprint(reader.getFingerprint());
    for (auto const name : reader.getExcluded())
        request.excluded.push_back({ fields.text(name) });
    if (reader.getHasPreviousOutcome())
        request.previousOutcome = fields.enumeration(reader.getPreviousOutcome(), Policy::AttemptOutcome::NotSent);
    if (fields.error())
        return InvalidMessage { fields.error()->kind };
    return request;
}

void writeAcquireResult(Wire::AcquireReply::Builder builder, Policy::AcquireResult const& result)
{
    if (result.isError()) {
        auto refused = builder.initRefused();
        refused.setReason(static_cast<std::uint8_t>(result.error().reason));
        refused.setRetryAfterNanoseconds(result.error().retryAfter.count());
        return;
    }
    auto granted = builder.initGranted();
    granted.setPermit(result.value().id.value);
    granted.setServer(result.value().server.value);
    granted.setHedgeAfterNanoseconds(result.value().hedgeAfter ? result.value().hedgeAfter->count() : -1);
}

Decoded<Policy::AcquireResult> readAcquireResult(Wire::AcquireReply::Reader reader)
{
    FieldReader fields;
    if (reader.isGranted()) {
        auto const granted = reader.getGranted();
        Policy::Permit permit { { granted.getPermit() }, { fields.text(granted.getServer()) }, std::nullopt };
        if (granted.getHedgeAfterNanoseconds() >= 0)
            permit.hedgeAfter = Core::Duration(granted.getHedgeAfterNanoseconds());
        if (fields.error())
            return InvalidMessage { fields.error()->kind };
        return Policy::AcquireResult(std::move(permit));
    }
    auto const refused = reader.getRefused();
    auto const reason = fields.enumeration(refused.getReason(), Policy::RefusalReason::Cancelled);
    if (fields.error())
        return InvalidMessage { fields.error()->kind };
    return Policy::AcquireResult(Policy::Refusal { reason, Core::Duration(refused.getRetryAfterNanoseconds()) });
}

void writeRelease(Wire::ReleaseReport::Builder builder, Policy::ReleaseReport const& report)
{
    builder.setPermit(report.permit.value);
    builder.setOutcome(static_cast<std::uint8_t>(report.outcome));
    builder.setLatencyNanoseconds(report.latency.count());
    builder.setServerUnreachable(report.serverUnreachable);
}

Decoded<Policy::ReleaseReport> readRelease(Wire::ReleaseReport::Reader reader)
{
    FieldReader fields;
    Policy::ReleaseReport report;
    report.permit = { reader.getPermit() };
    report.outcome = fields.enumeration(reader.getOutcome(), Policy::AttemptOutcome::NotSent);
    report.latency = Core::Duration(reader.getLatencyNanoseconds());
    report.serverUnreachable = reader.getServerUnreachable();
    if (fields.error())
        return InvalidMessage { fields.error()->kind };
    return report;
}

} // namespace Rpc
