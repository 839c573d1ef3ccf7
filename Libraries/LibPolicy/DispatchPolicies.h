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

/// The exchangeable policies of a dispatch group. Tests and benchmarks replace single ones.
struct DispatchPolicies {
    std::function<std::unique_ptr<ServerLimit>(Core::ServerName const&)> makeLimit;
    std::function<std::unique_ptr<WaitQueue>()> makeQueue;
    std::unique_ptr<ServerChoice> choice;
    std::unique_ptr<RetryBudget> budget;
    std::unique_ptr<HedgeDelay> hedge;
    std::unique_ptr<EjectionRule> ejection;
    /// Whether crashing requests are quarantined and suspects isolated. Off in the baseline.
    bool quarantineCrashingRequests { true };
    /// Whether requests that cannot meet their deadline are refused before it has passed. Off in the baseline, which
    /// queues and serves them anyway.
    bool refuseUnmeetableDeadlines { true };
};

DispatchPolicies defaultPolicies(DispatchSettings const&);
/// The baseline of every policy: slots as limit, FIFO queue, round robin, unlimited retries, and no hedging, ejection
/// or quarantine.
DispatchPolicies baselinePolicies();

} // namespace Policy
