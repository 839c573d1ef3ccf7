#include "Announcer.h"

#include <httplib.h>

namespace Emulator {

namespace {

    constexpr Core::Duration announceInterval = std::chrono::milliseconds(300);
    /// Below the time to live of a grant, so that another entry host can still be asked in time.
    constexpr auto connectTimeout = std::chrono::milliseconds(200);
    constexpr auto replyTimeout = std::chrono::milliseconds(500);

} // namespace

void Announcer::start()
{
    thread_ = std::jthread([this](std::stop_token const& token) { run(token); });
}

void Announcer::run(std::stop_token const& token)
{
    std::size_t current = 0;
    auto next = Core::BootClock::now();
    while (!token.stop_requested()) {
        backend_.sampleLoad(Core::BootClock::now());
        if (backend_.switches()[Switch::Freeze] == 0 && !entryHosts_.empty()
            && !announceTo(entryHosts_[current % entryHosts_.size()]))
            ++current;
        next += announceInterval;
        next = std::max(next, Core::BootClock::now());
        while (!token.stop_requested() && Core::BootClock::now() < next)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

bool Announcer::announceTo(Core::Endpoint const& entryHost)
{
    auto announcement = backend_.settings().identity;
    announcement.isDraining = backend_.switches()[Switch::Drain] != 0;
    announcement.slots = static_cast<std::uint32_t>(std::max<std::int64_t>(1, backend_.switches()[Switch::Slots]));
    announcement.load = backend_.load();
    announcement.releasedSlots = backend_.grants().released();

    httplib::Client client(entryHost.address, entryHost.port);
    client.set_connection_timeout(connectTimeout);
    client.set_read_timeout(replyTimeout);
    client.set_tcp_nodelay(true);
    auto const sentAt = Core::BootClock::now();
    auto const response
        = client.Post(std::string(Proxy::announcePath), Proxy::toJson(announcement), "application/json");
    if (!response || response->status != 200)
        return false;
    auto const reply = Proxy::parseAnnounceReply(response->body);
    if (reply.isError())
        return false;
    backend_.grants().apply(reply.value(), sentAt);
    return true;
}

} // namespace Emulator
