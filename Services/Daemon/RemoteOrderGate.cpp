#include "RemoteOrderGate.h"

#include <LibControl/Codec.h>
#include <LibControl/WireTypes.h>

#include <algorithm>
#include <future>

namespace Daemon {

namespace {

    /// One attempt at one control host. A commit takes a few milliseconds; an election interrupts it.
    constexpr Core::Duration attemptTimeout = std::chrono::milliseconds(500);
    constexpr Core::Duration retryDelay = std::chrono::milliseconds(20);
    /// Outcomes are recorded in the background. After this time the claim stays open and later counts as unknown.
    constexpr Core::Duration recordLimit = std::chrono::seconds(30);
    /// The waiting thread gives up this long after the deadline of the call, which the loop's thread keeps.
    constexpr Core::Duration waitSlack = std::chrono::milliseconds(50);

    Control::OrderKey toControl(Proxy::OrderKey const& key) { return { key.route, key.caller, key.idempotencyKey }; }

    std::optional<Control::KeptAnswer> toControl(std::optional<Proxy::KeptAnswer> answer)
    {
        if (!answer)
            return std::nullopt;
        return Control::KeptAnswer { answer->status, std::move(answer->contentType), std::move(answer->body) };
    }

    std::optional<Proxy::KeptAnswer> readAnswer(Rpc::Wire::OrderReply::Completed::Reader completed)
    {
        if (!completed.getHasAnswer())
            return std::nullopt;
        auto const answer = completed.getAnswer();
        auto const body = answer.getBody().asChars();
        return Proxy::KeptAnswer { answer.getStatus(), std::string(answer.getContentType().cStr()),
            std::string(body.begin(), body.size()) };
    }

    /// Whether the answer came before the deadline of the call, with the slack of its last attempt, or a stop.
    template <typename T> bool waitFor(std::future<T>& answer, Core::TimePoint deadline, WaitLimit const& limit)
    {
        while (true) {
            auto const end = std::min(deadline + waitSlack + attemptTimeout, limit.value());
            auto const left = end - Core::BootClock::now();
            if (answer.wait_for(std::min(left, WaitLimit::checkInterval)) == std::future_status::ready)
                return true;
            if (Core::BootClock::now() >= end)
                return false;
        }
    }

