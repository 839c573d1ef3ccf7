#pragma once

#include <LibNet/EventLoop.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <set>

/// What several test programs need to run hosts on the loopback interface and one event loop.
namespace Test {

using namespace std::chrono_literals;

/// A port of the loopback interface that nothing listens on. No port is returned twice.
inline std::uint16_t freePort()
{
    static std::set<std::uint16_t> returned;
    auto const fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), length) != 0
        || ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) != 0)
        std::abort();
    ::close(fd);
    auto const port = ntohs(address.sin_port);
    return returned.insert(port).second ? port : freePort();
}

/// Runs the loop for this long.
inline void runFor(Net::EventLoop& loop, Core::Duration time)
{
    loop.after(time, [&loop] { loop.stop(); });
    loop.run();
}

/// Runs the loop until the condition holds. False after the limit.
inline bool runUntil(Net::EventLoop& loop, std::function<bool()> const& condition, Core::Duration limit = 5s)
{
    auto const deadline = Core::BootClock::now() + limit;
    while (!condition() && Core::BootClock::now() < deadline)
        runFor(loop, 2ms);
    return condition();
}

} // namespace Test
