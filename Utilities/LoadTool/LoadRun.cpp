#include "LoadRun.h"

#include <LibCore/Hash.h>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <thread>

namespace LoadTool {

namespace {

    using Clients = std::vector<std::unique_ptr<httplib::Client>>;

    /// What one send of a request came back with.
    struct SendResult {
        Ending ending { Ending::Unknown };
        bool isWrong { false };
        int status { 0 };
        std::string reason;
    };

    Clients connect(Plan const& plan)
    {
        Clients clients;
        for (auto const& endpoint : plan.entryHosts) {
            auto client = std::make_unique<httplib::Client>(endpoint.address, endpoint.port);
            client->set_keep_alive(true);
            client->set_tcp_nodelay(true);
            client->set_decompress(false);
            client->set_connection_timeout(std::chrono::seconds(2));
            client->set_read_timeout(plan.timeout);
            client->set_write_timeout(plan.timeout);
            clients.push_back(std::move(client));
        }
        return clients;
    }

    std::string makeBody(std::uint64_t bytes, Core::Random& random)
    {
        std::string body(bytes, '\0');
        auto value = random.next();
        for (std::size_t i = 0; i < body.size(); ++i) {
            if (i % sizeof value == 0)
                value = value * 6364136223846793005ULL + 1442695040888963407ULL;
            body[i] = static_cast<char>(value >> (8 * (i % sizeof value)));
        }
        return body;
    }

    /// Whether the response belongs to this request and carries its complete body.
    bool belongsTo(httplib::Request const& request, httplib::Response const& response)
    {
        auto const json = nlohmann::json::parse(response.body, nullptr, false);
        if (!json.is_object())
            return false;
        return json.value("loadId", "") == request.get_header_value("Load-Id")
            && json.value("method", "") == request.method && json.value("path", "") == request.path
            && json.value("bytes", std::uint64_t { 0 }) == request.body.size()
            && (request.body.empty() || json.value("digest", std::uint64_t { 0 }) == Core::hash64(request.body));
    }

    SendResult sendOnce(httplib::Client& client, httplib::Request const& request)
    {
        auto const result = client.send(request);
        if (!result) {
            auto const isNotSent
                = result.error() == httplib::Error::Connection || result.error() == httplib::Error::ConnectionTimeout;
            return { .ending = isNotSent ? Ending::NotRun : Ending::Unknown,
                .reason = "transport-" + httplib::to_string(result.error()) };
        }
        auto const outcome = result->get_header_value("Primroseshift-Outcome");
        SendResult sent { .status = result->status, .reason = result->get_header_value("Primroseshift-Reason") };
        if (outcome == "not-run")
            sent.ending = Ending::NotRun;
        else if (outcome == "unknown")
            sent.ending = Ending::Unknown;
        else {
            // Without the header an emulator was asked directly.
            sent.ending = Ending::Answered;
            sent.isWrong = result->status == 200 && !belongsTo(request, result.value());
            if (result->status != 200)
                sent.reason = "status-" + std::to_string(result->status);
        }
        return sent;
    }

    class Worker {
    public:
        Worker(Plan const& plan, std::uint32_t number, std::atomic<std::uint64_t>& budget)
            : plan_(plan)
            , number_(number)
            , budget_(budget)
            , random_(plan.seed * 1'000'003 + number)
            , clients_(connect(plan))
        {
        }

        void run(Core::TimePoint begin)
        {
            auto const interval = plan_.rate > 0
                ? Core::Duration(static_cast<std::int64_t>(1e9 * plan_.connections / plan_.rate))
                : Core::Duration { 0 };
            auto scheduled = begin + interval * number_ / std::max(1U, plan_.connections);
            auto const end = begin + plan_.maxTime;
            while (Core::BootClock::now() < end && budget_.fetch_add(1) < plan_.maxRequests) {
                if (interval.count() > 0)
                    std::this_thread::sleep_for(scheduled - Core::BootClock::now());
                else
                    scheduled = Core::BootClock::now();
                if (scheduled >= end)
                    break;
                results_.push_back(runRequest(scheduled));
                results_.back().isWarmUp = scheduled < begin + plan_.warmUp;
                scheduled += interval;
            }
        }

        std::vector<RequestResult>& results() { return results_; }

    private:
        httplib::Request makeRequest(Operation const& operation, std::string const& loadId)
        {
            httplib::Request request;
            request.method = operation.method;
            request.path = std::string(operation.pathPrefix) + "key" + std::to_string(random_.below(plan_.keys))
                + std::string(operation.pathSuffix);
            request.set_header("Load-Id", loadId);
            request.set_header("Primroseshift-Caller", "load-" + std::to_string(number_));
            if (!operation.isIdempotent && random_.unit() < plan_.keyedShare)
                request.set_header("Idempotency-Key", "key-" + loadId);
            constexpr std::uint64_t smallBodyBytes = 200;
            if (operation.method != "GET") {
                request.body = makeBody(operation.isUpload ? plan_.uploadBytes : smallBodyBytes, random_);
                request.set_header("Content-Type", "application/octet-stream");
            }
            return request;
        }

        RequestResult runRequest(Core::TimePoint scheduled)
        {
            auto const& operation = choose(plan_.operations, random_);
            auto const loadId = plan_.runName + "-" + std::to_string(number_) + "-" + std::to_string(results_.size());
            auto const request = makeRequest(operation, loadId);
            RequestResult result {
                .loadId = loadId, .operation = std::string(operation.name), .isIdempotent = operation.isIdempotent
            };
            auto mayHaveRun = false;
            for (std::uint32_t sends = 1;; ++sends) {
                auto const choice = plan_.isSticky ? number_ % clients_.size() : random_.below(clients_.size());
                auto const sent = sendOnce(*clients_[choice], request);
                result.status = sent.status;
                result.reason = sent.reason;
                result.ending = sent.ending;
                result.isWrong = result.isWrong || sent.isWrong;
                mayHaveRun = mayHaveRun || sent.ending == Ending::Unknown;
                auto const mayResend
                    = sent.ending == Ending::NotRun || operation.isIdempotent || request.has_header("Idempotency-Key");
                if (sent.ending == Ending::Answered || !mayResend || sends >= plan_.maxSends)
                    break;
                std::this_thread::sleep_for(std::chrono::milliseconds(20 + random_.below(80)));
            }
            if (mayHaveRun && result.ending == Ending::NotRun)
                result.ending = Ending::Unknown;
            auto const latency = Core::BootClock::now() - scheduled;
            result.latencyMicroseconds = static_cast<std::uint32_t>(latency.count() / 1000);
            return result;
        }

        Plan const& plan_;
        std::uint32_t number_;
        std::atomic<std::uint64_t>& budget_;
        Core::Random random_;
        Clients clients_;
        std::vector<RequestResult> results_;
    };

} // namespace

double runLoad(Plan const& plan, Report& report)
{
    std::atomic<std::uint64_t> budget { 0 };
    std::vector<std::unique_ptr<Worker>> workers;
    for (std::uint32_t i = 0; i < plan.connections; ++i)
        workers.push_back(std::make_unique<Worker>(plan, i, budget));
    auto const begin = Core::BootClock::now();
    {
        std::vector<std::jthread> threads;
        threads.reserve(workers.size());
        for (auto& worker : workers)
            threads.emplace_back([&worker, begin] { worker->run(begin); });
    }
    auto const seconds = std::chrono::duration<double>(Core::BootClock::now() - begin - plan.warmUp).count();
    for (auto& worker : workers) {
        for (auto& result : worker->results())
            report.add(std::move(result));
    }
    return seconds;
}

} // namespace LoadTool
