#pragma once

#include "../Support/Loopback.h"

#include <LibControlHost/Frames.h>
#include <LibFleet/View.h>
#include <LibGateway/EntryHost.h>

#include <boost/test/unit_test.hpp>

namespace TestGateway {

using namespace Test;

/// A control leader that sends its view after a delay, as over a slow network link.
class FakeLeader final : private Net::FrameHandler {
public:
    FakeLeader(Net::EventLoop& loop, Core::Duration delay)
        : loop_(loop)
        , delay_(delay)
        , listener_(Net::Listener::open(loop, address, [this](int fd) {
            Net::FrameHandler& handler = *this;
            channels_.push_back(std::make_unique<Net::FrameChannel>(loop_, handler, fd));
        }))
    {
    }

    Core::Endpoint const address { "127.0.0.1", freePort() };
    std::vector<ControlHost::Hello> hellos;
    /// The first entry hosts of this number get no view, though the leader names itself to them.
    std::size_t forgottenHellos { 0 };
    Fleet::ViewUpdate view;

private:
    void onFrame(Net::FrameChannel& channel, std::string_view frame) override
    {
        // Load reports are ignored.
        if (frame.front() != static_cast<char>(ControlHost::FrameType::Hello))
            return;
        auto const hello = Fleet::decode<ControlHost::Hello>(frame.substr(1));
        BOOST_REQUIRE(hello.has_value());
        hellos.push_back(*hello);
        channel.send(makeFrame(ControlHost::FrameType::Leader, ControlHost::LeaderHint { address, { address } }));
        if (hellos.size() <= forgottenHellos)
            return;
        loop_.after(delay_, [this, &channel] {
            view.isWhole = true;
            view.itemRevision = 7;
            channel.send(ControlHost::makeViewFrame(view));
        });
    }
    void onClosed(Net::FrameChannel& channel) override { channel.close(); }

    Net::EventLoop& loop_;
    Core::Duration delay_;
    std::vector<std::unique_ptr<Net::FrameChannel>> channels_;
    std::unique_ptr<Net::Listener> listener_;
};

/// The settings of an entry host that connects to this leader.
inline Gateway::EntryHostSettings entryHostSettings(
    FakeLeader const& leader, Core::Duration grace, double linkBytesPerSecond)
{
    Gateway::EntryHostSettings settings;
    settings.name = "entry";
    settings.callers = { "127.0.0.1", freePort() };
    settings.controlHosts = { leader.address };
    settings.stopGrace = grace;
    settings.gateway.name = "entry";
    settings.gateway.retries = { 20, 0, 10s };
    settings.gateway.linkBytesPerSecond = linkBytesPerSecond;
    return settings;
}

} // namespace TestGateway
