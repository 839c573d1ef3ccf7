#include <LibRpc/EventLoop.h>

#include <boost/test/unit_test.hpp>

#include <thread>

BOOST_AUTO_TEST_SUITE(EventLoops)

// Guards against an exception from the destructor, which ended each graceful stop of the daemon with an abort, and
// against tasks that other threads post and that are lost or run on their thread.
BOOST_AUTO_TEST_CASE(PostedTasksRunOnTheLoopAndItEndsCleanly)
{
    std::thread::id ranOn;
    std::thread poster;
    {
        Rpc::EventLoop loop;
        poster = std::thread([&] {
            loop.post([&] { ranOn = std::this_thread::get_id(); });
            loop.stop();
        });
        loop.run();
        poster.join();
        BOOST_TEST(!loop.post([] {}));
    }
    BOOST_TEST((ranOn == std::this_thread::get_id()));
}

BOOST_AUTO_TEST_SUITE_END()
