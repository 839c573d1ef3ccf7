#pragma once

#include "ControlNode.h"

#include <LibOperator/OperatorService.h>
#include <LibTelemetry/UsageAccount.h>

namespace Daemon {

/// The operator API on top of the control state. Called from HTTP threads; reads and changes the state on the loop's
/// thread.
class OperatorAdapter final : public Operator::OperatorService {
public:
    struct Sources {
        Rpc::EventLoop& loop;
        Rpc::Connections& connections;
        ControlNode& control;
        /// Null when usage is not stored on this host.
        Telemetry::UsageAccount* usage { nullptr };
    };

    OperatorAdapter(Config::DaemonSettings const& settings, Sources sources)
        : settings_(settings)
        , sources_(sources)
    {
    }

    Operator::OperatorResult<Operator::StatusResponse> status() override;
    Operator::OperatorResult<Operator::PoolsResponse> pools() override;
    Operator::OperatorResult<Operator::RoutesResponse> routes() override;
    Operator::OperatorResult<Operator::BackendsResponse> backends(Operator::BackendsRequest const&) override;
    Operator::OperatorResult<Operator::DomainsResponse> domains() override;
    Operator::OperatorResult<Operator::OwnersResponse> owners(Operator::OwnersRequest const&) override;
    Operator::OperatorResult<Operator::UsageResponse> usage(Operator::UsageRequest const&) override;
    Operator::OperatorResult<Operator::HistoryResponse> history(Operator::HistoryRequest const&) override;
    Operator::OperatorResult<Operator::TablesResponse> tables(Operator::TablesRequest const&) override;
    Operator::OperatorResult<Operator::DiffResponse> diff(Operator::DiffRequest const&) override;
    Operator::OperatorResult<Operator::EditResponse> submitEdit(Operator::EditRequest const&) override;
    Operator::OperatorResult<Operator::ServiceResponse> drain(Operator::DrainRequest const&) override;
    Operator::OperatorResult<Operator::ServiceResponse> returnToService(Operator::ReturnRequest const&) override;
    Operator::OperatorResult<Operator::QuarantineResponse> quarantine() override;
    Operator::OperatorResult<Operator::LiftQuarantineResponse> liftQuarantine(
        Operator::LiftQuarantineRequest const&) override;
    Operator::OperatorResult<Operator::WaitResponse> waitUntilInEffect(Operator::WaitRequest const&) override;

private:
    template <typename T> using Answer = std::function<void(Operator::OperatorResult<T>)>;

    /// Runs a function on the loop's thread and waits for its answer.
    template <typename T>
    Operator::OperatorResult<T> onLoop(Core::Duration limit, std::function<void(Answer<T>)> function);
    /// Reads the state after a quorum confirmed that this host leads.
    template <typename T> Operator::OperatorResult<T> read(std::function<Operator::OperatorResult<T>()> function);
    /// Commits a command.
    Operator::OperatorResult<Control::Outcome> commit(std::function<Control::Command()> makeCommand);
    /// Answers with the leader's operator API as far as it is known.
    template <typename T> void answerNotLeader(Answer<T> const&);
    std::vector<Core::ServerName> serversOf(Operator::ServiceTarget const&) const;
    Core::Revision inEffectRevision() const;

    Config::DaemonSettings const& settings_;
    Sources sources_;
};

} // namespace Daemon
