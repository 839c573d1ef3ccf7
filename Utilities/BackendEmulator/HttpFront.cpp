#include "HttpFront.h"

#include <LibProxy/Socket.h>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <array>
#include <charconv>
#include <thread>

namespace Emulator {

namespace {

    constexpr int listenBacklog = 4096;
    constexpr Core::Duration idleTimeout = std::chrono::seconds(60);
    constexpr Core::Duration transferTimeout = std::chrono::seconds(60);

    /// Connection of the calling thread, for handlers, which do not see the socket.
    thread_local int currentDescriptor = -1;

    class ConnectionStream final : public httplib::Stream {
    public:
        explicit ConnectionStream(int descriptor)
            : socket_(descriptor)
        {
            socket_.setNoDelay();
        }

        int descriptor() const { return socket_.descriptor(); }
        bool is_readable() const override { return begin_ < end_ || wait(POLLIN, Core::Duration { 0 }); }
        bool is_writable() const override { return !Proxy::hasHungUp(socket_.descriptor()); }
        bool waitForRequest() const { return begin_ < end_ || wait(POLLIN, idleTimeout); }

        ssize_t read(char* data, size_t size) override
        {
            while (begin_ == end_) {
                auto const received = socket_.receive(buffer_);
                if (received.status == Proxy::IoStatus::WouldBlock && wait(POLLIN, transferTimeout))
                    continue;
                if (received.status != Proxy::IoStatus::Done)
                    return received.status == Proxy::IoStatus::Closed ? 0 : -1;
                begin_ = 0;
                end_ = received.bytes;
            }
            auto const count = std::min(size, end_ - begin_);
            std::copy_n(buffer_.data() + begin_, count, data);
            begin_ += count;
            return static_cast<ssize_t>(count);
        }

        ssize_t write(char const* data, size_t size) override
        {
            std::string_view rest(data, size);
            while (!rest.empty()) {
                auto const sent = socket_.send(rest);
                if (sent.status == Proxy::IoStatus::WouldBlock && wait(POLLOUT, transferTimeout))
                    continue;
                if (sent.status != Proxy::IoStatus::Done)
                    return -1;
                rest.remove_prefix(sent.bytes);
            }
            return static_cast<ssize_t>(size);
        }

        void get_remote_ip_and_port(std::string&, int&) const override { }
        void get_local_ip_and_port(std::string&, int&) const override { }
        socket_t socket() const override { return socket_.descriptor(); }

    private:
        bool wait(short events, Core::Duration limit) const
        {
            pollfd polled { socket_.descriptor(), events, 0 };
            return Proxy::waitFor({ &polled, 1 }, Core::BootClock::now() + limit);
        }

        Proxy::Socket socket_;
        std::array<char, 64UL * 1024> buffer_ {};
        std::size_t begin_ { 0 };
        std::size_t end_ { 0 };
    };

