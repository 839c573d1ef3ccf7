#include <LibOperator/HttpExchange.h>
#include <LibOperator/OperatorCodec.h>
#include <LibOperator/OperatorPaths.h>
#include <LibOperator/OperatorQuery.h>
#include <LibOperator/OperatorServer.h>

#include <httplib.h>

#include <atomic>
#include <cerrno>
#include <thread>

namespace Operator {

namespace {

    /// cpp-httplib listens with a backlog of 5.
    constexpr int listenBacklog = 128;
    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    constexpr int statusInternalError = 500;

    void respond(httplib::Response& response, int status, std::string const& body)
    {
        response.status = status;
        response.set_content(body, jsonContentType);
    }

    void respond(httplib::Response& response, OperatorError const& error)
    {
        respond(response, httpStatusOf(error), encodeError(error));
    }

    QueryParameters toParameters(httplib::Request const& request)
    {
        return { request.params.begin(), request.params.end() };
    }

} // namespace

struct OperatorServer::Implementation {
    Implementation(OperatorServerSettings serverSettings, OperatorService& operatorService)
        : settings(std::move(serverSettings))
        , service(operatorService)
    {
    }

    using Outcome = Core::Result<std::string, OperatorError>;
    using Handler = std::function<Outcome(httplib::Request const&)>;

    template <typename Response> static Outcome toOutcome(OperatorResult<Response> result)
    {
        if (result.isError())
            return std::move(result).error();
        return encode(result.value());
    }

    /// A path that takes its request from query parameters.
    template <typename Request, typename Response>
    void get(char const* path, Core::Result<Request, BadRequest> (*parse)(QueryParameters const&),
        OperatorResult<Response> (OperatorService::*call)(Request const&))
    {
        server.Get(path, wrap([this, parse, call](httplib::Request const& http) -> Outcome {
            auto const request = parse(toParameters(http));
            if (request.isError())
                return OperatorError(request.error());
            return toOutcome((service.*call)(request.value()));
        }));
    }

    template <typename Response> void get(char const* path, OperatorResult<Response> (OperatorService::*call)())
    {
        server.Get(path, wrap([this, call](httplib::Request const& http) -> Outcome {
            auto const request = parseNoParameters(toParameters(http));
            if (request.isError())
                return OperatorError(request.error());
            return toOutcome((service.*call)());
        }));
    }

    /// A path that takes its request as JSON.
    template <typename Request, typename Response>
    void post(char const* path, std::optional<OperatorError> (*check)(Request const&),
        OperatorResult<Response> (OperatorService::*call)(Request const&))
    {
        server.Post(path, wrap([this, check, call](httplib::Request const& http) -> Outcome {
            auto const request = decode<Request>(http.body);
            if (request.isError())
                return OperatorError(request.error());
            if (auto fault = check(request.value()))
                return std::move(*fault);
            return toOutcome((service.*call)(request.value()));
        }));
    }

    httplib::Server::Handler wrap(Handler handler)
    {
        return [this, handler = std::move(handler)](httplib::Request const& request, httplib::Response& response) {
            auto outcome = handler(request);
            auto isForwarded = false;
            if (!outcome.isError()) {
                respond(response, statusOk, outcome.value());
            } else {
                auto const* notLeader = std::get_if<NotLeader>(&outcome.error());
                isForwarded = notLeader && notLeader->endpoint && !request.has_header(forwardedHeader);
                if (isForwarded)
                    forward(*notLeader->endpoint, request, response);
                else
                    respond(response, outcome.error());
            }
            if (settings.onRequest)
                settings.onRequest(request.method, request.path, response.status, isForwarded);
        };
    }

    void forward(Core::Endpoint const& leader, httplib::Request const& request, httplib::Response& response) const
    {
        auto timeout = settings.forwardTimeout;
        if (request.path == waitPath) {
            auto const wait = parseWaitRequest(toParameters(request));
            timeout += wait.isError() ? Core::Duration(0) : wait.value().timeout;
        }
        HttpRequest const forwarded { leader, request.method, request.target, request.body, true };
        auto exchanged = exchange(forwarded, { settings.forwardTimeout, timeout });
        if (!exchanged.isError()) {
            respond(response, exchanged.value().status, exchanged.value().body);
            return;
        }
        if (exchanged.error().mayHaveArrived)
            respond(response, Timeout { timeout });
        else
            respond(response, Unavailable { "the leader at " + leader.toString() + " does not answer" });
    }