    /// The result of a claim, or nothing when the claim has to be tried again.
    std::optional<Core::Result<Proxy::ClaimResult, Proxy::OrderGateUnavailable>> readClaim(
        Rpc::Wire::OrderReply::Reader reply)
    {
        using Reply = Rpc::Wire::OrderReply;
        switch (reply.which()) {
        case Reply::CLAIMED:
            return Proxy::ClaimResult(Proxy::OrderClaimed {});
        case Reply::IN_PROGRESS:
            return Proxy::ClaimResult(Proxy::OrderInProgress {});
        case Reply::COMPLETED:
            return Proxy::ClaimResult(Proxy::OrderCompleted { readAnswer(reply.getCompleted()) });
        case Reply::UNKNOWN:
            return Proxy::ClaimResult(Proxy::OrderUnknown {});
        case Reply::MISMATCH:
            return Proxy::ClaimResult(Proxy::OrderMismatch {});
        case Reply::NOT_LEADER:
        case Reply::UNRESOLVED:
            return std::nullopt;
        default:
            return Proxy::OrderGateUnavailable {};
        }
    }

} // namespace

Core::Result<Proxy::ClaimResult, Proxy::OrderGateUnavailable> RemoteOrderGate::claim(
    Proxy::OrderKey const& key, Core::Digest const& fingerprint, Core::RequestId requestId, Core::TimePoint deadline)
{
    auto const promise = std::make_shared<std::promise<ClaimAnswer>>();
    auto answer = promise->get_future();
    auto const command = std::make_shared<Control::Command const>(
        Control::ClaimOrder { toControl(key), fingerprint, requestId, self_, incarnation_ });
    auto const isPosted = loop_.post([this, promise, command, deadline] {
        sendOrder(
            command, deadline,
            [promise](Rpc::Wire::OrderReply::Reader reply) {
                auto result = readClaim(reply);
                if (result)
                    promise->set_value(std::move(*result));
                return result.has_value();
            },
            [promise] { promise->set_value(Proxy::OrderGateUnavailable {}); });
    });
    if (isPosted && waitFor(answer, deadline, waitLimit_)) {
        auto result = answer.get();
        if (!result)
            abandon(key, requestId);
        return result;
    }
    // The claim may still be committed. Abandoning it keeps a resend from being refused.
    abandon(key, requestId);
    return Proxy::OrderGateUnavailable {};
}

void RemoteOrderGate::complete(
    Proxy::OrderKey const& key, Core::RequestId requestId, std::optional<Proxy::KeptAnswer> answer)
{
    record(Control::CompleteOrder { toControl(key), requestId, toControl(std::move(answer)) });
}

void RemoteOrderGate::abandon(Proxy::OrderKey const& key, Core::RequestId requestId)
{
    record(Control::AbandonOrder { toControl(key), requestId });
}

void RemoteOrderGate::markUnknown(Proxy::OrderKey const& key, Core::RequestId requestId)
{
    record(Control::MarkOrderUnknown { toControl(key), requestId });
}

void RemoteOrderGate::record(Control::Command const& command)
{
    loop_.post([this, shared = std::make_shared<Control::Command const>(command)] {
        sendOrder(
            shared, Core::BootClock::now() + recordLimit,
            [](Rpc::Wire::OrderReply::Reader reply) { return !reply.isNotLeader() && !reply.isUnresolved(); }, [] {});
    });
}

void RemoteOrderGate::sendOrder(std::shared_ptr<Control::Command const> const& command, Core::TimePoint deadline,
    ReplyHandler const& handle, std::function<void()> const& onDeadline)
{
    auto const from = leader_.endpoint();
    auto call = leader_.host().orderRequest();
    auto const bytes = Control::encodeCommand(*command);
    call.setCommand(kj::arrayPtr(reinterpret_cast<kj::byte const*>(bytes.data()), bytes.size()));
    auto const again
        = [this, command, deadline, handle, onDeadline] { sendOrder(command, deadline, handle, onDeadline); };
    auto handled = Rpc::withTimeout(loop_, attemptTimeout, call.send().then([this, from, handle](auto&& response) {
        auto const reply = response.getReply();
        if (reply.isNotLeader())
            leader_.follow(from, { std::string(reply.getNotLeader().getLeader().cStr()) });
        return handle(reply);
    }));
    loop_.detach(handled.then(
        [this, deadline, again, onDeadline](bool isDone) {
            if (!isDone)
                retry(deadline, again, onDeadline);
        },
        [this, from, deadline, again, onDeadline](kj::Exception&&) {
            leader_.fail(from);
            retry(deadline, again, onDeadline);
        }));
}

void RemoteOrderGate::retry(
    Core::TimePoint deadline, std::function<void()> again, std::function<void()> const& onDeadline)
{
    if (Core::BootClock::now() + retryDelay >= deadline) {
        onDeadline();
        return;
    }
    auto delay = loop_.timer().afterDelay(retryDelay.count() * kj::NANOSECONDS);
    loop_.detach(delay.then([again = std::move(again)] { again(); }));
}

Core::Result<Core::Void, Proxy::ConfirmError> RemoteOrderGate::confirmOwner(
    Core::PoolName const& pool, Core::SlotNumber slot, Core::Epoch epoch, Core::TimePoint deadline)
{
    auto const promise = std::make_shared<std::promise<ConfirmAnswer>>();
    auto answer = promise->get_future();
    auto const confirmation = std::make_shared<Confirmation const>(
        Confirmation { pool, slot, epoch, deadline, [promise](ConfirmAnswer result) { promise->set_value(result); } });
    auto const isPosted = loop_.post([this, confirmation] { sendConfirm(confirmation); });
    if (!isPosted || !waitFor(answer, deadline, waitLimit_))
        return Proxy::ConfirmError(Proxy::OrderGateUnavailable {});
    return answer.get();
}

void RemoteOrderGate::sendConfirm(std::shared_ptr<Confirmation const> const& confirmation)
{
    auto const from = leader_.endpoint();
    auto call = leader_.host().confirmOwnerRequest();
    call.setPool(confirmation->pool.value);
    call.setSlot(static_cast<std::uint32_t>(confirmation->slot.value));
    call.setEpoch(confirmation->epoch.value);
    auto const again = [this, confirmation] { sendConfirm(confirmation); };
    auto const onDeadline
        = [confirmation] { confirmation->answer(Proxy::ConfirmError(Proxy::OrderGateUnavailable {})); };
    auto handled
        = Rpc::withTimeout(loop_, attemptTimeout, call.send().then([this, from, confirmation](auto&& response) {
              auto const reply = response.getReply();
              if (reply.isNotLeader()) {
                  leader_.follow(from, { std::string(reply.getNotLeader().getLeader().cStr()) });
                  return false;
              }
              if (reply.isConfirmed())
                  confirmation->answer(Core::Void {});
              else
                  confirmation->answer(Proxy::ConfirmError(Proxy::OwnerChanged {}));
              return true;
          }));
    loop_.detach(handled.then(
        [this, confirmation, again, onDeadline](bool isDone) {
            if (!isDone)
                retry(confirmation->deadline, again, onDeadline);
        },
        [this, from, confirmation, again, onDeadline](kj::Exception&&) {
            leader_.fail(from);
            retry(confirmation->deadline, again, onDeadline);
        }));
}

} // namespace Daemon