    std::optional<std::uint64_t> numberIn(httplib::Request const& request, char const* header)
    {
        auto const text = request.get_header_value(header);
        std::uint64_t value = 0;
        auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (text.empty() || error != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    Work toWork(httplib::Request const& request)
    {
        Work work { .loadId = request.get_header_value("Load-Id"),
            .idempotencyKey = request.get_header_value("Idempotency-Key"),
            .requestId = request.get_header_value("Primroseshift-Request-Id"),
            .isMarkedToCrash = request.has_header("Load-Crash"),
            .isCancelled = [descriptor = currentDescriptor] { return Proxy::hasHungUp(descriptor); } };
        if (auto const slot = numberIn(request, "Primroseshift-Slot"))
            work.slot = Core::SlotNumber { *slot };
        work.epoch = { numberIn(request, "Primroseshift-Epoch").value_or(0) };
        if (auto const deadline = numberIn(request, "Primroseshift-Deadline-Ms"))
            work.deadline = std::chrono::milliseconds(*deadline);
        return work;
    }

    void refuse(httplib::Response& response, int status)
    {
        response.status = status;
        response.set_header("Primroseshift-Outcome", "not-run");
        response.set_header("Retry-After", "1");
        response.set_content("not run\n", "text/plain");
    }

    /// A body of letters that repeat, so that the receiver can check each byte by its offset.
    void streamPattern(httplib::Response& response, std::size_t bytes)
    {
        response.set_content_provider(
            bytes, "application/octet-stream", [](std::size_t offset, std::size_t length, httplib::DataSink& sink) {
                constexpr std::size_t pieceBytes = 64UL * 1024;
                constexpr std::size_t letters = 26;
                std::string piece(std::min(length, pieceBytes), '\0');
                for (auto& c : piece)
                    c = static_cast<char>('a' + (offset++ % letters));
                return sink.write(piece.data(), piece.size());
            });
    }

} // namespace

HttpFront::HttpFront(Backend& backend)
    : backend_(backend)
{
    new_task_queue = [&backend] { return new httplib::ThreadPool(backend.settings().identity.connections + 8); };
    addHandlers();
}

std::optional<std::uint16_t> HttpFront::bind(Core::Endpoint const& endpoint)
{
    int descriptor = -1;
    set_socket_options([&descriptor](socket_t socket) {
        int const on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        descriptor = socket;
    });
    auto const port = endpoint.port == 0                ? bind_to_any_port(endpoint.address)
        : bind_to_port(endpoint.address, endpoint.port) ? endpoint.port
                                                        : -1;
    set_socket_options([](socket_t) {});
    if (port <= 0 || ::listen(descriptor, listenBacklog) != 0)
        return std::nullopt;
    return static_cast<std::uint16_t>(port);
}

bool HttpFront::process_and_close_socket(socket_t descriptor)
{
    auto const stream = std::make_unique<ConnectionStream>(descriptor);
    auto const generation = backend_.switches()[Switch::SilentGeneration];
    currentDescriptor = descriptor;
    auto isClosed = false;
    while (!isClosed && stream->waitForRequest()) {
        backend_.waitWhileFrozen();
        while (backend_.switches()[Switch::SilentGeneration] > generation) {
            if (Proxy::hasHungUp(descriptor))
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        if (!process_request(*stream, false, isClosed, nullptr))
            break;
    }
    return true;
}

void HttpFront::addHandlers()
{
    Get("/healthz", [this](auto const&, auto& response) {
        backend_.waitWhileFrozen();
        response.set_content("ok\n", "text/plain");
    });
    Get("/load", [this](auto const&, auto& response) {
        auto const load = backend_.load();
        auto const json = nlohmann::json { { "inFlight", load.inFlight }, { "queued", load.queued },
            { "utilization", load.utilization } };
        response.set_content(json.dump(), "application/json");
    });
    Get(".*", [this](auto const& request, auto& response) { answer(request, response, 0, 0); });
    auto const withBody = [this](auto const& request, auto& response, auto const& reader) {
        answerWithBody(request, response, reader);
    };
    Post(".*", withBody);
    Put(".*", withBody);
    Patch(".*", withBody);
    Delete(".*", [this](auto const& request, auto& response) { answer(request, response, 0, 0); });
}

void HttpFront::answerWithBody(
    httplib::Request const& request, httplib::Response& response, httplib::ContentReader const& reader)
{
    auto const state = std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)>(XXH64_createState(), XXH64_freeState);
    XXH64_reset(state.get(), 0);
    std::uint64_t bytes = 0;
    auto const isComplete = reader([&](char const* data, std::size_t size) {
        bytes += size;
        return XXH64_update(state.get(), data, size) == XXH_OK;
    });
    if (!isComplete) {
        response.status = 400;
        return;
    }
    answer(request, response, bytes, XXH64_digest(state.get()));
}

void HttpFront::answer(
    httplib::Request const& request, httplib::Response& response, std::uint64_t bytes, std::uint64_t digest)
{
    auto const work = toWork(request);
    switch (backend_.run(work)) {
    case WorkResult::Shed:
        return refuse(response, 503);
    case WorkResult::FencingRefused:
        return refuse(response, 409);
    case WorkResult::Failed:
    case WorkResult::Cancelled:
        response.status = 500;
        response.set_content("failed\n", "text/plain");
        return;
    case WorkResult::Done:
        break;
    }
    response.set_header("Load-Id", work.loadId);
    if (request.has_param("bytes"))
        return streamPattern(response, std::strtoull(request.get_param_value("bytes").c_str(), nullptr, 10));
    auto const json = nlohmann::json { { "server", backend_.settings().identity.name.value },
        { "method", request.method }, { "path", request.path }, { "loadId", work.loadId },
        { "requestId", work.requestId }, { "bytes", bytes }, { "digest", digest } };
    response.set_content(json.dump(), "application/json");
}

void addAdminHandlers(httplib::Server& server, Backend& backend)
{
    server.Get("/switches", [&backend](auto const&, auto& response) {
        response.set_content(backend.switches().toJson(), "application/json");
    });
    server.Get("/counts",
        [&backend](auto const&, auto& response) { response.set_content(backend.countsJson(), "application/json"); });
    // Not a Post handler: without a Content-Length, as curl sends it, the library would read the body until it times
    // out.
    server.set_pre_routing_handler([&backend](auto const& request, auto& response) {
        if (request.method != "POST" || request.path != "/switches")
            return httplib::Server::HandlerResponse::Unhandled;
        response.status = 200;
        for (auto const& [name, value] : request.params) {
            if (!backend.switches().set(name, value))
                response.status = 400;
        }
        response.set_content(backend.switches().toJson(), "application/json");
        return httplib::Server::HandlerResponse::Handled;
    });
}

} // namespace Emulator
