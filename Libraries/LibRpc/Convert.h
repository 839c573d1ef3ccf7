#pragma once

#include <LibControl/Leader.h>
#include <LibCore/Result.h>
#include <LibPolicy/DispatchEvents.h>
#include <LibRpc/Rpc.capnp.h>

namespace Rpc {

/// A message of another process breaks a bound or a rule. Nothing of it is used.
struct InvalidMessage {
    Control::DecodeErrorKind kind { Control::DecodeErrorKind::Malformed };
};
template <typename T> using Decoded = Core::Result<T, InvalidMessage>;

void writeView(Wire::View::Builder, Routing::View const&);
Decoded<std::shared_ptr<Routing::View const>> readView(Wire::View::Reader);

void writeHeartbeat(Wire::Heartbeat::Builder, Control::Heartbeat const&);
Decoded<Control::Heartbeat> readHeartbeat(Wire::Heartbeat::Reader);

/// The answer of the leader as the entry host uses it.
struct HeartbeatAnswer {
    Core::Duration viewLease { 0 };
    std::shared_ptr<Routing::View const> view;
    std::vector<Control::Grant> grants;
    Core::ViewVersion effectiveVersion;
};
void writeHeartbeatAnswer(
    Wire::HeartbeatAnswer::Builder, Control::HeartbeatAnswer const&, Core::ViewVersion effectiveVersion);
Decoded<HeartbeatAnswer> readHeartbeatAnswer(Wire::HeartbeatAnswer::Reader);

/// Writes the outcome of a ledger command. Outcomes of other commands are written as unresolved.
void writeOrderOutcome(Wire::OrderReply::Builder, Control::Outcome const&);

/// `now` turns the deadline into the time left.
void writeAcquire(
    Wire::AcquireRequest::Builder, Policy::AcquireRequest const&, std::uint32_t group, Core::TimePoint now);
/// `now` turns the time left into a deadline of this host's clock.
Decoded<Policy::AcquireRequest> readAcquire(Wire::AcquireRequest::Reader, Core::TimePoint now);
void writeAcquireResult(Wire::AcquireReply::Builder, Policy::AcquireResult const&);
Decoded<Policy::AcquireResult> readAcquireResult(Wire::AcquireReply::Reader);
void writeRelease(Wire::ReleaseReport::Builder, Policy::ReleaseReport const&);
Decoded<Policy::ReleaseReport> readRelease(Wire::ReleaseReport::Reader);

Core::Digest readFingerprint(Control::Wire::Digest::Reader);
void writeFingerprint(Control::Wire::Digest::Builder, Core::Digest const&);

} // namespace Rpc
