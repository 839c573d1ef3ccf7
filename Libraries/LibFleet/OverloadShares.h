#pragma once

#include <span>
#include <vector>

namespace Fleet {

/// What part of the requests for each range of an overloaded server is admitted.
///
/// Answers the load pattern of a few keys that get many times what their owner can do: each of many entry hosts sees
/// only a few of these requests, so together they fill the server's queue many times over, and whatever waits there
/// ends at its deadline. The control leader sees all arrivals. It admits as much as the server can do and has the rest
/// refused at the entry hosts at once. Ranges with few requests are admitted whole; the hot ones share what is left
/// evenly, so that a hot key takes nothing from its neighbours on the same server.
class OverloadShares {
public:
    /// `loads` are the requests a second for each range, `capacity` what the server can do. One for everything
    /// admitted.
    static std::vector<double> admittedParts(std::span<double const> loads, double capacity);
};

} // namespace Fleet
