#pragma once

#include <LibPolicy/EjectionRule.h>
#include <LibPolicy/HedgeDelay.h>
#include <LibPolicy/RetryBudget.h>
#include <LibPolicy/ServerChoice.h>
#include <LibPolicy/ServerLimit.h>
#include <LibPolicy/WaitQueue.h>

#include <functional>
#include <memory>

namespace Policy {

/// The exchangeable decision rules of a dispatch group. Tests and measurements replace single ones.
struct DispatchPolicies {
    std::function<std::unique_ptr<ServerLimit>(Core::ServerName const&)> makeLimit;
    std::function<std::unique_ptr<WaitQueue>()> makeQueue;
    std::unique_ptr<ServerChoice> choice;
    std::unique_ptr<RetryBudget> budget;
    std::unique_ptr<HedgeDelay> hedge;
    std::unique_ptr<EjectionRule> ejection;
    /// Off in the baseline: no quarantine and no isolation of suspects.
    bool quarantineCrashingRequests { true };
    /// Off in the baseline: requests that cannot meet their deadline are served and queued anyway.
    bool refuseUnmeetableDeadlines { true };
};

DispatchPolicies defaultPolicies(DispatchSettings const&);
/// All baselines: slots as limit, FIFO queue, round robin, retries without bound, no hedging, ejection or quarantine.
DispatchPolicies baselinePolicies();

} // namespace Policy
