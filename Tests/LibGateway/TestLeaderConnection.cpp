#include "FakeLeader.h"

#include <LibGateway/LeaderConnection.h>

#include <boost/test/unit_test.hpp>

using namespace Gateway;
using namespace TestGateway;

namespace {

class ViewReceiver final : public LeaderConnectionHandler {
public:
    void onReservation(Fleet::ReservationReply const&) override { }
    void onQuotaReply(Fleet::QuotaReply const&) override { }
    void onView(Fleet::ViewUpdate const& update) override
    {
        revision = update.itemRevision;
        routes = update.routes.size();
    }
    std::uint64_t itemRevision() const override { return revision; }
    std::vector<std::string> quarantined() const override { return { "poison" }; }

    std::uint64_t revision { 0 };
    std::size_t routes { 0 };
};

struct LeaderConnectionFixture {
    Net::EventLoop loop;
    Core::SystemClock clock;
    std::unique_ptr<Telemetry::EventLog> events { Telemetry::EventLog::open({ .file = "/dev/null" }, clock).value() };
    ViewReceiver receiver;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(AnAttemptWhoseViewTakesASecondIsNotAborted, LeaderConnectionFixture)
{
    // After all control hosts had failed, 83 entry hosts connected at once, and none received its view within 600 ms.
    FakeLeader leader(loop, 1s);
    LeaderConnection connection(loop, *events, receiver, "entry", { leader.address });
    BOOST_TEST(runUntil(
        loop, [&] { return connection.isConnected(); }, 3s));
    BOOST_TEST(leader.hellos.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(AnEntryHostReportsItsItemRevisionToANewLeader, LeaderConnectionFixture)
{
    receiver.revision = 5;
    FakeLeader leader(loop, 0s);
    LeaderConnection connection(loop, *events, receiver, "entry", { leader.address });
    BOOST_TEST(runUntil(
        loop, [&] { return connection.isConnected(); }, 3s));
    BOOST_TEST(leader.hellos.front().itemRevision == 5U);
    BOOST_TEST(
        leader.hellos.front().quarantined == std::vector<std::string> { "poison" }, boost::test_tools::per_element());
    BOOST_TEST(receiver.revision == 7U);
}

BOOST_FIXTURE_TEST_CASE(AViewOfManyRoutesArrivesCompressed, LeaderConnectionFixture)
{
    FakeLeader leader(loop, 0s);
    for (int i = 0; i < 1680; ++i)
        leader.view.routes.push_back({ "route-" + std::to_string(i), { 3, std::nullopt } });
    Fleet::ViewUpdate update;
    update.routes = leader.view.routes;
    BOOST_TEST(ControlHost::makeViewFrame(update).size() < Fleet::encode(update).size() / 2);
    LeaderConnection connection(loop, *events, receiver, "entry", { leader.address });
    BOOST_TEST(runUntil(
        loop, [&] { return connection.isConnected(); }, 3s));
    BOOST_TEST(receiver.routes == leader.view.routes.size());
}

BOOST_FIXTURE_TEST_CASE(AFrozenControlHostDoesNotDelayTheSearchForTheLeader, LeaderConnectionFixture)
{
    // The frozen host accepts connections and never answers. The leader, behind a saturated link, answers after 900 ms.
    Core::Endpoint const frozen { "127.0.0.1", freePort() };
    std::vector<int> held;
    auto const listener = Net::Listener::open(loop, frozen, [&](int fd) { held.push_back(fd); });
    FakeLeader leader(loop, 900ms);
    auto const began = Core::BootClock::now();
    LeaderConnection connection(loop, *events, receiver, "entry", { frozen, leader.address });
    BOOST_TEST(runUntil(
        loop, [&] { return connection.isConnected(); }, 4s));
    BOOST_TEST((Core::BootClock::now() - began < 1500ms));
    BOOST_TEST(leader.hellos.size() == 1U);
    for (auto const fd : held)
        ::close(fd);
}

// An entry host must not wait for ever for the view of a control host that has forgotten it.
BOOST_FIXTURE_TEST_CASE(ALeaderThatSendsNoViewIsAskedAgain, LeaderConnectionFixture)
{
    FakeLeader leader(loop, 0s);
    leader.forgottenHellos = 1;
    LeaderConnection connection(loop, *events, receiver, "entry", { leader.address });
    BOOST_TEST(runUntil(
        loop, [&] { return connection.isConnected(); }, 8s));
    BOOST_TEST(leader.hellos.size() == 2U);
}
