#include <LibGateway/EntryLink.h>

#include <algorithm>

namespace Gateway {

using ControlHost::FrameType;
using Telemetry::EventId;

namespace {

    /// Pause before the next control host is asked. Short, since a change of the leader takes about a second.
    constexpr Core::Duration askInterval = std::chrono::milliseconds(100);
    /// A control host that neither answers nor refuses within this time is passed over. A view that takes longer is not
    /// cut off: the channel itself notices silence.
    constexpr Core::Duration answerTimeout = std::chrono::milliseconds(600);

} // namespace

EntryLink::EntryLink(Net::EventLoop& loop, Telemetry::EventLog& events, EntryLinkHandler& handler, std::string name,
    std::vector<Core::Endpoint> seeds)
    : loop_(loop)
    , events_(events)
    , handler_(handler)
    , name_(std::move(name))
    , seeds_(std::move(seeds))
{
    connectLater({});
}

EntryLink::~EntryLink() { loop_.cancel(timer_); }

void EntryLink::setSeeds(std::vector<Core::Endpoint> seeds) { seeds_ = std::move(seeds); }

void EntryLink::report(Fleet::LoadReport const& report)
{
    if (hasView_)
        channel_->send(ControlHost::makeFrame(FrameType::Report, report));
}

Core::Endpoint EntryLink::nextCandidate()
{
    if (hinted_)
        return *std::exchange(hinted_, std::nullopt);
    auto const count = members_.size() + seeds_.size();
    auto const index = next_++ % count;
    return index < members_.size() ? members_[index] : seeds_[index - members_.size()];
}

void EntryLink::connectLater(Core::Duration delay)
{
    loop_.cancel(timer_);
    timer_ = loop_.after(delay, [this] {
        timer_ = {};
        if (!seeds_.empty() || !members_.empty())
            connect(nextCandidate());
    });
}

void EntryLink::connect(Core::Endpoint const& endpoint)
{
    peer_ = endpoint;
    hasAnswer_ = false;
    Net::FrameHandler& handler = *this;
    channel_ = std::make_unique<Net::FrameChannel>(loop_, handler, endpoint);
    timer_ = loop_.after(answerTimeout, [this] {
        timer_ = {};
        if (hasAnswer_ || !channel_)
            return;
        channel_->close();
        onClosed(*channel_);
    });
}

void EntryLink::onOpen(Net::FrameChannel& channel)
{
    channel.send(ControlHost::makeFrame(FrameType::Hello, ControlHost::Hello { name_, handler_.itemRevision() }));
}

void EntryLink::onFrame(Net::FrameChannel& channel, std::string_view frame)
{
    hasAnswer_ = true;
    auto const payload = frame.substr(1);
    switch (static_cast<FrameType>(frame.front())) {
    case FrameType::View:
        if (auto const update = Fleet::decode<Fleet::ViewUpdate>(payload)) {
            if (!std::exchange(hasView_, true))
                events_.write(EventId::ViewLeaseRestored, { { "leader", peer_.toString() } });
            handler_.onView(*update);
            return;
        }
        events_.write(EventId::PeerUnreachable, { { "peer", peer_.toString() }, { "reason", "undecodable view" } });
        channel.close();
        onClosed(channel);
        return;
    case FrameType::Leader:
        if (auto const hint = Fleet::decode<ControlHost::LeaderHint>(payload))
            onHint(*hint);
        return;
    default:
        return;
    }
}

void EntryLink::onHint(ControlHost::LeaderHint const& hint)
{
    if (!hint.members.empty())
        members_ = hint.members;
    if (hint.leader == peer_)
        return;
    hinted_ = hint.leader;
    if (!channel_)
        return;
    channel_->close();
    onClosed(*channel_);
}

void EntryLink::onClosed(Net::FrameChannel& channel)
{
    if (&channel != channel_.get())
        return;
    if (std::exchange(hasView_, false))
        events_.write(EventId::ViewLeaseLost, { { "leader", peer_.toString() } });
    loop_.reclaim(std::move(channel_));
    connectLater(hinted_ ? Core::Duration::zero() : askInterval);
}

} // namespace Gateway
