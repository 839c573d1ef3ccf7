#include "../Support/Loopback.h"
#include "../Support/TemporaryFolder.h"

#include <LibStorage/RealDisk.h>

#include <boost/test/unit_test.hpp>
#include <platform/ControlApi.h>

#include <algorithm>
#include <array>

using namespace std::chrono_literals;

namespace {

/// A caller whose request has arrived in whole before the loop looks at it.
class PromptCaller {
public:
    PromptCaller(Core::Endpoint const& server, std::string const& request)
        : fd_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(server.port);
        BOOST_REQUIRE(::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
        BOOST_REQUIRE(
            ::send(fd_, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size()));
    }
    ~PromptCaller() { leave(); }
    PromptCaller(PromptCaller const&) = delete;
    PromptCaller& operator=(PromptCaller const&) = delete;

    void leave()
    {
        if (fd_ >= 0)
            ::close(std::exchange(fd_, -1));
    }
    bool hasAnswer() const
    {
        char byte = 0;
        return ::recv(fd_, &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 1;
    }

private:
    int fd_;
};

/// A control host that is the only one of its group.
struct Fixture {
    Fixture()
        : events(Telemetry::EventLog::open({ .file = folder.file("event.log") }, clock).value())
        , disk(folder.file("data"))
        , host(loop, *events, metrics, hostSettings(),
              ControlHost::openOrBootstrap(disk, { internalAddress, { internalAddress }, true }).value())
        , api(loop, *events, host, settings, ControlHost::divideMemory(ControlHost::defaultMemoryBytes))
    {
        settings.control = { "127.0.0.1", Test::freePort() };
        BOOST_REQUIRE(host.listen());
        BOOST_REQUIRE(api.listen());
        BOOST_REQUIRE(Test::runUntil(loop, [&] { return host.isLeading(); }));
    }

    ControlHost::ControlHostSettings hostSettings() const
    {
        ControlHost::ControlHostSettings result;
        result.address = internalAddress;
        result.seeds = { internalAddress };
        return result;
    }

    std::unique_ptr<PromptCaller> patch(std::string const& body) const
    {
        return std::make_unique<PromptCaller>(*settings.control,
            "PATCH /-/config HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                + body);
    }
    /// The changes that were read and found to be invalid.
    std::size_t rejectedCount() const
    {
        auto const lines = readLines(folder.file("event.log"));
        return static_cast<std::size_t>(std::ranges::count_if(
            lines, [](auto const& line) { return line.find("EditRejected") != std::string::npos; }));
    }

    TemporaryFolder folder;
    Core::SystemClock clock;
    std::unique_ptr<Telemetry::EventLog> events;
    Telemetry::Metrics metrics;
    Net::EventLoop loop;
    Core::Endpoint const internalAddress { "127.0.0.1", Test::freePort() };
    Storage::RealDisk disk;
    Platform::NodeSettings settings;
    ControlHost::ControlHost host;
    Platform::ControlApi api;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ControlApis, Fixture)

// Guards against a leader that reads all changes that have arrived in one turn, sends no heartbeat in that time, and is
// taken for lost.
BOOST_AUTO_TEST_CASE(TheLoopTurnsBetweenTwoChanges)
{
    constexpr std::size_t changes = 8;
    std::vector<std::unique_ptr<PromptCaller>> callers;
    for (std::size_t i = 0; i < changes; ++i)
        callers.push_back(patch("{"));
    std::size_t answered = 0;
    std::size_t mostInOneTurn = 0;
    std::function<void()> const countAnswers = [&] {
        auto const now = static_cast<std::size_t>(
            std::ranges::count_if(callers, [](auto const& caller) { return caller->hasAnswer(); }));
        mostInOneTurn = std::max(mostInOneTurn, now - answered);
        answered = now;
        if (answered < changes)
            loop.post(countAnswers);
    };
    loop.post(countAnswers);
    BOOST_TEST(Test::runUntil(loop, [&] { return answered == changes; }));
    BOOST_TEST(mostInOneTurn == 1U);
}

// Guards against the work for callers that have given up and sent their change again.
BOOST_AUTO_TEST_CASE(AChangeWhoseCallerHasLeftIsNotRead)
{
    std::vector<std::unique_ptr<PromptCaller>> callers;
    for (std::size_t i = 0; i < 8; ++i)
        callers.push_back(patch("{"));
    for (std::size_t i = 1; i < 7; ++i)
        callers[i]->leave();
    BOOST_TEST(Test::runUntil(loop, [&] { return callers.front()->hasAnswer() && callers.back()->hasAnswer(); }));
    BOOST_TEST(rejectedCount() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
