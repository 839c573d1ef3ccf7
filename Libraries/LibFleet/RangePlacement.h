#pragma once

#include <LibFleet/Model.h>

#include <span>

namespace Fleet {

/// A backend server that may own key ranges.
struct PlacementServer {
    ServerNumber number { 0 };
    /// Requests that it can run at once, weighed by its measured speed.
    double capacity { 1 };
    /// Requests a second on the ranges that it owns or is to get.
    double load { 0 };
    std::size_t ranges { 0 };
    /// How long until it can take over a range, as a part of the heartbeat interval.
    double delay { 0 };

    double utilization() const { return load / capacity; }
};

struct PlacementRange {
    std::size_t index { 0 };
    ServerNumber owner { 0 };
    /// Requests a second.
    double load { 0 };
};

struct PlacementMove {
    std::size_t index { 0 };
    ServerNumber to { 0 };
};

/// Decides which backend server owns which key range.
///
/// Answers two load patterns. A few adjacent keys that get a large part of the traffic: ranges are short and neighbours
/// belong to different servers, so that a hot stretch is spread without any move. A lasting imbalance, from single hot
/// ranges, slower servers or servers that joined: ranges move from the most to the least utilized server, a few at a
/// time, and only while the imbalance is worth the time during which a moving range is not served.
class RangePlacement {
public:
    /// The server that would be least utilized after it got this load, those preferred that can take over soon. Null if
    /// none may get a range.
    static PlacementServer* choose(std::span<PlacementServer>, double load);

    /// The moves of one round of balancing, where a request takes `serviceSeconds`. Updates the loads of the servers.
    static std::vector<PlacementMove> balance(
        std::span<PlacementServer>, std::vector<PlacementRange> movable, double serviceSeconds);

    /// Borders for the first assignment: ranges of equal length, dealt to the servers in turn.
    static std::vector<Assignment> layOut(Core::PoolName const&, std::span<PlacementServer>);

    /// Ranges that one server may own. Bounds the answer to a heartbeat to 4 KiB at 25 bytes a range.
    static constexpr std::size_t maxRangesPerServer = 150;
};

} // namespace Fleet
