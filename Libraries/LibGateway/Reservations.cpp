#include <LibGateway/Reservations.h>

namespace Gateway {

namespace {

    /// The leader answers within a few milliseconds, and within a few hundred if a link is saturated. A reservation
    /// that takes longer would be used too late.
    constexpr Core::Duration replyTimeout = std::chrono::milliseconds(200);
    /// How long an unanswered request counts as a sign that the leader is lost. An election takes about as long.
    constexpr Core::Duration silenceTime = std::chrono::seconds(1);

} // namespace

Reservations::Reservations(Net::EventLoop& loop)
    : loop_(loop)
{
}

Reservations::~Reservations()
{
    for (auto& [id, pending] : pending_)
        loop_.cancel(pending.timer);
}

std::uint64_t Reservations::request(Fleet::RequestLimitRow const& limit, Core::Duration patience, Callback callback)
{
    auto const id = nextId_++;
    auto const isSent = transport_ && transport_->send({ id, limit, Core::toMilliseconds(patience) });
    auto const timeout = isSent ? replyTimeout : Core::Duration::zero();
    auto const timer = loop_.after(timeout, [this, id] {
        silentUntil_ = loop_.now() + silenceTime;
        finish(id, std::nullopt);
    });
    pending_[id] = { loop_.now() + replyTimeout, std::move(callback), timer };
    return id;
}

void Reservations::cancel(std::uint64_t id)
{
    auto const found = pending_.find(id);
    if (found == pending_.end())
        return;
    loop_.cancel(found->second.timer);
    pending_.erase(found);
}

void Reservations::onReply(Fleet::ReservationReply const& reply)
{
    auto const found = pending_.find(reply.id);
    if (found == pending_.end())
        return;
    silentUntil_ = {};
    // After a freeze of this host, replies are read that arrived long ago.
    if (loop_.now() >= found->second.expiresAt)
        finish(reply.id, std::nullopt);
    else
        finish(reply.id, Fleet::Reservation { reply.isGranted, std::chrono::milliseconds(reply.waitMs) });
}

void Reservations::finish(std::uint64_t id, std::optional<Fleet::Reservation> const& reservation)
{
    auto node = pending_.extract(id);
    if (node.empty())
        return;
    loop_.cancel(node.mapped().timer);
    node.mapped().callback(reservation);
}

} // namespace Gateway
