#pragma once

#include <LibCore/Identifiers.h>
#include <LibNet/EventLoop.h>
#include <LibProxy/InputBuffer.h>

#include <optional>
#include <string>
#include <string_view>

namespace Net {

/// Why a stream ended.
enum class StreamEnd : std::uint8_t {
    /// The peer closed its side in order.
    EndOfStream,
    /// Reset, unreachable, or silent for too long.
    Broken,
    /// The connection was never established.
    NotConnected,
    /// Nothing listens at the address.
    Refused,
};

class Stream;

/// Receives the events of a stream. Each may drop the stream through `EventLoop::reclaim`.
class StreamHandler {
public:
    virtual ~StreamHandler() = default;
    virtual void onConnected(Stream&) { }
    /// New bytes are in `Stream::input`.
    virtual void onData(Stream&) = 0;
    /// The kernel has taken all bytes that waited.
    virtual void onDrained(Stream&) { }
    /// No further event follows.
    virtual void onEnd(Stream&, StreamEnd) = 0;
};

struct StreamSettings {
    /// Bytes that may wait to be consumed; reading pauses beyond that.
    std::size_t maxInputBytes { 256UL * 1024 };
    /// How long establishing a connection may take, and how long sent bytes may stay unacknowledged or the peer may
    /// accept none.
    Core::Duration silenceTimeout { std::chrono::seconds(3) };
};

/// A non-blocking TCP connection with buffers in both directions.
class Stream final : private IoHandler {
public:
    /// Takes over a connected socket.
    Stream(EventLoop&, StreamHandler&, int fd, StreamSettings const&);
    /// Opens a connection. `onConnected` or `onEnd` follows, never before this returns.
    Stream(EventLoop&, StreamHandler&, Core::Endpoint const&, StreamSettings const&);
    ~Stream() override;
    Stream(Stream const&) = delete;
    Stream& operator=(Stream const&) = delete;

    Proxy::InputBuffer& input() { return input_; }
    void write(std::string_view);
    /// Writes without a copy of what the kernel does not take at once, unless other bytes wait already.
    void writeOwned(std::string);
    /// Bytes that the kernel has not taken yet.
    std::size_t pendingBytes() const { return output_.size() - outputBegin_; }
    bool isOpen() const { return fd_ >= 0; }
    bool isConnected() const { return isConnected_; }
    /// Reads again after the input was full and has been consumed.
    void resume();
    /// Closes without an event. What is pending is lost.
    void close();

private:
    void onIo(bool isReadable, bool isWritable) override;
    /// Sends what the kernel takes, if nothing waits before it. Returns the number of bytes.
    std::size_t sendAtOnce(std::string_view) const;
    void finishConnect();
    void receive();
    void flush();
    void end(StreamEnd);
    void updateInterest();
    void applySilenceTimeout(Core::Duration) const;

    EventLoop& loop_;
    StreamHandler& handler_;
    int fd_ { -1 };
    bool isConnected_ { false };
    bool wantsRead_ { true };
    bool wantsWrite_ { false };
    Proxy::InputBuffer input_;
    std::string output_;
    std::size_t outputBegin_ { 0 };
    EventLoop::TimerId connectTimer_;
};

/// Accepts connections on one address.
class Listener final : private IoHandler {
public:
    using Acceptor = std::function<void(int fd)>;

    /// Null when the address cannot be used; `errno` says why.
    static std::unique_ptr<Listener> open(EventLoop&, Core::Endpoint const&, Acceptor);
    ~Listener() override;
    Listener(Listener const&) = delete;
    Listener& operator=(Listener const&) = delete;

private:
    Listener(EventLoop&, int fd, Acceptor);
    void onIo(bool isReadable, bool isWritable) override;

    EventLoop& loop_;
    int fd_;
    Acceptor acceptor_;
};

} // namespace Net
