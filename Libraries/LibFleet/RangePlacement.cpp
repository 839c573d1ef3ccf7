#include <LibFleet/RangePlacement.h>

#include <algorithm>
#include <limits>
#include <set>

namespace Fleet {

namespace {

    /// The number of ranges for each server at the first assignment: half of the servers may leave before the others
    /// reach `maxRangesPerServer`.
    constexpr std::size_t rangesPerServer = 64;
    /// The number of ranges for each server in a pool of fewer than `fewServers` servers, of which two thirds may
    /// leave.
    constexpr std::size_t rangesPerServerOfFew = 48;
    constexpr std::size_t fewServers = 8;
    /// The maximum number of ranges of a pool at the first assignment. In a large pool, it limits the state of the
    /// control leader and the entry hosts.
    constexpr std::size_t maxRanges = 4096;
    /// Utilizations between these multiples of the mean cause no moves.
    constexpr double imbalanceLimit = 1.25;
    constexpr double idlenessLimit = 0.4;
    /// The multiple of the mean utilization up to which a server that joined gets ranges.
    constexpr double fillLimit = 0.9;
    /// The fraction of busy slots above which an imbalance justifies a move.
    constexpr double busyLimit = 0.5;
    /// The constant term of the weight of the utilization; the takeover delay is added to it.
    constexpr double delayBase = 0.5;
    /// The multiple of the mean utilization that the destination of a move must not exceed.
    constexpr double destinationLimit = 1.05;
    /// The fraction of busy slots that a server may reach by taking a range from a server that refuses its requests.
    constexpr double maxBusyFraction = 0.8;
    /// The limits on the moves of one round. A moving range is unavailable for about half a heartbeat interval. In a
    /// large pool, these limits keep two of a hundred ranges in transit, and balance servers of three different speeds
    /// within about five seconds.
    constexpr std::size_t minMovesPerRound = 24;
    constexpr double movesPerServer = 0.125;

    bool mayReceive(PlacementServer const& server) { return server.ranges < RangePlacement::maxRangesPerServer; }

    double meanUtilization(std::span<PlacementServer const> servers)
    {
        double load = 0;
        double capacity = 0;
        for (auto const& server : servers) {
            load += server.load;
            capacity += server.capacity;
        }
        return capacity > 0 ? load / capacity : 0;
    }

} // namespace

PlacementServer* RangePlacement::chooseOwner(std::span<PlacementServer> servers, double load)
{
    PlacementServer* best = nullptr;
    double bestUtilization = 0;
    for (auto& server : servers) {
        if (!mayReceive(server))
            continue;
        auto const utilization = (server.load + load) / server.capacity * (delayBase + server.delay);
        if (!best || utilization < bestUtilization) {
            best = &server;
            bestUtilization = utilization;
        }
    }
    if (best) {
        best->load += load;
        ++best->ranges;
    }
    return best;
}

std::vector<PlacementMove> RangePlacement::balance(
    std::span<PlacementServer> servers, std::vector<PlacementRange> movable, double serviceSeconds)
{
    std::vector<PlacementMove> moves;
    auto const mean = meanUtilization(servers);
    std::set<ServerNumber> idle;
    for (auto const& server : servers) {
        if (server.isRecovering || server.utilization() < mean * idlenessLimit)
            idle.insert(server.number);
    }
    auto const maxMoves
        = std::max(minMovesPerRound, static_cast<std::size_t>(movesPerServer * static_cast<double>(servers.size())));
    std::ranges::sort(movable, std::greater {}, &PlacementRange::load);
    // Limited servers without a range that could move. They must not keep the other servers from being relieved.
    std::set<ServerNumber> settled;
    auto const utilizationAsSource
        = [&](auto const& server) { return settled.contains(server.number) ? -1.0 : server.utilization(); };
    while (moves.size() < maxMoves && servers.size() > 1) {
        auto const source = std::ranges::max_element(servers, {}, utilizationAsSource);
        auto const destination = std::ranges::min_element(servers, {}, [](auto const& server) {
            return mayReceive(server) ? server.utilization() : std::numeric_limits<double>::infinity();
        });
        auto const isOverloaded = source->utilization() > mean * imbalanceLimit
            && (source->isLimited || source->utilization() * serviceSeconds > busyLimit);
        auto const isFilling = idle.contains(destination->number) && destination->utilization() < mean * fillLimit;
        if (!isOverloaded && !isFilling)
            break;
        // The largest range that fits relieves the source with the fewest moves.
        auto const fits = [&](PlacementRange const& range) {
            auto const utilization = (destination->load + range.load) / destination->capacity;
            // What exceeds a limit is refused, so any server with room is a better owner.
            auto const hasRoom = source->isLimited && !destination->isLimited
                && utilization * serviceSeconds <= maxBusyFraction && utilization < source->utilization();
            return range.owner == source->number && (utilization <= mean * destinationLimit || hasRoom);
        };
        auto const found = std::ranges::find_if(movable, fits);
        if (found == movable.end() && source->isLimited && settled.insert(source->number).second)
            continue;
        if (found == movable.end() || !mayReceive(*destination) || source == destination)
            break;
        source->load -= found->load;
        --source->ranges;
        destination->load += found->load;
        ++destination->ranges;
        moves.push_back({ found->index, destination->number });
        movable.erase(found);
    }
    return moves;
}

std::vector<Assignment> RangePlacement::makeInitialAssignments(
    Core::PoolName const& pool, std::span<PlacementServer> servers)
{
    std::vector<Assignment> assignments;
    auto const perServer = servers.size() < fewServers ? rangesPerServerOfFew : rangesPerServer;
    auto const count = std::min(servers.size() * perServer, maxRanges);
    if (count == 0)
        return assignments;
    for (std::size_t i = 0; i < count; ++i) {
        auto const first = static_cast<std::uint32_t>(i * keyCount / count);
        auto const last = static_cast<std::uint32_t>((i + 1) * keyCount / count - 1);
        auto const load = static_cast<double>(last - first + 1);
        auto* const owner = chooseOwner(servers, load);
        if (owner)
            assignments.push_back({ pool, first, last, owner->number, {} });
    }
    return assignments;
}

} // namespace Fleet
