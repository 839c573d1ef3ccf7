#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstddef>
#include <map>

namespace Gateway {

/// Learns how much work requests are, from the service times of answered requests.
///
/// Handles pools whose routes cost very different amounts of work, so that a count of requests says little about how
/// long a server is busy: an order of 130 ms that is placed behind a lookup of 750 ms misses its target. Requests are
/// told apart by their route and the size of their body, which is all that is known before they run.
class RequestCosts {
public:
    struct Kind {
        Core::PoolName pool;
        Core::RouteName route;
        std::size_t bodyBytes { 0 };
    };

    /// The cost of a request relative to the average request of its pool. One while nothing is known.
    double relativeCost(Kind const&) const;
    /// The mean service time of the requests of a pool. Zero while nothing is known.
    Core::Duration meanServiceTime(Core::PoolName const&) const;
    void record(Kind const&, Core::Duration serviceTime);

private:
    struct Mean {
        double milliseconds { 0 };
        std::uint32_t samples { 0 };

        void add(double value);
    };
    struct Pool {
        Mean all;
        std::map<std::pair<Core::RouteName, std::size_t>, Mean> kinds;
    };

    static std::size_t sizeClass(std::size_t bodyBytes);

    std::map<Core::PoolName, Pool> pools_;
};

} // namespace Gateway
