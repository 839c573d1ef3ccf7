#include <LibConfig/Units.h>
#include <LibOperator/HttpExchange.h>
#include <LibOperator/OperatorClient.h>
#include <LibOperator/OperatorCodec.h>
#include <LibOperator/OperatorPaths.h>
#include <LibOperator/OperatorQuery.h>

#include <algorithm>
#include <thread>

namespace Operator {

namespace {

    constexpr int statusOk = 200;

    std::string toText(std::optional<Core::Revision> const& revision)
    {
        return revision ? std::to_string(revision->value) : std::string();
    }

    /// Another entry point or a later attempt may give another answer.
    bool isWorthRetry(OperatorError const& error, bool isWait)
    {
        return std::holds_alternative<NotLeader>(error) || std::holds_alternative<Unavailable>(error)
            || (std::holds_alternative<Timeout>(error) && !isWait);
    }

} // namespace

OperatorClient::OperatorClient(OperatorClientSettings settings)
    : settings_(std::move(settings))
{
}

OperatorClient::Attempt OperatorClient::attempt(
    Core::Endpoint const& endpoint, Call const& call, Core::Duration timeout) const
{
    HttpRequest const request { endpoint, call.method, call.target, call.body };
    auto exchanged = Operator::exchange(request, { std::min(settings_.connectTimeout, timeout), timeout });
    if (exchanged.isError()) {
        if (exchanged.error().mayHaveArrived)
            return { OperatorError(Timeout { timeout }), true };
        return { OperatorError(Unavailable { endpoint.toString() + " does not accept connections" }), false };
    }
    auto& [status, body] = exchanged.value();
    if (status == statusOk)
        return { std::move(body), false };
    auto error = decodeError(body);
    if (!error)
        return { OperatorError(Unavailable { endpoint.toString() + " answered with status " + std::to_string(status)
                     + " and no error of this API" }),
            true };
    auto const isLost = std::holds_alternative<Timeout>(*error);
    return { std::move(*error), isLost };
}

OperatorClient::Sent OperatorClient::send(Call const& call)
{
    auto const& entryPoints = settings_.entryPoints;
    auto const start = Core::BootClock::now();
    auto const deadline = start + settings_.totalTimeout + call.extraTime;
    OperatorError last = Unavailable { "no entry point is given" };
    std::optional<OperatorError> lost;
    std::optional<Core::Endpoint> hint;
    auto const isWait = call.extraTime > Core::Duration(0);
    for (std::size_t tries = 0; !entryPoints.empty(); ++tries) {
        if (tries > 0 && tries % entryPoints.size() == 0)
            std::this_thread::sleep_for(settings_.retryDelay);
        auto const remaining = deadline - Core::BootClock::now();
        if (remaining <= Core::Duration(0))
            break;
        auto const index = (preferred_ + tries) % entryPoints.size();
        auto const isHint = hint.has_value();
        auto const endpoint = isHint ? *std::exchange(hint, std::nullopt) : entryPoints[index];
        auto [result, isLost]
            = attempt(endpoint, call, std::min(remaining, settings_.responseTimeout + call.extraTime));
        auto const wasRepeated = lost.has_value();
        if (!result.isError() || !isWorthRetry(result.error(), isWait)) {
            preferred_ = isHint ? preferred_ : index;
            return { std::move(result), wasRepeated };
        }
        if (auto const* notLeader = std::get_if<NotLeader>(&result.error()); notLeader && !isHint)
            hint = notLeader->endpoint;
        last = result.error();
        if (isLost)
            lost = Timeout { Core::BootClock::now() - start };
    }
    // After a lost response, a later refusal says nothing about the first attempt.
    auto const wasRepeated = lost.has_value();
    return { std::move(lost).value_or(std::move(last)), wasRepeated };
}

template <typename Response> OperatorResult<Response> OperatorClient::exchange(Call const& call)
{
    auto [result, wasRepeated] = send(call);
    if (result.isError())
        return std::move(result).error();
    auto response = decode<Response>(result.value());
    if (response.isError())
        return OperatorError(Unavailable { "unexpected response: " + describe(OperatorError(response.error())) });
    return std::move(response).value();
}

OperatorResult<StatusResponse> OperatorClient::status() { return exchange<StatusResponse>({ "GET", statusPath, {} }); }
OperatorResult<PoolsResponse> OperatorClient::pools() { return exchange<PoolsResponse>({ "GET", poolsPath, {} }); }
OperatorResult<RoutesResponse> OperatorClient::routes() { return exchange<RoutesResponse>({ "GET", routesPath, {} }); }
OperatorResult<DomainsResponse> OperatorClient::domains()
{
    return exchange<DomainsResponse>({ "GET", domainsPath, {} });
}

OperatorResult<BackendsResponse> OperatorClient::backends(BackendsRequest const& request)
{
    auto const pool = request.pool ? request.pool->value : std::string();
    return exchange<BackendsResponse>({ "GET", makeTarget(backendsPath, { { "pool", pool } }), {} });
}

OperatorResult<OwnersResponse> OperatorClient::owners(OwnersRequest const& request)
{
    auto const target = makeTarget(ownersPath, { { "pool", request.pool.value }, { "key", request.key.value_or("") } });
    return exchange<OwnersResponse>({ "GET", target, {} });
}

OperatorResult<UsageResponse> OperatorClient::usage(UsageRequest const& request)
{
    auto const target = makeTarget(usagePath,
        { { "from", std::to_string(request.from) }, { "to", std::to_string(request.to) },
            { "by", std::string(toString(request.grouping)) } });
    return exchange<UsageResponse>({ "GET", target, {} });
}

OperatorResult<HistoryResponse> OperatorClient::history(HistoryRequest const& request)
{
    auto const target
        = makeTarget(historyPath, { { "limit", std::to_string(request.limit) }, { "before", toText(request.before) } });
    return exchange<HistoryResponse>({ "GET", target, {} });
}

OperatorResult<TablesResponse> OperatorClient::tables(TablesRequest const& request)
{
    return exchange<TablesResponse>(
        { "GET", makeTarget(tablesPath, { { "revision", toText(request.revision) } }), {} });
}

OperatorResult<DiffResponse> OperatorClient::diff(DiffRequest const& request)
{
    auto const target = makeTarget(
        diffPath, { { "from", std::to_string(request.from.value) }, { "to", std::to_string(request.to.value) } });
    return exchange<DiffResponse>({ "GET", target, {} });
}

OperatorResult<EditResponse> OperatorClient::submitEdit(EditRequest const& request)
{
    return exchange<EditResponse>({ "POST", editsPath, encode(request) });
}

OperatorResult<ServiceResponse> OperatorClient::drain(DrainRequest const& request)
{
    return exchange<ServiceResponse>({ "POST", drainPath, encode(request) });
}

OperatorResult<ServiceResponse> OperatorClient::returnToService(ReturnRequest const& request)
{
    return exchange<ServiceResponse>({ "POST", returnPath, encode(request) });
}

OperatorResult<QuarantineResponse> OperatorClient::quarantine()
{
    return exchange<QuarantineResponse>({ "GET", quarantinePath, {} });
}

OperatorResult<LiftQuarantineResponse> OperatorClient::liftQuarantine(LiftQuarantineRequest const& request)
{
    auto [result, wasRepeated] = send({ "POST", liftQuarantinePath, encode(request) });
    if (!result.isError())
        return LiftQuarantineResponse {};
    // The attempt whose response was lost has lifted it.
    if (wasRepeated && std::holds_alternative<NotFound>(result.error()))
        return LiftQuarantineResponse {};
    return std::move(result).error();
}

OperatorResult<WaitResponse> OperatorClient::waitUntilInEffect(WaitRequest const& request)
{
    auto const target = makeTarget(waitPath,
        { { "revision", std::to_string(request.revision.value) },
            { "timeout", Config::formatDuration(request.timeout) } });
    return exchange<WaitResponse>({ "GET", target, {}, request.timeout });
}

} // namespace Operator
