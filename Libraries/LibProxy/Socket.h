#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Result.h>
#include <LibCore/Time.h>

#include <poll.h>

#include <span>
#include <string_view>

namespace Proxy {

enum class IoStatus : std::uint8_t {
    Done,
    WouldBlock,
    /// End of stream.
    Closed,
    /// Reset or another error.
    Failed,
};

struct IoResult {
    IoStatus status { IoStatus::Done };
    std::size_t bytes { 0 };
};

/// Owns a TCP descriptor. Reads and writes never block.
class Socket {
public:
    Socket() = default;
    explicit Socket(int descriptor)
        : descriptor_(descriptor)
    {
    }
    Socket(Socket&& other) noexcept;
    Socket& operator=(Socket&& other) noexcept;
    ~Socket();

    int descriptor() const { return descriptor_; }
    bool isOpen() const { return descriptor_ >= 0; }
    void close();
    /// Makes the close a reset, so that the peer sees an error and not the end of the stream.
    void resetOnClose();
    /// Ends the sending direction, then discards input for a short time, so that the peer reads what was sent before it
    /// sees a reset for input that nobody read. Close afterwards.
    void finishSending(Core::Duration limit);

    IoResult receive(std::span<char>);
    /// Sends both pieces with one system call, possibly only in part.
    IoResult send(std::string_view first, std::string_view second = {});
    void setNoDelay();

private:
    int descriptor_ { -1 };
};

struct ConnectFailure {
    bool isTimeout { false };
};

/// A new connection. Gives up at the deadline, or at once when the watched descriptor hangs up or `alarm` is readable.
Core::Result<Socket, ConnectFailure> connectTo(
    Core::Endpoint const&, Core::TimePoint deadline, int watched = -1, int alarm = -1);

/// Waits until one of the descriptors is ready. False when the deadline passed.
bool waitFor(std::span<pollfd>, Core::TimePoint deadline);

/// Events that say that the peer has left: a hang-up, an error or the end of its stream.
inline constexpr short hangUpEvents = POLLRDHUP | POLLHUP | POLLERR;

bool hasHungUp(int descriptor);

} // namespace Proxy
