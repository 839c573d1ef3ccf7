#include <LibGateway/Exchange.h>

namespace Gateway {

namespace {

    /// How long after its time a reserved send may be used. Reservations that were missed in a freeze of this host
    /// would otherwise be used all at once.
    constexpr Core::Duration maxReservationDelay = std::chrono::milliseconds(250);
    /// Requests per second to a server that names a limit below this, for the Retry-After time.
    constexpr double minAssumedLimit = 0.5;

} // namespace

void Exchange::reserveSendToOwner(Fleet::ViewServer const& server, ServerBackpressure const& limited)
{
    auto const patience = Admission::maxReservationWait(admissionQuery(), gateway_.loadOf(server.record));
    if (auto const wait = limited.refusedFor(gateway_.loop_.now(), patience))
        refuseForLimit(server.record.number, *wait);
    else
        requestReservation(server.record.number, limited, patience);
}

Exchange::LimitedSend Exchange::tryLimitedSend(
    Fleet::ServerNumber number, ServerBackpressure& limited, Core::Duration patience)
{
    auto const now = gateway_.loop_.now();
    auto const share = gateway_.shareOf(number);
    if (gateway_.reservations_.isLeaderSilent())
        return limited.tryAcquireLeaderlessShare(now, share) ? LimitedSend::Allowed : LimitedSend::Refused;
    // If other servers can run the request, only hosts whose share has room ask the leader, which bounds the number of
    // messages.
    auto const mayAsk = patience > Core::Duration::zero() || limited.hasShare(now, share);
    if (!mayAsk || notReserved_.contains(number) || limited.refusedFor(now, patience))
        return LimitedSend::Refused;
    requestReservation(number, limited, patience);
    return LimitedSend::Awaited;
}

void Exchange::requestReservation(
    Fleet::ServerNumber number, ServerBackpressure const& limited, Core::Duration patience)
{
    auto const row = Fleet::toRow(number, limited.newestStatement(), gateway_.loop_.now());
    reservation_ = gateway_.reservations_.request(row, patience, [this, number, patience](auto const& reservation) {
        reservation_ = 0;
        onReservation(number, patience, reservation);
    });
}

void Exchange::onReservation(
    Fleet::ServerNumber number, Core::Duration patience, std::optional<Fleet::Reservation> const& reservation)
{
    auto const now = gateway_.loop_.now();
    auto* const limited = gateway_.limitedServer(number);
    if (!limited) {
        // The limit has ended, or the server was removed.
        useReservation(number, now);
        return;
    }
    if (!reservation) {
        onReservationUnanswered(number, *limited);
        return;
    }
    if (!reservation->isGranted) {
        limited->onRefused(now, patience, reservation->wait);
        onNotReserved(number, reservation->wait);
        return;
    }
    limited->recordSend(now);
    waitTimer_ = gateway_.loop_.after(reservation->wait, [this, number, reservedFor = now + reservation->wait] {
        waitTimer_ = {};
        useReservation(number, reservedFor);
    });
}

void Exchange::onReservationUnanswered(Fleet::ServerNumber number, ServerBackpressure& limited)
{
    auto const now = gateway_.loop_.now();
    if (limited.tryAcquireLeaderlessShare(now, gateway_.shareOf(number)))
        useReservation(number, now);
    else
        onNotReserved(number, defaultRetryAfter);
}

void Exchange::useReservation(Fleet::ServerNumber number, Core::TimePoint reservedFor)
{
    if (gateway_.loop_.now() - reservedFor > maxReservationDelay) {
        onNotReserved(number, defaultRetryAfter);
        return;
    }
    reservedServer_ = number;
    dispatch();
}

void Exchange::onNotReserved(Fleet::ServerNumber number, Core::Duration wait)
{
    auto const* const pool = gateway_.view_.findPool(pool_);
    if (pool && pool->isKeyDivided) {
        refuseForLimit(number, wait);
        return;
    }
    notReserved_.insert(number);
    dispatch();
}

void Exchange::refuseForLimit(Fleet::ServerNumber number, Core::Duration wait)
{
    auto const* const limited = gateway_.limitedServer(number);
    auto const perSecond = std::max(limited ? limited->requestLimit().value_or(0) : 0, minAssumedLimit);
    auto const interval = std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(1 / perSecond));
    refuse("owner-limited", Admission::retryAfter(wait, interval, gateway_.random_.unit()));
}

} // namespace Gateway
