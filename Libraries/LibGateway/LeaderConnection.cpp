#include <LibGateway/LeaderConnection.h>

#include <algorithm>

namespace Gateway {

using ControlHost::FrameType;
using Telemetry::EventId;

namespace {

    /// Delay before the next attempt after a control host has answered that it is not the leader or has closed the
    /// connection. Short, since a change of leader takes about a second.
    constexpr Core::Duration nextAttemptDelay = std::chrono::milliseconds(100);
    /// Delay before a parallel attempt at the next control host, since one that has not answered by then may be frozen
    /// or behind a saturated link. About ten times the response time on an idle link, and a quarter of the time after
    /// which a silent channel is closed.
    constexpr Core::Duration parallelAttemptDelay = std::chrono::milliseconds(250);
    /// Maximum number of parallel attempts. Two control hosts may fail at the same time.
    constexpr std::size_t maxAttempts = 3;
    /// The time after which an attempt without a view is given up. A view takes up to a second on a saturated link.
    constexpr Core::Duration viewTimeout = std::chrono::seconds(5);

} // namespace

LeaderConnection::LeaderConnection(Net::EventLoop& loop, Telemetry::EventLog& events, LeaderConnectionHandler& handler,
    std::string name, std::vector<Core::Endpoint> seeds)
    : loop_(loop)
    , events_(events)
    , handler_(handler)
    , name_(std::move(name))
    , seeds_(std::move(seeds))
{
    scheduleSearch({});
}

LeaderConnection::~LeaderConnection() { loop_.cancel(timer_); }

void LeaderConnection::setSeeds(std::vector<Core::Endpoint> seeds) { seeds_ = std::move(seeds); }

void LeaderConnection::report(Fleet::LoadReport const& report)
{
    if (leader_)
        leader_->send(ControlHost::makeFrame(FrameType::Report, report));
}

bool LeaderConnection::reserve(Fleet::ReservationRequest const& request)
{
    if (leader_)
        leader_->send(ControlHost::makeFrame(FrameType::ReservationRequest, request));
    return leader_ != nullptr;
}

bool LeaderConnection::requestQuota(Fleet::QuotaRequest const& request)
{
    if (leader_)
        leader_->send(ControlHost::makeFrame(FrameType::QuotaRequest, request));
    return leader_ != nullptr;
}

bool LeaderConnection::isConnectingTo(Core::Endpoint const& endpoint) const
{
    return std::ranges::count(attempts_, endpoint, &Attempt::peer) > 0;
}

Core::Endpoint LeaderConnection::peerOf(Net::FrameChannel const& channel) const
{
    auto const found
        = std::ranges::find_if(attempts_, [&](auto const& attempt) { return attempt.channel.get() == &channel; });
    return found == attempts_.end() ? Core::Endpoint {} : found->peer;
}

/// The next control host in round-robin order that has no attempt in progress.
std::optional<Core::Endpoint> LeaderConnection::nextCandidate()
{
    auto const count = members_.size() + seeds_.size();
    for (std::size_t tried = 0; tried < count; ++tried) {
        auto const index = next_++ % count;
        auto const& candidate = index < members_.size() ? members_[index] : seeds_[index - members_.size()];
        if (!isConnectingTo(candidate))
            return candidate;
    }
    return std::nullopt;
}

void LeaderConnection::scheduleSearch(Core::Duration delay)
{
    loop_.cancel(timer_);
    timer_ = loop_.after(delay, [this] {
        timer_ = {};
        findLeader();
    });
}

void LeaderConnection::findLeader()
{
    if (leader_)
        return;
    giveUpOldAttempts();
    if (attempts_.size() < maxAttempts) {
        if (auto const candidate = nextCandidate())
            connect(*candidate);
    }
    scheduleSearch(parallelAttemptDelay);
}

void LeaderConnection::giveUpOldAttempts()
{
    std::vector<Net::FrameChannel*> old;
    for (auto const& attempt : attempts_) {
        if (loop_.now() - attempt.startedAt > viewTimeout)
            old.push_back(attempt.channel.get());
    }
    for (auto* const channel : old) {
        events_.write(EventId::PeerUnreachable, { { "peer", peerOf(*channel).toString() }, { "reason", "no view" } });
        closeChannel(*channel);
    }
}

void LeaderConnection::connect(Core::Endpoint const& endpoint)
{
    Net::FrameHandler& handler = *this;
    auto channel = std::make_unique<Net::FrameChannel>(loop_, handler, endpoint);
    attempts_.push_back({ endpoint, std::move(channel), loop_.now() });
}

void LeaderConnection::onOpen(Net::FrameChannel& channel)
{
    ControlHost::Hello const hello { name_, handler_.itemRevision(), handler_.quarantined() };
    channel.send(ControlHost::makeFrame(FrameType::Hello, hello));
}

void LeaderConnection::onFrame(Net::FrameChannel& channel, std::string_view frame)
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
    case FrameType::ReservationReply:
        if (auto const reply = Fleet::decode<Fleet::ReservationReply>(payload); reply && leader_ == &channel)
            handler_.onReservation(*reply);
        return;
    case FrameType::QuotaReply:
        if (auto const reply = Fleet::decode<Fleet::QuotaReply>(payload); reply && leader_ == &channel)
            handler_.onQuotaReply(*reply);
        return;
    default:
        return;
    }
}

void LeaderConnection::onView(Net::FrameChannel& channel, Fleet::ViewUpdate const& update)
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
            closeChannel(*other);
    }
    handler_.onView(update);
}

void LeaderConnection::onHint(Net::FrameChannel& channel, ControlHost::LeaderHint const& hint)
{
    if (!hint.members.empty())
        members_ = hint.members;
    if (hint.leader == peerOf(channel))
        return;
    auto const wasLeader = leader_ == &channel;
    closeChannel(channel);
    if (wasLeader)
        events_.write(EventId::ViewLeaseLost, { { "reason", "the leader has changed" } });
    if (leader_)
        return;
    if (hint.leader && !isConnectingTo(*hint.leader))
        connect(*hint.leader);
    scheduleSearch(hint.leader ? parallelAttemptDelay : nextAttemptDelay);
}

void LeaderConnection::onClosed(Net::FrameChannel& channel)
{
    auto const peer = peerOf(channel);
    auto const wasLeader = leader_ == &channel;
    closeChannel(channel);
    if (wasLeader)
        events_.write(EventId::ViewLeaseLost, { { "leader", peer.toString() } });
    if (!leader_)
        scheduleSearch(nextAttemptDelay);
}

void LeaderConnection::closeChannel(Net::FrameChannel& channel)
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
