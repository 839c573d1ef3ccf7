#include <LibNet/SignalPipe.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <span>

namespace Net {

namespace {

    volatile std::sig_atomic_t writeEnd = -1;

    struct ReceivedSignal {
        int signal { 0 };
        Core::TimePoint receivedAt;
    };

    void forwardSignal(int signal)
    {
        auto const savedError = errno;
        // Reading a clock and writing to a pipe are safe in a signal handler. The pipe takes so few bytes whole or not
        // at all, and a full pipe holds enough signals to act on.
        ReceivedSignal const received { signal, Core::BootClock::now() };
        [[maybe_unused]] auto const written = ::write(writeEnd, &received, sizeof received);
        errno = savedError;
    }

} // namespace

SignalPipe::SignalPipe(EventLoop& loop, std::initializer_list<int> signals, Receiver receiver)
    : loop_(loop)
    , receiver_(std::move(receiver))
{
    std::array<int, 2> ends {};
    if (::pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC) != 0)
        std::abort();
    readEnd_ = ends[0];
    writeEnd = ends[1];
    loop_.watch(readEnd_, *this, false);
    for (auto const signal : signals) {
        struct sigaction action { };
        action.sa_handler = forwardSignal;
        action.sa_flags = SA_RESTART;
        ::sigaction(signal, &action, nullptr);
    }
}

SignalPipe::~SignalPipe()
{
    loop_.unwatch(readEnd_);
    ::close(readEnd_);
}

void SignalPipe::onIo(bool, bool)
{
    std::array<ReceivedSignal, 16> received {};
    auto const bytes = ::read(readEnd_, received.data(), sizeof received);
    if (bytes <= 0)
        return;
    auto const count = static_cast<std::size_t>(bytes) / sizeof(ReceivedSignal);
    for (auto const& [signal, receivedAt] : std::span(received).first(count))
        receiver_(signal, receivedAt);
}

} // namespace Net
