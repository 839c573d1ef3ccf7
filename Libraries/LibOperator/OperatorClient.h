#pragma once

#include <LibOperator/OperatorService.h>

#include <functional>

namespace Operator {

struct OperatorClientSettings {
    /// Tried in turn.
    std::vector<Core::Endpoint> entryPoints;
    Core::Duration connectTimeout { std::chrono::seconds(1) };
    /// For one attempt, on top of the time that a request itself may wait.
    Core::Duration responseTimeout { std::chrono::seconds(5) };
    /// For all attempts of one call, on top of the time that a request itself may wait.
    Core::Duration totalTimeout { std::chrono::seconds(20) };
    Core::Duration retryDelay { std::chrono::milliseconds(200) };
};

/// The operator API over HTTP. A call goes to the entry points in turn until one gives a final answer. All requests are
/// repeatable: those that change something carry an edit id, so a call whose response was lost is sent again as it is.
/// Not thread-safe.
class OperatorClient final : public OperatorService {
public:
    explicit OperatorClient(OperatorClientSettings);

    OperatorResult<StatusResponse> status() override;
    OperatorResult<PoolsResponse> pools() override;
    OperatorResult<RoutesResponse> routes() override;
    OperatorResult<BackendsResponse> backends(BackendsRequest const&) override;
    OperatorResult<DomainsResponse> domains() override;
    OperatorResult<OwnersResponse> owners(OwnersRequest const&) override;
    OperatorResult<UsageResponse> usage(UsageRequest const&) override;
    OperatorResult<HistoryResponse> history(HistoryRequest const&) override;
    OperatorResult<TablesResponse> tables(TablesRequest const&) override;
    OperatorResult<DiffResponse> diff(DiffRequest const&) override;
    OperatorResult<EditResponse> submitEdit(EditRequest const&) override;
    OperatorResult<ServiceResponse> drain(DrainRequest const&) override;
    OperatorResult<ServiceResponse> returnToService(ReturnRequest const&) override;
    OperatorResult<QuarantineResponse> quarantine() override;
    OperatorResult<LiftQuarantineResponse> liftQuarantine(LiftQuarantineRequest const&) override;
    OperatorResult<WaitResponse> waitUntilInEffect(WaitRequest const&) override;

private:
    struct Call {
        /// `GET` or `POST`.
        std::string method;
        std::string target;
        std::string body;
        /// Time that the request itself may wait at the server.
        Core::Duration extraTime { 0 };
    };
    struct Attempt {
        OperatorResult<std::string> result;
        /// The request may have been run although its response is lost.
        bool isLost { false };
    };
    struct Sent {
        OperatorResult<std::string> result;
        /// An earlier attempt of the same call may have been run.
        bool wasRepeated { false };
    };

    Sent send(Call const&);
    Attempt attempt(Core::Endpoint const&, Call const&, Core::Duration timeout) const;
    template <typename Response> OperatorResult<Response> exchange(Call const&);

    OperatorClientSettings settings_;
    /// The entry point that answered last is tried first.
    std::size_t preferred_ { 0 };
};

} // namespace Operator
