#include <LibGateway/EntryLink.h>

#include <algorithm>

namespace Gateway {

using ControlHost::FrameType;
using Telemetry::EventId;

namespace {

    /// Pause before the next control host is asked after one has answered that it does not lead or has gone. Short,
    /// since a change of the leader takes about a second.
    constexpr Core::Duration askInterval = std::chrono::milliseconds(100);
    /// A control host that has not answered within this time may be frozen or behind a full link: the next one is asked
    /// too. Some ten times what an answer takes on an idle link, a quarter of the time after which a silent channel
    /// ends.
    constexpr Core::Duration besideInterval = std::chrono::milliseconds(250);
    /// Control hosts that are asked at the same time. Two may be lost at once.
    constexpr std::size_t maxAttempts = 3;

} // namespace

EntryLink::EntryLink(Net::EventLoop& loop, Telemetry::EventLog& events, EntryLinkHandler& handler, std::string name,
    std::vector<Core::Endpoint> seeds)
    : loop_(loop)
    , events_(events)
    , handler_(handler)
    , name_(std::move(name))
    , seeds_(std::move(seeds))
{
    seekLater({});
}

EntryLink::~EntryLink() { loop_.cancel(timer_); }

void EntryLink::setSeeds(std::vector<Core::Endpoint> seeds) { seeds_ = std::move(seeds); }

void EntryLink::report(Fleet::LoadReport const& report)
{
    if (leader_)
        leader_->send(ControlHost::makeFrame(FrameType::Report, report));
}

bool EntryLink::isTrying(Core::Endpoint const& endpoint) const
{
    return std::ranges::count(attempts_, endpoint, &Attempt::peer) > 0;
}

Core::Endpoint EntryLink::peerOf(Net::FrameChannel const& channel) const
{
    auto const found
        = std::ranges::find_if(attempts_, [&](auto const& attempt) { return attempt.channel.get() == &channel; });
    return found == attempts_.end() ? Core::Endpoint {} : found->peer;
}

/// The next control host, in turn, that is not being asked already.
std::optional<Core::Endpoint> EntryLink::nextCandidate()
{
    auto const count = members_.size() + seeds_.size();
    for (std::size_t tried = 0; tried < count; ++tried) {
        auto const index = next_++ % count;
        auto const& candidate = index < members_.size() ? members_[index] : seeds_[index - members_.size()];
        if (!isTrying(candidate))
            return candidate;
    }
    return std::nullopt;
}

void EntryLink::seekLater(Core::Duration delay)
{
    loop_.cancel(timer_);
    timer_ = loop_.after(delay, [this] {
        timer_ = {};
        seek();
    });
}

void EntryLink::seek()
{
    if (leader_)
        return;
    if (attempts_.size() < maxAttempts) {
        if (auto const candidate = nextCandidate())
            connect(*candidate);
    }
    seekLater(besideInterval);
}

void EntryLink::connect(Core::Endpoint const& endpoint)
{
    Net::FrameHandler& handler = *this;
    attempts_.push_back({ endpoint, std::make_unique<Net::FrameChannel>(loop_, handler, endpoint) });
}

void EntryLink::onOpen(Net::FrameChannel& channel)
{
    channel.send(ControlHost::makeFrame(FrameType::Hello, ControlHost::Hello { name_, handler_.itemRevision() }));
}

void EntryLink::onFrame(Net::FrameChannel& channel, std::string_view frame)
{
    auto const payload = frame.substr(1);
    auto const type = static_cast<FrameType>(frame.front());
    switch (type) {
    case FrameType::View:
    case FrameType::CompressedView:
        if (auto const update = ControlHost::readView(type, payload)) {
            onView(channel, *update);
            return;
        }
        events_.write(
            EventId::PeerUnreachable, { { "peer", peerOf(channel).toString() }, { "reason", "undecodable view" } });
        channel.close();
        onClosed(channel);
        return;
    case FrameType::Leader:
        if (auto const hint = Fleet::decode<ControlHost::LeaderHint>(payload))
            onHint(channel, *hint);
        return;
    default:
        return;
    }
}

void EntryLink::onView(Net::FrameChannel& channel, Fleet::ViewUpdate const& update)
{
    if (leader_ != &channel) {
        leader_ = &channel;
        loop_.cancel(timer_);
        events_.write(EventId::ViewLeaseRestored, { { "leader", peerOf(channel).toString() } });
        std::vector<Net::FrameChannel*> others;
        for (auto const& attempt : attempts_) {
            if (attempt.channel.get() != &channel)
                others.push_back(attempt.channel.get());
        }
        for (auto* const other : others)
            drop(*other);
    }
    handler_.onView(update);
}

void EntryLink::onHint(Net::FrameChannel& channel, ControlHost::LeaderHint const& hint)
{
    if (!hint.members.empty())
        members_ = hint.members;
    if (hint.leader == peerOf(channel))
        return;
    auto const wasLeader = leader_ == &channel;
    drop(channel);
    if (wasLeader)
        events_.write(EventId::ViewLeaseLost, { { "reason", "the leader has changed" } });
    if (leader_)
        return;
    if (hint.leader && !isTrying(*hint.leader))
        connect(*hint.leader);
    seekLater(hint.leader ? besideInterval : askInterval);
}

void EntryLink::onClosed(Net::FrameChannel& channel)
{
    auto const peer = peerOf(channel);
    auto const wasLeader = leader_ == &channel;
    drop(channel);
    if (wasLeader)
        events_.write(EventId::ViewLeaseLost, { { "leader", peer.toString() } });
    if (!leader_)
        seekLater(askInterval);
}

void EntryLink::drop(Net::FrameChannel& channel)
{
    auto const found
        = std::ranges::find_if(attempts_, [&](auto const& attempt) { return attempt.channel.get() == &channel; });
    if (found == attempts_.end())
        return;
    if (leader_ == &channel)
        leader_ = nullptr;
    channel.close();
    loop_.reclaim(std::move(found->channel));
    attempts_.erase(found);
}

} // namespace Gateway
