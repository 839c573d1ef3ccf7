#pragma once

#include <LibFleet/RequestLimits.h>

namespace Fleet {

/// An entry host's request to the control leader for a send to a server that names a limit.
struct ReservationRequest {
    /// Identifies the request among those of the entry host.
    std::uint64_t id { 0 };
    /// The limit as the entry host knows it.
    RequestLimitRow limit;
    /// The longest time, in milliseconds, that the request may wait.
    std::int64_t patienceMs { 0 };
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReservationRequest, id, limit, patienceMs)

struct ReservationReply {
    std::uint64_t id { 0 };
    bool isGranted { false };
    /// The wait of `Reservation`, in milliseconds.
    std::int64_t waitMs { 0 };
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReservationReply, id, isGranted, waitMs)

} // namespace Fleet
