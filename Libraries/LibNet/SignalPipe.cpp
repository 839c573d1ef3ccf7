#include <LibNet/SignalPipe.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>

namespace Net {

namespace {

    volatile std::sig_atomic_t writeEnd = -1;

    void forwardSignal(int signal)
    {
        auto const savedError = errno;
        auto const byte = static_cast<char>(signal);
        // A full pipe holds enough signals to act on.
        [[maybe_unused]] auto const written = ::write(writeEnd, &byte, 1);
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
    std::array<char, 16> bytes {};
    auto const count = ::read(readEnd_, bytes.data(), bytes.size());
    for (ssize_t i = 0; i < count; ++i)
        receiver_(bytes.at(static_cast<std::size_t>(i)));
}

} // namespace Net
