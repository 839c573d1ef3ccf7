#pragma once

#include <span>
#include <vector>

namespace Fleet {

/// Computes which fraction of the requests for each range of an overloaded server is admitted.
///
/// This handles a few hot keys whose load is many times the capacity of their owner. Each of many entry hosts sees only
/// a few of these requests, so together they overfill the server's queue many times, and queued requests miss their
/// deadlines. The control leader sees all arrivals: it admits as much as the server can process, and entry hosts reject
/// the rest immediately. Ranges with little load are admitted in full; hot ranges share the remaining capacity evenly,
/// so that a hot key does not take capacity from other keys on the same server.
class OverloadShares {
public:
    /// Returns the admitted fraction for each range, where 1 means that all requests are admitted. `loads` has the
    /// requests per second for each range; `capacity` is the number of requests per second that the server can process.
    static std::vector<double> admittedFractions(std::span<double const> loads, double capacity);
};

} // namespace Fleet
