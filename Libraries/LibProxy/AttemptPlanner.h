#pragma once

#include <LibProxy/Attempt.h>

#include <span>

namespace Proxy {

/// Finds the server that may run the request now and acquires a permit for it. Waits for an owner, confirms the owner
/// with the control quorum where the server does not check fencing tokens, and starts over when the owner changes
/// before anything was sent.
Core::Result<AttemptPlan, Rejection> planAttempt(
    Environment&, RequestContext&, Policy::AttemptKind, std::span<Core::ServerName const> excluded);

/// Sleeps, but not past the deadline and not after the caller left. False when the caller left.
bool pauseFor(RequestContext const&, Core::Duration);

} // namespace Proxy
