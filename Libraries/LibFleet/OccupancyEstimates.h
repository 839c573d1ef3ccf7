#pragma once

#include <LibFleet/Model.h>

#include <map>
#include <vector>

namespace Fleet {

/// How busy a backend server is, according to the answers that all entry hosts got from it.
struct ServerOccupancy {
    ServerNumber server { 0 };
    /// The number of requests that run or wait at the server.
    std::uint32_t requests { 0 };
    /// The mean service time in milliseconds; zero if unknown.
    std::uint32_t serviceMs { 0 };
};

/// A list of occupancies. It is encoded as one flat list of numbers, three for each server.
struct ServerOccupancies {
    std::vector<ServerOccupancy> rows;
};
void to_json(nlohmann::json&, ServerOccupancies const&);
void from_json(nlohmann::json const&, ServerOccupancies&);

/// The control leader's estimates of the occupancy of backend servers, which it distributes to entry hosts.
///
/// This handles fleets with many entry hosts: a host that sends to a server twice a minute knows nothing about the
/// requests of the other hosts, so that together they overfill the server's queue. Each interval, the load reports of
/// the servers, which entry hosts pass on, are averaged. Only noticeable changes are distributed, and every estimate is
/// repeated after a few seconds, since entry hosts disregard old ones.
class OccupancyEstimates {
public:
    /// Adds load reports of a server, with `requests` the sum of the running and waiting requests that they state.
    void add(ServerNumber, std::uint32_t reports, double requests);
    /// Ends an interval of half a second.
    void advance();
    void remove(ServerNumber server) { servers_.erase(server); }

    /// Returns the estimates that are due for distribution, without service times.
    std::vector<ServerOccupancy> takeChanges();
    /// Returns all estimates other than zero, without service times.
    std::vector<ServerOccupancy> all() const;

private:
    struct Estimate {
        std::uint32_t reports { 0 };
        double sum { 0 };
        double requests { 0 };
        std::uint32_t published { 0 };
        std::uint32_t intervalsSincePublished { 0 };
    };

    std::map<ServerNumber, Estimate> servers_;
};

} // namespace Fleet
