#pragma once

#include <LibOperator/OperatorTypes.h>

namespace Operator {

/// What the operator API can do. Implemented by the daemon, by the client, and by fakes in tests. Called from several
/// threads; each call blocks until its outcome is known or its time is over.
class OperatorService {
public:
    virtual ~OperatorService() = default;

    virtual OperatorResult<StatusResponse> status() = 0;
    virtual OperatorResult<PoolsResponse> pools() = 0;
    virtual OperatorResult<RoutesResponse> routes() = 0;
    virtual OperatorResult<BackendsResponse> backends(BackendsRequest const&) = 0;
    virtual OperatorResult<DomainsResponse> domains() = 0;
    virtual OperatorResult<OwnersResponse> owners(OwnersRequest const&) = 0;
    virtual OperatorResult<UsageResponse> usage(UsageRequest const&) = 0;
    virtual OperatorResult<HistoryResponse> history(HistoryRequest const&) = 0;
    virtual OperatorResult<TablesResponse> tables(TablesRequest const&) = 0;
    virtual OperatorResult<DiffResponse> diff(DiffRequest const&) = 0;
    /// Accepted edits are committed by the control quorum.
    virtual OperatorResult<EditResponse> submitEdit(EditRequest const&) = 0;
    virtual OperatorResult<ServiceResponse> drain(DrainRequest const&) = 0;
    virtual OperatorResult<ServiceResponse> returnToService(ReturnRequest const&) = 0;
    virtual OperatorResult<QuarantineResponse> quarantine() = 0;
    virtual OperatorResult<LiftQuarantineResponse> liftQuarantine(LiftQuarantineRequest const&) = 0;
    /// `Timeout` when the revision is not in effect everywhere by then.
    virtual OperatorResult<WaitResponse> waitUntilInEffect(WaitRequest const&) = 0;
};

} // namespace Operator
