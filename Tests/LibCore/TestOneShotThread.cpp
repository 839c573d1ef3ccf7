#include <LibCore/OneShotThread.h>

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>
#include <memory>

namespace {

/// An owner that is destroyed as soon as its thread reports, as a daemon is once its stop thread has ended its event
/// loop.
struct Owner {
    std::promise<void> reported;
    Core::OneShotThread thread;
};

} // namespace

BOOST_AUTO_TEST_SUITE(OneShotThreads)

// The signal's thread stored the thread object without synchronization, while the thread itself already ended the main
// loop: the owner's destructor saw no thread to join, and the process aborted.
BOOST_AUTO_TEST_CASE(AnOwnerIsDestroyedWhileAnotherThreadStillStartsIt)
{
    constexpr int rounds = 2000;
    for (int round = 0; round < rounds; ++round) {
        auto owner = std::make_unique<Owner>();
        auto reported = owner->reported.get_future();
        std::thread starter(
            [&running = *owner] { running.thread.start([&running] { running.reported.set_value(); }); });
        reported.wait();
        owner->thread.join();
        starter.join();
        owner.reset();
    }
    BOOST_TEST(true);
}

BOOST_AUTO_TEST_CASE(OnlyTheFirstStartRuns)
{
    std::atomic<int> runs = 0;
    Core::OneShotThread thread;
    BOOST_TEST(thread.start([&] { ++runs; }));
    BOOST_TEST(!thread.start([&] { ++runs; }));
    thread.join();
    BOOST_TEST(runs == 1);
}

BOOST_AUTO_TEST_CASE(NothingIsStartedAfterTheJoin)
{
    Core::OneShotThread thread;
    thread.join();
    BOOST_TEST(!thread.start([] { BOOST_ERROR("started after the join"); }));
}

BOOST_AUTO_TEST_SUITE_END()
