#pragma once

#include <LibFleet/Reservation.h>
#include <LibNet/EventLoop.h>

namespace Gateway {

/// Sends messages to the control leader.
class ReservationTransport {
public:
    virtual ~ReservationTransport() = default;
    /// Returns false if no leader is known.
    virtual bool send(Fleet::ReservationRequest const&) = 0;
};

/// The reservations that this entry host has requested from the control leader.
class Reservations {
public:
    /// Receives the reservation; empty if the leader has not answered in time.
    using Callback = std::function<void(std::optional<Fleet::Reservation>)>;

    explicit Reservations(Net::EventLoop&);
    ~Reservations();
    Reservations(Reservations const&) = delete;
    Reservations& operator=(Reservations const&) = delete;

    void setTransport(ReservationTransport& transport) { transport_ = &transport; }
    /// Requests a reservation and returns its ID. The callback is called exactly once, and not before this function
    /// returns, unless the reservation is cancelled.
    std::uint64_t request(Fleet::RequestLimitRow const&, Core::Duration patience, Callback);
    /// Cancels a request that awaits its reservation. Does nothing for others.
    void cancel(std::uint64_t id);
    void onReply(Fleet::ReservationReply const&);
    /// Whether the leader has not answered a request within the last second, and none since.
    bool isLeaderSilent() const { return loop_.now() < silentUntil_; }

private:
    struct Pending {
        Core::TimePoint expiresAt;
        Callback callback;
        Net::EventLoop::TimerId timer;
    };

    void finish(std::uint64_t id, std::optional<Fleet::Reservation> const&);

    Net::EventLoop& loop_;
    ReservationTransport* transport_ { nullptr };
    std::uint64_t nextId_ { 1 };
    Core::TimePoint silentUntil_;
    std::map<std::uint64_t, Pending> pending_;
};

} // namespace Gateway
