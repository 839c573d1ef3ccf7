#include <LibCore/Process.h>

#include <boost/test/unit_test.hpp>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <thread>

using namespace std::chrono_literals;

namespace {

/// As the thread pool of a library whose threads do not end.
struct NeverDestroyed {
    NeverDestroyed() = default;
    ~NeverDestroyed()
    {
        while (true)
            ::pause();
    }
    NeverDestroyed(NeverDestroyed const&) = delete;
    NeverDestroyed& operator=(NeverDestroyed const&) = delete;
};

} // namespace

// Stopped processes hung in a static destructor until they were killed at the end of the grace.
BOOST_AUTO_TEST_CASE(AStaticObjectThatCannotBeDestroyedDoesNotHoldUpTheEndOfTheProcess)
{
    constexpr int exitCode = 7;
    auto const child = ::fork();
    BOOST_REQUIRE(child >= 0);
    if (child == 0) {
        static NeverDestroyed const object;
        Core::endProcess(exitCode);
    }
    int status = 0;
    pid_t ended = 0;
    for (auto const limit = std::chrono::steady_clock::now() + 5s;
         ended == 0 && std::chrono::steady_clock::now() < limit; std::this_thread::sleep_for(10ms))
        ended = ::waitpid(child, &status, WNOHANG);
    BOOST_TEST(ended == child);
    if (ended == 0) {
        ::kill(child, SIGKILL);
        ::waitpid(child, &status, 0);
    }
    BOOST_REQUIRE(WIFEXITED(status));
    BOOST_TEST(WEXITSTATUS(status) == exitCode);
}
