#include <LibCore/Memory.h>
#include <LibNet/FrameChannel.h>

#include <algorithm>
#include <array>

namespace Net {

namespace {

    /// Interval of the empty frames.
    constexpr Core::Duration keepAliveInterval = std::chrono::milliseconds(250);
    /// A channel without any frame for this long is given up: four intervals, so that one lost packet and its
    /// retransmission are not taken for silence.
    constexpr Core::Duration silenceLimit = std::chrono::milliseconds(1100);
    constexpr std::size_t lengthBytes = 4;
    constexpr std::size_t maxKeptBytes = 16UL * 1024;

    StreamSettings channelSettings()
    {
        StreamSettings settings;
        settings.silenceTimeout = silenceLimit;
        return settings;
    }

    std::array<char, lengthBytes> encodeLength(std::size_t length)
    {
        std::array<char, lengthBytes> bytes {};
        for (std::size_t i = 0; i < lengthBytes; ++i)
            bytes.at(i) = static_cast<char>(length >> (8 * i));
        return bytes;
    }

    std::size_t decodeLength(std::string_view bytes)
    {
        std::size_t length = 0;
        for (std::size_t i = 0; i < lengthBytes; ++i)
            length |= std::size_t { static_cast<unsigned char>(bytes[i]) } << (8 * i);
        return length;
    }

} // namespace

FrameChannel::FrameChannel(EventLoop& loop, FrameHandler& handler, int fd)
    : loop_(loop)
    , handler_(handler)
    , stream_(loop, *this, fd, channelSettings())
    , lastHeard_(loop.now())
{
    startKeepAlive();
}

FrameChannel::FrameChannel(EventLoop& loop, FrameHandler& handler, Core::Endpoint const& peer)
    : loop_(loop)
    , handler_(handler)
    , stream_(loop, *this, peer, channelSettings())
    , lastHeard_(loop.now())
{
}

FrameChannel::~FrameChannel() { loop_.cancel(timer_); }

void FrameChannel::close()
{
    loop_.cancel(timer_);
    stream_.close();
}

void FrameChannel::send(std::string_view payload)
{
    auto const length = encodeLength(payload.size());
    std::string frame(length.data(), length.size());
    frame.append(payload);
    stream_.write(frame);
}

void FrameChannel::onConnected(Stream&)
{
    lastHeard_ = loop_.now();
    startKeepAlive();
    handler_.onOpen(*this);
}

void FrameChannel::onData(Stream&)
{
    lastHeard_ = loop_.now();
    auto const bytes = stream_.input().view();
    partial_.append(bytes);
    stream_.input().consume(bytes.size());
    stream_.resume();
    std::size_t begin = 0;
    while (stream_.isOpen() && partial_.size() - begin >= lengthBytes) {
        auto const length = decodeLength(std::string_view(partial_).substr(begin));
        if (length > maxFrameBytes) {
            end();
            return;
        }
        if (partial_.size() - begin < lengthBytes + length)
            break;
        auto const payload = std::string_view(partial_).substr(begin + lengthBytes, length);
        begin += lengthBytes + length;
        if (!payload.empty())
            handler_.onFrame(*this, payload);
    }
    if (begin == partial_.size())
        releasePartial();
    else
        partial_.erase(0, begin);
}

/// Frees the memory of a large frame, and keeps that of small ones, which follow each other all the time.
void FrameChannel::releasePartial()
{
    if (partial_.capacity() > maxKeptBytes)
        Core::releaseMemory(partial_);
    else
        partial_.clear();
}

void FrameChannel::onEnd(Stream&, StreamEnd) { end(); }

void FrameChannel::startKeepAlive()
{
    timer_ = loop_.after(keepAliveInterval, [this] { keepAlive(); });
}

void FrameChannel::keepAlive()
{
    timer_ = {};
    if (loop_.now() - lastHeard_ > silenceLimit) {
        end();
        return;
    }
    send({});
    startKeepAlive();
}

void FrameChannel::end()
{
    close();
    handler_.onClosed(*this);
}

} // namespace Net
