#include <LibFleet/RangePlacement.h>

#include <algorithm>
#include <limits>
#include <set>

namespace Fleet {

namespace {

    /// Ranges for each server at the first assignment, so that half of the servers may leave before the rest reach
    /// their bound.
    constexpr std::size_t rangesPerServer = 64;
    /// The same for a pool of few servers, of which two thirds may leave.
    constexpr std::size_t rangesPerServerOfFew = 48;
    constexpr std::size_t fewServers = 8;
    /// The same for a large pool, where the sum over all servers is what the control leader and entry hosts hold.
    constexpr std::size_t maxRanges = 4096;
    /// Utilizations within these multiples of the mean are left alone.
    constexpr double imbalanceLimit = 1.25;
    constexpr double idlenessLimit = 0.4;
    /// A server that joined is filled up to this multiple of the mean.
    constexpr double fillLimit = 0.9;
    /// Slots in use above which an imbalance is worth a move.
    constexpr double busyLimit = 0.5;
    /// Weight of utilization that does not depend on how soon a server can take over.
    constexpr double delayBase = 0.5;
    /// A move must leave the receiver below this multiple of the mean.
    constexpr double receiverLimit = 1.05;
    /// Moves of one round. A moving range is not served for about half a heartbeat interval; in a large pool this many
    /// for each server keep two ranges of a hundred on the move, and even out three speeds of servers in some five
    /// seconds.
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

PlacementServer* RangePlacement::choose(std::span<PlacementServer> servers, double load)
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
        if (server.utilization() < mean * idlenessLimit)
            idle.insert(server.number);
    }
    auto const maxMoves
        = std::max(minMovesPerRound, static_cast<std::size_t>(movesPerServer * static_cast<double>(servers.size())));
    std::ranges::sort(movable, std::greater {}, &PlacementRange::load);
    while (moves.size() < maxMoves && servers.size() > 1) {
        auto const giver = std::ranges::max_element(servers, {}, &PlacementServer::utilization);
        auto const receiver = std::ranges::min_element(servers, {}, [](auto const& server) {
            return mayReceive(server) ? server.utilization() : std::numeric_limits<double>::infinity();
        });
        auto const isOverloaded
            = giver->utilization() > mean * imbalanceLimit && giver->utilization() * serviceSeconds > busyLimit;
        auto const isFilling = idle.contains(receiver->number) && receiver->utilization() < mean * fillLimit;
        if (!isOverloaded && !isFilling)
            break;
        // The largest range that fits: it relieves the giver with the fewest moves.
        auto const fits = [&](PlacementRange const& range) {
            return range.owner == giver->number
                && (receiver->load + range.load) / receiver->capacity <= mean * receiverLimit;
        };
        auto const found = std::ranges::find_if(movable, fits);
        if (found == movable.end() || !mayReceive(*receiver) || giver == receiver)
            break;
        giver->load -= found->load;
        --giver->ranges;
        receiver->load += found->load;
        ++receiver->ranges;
        moves.push_back({ found->index, receiver->number });
        movable.erase(found);
    }
    return moves;
}

std::vector<Assignment> RangePlacement::layOut(Core::PoolName const& pool, std::span<PlacementServer> servers)
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
        auto* const owner = choose(servers, load);
        if (owner)
            assignments.push_back({ pool, first, last, owner->number, {} });
    }
    return assignments;
}

} // namespace Fleet
