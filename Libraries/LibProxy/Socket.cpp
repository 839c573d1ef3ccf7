#include <LibProxy/Socket.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace Proxy {

namespace {

    /// Bounds one poll so that a deadline far away does not overflow the argument.
    constexpr std::int64_t maxPollMilliseconds = 60'000;
    constexpr std::size_t discardBufferBytes = 16UL * 1024;

    IoResult toResult(ssize_t count)
    {
        if (count > 0)
            return { IoStatus::Done, static_cast<std::size_t>(count) };
        if (count == 0)
            return { IoStatus::Closed };
        if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)
            return { IoStatus::WouldBlock };
        return { IoStatus::Failed };
    }

    struct SocketAddress {
        sockaddr_storage storage {};
        socklen_t length { 0 };
    };

    SocketAddress toSocketAddress(Core::Endpoint const& endpoint)
    {
        SocketAddress address;
        auto* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
        if (inet_pton(AF_INET, endpoint.address.c_str(), &v4->sin_addr) == 1) {
            v4->sin_family = AF_INET;
            v4->sin_port = htons(endpoint.port);
            address.length = sizeof(sockaddr_in);
            return address;
        }
        auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
        if (inet_pton(AF_INET6, endpoint.address.c_str(), &v6->sin6_addr) == 1) {
            v6->sin6_family = AF_INET6;
            v6->sin6_port = htons(endpoint.port);
            address.length = sizeof(sockaddr_in6);
        }
        return address;
    }

} // namespace

Socket::Socket(Socket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
{
}

Socket& Socket::operator=(Socket&& other) noexcept
{
    if (this != &other) {
        close();
        descriptor_ = std::exchange(other.descriptor_, -1);
    }
    return *this;
}

Socket::~Socket() { close(); }

void Socket::close()
{
    if (descriptor_ >= 0)
        ::close(std::exchange(descriptor_, -1));
}

void Socket::resetOnClose()
{
    linger const option { 1, 0 };
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

void Socket::finishSending(Core::Duration limit)
{
    if (descriptor_ < 0)
        return;
    shutdown(descriptor_, SHUT_WR);
    auto const deadline = Core::BootClock::now() + limit;
    std::array<char, discardBufferBytes> discarded {};
    while (true) {
        auto const result = receive(discarded);
        if (result.status == IoStatus::Closed || result.status == IoStatus::Failed)
            break;
        std::array<pollfd, 1> polled { pollfd { descriptor_, POLLIN, 0 } };
        if (Core::BootClock::now() >= deadline || !waitFor(polled, deadline))
            break;
    }
}

IoResult Socket::receive(std::span<char> buffer)
{
    return toResult(::recv(descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT));
}

IoResult Socket::send(std::string_view first, std::string_view second)
{
    std::array<iovec, 2> pieces { iovec { const_cast<char*>(first.data()), first.size() },
        iovec { const_cast<char*>(second.data()), second.size() } };
    msghdr message {};
    message.msg_iov = pieces.data();
    message.msg_iovlen = second.empty() ? 1 : 2;
    return toResult(::sendmsg(descriptor_, &message, MSG_DONTWAIT | MSG_NOSIGNAL));
}

void Socket::setNoDelay()
{
    int const on = 1;
    setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Core::Result<Socket, ConnectFailure> connectTo(
    Core::Endpoint const& endpoint, Core::TimePoint deadline, int watched, int alarm)
{
    auto const address = toSocketAddress(endpoint);
    if (address.length == 0)
        return ConnectFailure {};
    Socket socket(::socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.isOpen())
        return ConnectFailure {};
    socket.setNoDelay();
    if (::connect(socket.descriptor(), reinterpret_cast<sockaddr const*>(&address.storage), address.length) == 0)
        return socket;
    if (errno != EINPROGRESS)
        return ConnectFailure {};

    std::array<pollfd, 3> polled { pollfd { socket.descriptor(), POLLOUT, 0 }, pollfd { watched, POLLRDHUP, 0 },
        pollfd { alarm, POLLIN, 0 } };
    if (!waitFor(polled, deadline))
        return ConnectFailure { .isTimeout = true };
    int error = 0;
    socklen_t length = sizeof error;
    if (polled[0].revents == 0 || getsockopt(socket.descriptor(), SOL_SOCKET, SO_ERROR, &error, &length) != 0
        || error != 0)
        return ConnectFailure {};
    return socket;
}

bool waitFor(std::span<pollfd> polled, Core::TimePoint deadline)
{
    while (true) {
        auto const remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline - Core::BootClock::now()).count();
        auto const timeout = static_cast<int>(std::clamp<std::int64_t>(remaining, 0, maxPollMilliseconds));
        auto const count = ::poll(polled.data(), polled.size(), timeout);
        if (count > 0)
            return true;
        if (count < 0 && errno != EINTR)
            return false;
        if (remaining <= 0)
            return false;
    }
}

bool hasHungUp(int descriptor)
{
    pollfd polled { descriptor, POLLRDHUP, 0 };
    return ::poll(&polled, 1, 0) > 0 && (polled.revents & hangUpEvents) != 0;
}

} // namespace Proxy
