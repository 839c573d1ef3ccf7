#include <LibCore/Random.h>
#include <LibProxy/CallerSession.h>
#include <LibProxy/Listener.h>

#include <arpa/inet.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <set>

namespace Proxy {

namespace {

    constexpr auto maintenanceInterval = std::chrono::seconds(1);
    /// Rejected connections that wait for their close; beyond it they are closed at once.
    constexpr std::size_t maxLingering = 1024;

    std::string remoteAddressOf(int descriptor)
    {
        sockaddr_storage storage {};
        socklen_t length = sizeof storage;
        std::array<char, INET6_ADDRSTRLEN> text {};
        if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&storage), &length) != 0)
            return {};
        void const* address = storage.ss_family == AF_INET
            ? static_cast<void const*>(&reinterpret_cast<sockaddr_in const*>(&storage)->sin_addr)
            : static_cast<void const*>(&reinterpret_cast<sockaddr_in6 const*>(&storage)->sin6_addr);
        return inet_ntop(storage.ss_family, address, text.data(), text.size()) ? text.data() : "";
    }

} // namespace

class Server::Implementation {
public:
    Implementation(ServerSettings settings, Collaborators collaborators)
        : settings_(std::move(settings))
        , environment_ { .settings = settings_,
            .collaborators = collaborators,
            .connections = ServerConnections(settings_.serverIdleTimeout) }
        , drainEvent_(eventfd(0, EFD_CLOEXEC))
        , workers_(settings_.maxConnections)
        , listener_(workers_, [this](int descriptor, bool isRejected) { accept(descriptor, isRejected); })
    {
    }

    ~Implementation() { stop(); }
    Implementation(Implementation const&) = delete;
    Implementation& operator=(Implementation const&) = delete;

    Core::Result<Core::Endpoint, BindFailed> start()
    {
        auto const endpoint = TRY(listener_.start(settings_.listen));
        maintenance_ = std::jthread([this](std::stop_token const& token) { maintain(token); });
        return endpoint;
    }

    /// False when the drain had begun before.
    bool beginDrain()
    {
        if (environment_.isDraining.exchange(true))
            return false;
        std::uint64_t const one = 1;
        [[maybe_unused]] auto const written = ::write(drainEvent_.descriptor(), &one, sizeof one);
        listener_.close();
        return true;
    }

    bool drain(Core::Duration limit)
    {
        auto const end = Core::BootClock::now() + limit;
        if (beginDrain())
            endRequestsBy(end - std::min(answerMargin, limit / 2));
        return waitForCallers(end);
    }

    void stop()
    {
        beginDrain();
        endRequestsBy(Core::BootClock::now());
        waitForCallers(environment_.stopDeadline.value() + answerMargin);
        {
            std::scoped_lock const lock(mutex_);
            environment_.isStopping = true;
            for (auto const descriptor : callers_)
                ::shutdown(descriptor, SHUT_RDWR);
        }
        workers_.join();
        environment_.probes.join();
        maintenance_ = {};
    }

    bool isDraining() const { return environment_.isDraining; }

    ServerCounts counts() const
    {
        std::scoped_lock const lock(mutex_);
        return { .callerConnections = static_cast<std::uint32_t>(callers_.size()),
            .requestsInFlight = environment_.requestsInFlight,
            .serverConnections = environment_.connections.openConnections(),
            .rejectedConnections = rejected_ };
    }

    std::vector<SlotInFlight> slotsInFlight() const { return environment_.slots.list(); }

private:
    void endRequestsBy(Core::TimePoint deadline)
    {
        environment_.stopDeadline.limit(deadline);
        environment_.collaborators.permits.endWaitsBy(environment_.stopDeadline.value());
        environment_.collaborators.orders.endWaitsBy(environment_.stopDeadline.value());
    }

    bool waitForCallers(Core::TimePoint end)
    {
        std::unique_lock lock(mutex_);
        return callersGone_.wait_for(lock, end - Core::BootClock::now(), [&] { return callers_.empty(); });
    }

    void accept(int descriptor, bool isRejected)
    {
        CallerConnection caller { Socket(descriptor), InputBuffer(), remoteAddressOf(descriptor) };
        if (isRejected)
            return reject(std::move(caller.socket));
        caller.socket.setNoDelay();
        {
            std::scoped_lock const lock(mutex_);
            if (environment_.isStopping)
                return;
            callers_.insert(descriptor);
        }
        CallerSession(environment_, caller, drainEvent_.descriptor()).run();
        // Unregistered before it is closed, so that stop never shuts down a descriptor that was reused.
        std::scoped_lock const lock(mutex_);
        callers_.erase(descriptor);
        if (callers_.empty())
            callersGone_.notify_all();
    }

    /// Runs on the accepting thread, so nothing here waits.
    void reject(Socket socket)
    {
        {
            std::scoped_lock const lock(mutex_);
            ++rejected_;
        }
        Rejection const rejection { Reason::Overloaded, std::chrono::seconds(1) };
        socket.send(rejectionMessage(rejection, Core::RequestId::generate(threadRandom()), false));
        ::shutdown(socket.descriptor(), SHUT_WR);
        std::scoped_lock const lock(mutex_);
        // Closing at once would reset the connection when the request is still unread, and lose the response.
        if (lingering_.size() < maxLingering)
            lingering_.push_back(std::move(socket));
    }

    void maintain(std::stop_token const& token)
    {
        std::mutex mutex;
        std::condition_variable_any condition;
        std::unique_lock lock(mutex);
        std::vector<Socket> expired;
        while (!condition.wait_for(lock, token, maintenanceInterval, [&] { return token.stop_requested(); })) {
            if (token.stop_requested())
                return;
            environment_.connections.closeIdle(Core::BootClock::now());
            // Each rejected connection is kept for at least one whole interval.
            expired.clear();
            std::scoped_lock const lingeringLock(mutex_);
            expired.swap(lingering_);
        }
    }

    ServerSettings settings_;
    Environment environment_;
    /// Readable from the beginning of the drain.
    Socket drainEvent_;
    mutable std::mutex mutex_;
    std::condition_variable callersGone_;
    std::set<int> callers_;
    std::vector<Socket> lingering_;
    std::uint64_t rejected_ { 0 };
    WorkerThreads workers_;
    Listener listener_;
    std::jthread maintenance_;
};

Server::Server(ServerSettings settings, Collaborators collaborators)
    : implementation_(std::make_unique<Implementation>(std::move(settings), collaborators))
{
}

Server::~Server() = default;
Core::Result<Core::Endpoint, BindFailed> Server::start() { return implementation_->start(); }
void Server::beginDrain() { implementation_->beginDrain(); }
bool Server::drain(Core::Duration limit) { return implementation_->drain(limit); }
void Server::stop() { implementation_->stop(); }
bool Server::isDraining() const { return implementation_->isDraining(); }
ServerCounts Server::counts() const { return implementation_->counts(); }
std::vector<SlotInFlight> Server::slotsInFlight() const { return implementation_->slotsInFlight(); }

} // namespace Proxy
