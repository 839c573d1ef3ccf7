#include <LibCore/Memory.h>
#include <LibNet/Stream.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace Net {

namespace {

    /// Connections that wait to be accepted.
    constexpr int listenBacklog = 512;
    /// Read at once before other connections get their turn.
    constexpr std::size_t receiveChunkBytes = 16UL * 1024;
    /// Probes of an idle connection: the first one after this time, then at this interval, until two are unanswered.
    constexpr int keepAliveIdleSeconds = 2;
    constexpr int keepAliveIntervalSeconds = 1;
    constexpr int keepAliveProbes = 2;

    std::optional<sockaddr_in> toAddress(Core::Endpoint const& endpoint)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        if (::inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr) != 1)
            return std::nullopt;
        return address;
    }

    void setOption(int fd, int level, int option, int value)
    {
        // Only tunes the connection; without it a loss is noticed later.
        [[maybe_unused]] auto const result = ::setsockopt(fd, level, option, &value, sizeof value);
    }

    void applyOptions(int fd)
    {
        setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
        setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
        setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
        setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
        setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    }

} // namespace

Stream::Stream(EventLoop& loop, StreamHandler& handler, int fd, StreamSettings const& settings)
    : loop_(loop)
    , handler_(handler)
    , fd_(fd)
    , isConnected_(true)
    , input_(settings.maxInputBytes)
{
    applyOptions(fd_);
    applySilenceTimeout(settings.silenceTimeout);
    loop_.watch(fd_, *this, false);
}

Stream::Stream(EventLoop& loop, StreamHandler& handler, Core::Endpoint const& peer, StreamSettings const& settings)
    : loop_(loop)
    , handler_(handler)
    , input_(settings.maxInputBytes)
{
    auto const address = toAddress(peer);
    if (address)
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto const hasStarted = fd_ >= 0
        && (::connect(fd_, reinterpret_cast<sockaddr const*>(&*address), sizeof *address) == 0 || errno == EINPROGRESS);
    if (!hasStarted) {
        connectTimer_ = loop_.after({}, [this] { end(StreamEnd::NotConnected); });
        return;
    }
    applyOptions(fd_);
    applySilenceTimeout(settings.silenceTimeout);
    wantsWrite_ = true;
    loop_.watch(fd_, *this, true);
    connectTimer_ = loop_.after(settings.silenceTimeout, [this] { end(StreamEnd::NotConnected); });
}

Stream::~Stream() { close(); }

void Stream::applySilenceTimeout(Core::Duration timeout) const
{
    setOption(fd_, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(Core::toMilliseconds(timeout)));
}

void Stream::close()
{
    loop_.cancel(connectTimer_);
    if (fd_ < 0)
        return;
    loop_.unwatch(fd_);
    ::close(fd_);
    fd_ = -1;
}

void Stream::end(StreamEnd reason)
{
    close();
    handler_.onEnd(*this, reason);
}

void Stream::onIo(bool isReadable, bool isWritable)
{
    if (!isConnected_) {
        finishConnect();
        return;
    }
    if (isWritable)
        flush();
    if (isReadable && isOpen())
        receive();
}

void Stream::finishConnect()
{
    int error = 0;
    socklen_t length = sizeof error;
    if (::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
        end(error == ECONNREFUSED ? StreamEnd::Refused : StreamEnd::NotConnected);
        return;
    }
    loop_.cancel(connectTimer_);
    isConnected_ = true;
    handler_.onConnected(*this);
    if (isOpen())
        flush();
}

void Stream::receive()
{
    if (input_.isFull()) {
        wantsRead_ = false;
        updateInterest();
        return;
    }
    auto const space = input_.prepare(receiveChunkBytes);
    auto const received = ::recv(fd_, space.data(), space.size(), 0);
    if (received > 0) {
        input_.commit(static_cast<std::size_t>(received));
        handler_.onData(*this);
        return;
    }
    if (received < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    end(received == 0 ? StreamEnd::EndOfStream : StreamEnd::Broken);
}

void Stream::resume()
{
    if (!isOpen() || wantsRead_)
        return;
    wantsRead_ = true;
    updateInterest();
}

void Stream::write(std::string_view bytes)
{
    if (!isOpen())
        return;
    bytes.remove_prefix(sendAtOnce(bytes));
    if (bytes.empty())
        return;
    output_.append(bytes);
    wantsWrite_ = true;
    updateInterest();
}

void Stream::writeOwned(std::string bytes)
{
    if (pendingBytes() > 0) {
        write(bytes);
        return;
    }
    if (!isOpen())
        return;
    auto const sent = sendAtOnce(bytes);
    if (sent == bytes.size())
        return;
    output_ = std::move(bytes);
    outputBegin_ = sent;
    wantsWrite_ = true;
    updateInterest();
}

std::size_t Stream::sendAtOnce(std::string_view bytes) const
{
    if (!isConnected_ || pendingBytes() > 0)
        return 0;
    auto const sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    // An error shows again as an event of the socket, where it is handled.
    return sent > 0 ? static_cast<std::size_t>(sent) : 0;
}

void Stream::flush()
{
    while (pendingBytes() > 0) {
        auto const sent = ::send(fd_, output_.data() + outputBegin_, pendingBytes(), MSG_NOSIGNAL);
        if (sent < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        if (sent <= 0) {
            end(StreamEnd::Broken);
            return;
        }
        outputBegin_ += static_cast<std::size_t>(sent);
    }
    Core::releaseMemory(output_);
    outputBegin_ = 0;
    wantsWrite_ = false;
    updateInterest();
    handler_.onDrained(*this);
}

void Stream::updateInterest()
{
    if (isOpen())
        loop_.update(fd_, wantsRead_, wantsWrite_);
}

std::unique_ptr<Listener> Listener::open(EventLoop& loop, Core::Endpoint const& endpoint, Acceptor acceptor)
{
    auto const address = toAddress(endpoint);
    if (!address) {
        errno = EINVAL;
        return nullptr;
    }
    auto const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return nullptr;
    setOption(fd, SOL_SOCKET, SO_REUSEADDR, 1);
    if (::bind(fd, reinterpret_cast<sockaddr const*>(&*address), sizeof *address) != 0
        || ::listen(fd, listenBacklog) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::unique_ptr<Listener>(new Listener(loop, fd, std::move(acceptor)));
}

Listener::Listener(EventLoop& loop, int fd, Acceptor acceptor)
    : loop_(loop)
    , fd_(fd)
    , acceptor_(std::move(acceptor))
{
    loop_.watch(fd_, *this, false);
}

Listener::~Listener()
{
    loop_.unwatch(fd_);
    ::close(fd_);
}

void Listener::onIo(bool, bool)
{
    while (true) {
        auto const fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        // The remaining errors concern one connection that is gone, or a limit that passes.
        if (fd < 0)
            return;
        acceptor_(fd);
    }
}

} // namespace Net
