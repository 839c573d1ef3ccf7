#include <LibPolicy/DispatchPolicies.h>
#include <LibPolicy/FairQueue.h>
#include <LibPolicy/LeastLoadedChoice.h>
#include <LibPolicy/SlowStartLimit.h>

namespace Policy {

DispatchPolicies defaultPolicies(DispatchSettings const& settings)
{
    return {
        .makeLimit
        = [limit = settings.limit](Core::ServerName const&) { return std::make_unique<SlowStartLimit>(limit); },
        .makeQueue = [queue = settings.queue] { return std::make_unique<FairQueue>(queue); },
        .choice = std::make_unique<LeastLoadedChoice>(),
        .budget = std::make_unique<TokenRetryBudget>(settings.retry),
        .hedge = std::make_unique<QuantileHedgeDelay>(settings.hedge),
        .ejection = std::make_unique<StragglerEjection>(settings.ejection),
    };
}

DispatchPolicies baselinePolicies()
{
    return {
        .makeLimit = [](Core::ServerName const&) { return std::make_unique<SlotsLimit>(); },
        .makeQueue = [] { return std::make_unique<FifoQueue>(); },
        .choice = std::make_unique<RoundRobinChoice>(),
        .budget = std::make_unique<UnlimitedRetries>(),
        .hedge = std::make_unique<NoHedging>(),
        .ejection = std::make_unique<NoEjection>(),
        .quarantineCrashingRequests = false,
        .refuseUnmeetableDeadlines = false,
    };
}

} // namespace Policy
