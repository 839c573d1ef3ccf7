#pragma once

#include <LibOperator/OperatorService.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

/// Keeps the tables in memory and applies the rules for edits of the design page, section 3.6.
class FakeService final : public Operator::OperatorService {
public:
    /// Called before each request; an error is returned instead of the response.
    /// Set by the test while threads of the server may read it.
    class Hook {
    public:
        using Function = std::function<std::optional<Operator::OperatorError>()>;

        Hook& operator=(Function function)
        {
            std::scoped_lock const lock(mutex_);
            function_ = std::move(function);
            return *this;
        }
        Function get() const
        {
            std::scoped_lock const lock(mutex_);
            return function_;
        }

    private:
        mutable std::mutex mutex_;
        Function function_;
    };
    Hook beforeRequest;
    std::size_t edits { 0 };
    std::atomic<int> runningWaits { 0 };
    std::atomic<bool> endsWaits { false };
    Operator::OwnersRequest lastOwners;
    std::optional<Operator::ServiceTarget> lastDrain;
    std::vector<Operator::QuarantineEntry> quarantined;

    Operator::OperatorResult<Operator::StatusResponse> status() override
    {
        return answer([&] {
            return Operator::StatusResponse {
                .cluster = { "letters" }, .host = { "c1" }, .revision = tables_.revision
            };
        });
    }
    Operator::OperatorResult<Operator::PoolsResponse> pools() override
    {
        return answer([&] { return Operator::PoolsResponse { tables_.revision, { { .definition = { { "a" } } } } }; });
    }
    Operator::OperatorResult<Operator::RoutesResponse> routes() override
    {
        return answer([&] { return Operator::RoutesResponse { tables_.revision, tables_.routes }; });
    }
    Operator::OperatorResult<Operator::BackendsResponse> backends(Operator::BackendsRequest const&) override
    {
        return answer([] { return Operator::BackendsResponse {}; });
    }
    Operator::OperatorResult<Operator::DomainsResponse> domains() override
    {
        return answer([] { return Operator::DomainsResponse { { { .name = { "fd1" } } } }; });
    }
    Operator::OperatorResult<Operator::OwnersResponse> owners(Operator::OwnersRequest const& request) override
    {
        lastOwners = request;
        return answer([&] { return Operator::OwnersResponse { request.pool, {} }; });
    }
    Operator::OperatorResult<Operator::UsageResponse> usage(Operator::UsageRequest const& request) override
    {
        {
            std::scoped_lock const lock(mutex_);
            lastUsage_ = request;
        }
        return answer([] { return Operator::UsageResponse { 0, { { { { "a" }, {}, {} }, { .answered = 3 } } } }; });
    }
    Operator::OperatorResult<Operator::HistoryResponse> history(Operator::HistoryRequest const&) override
    {
        return answer([] { return Operator::HistoryResponse {}; });
    }
    Operator::OperatorResult<Operator::TablesResponse> tables(Operator::TablesRequest const&) override
    {
        return answer([&] { return tables_; });
    }
    Operator::OperatorResult<Operator::DiffResponse> diff(Operator::DiffRequest const& request) override
    {
        return answer([&] { return Operator::DiffResponse { request.from, request.to, {}, {} }; });
    }
    Operator::OperatorResult<Operator::EditResponse> submitEdit(Operator::EditRequest const& request) override
    {
        // The edit is stored before the injected fault, as when only the response is lost.
        auto result = apply(request);
        auto const hook = beforeRequest.get();
        if (auto fault = hook ? hook() : std::nullopt)
            return std::move(*fault);
        return result;
    }
    Operator::OperatorResult<Operator::ServiceResponse> drain(Operator::DrainRequest const& request) override
    {
        lastDrain = request.target;
        return answer([] { return Operator::ServiceResponse { { { "s1" } } }; });
    }
    Operator::OperatorResult<Operator::ServiceResponse> returnToService(Operator::ReturnRequest const&) override
    {
        return answer([] { return Operator::ServiceResponse {}; });
    }
    Operator::OperatorResult<Operator::QuarantineResponse> quarantine() override
    {
        return answer([&] { return Operator::QuarantineResponse { quarantined }; });
    }
    Operator::OperatorResult<Operator::LiftQuarantineResponse> liftQuarantine(
        Operator::LiftQuarantineRequest const& request) override
    {
        auto const removed
            = std::erase_if(quarantined, [&](auto const& entry) { return entry.fingerprint == request.fingerprint; });
        auto const hook = beforeRequest.get();
        if (auto fault = hook ? hook() : std::nullopt)
            return std::move(*fault);
        if (removed == 0)
            return Operator::OperatorError(
                Operator::NotFound { Operator::Subject::Fingerprint, Operator::formatDigest(request.fingerprint) });
        return Operator::LiftQuarantineResponse {};
    }
    Operator::OperatorResult<Operator::WaitResponse> waitUntilInEffect(Operator::WaitRequest const& request) override
    {
        if (request.revision <= tables_.revision)
            return answer([&] { return Operator::WaitResponse { tables_.revision }; });
        auto const deadline = Core::BootClock::now() + request.timeout;
        ++runningWaits;
        while (!endsWaits && Core::BootClock::now() < deadline)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return Operator::OperatorError(Operator::Timeout { request.timeout });
    }

    /// Locked, since a test that runs another program shares no synchronization with the server's threads otherwise.
    Operator::UsageRequest lastUsage()
    {
        std::scoped_lock const lock(mutex_);
        return lastUsage_;
    }

private:
    template <typename Make> auto answer(Make make) -> Operator::OperatorResult<decltype(make())>
    {
        auto const hook = beforeRequest.get();
        if (auto fault = hook ? hook() : std::nullopt)
            return std::move(*fault);
        return make();
    }

    Operator::OperatorResult<Operator::EditResponse> apply(Operator::EditRequest const& request)
    {
        std::scoped_lock const lock(mutex_);
        ++edits;
        auto const known = outcomes_.find(request.id.value);
        if (known != outcomes_.end())
            return Operator::EditResponse { known->second, true };
        if (request.base != tables_.revision)
            return Operator::OperatorError(Operator::Conflict { tables_.revision });
        tables_ = { tables_.revision.next(), request.pools, request.routes };
        outcomes_.emplace(request.id.value, tables_.revision);
        return Operator::EditResponse { tables_.revision };
    }

    std::mutex mutex_;
    Operator::UsageRequest lastUsage_;
    Operator::TablesResponse tables_ { { 5 }, {}, {} };
    std::map<std::string, Core::Revision> outcomes_;
};
