#pragma once

#include <LibFleet/Model.h>

#include <span>

namespace Fleet {

/// A backend server that may own key ranges.
struct PlacementServer {
    ServerNumber number { 0 };
    /// The number of requests that the server can process concurrently, weighted by its measured speed.
    double capacity { 1 };
    /// Requests per second for the ranges that the server owns or will be assigned.
    double load { 0 };
    std::size_t ranges { 0 };
    /// The time until the server can take over a range, in heartbeat intervals.
    double delay { 0 };
    /// Whether the server names a request limit that its capacity follows from. Requests beyond it are refused.
    bool isLimited { false };
    /// Whether the server has lately lost ranges for a reason that is gone, and gets its share of the load again.
    bool isRecovering { false };

    double utilization() const { return load / capacity; }
};

struct PlacementRange {
    std::size_t index { 0 };
    ServerNumber owner { 0 };
    /// Requests per second for the range.
    double load { 0 };
};

struct PlacementMove {
    std::size_t index { 0 };
    ServerNumber to { 0 };
};

/// Decides which backend server owns which key range.
///
/// Two load patterns are handled. If a few adjacent keys get a large fraction of the traffic, short ranges with
/// neighbours on different servers spread the load without any move. If an imbalance lasts, because of single hot
/// ranges, slower servers or servers that joined, ranges move from the most to the least utilized server: a few at a
/// time, and only while the imbalance justifies the time for which a moving range is unavailable.
class RangePlacement {
public:
    /// Returns the server that would be least utilized with this additional load, with a preference for servers that
    /// can take over soon, and adds the load to it. Null if no server may get another range.
    static PlacementServer* chooseOwner(std::span<PlacementServer>, double load);

    /// Returns the moves of one round of rebalancing and updates the loads of the servers. `serviceSeconds` is the mean
    /// service time of a request.
    static std::vector<PlacementMove> balance(
        std::span<PlacementServer>, std::vector<PlacementRange> movable, double serviceSeconds);

    /// Returns the first assignment of a pool: ranges of equal length, distributed evenly over the servers.
    static std::vector<Assignment> makeInitialAssignments(Core::PoolName const&, std::span<PlacementServer>);

    /// The maximum number of ranges of one server. It limits the answer to a heartbeat to 4 KiB at 25 bytes a range.
    static constexpr std::size_t maxRangesPerServer = 150;
};

} // namespace Fleet
