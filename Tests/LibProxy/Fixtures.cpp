#include "Fixtures.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>

#include <array>

namespace Test {

bool eventually(std::function<bool()> const& condition)
{
    auto const limit = Core::BootClock::now() + 5s;
    while (!condition()) {
        if (Core::BootClock::now() > limit)
            return false;
        std::this_thread::sleep_for(2ms);
    }
    return true;
}

bool Peer::send(std::string_view text)
{
    while (!text.empty()) {
        auto const sent = socket_.send(text);
        pollfd polled { socket_.descriptor(), POLLOUT, 0 };
        if (sent.status == Proxy::IoStatus::WouldBlock && Proxy::waitFor({ &polled, 1 }, Core::BootClock::now() + 5s))
            continue;
        if (sent.status != Proxy::IoStatus::Done)
            return false;
        text.remove_prefix(sent.bytes);
    }
    return true;
}

bool Peer::receive()
{
    std::array<char, 64UL * 1024> buffer {};
    pollfd polled { socket_.descriptor(), POLLIN, 0 };
    if (!Proxy::waitFor({ &polled, 1 }, Core::BootClock::now() + 5s))
        return false;
    auto const received = socket_.receive(buffer);
    input_.append(buffer.data(), received.bytes);
    return received.status == Proxy::IoStatus::Done;
}

bool Peer::readUntil(std::size_t bytes)
{
    while (input_.size() < bytes) {
        if (!receive())
            return false;
    }
    return true;
}

std::size_t Peer::readChunkedEnd(std::size_t bodyBegin)
{
    auto position = bodyBegin;
    while (true) {
        auto lineEnd = input_.find("\r\n", position);
        while (lineEnd == std::string::npos) {
            if (!receive())
                return std::string::npos;
            lineEnd = input_.find("\r\n", position);
        }
        auto const size = std::stoul(input_.substr(position, lineEnd - position), nullptr, 16);
        position = lineEnd + 2 + size + 2;
        if (!readUntil(position))
            return std::string::npos;
        if (size == 0)
            return position;
    }
}

std::string Peer::readMessage(bool hasBody)
{
    wasTruncated_ = false;
    while (input_.find("\r\n\r\n") == std::string::npos) {
        if (!receive())
            return std::exchange(input_, {});
    }
    auto const bodyBegin = input_.find("\r\n\r\n") + 4;
    auto const head = input_.substr(0, bodyBegin);
    auto end = bodyBegin;
    if (hasBody && headerOf(head, "Transfer-Encoding") == "chunked")
        end = readChunkedEnd(bodyBegin);
    else if (auto const length = headerOf(head, "Content-Length"); hasBody && !length.empty()) {
        end = bodyBegin + std::stoul(length);
        if (!readUntil(end))
            end = std::string::npos;
    }
    wasTruncated_ = end == std::string::npos;
    auto message = input_.substr(0, end);
    input_.erase(0, end);
    return message;
}

std::string Peer::readToEnd(Core::Duration limit)
{
    auto const deadline = Core::BootClock::now() + limit;
    while (Core::BootClock::now() < deadline && receive()) { }
    return std::exchange(input_, {});
}

bool Peer::isClosedWithin(Core::Duration limit)
{
    pollfd polled { socket_.descriptor(), POLLRDHUP, 0 };
    return Proxy::waitFor({ &polled, 1 }, Core::BootClock::now() + limit);
}

std::string statusOf(std::string const& response) { return response.size() < 12 ? "" : response.substr(9, 3); }

std::string headerOf(std::string const& message, std::string const& name)
{
    auto const head = "\r\n" + message.substr(message.find("\r\n") + 2, message.find("\r\n\r\n"));
    auto const position = head.find("\r\n" + name + ": ");
    if (position == std::string::npos)
        return "";
    auto const begin = position + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::string bodyOf(std::string const& message) { return message.substr(message.find("\r\n\r\n") + 4); }

std::string outcomeOf(std::string const& response)
{
    return statusOf(response) + " " + headerOf(response, "Primroseshift-Outcome") + " "
        + headerOf(response, "Primroseshift-Reason");
}

FakeBackend::FakeBackend(Script script)
    : script_(std::move(script))
    , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address { .sin_family = AF_INET, .sin_addr = { htonl(INADDR_LOOPBACK) } };
    socklen_t length = sizeof address;
    BOOST_REQUIRE(::bind(listener_.descriptor(), reinterpret_cast<sockaddr*>(&address), length) == 0);
    BOOST_REQUIRE(::listen(listener_.descriptor(), 1024) == 0);
    getsockname(listener_.descriptor(), reinterpret_cast<sockaddr*>(&address), &length);
    endpoint_ = { "127.0.0.1", ntohs(address.sin_port) };
    acceptor_ = std::thread([this] {
        while (true) {
            Proxy::Socket socket(::accept(listener_.descriptor(), nullptr, nullptr));
            if (!socket.isOpen())
                return;
            ++connections_;
            threads_.emplace_back([this, peer = std::make_shared<Peer>(std::move(socket))] { script_(*peer, *this); });
        }
    });
}

FakeBackend::~FakeBackend()
{
    ::shutdown(listener_.descriptor(), SHUT_RDWR);
    acceptor_.join();
    for (auto& thread : threads_)
        thread.join();
}

std::vector<std::string> FakeBackend::requests() const
{
    std::scoped_lock const lock(mutex_);
    return requests_;
}

std::string FakeBackend::next(Peer& peer)
{
    while (true) {
        auto request = peer.readMessage();
        if (request.starts_with("GET /healthz")) {
            peer.send(okResponse("ok"));
            continue;
        }
        if (!request.empty()) {
            std::scoped_lock const lock(mutex_);
            requests_.push_back(request);
        }
        return request;
    }
}

FakeBackend::Script FakeBackend::answering(std::string body)
{
    return [body = std::move(body)](Peer& peer, FakeBackend& backend) {
        while (!backend.next(peer).empty())
            peer.send(okResponse(body));
    };
}

std::string okResponse(std::string_view body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

std::shared_ptr<Routing::View const> FakeControl::currentView() const
{
    std::scoped_lock const lock(mutex_);
    return view_;
}

void FakeControl::publish(std::function<void(Routing::View&)> const& change)
{
    std::scoped_lock const lock(mutex_);
    auto view = view_ ? std::make_shared<Routing::View>(*view_) : std::make_shared<Routing::View>();
    change(*view);
    view->version = view->version.next();
    view_ = view;
}

Policy::AcquireResult FakeControl::acquire(Policy::AcquireRequest const& request)
{
    auto const view = currentView();
    {
        std::scoped_lock const lock(mutex_);
        acquires_.push_back(request);
    }
    record("acquire");
    if (onAcquire)
        return onAcquire(request);
    if (request.owner)
        return Policy::Permit { { 1 }, *request.owner };
    for (auto const& server : view->servers) {
        if (server.pool == request.pool && std::ranges::find(request.excluded, server.name) == request.excluded.end())
            return Policy::Permit { { 1 }, server.name };
    }
    return Policy::Refusal { Policy::RefusalReason::NoServer, 1s };
}

void FakeControl::release(Core::PoolName const&, Core::ServerName const&, Policy::ReleaseReport const& report)
{
    record("release");
    std::scoped_lock const lock(mutex_);
    releases_.push_back(report);
}

Core::Result<Proxy::ClaimResult, Proxy::OrderGateUnavailable> FakeControl::claim(
    Proxy::OrderKey const&, Core::Digest const&, Core::RequestId, Core::TimePoint)
{
    record("claim");
    if (onClaim)
        return onClaim();
    return Proxy::ClaimResult { Proxy::OrderClaimed {} };
}

void FakeControl::complete(Proxy::OrderKey const&, Core::RequestId, std::optional<Proxy::KeptAnswer> answer)
{
    {
        std::scoped_lock const lock(mutex_);
        keptAnswer = std::move(answer);
    }
    record("complete");
}

Core::Result<Core::Void, Proxy::ConfirmError> FakeControl::confirmOwner(
    Core::PoolName const&, Core::SlotNumber, Core::Epoch, Core::TimePoint)
{
    record("confirm");
    if (onConfirm)
        return onConfirm();
    return Core::Void {};
}

Core::Result<Proxy::AnnounceReply, Proxy::AnnounceRefusal> FakeControl::announce(
    Proxy::Announcement const& announcement)
{
    record("announce " + announcement.name.value);
    if (announcement.pool.value != "letters")
        return Proxy::AnnounceRefusal::UnknownPool;
    return Proxy::AnnounceReply { .grants = { { { 0 }, { 9 }, { 3 } } } };
}

void FakeControl::requestFinished(Proxy::RequestRecord const& finished)
{
    std::scoped_lock const lock(mutex_);
    records_.push_back(finished);
}

void FakeControl::attemptBegan(Proxy::AttemptSpan const&) { record("attemptBegan"); }

void FakeControl::attemptEnded(Proxy::AttemptSpan const&, Proxy::AttemptEnd const& end)
{
    std::scoped_lock const lock(mutex_);
    attemptEnds_.push_back(end);
}

void FakeControl::record(std::string call)
{
    std::scoped_lock const lock(mutex_);
    calls_.push_back(std::move(call));
}

std::vector<std::string> FakeControl::calls() const
{
    std::scoped_lock const lock(mutex_);
    return calls_;
}

std::size_t FakeControl::countCalls(std::string_view call) const
{
    auto const all = calls();
    return static_cast<std::size_t>(std::ranges::count(all, call));
}

std::vector<Policy::ReleaseReport> FakeControl::releases(std::size_t atLeast) const
{
    eventually([&] {
        std::scoped_lock const lock(mutex_);
        return releases_.size() >= atLeast;
    });
    std::scoped_lock const lock(mutex_);
    return releases_;
}

std::vector<Policy::AcquireRequest> FakeControl::acquires() const
{
    std::scoped_lock const lock(mutex_);
    return acquires_;
}

std::vector<Proxy::RequestRecord> FakeControl::records() const
{
    std::scoped_lock const lock(mutex_);
    return records_;
}

std::vector<Proxy::AttemptEnd> FakeControl::attemptEnds(std::size_t atLeast) const
{
    eventually([&] {
        std::scoped_lock const lock(mutex_);
        return attemptEnds_.size() >= atLeast;
    });
    std::scoped_lock const lock(mutex_);
    return attemptEnds_;
}

bool FakeControl::allPermitsReleased() const
{
    return eventually([&] {
        std::scoped_lock const lock(mutex_);
        return acquires_.size() == releases_.size();
    });
}

namespace {

    Routing::RouteDefinition route(std::string name, std::string pool, std::string method, Routing::RequestClass kind)
    {
        auto const isLetter = pool == "letters";
        return { .name = { std::move(name) },
            .pool = { pool },
            .methods = { std::move(method) },
            .pathPrefix = "/" + pool,
            .key = isLetter ? Routing::KeySource { Routing::KeyFromPathSegment { 1 } } : Routing::NoKey {},
            .requestClass = kind,
            // Transfers of large bodies are slow under sanitizers on a busy machine.
            .deadline = isLetter ? 2s : 60s,
            .maxBodyBytes = 256UL * 1024 * 1024 };
    }

    std::shared_ptr<Routing::RoutingTable const> buildTable()
    {
        using enum Routing::RequestClass;
        auto table = Routing::RoutingTable::build(
            { { .name = { "letters" }, .kind = Routing::PoolKind::KeyPartitioned, .slotCount = 4 },
                { .name = { "uploads" } } },
            { route("get", "letters", "GET", Idempotent), route("head", "letters", "HEAD", Idempotent),
                route("post", "letters", "POST", NonIdempotent), route("upload", "uploads", "PUT", Idempotent),
                route("download", "uploads", "GET", Idempotent), route("send", "uploads", "POST", NonIdempotent) });
        BOOST_REQUIRE(!table.isError());
        return std::make_shared<Routing::RoutingTable const>(std::move(table).value());
    }

} // namespace

Fixture::Fixture(std::vector<FakeBackend*> backends, Proxy::ServerSettings settings)
{
    control.publish([&](Routing::View& view) {
        view.table = buildTable();
        view.entryHosts.push_back({ .name = { "entry-1" } });
        view.servers.push_back({ .name = { "letter-0" }, .pool = { "letters" }, .connections = 100 });
        if (!backends.empty())
            view.servers[0].endpoint = backends[0]->endpoint();
        for (std::size_t i = 0; i < backends.size(); ++i)
            view.servers.push_back({ .name = { "server-" + std::to_string(i) },
                .pool = { "uploads" },
                .endpoint = backends[i]->endpoint(),
                .connections = 100 });
        view.slots[{ "letters" }].assign(4, { Routing::SlotPhase::Owned, { 7 }, 0 });
    });
    server = std::make_unique<Proxy::Server>(
        std::move(settings), Proxy::Collaborators { control, control, control, control, control });
    auto const started = server->start();
    BOOST_REQUIRE(!started.isError());
    endpoint = started.value();
}

Peer Fixture::connect() const
{
    auto socket = Proxy::connectTo(endpoint, Core::BootClock::now() + 5s);
    // Also called from threads, where Boost.Test's macros are not allowed; a closed peer fails the checks that follow.
    return Peer(socket.isError() ? Proxy::Socket() : std::move(socket).value());
}

std::string Fixture::request(std::string_view text, bool hasBody) const
{
    auto peer = connect();
    peer.send(text);
    return peer.readMessage(hasBody);
}

} // namespace Test