    void addPaths()
    {
        using S = OperatorService;
        get(statusPath, &S::status);
        get(poolsPath, &S::pools);
        get(routesPath, &S::routes);
        get(backendsPath, &parseBackendsRequest, &S::backends);
        get(domainsPath, &S::domains);
        get(ownersPath, &parseOwnersRequest, &S::owners);
        get(usagePath, &parseUsageRequest, &S::usage);
        get(historyPath, &parseHistoryRequest, &S::history);
        get(tablesPath, &parseTablesRequest, &S::tables);
        get(diffPath, &parseDiffRequest, &S::diff);
        get(quarantinePath, &S::quarantine);
        post(editsPath, &checkEdit, &S::submitEdit);
        post(drainPath, &checkTarget<DrainRequest>, &S::drain);
        post(returnPath, &checkTarget<ReturnRequest>, &S::returnToService);
        post(liftQuarantinePath, &checkLift, &S::liftQuarantine);
        server.Get(waitPath, wrap([this](httplib::Request const& request) { return wait(request); }));
    }

    template <typename Request> static std::optional<OperatorError> checkTarget(Request const& request)
    {
        return checkService(request.id, request.target, request.author, request.comment);
    }

    static std::optional<OperatorError> checkLift(LiftQuarantineRequest const& request)
    {
        if (request.author.empty())
            return BadRequest { "author", "is empty" };
        return std::nullopt;
    }

    Outcome wait(httplib::Request const& http)
    {
        auto const request = parseWaitRequest(toParameters(http));
        if (request.isError())
            return OperatorError(request.error());
        // Each wait holds a thread. Half of them stay free for other requests.
        auto const waiting = waits.fetch_add(1) + 1;
        auto outcome = waiting * 2 > settings.threads
            ? Outcome(OperatorError(Unavailable { "too many requests wait at this host" }))
            : toOutcome(service.waitUntilInEffect(request.value()));
        waits.fetch_sub(1);
        return outcome;
    }

    void configure()
    {
        server.new_task_queue = [threads = settings.threads] { return new httplib::ThreadPool(threads); };
        // A kept connection would hold a thread.
        server.set_keep_alive_max_count(1);
        server.set_tcp_nodelay(true);
        server.set_payload_max_length(settings.maxBodyBytes);
        server.set_socket_options([this](socket_t socket) {
            listenSocket = socket;
            int const enabled = 1;
            setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
        });
        server.set_error_handler([](httplib::Request const& request, httplib::Response& response) {
            if (!response.body.empty())
                return;
            if (response.status == statusNotFound)
                respond(response, NotFound { Subject::Path, request.path });
            else
                respond(response, response.status,
                    encodeError(OperatorError(
                        BadRequest { "request", "refused with status " + std::to_string(response.status) })));
        });
        server.set_exception_handler([](auto const&, httplib::Response& response, std::exception_ptr const&) {
            respond(response, statusInternalError, encodeError(OperatorError(Unavailable { "internal error" })));
        });
    }

    Core::Result<Core::Void, ListenFailed> listen()
    {
        auto const& endpoint = settings.listen;
        errno = 0;
        auto const port = endpoint.port == 0
            ? server.bind_to_any_port(endpoint.address)
            : (server.bind_to_port(endpoint.address, endpoint.port) ? endpoint.port : -1);
        if (port <= 0)
            return ListenFailed { endpoint, errno };
        bound = { endpoint.address, static_cast<std::uint16_t>(port) };
        ::listen(listenSocket, listenBacklog);
        thread = std::thread([this] {
            server.listen_after_bind();
            hasEnded = true;
        });
        while (!server.is_running() && !hasEnded)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return Core::Void {};
    }

    ~Implementation()
    {
        server.stop();
        if (thread.joinable())
            thread.join();
    }

    OperatorServerSettings settings;
    OperatorService& service;
    httplib::Server server;
    socket_t listenSocket { INVALID_SOCKET };
    Core::Endpoint bound;
    std::atomic<std::uint32_t> waits { 0 };
    std::atomic<bool> hasEnded { false };
    std::thread thread;
};

Core::Result<std::unique_ptr<OperatorServer>, ListenFailed> OperatorServer::start(
    OperatorServerSettings settings, OperatorService& service)
{
    auto implementation = std::make_unique<Implementation>(std::move(settings), service);
    implementation->configure();
    implementation->addPaths();
    TRY(implementation->listen());
    return std::unique_ptr<OperatorServer>(new OperatorServer(std::move(implementation)));
}

OperatorServer::OperatorServer(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation))
{
}

OperatorServer::~OperatorServer() = default;

Core::Endpoint OperatorServer::endpoint() const { return implementation_->bound; }

} // namespace Operator
