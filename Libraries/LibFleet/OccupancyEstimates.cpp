#include <LibFleet/OccupancyEstimates.h>

#include <algorithm>
#include <cmath>

namespace Fleet {

namespace {

    /// The weight, in load reports, of the previous estimate. Reports vary, since a server also states short bursts.
    constexpr double previousWeight = 1.0;
    /// The factor for an interval without a report. It halves the estimate of a silent server within a second.
    constexpr double silentFactor = 0.7;
    /// The smallest change that is distributed, in requests and relative to the distributed estimate.
    constexpr double minChange = 1.5;
    constexpr double minRelativeChange = 0.2;
    /// The number of intervals after which an unchanged estimate is repeated.
    constexpr std::uint32_t repeatIntervals = 6;
    constexpr std::size_t occupancyFields = 3;

} // namespace

void to_json(nlohmann::json& out, ServerOccupancies const& occupancies)
{
    out = nlohmann::json::array();
    for (auto const& row : occupancies.rows) {
        out.push_back(row.server);
        out.push_back(row.requests);
        out.push_back(row.serviceMs);
    }
}

void from_json(nlohmann::json const& in, ServerOccupancies& occupancies)
{
    occupancies.rows.clear();
    for (std::size_t i = 0; i + occupancyFields <= in.size(); i += occupancyFields)
        occupancies.rows.push_back(
            { in.at(i).get<ServerNumber>(), in.at(i + 1).get<std::uint32_t>(), in.at(i + 2).get<std::uint32_t>() });
}

void OccupancyEstimates::add(ServerNumber server, std::uint32_t reports, double requests)
{
    auto& estimate = servers_[server];
    estimate.reports += reports;
    estimate.sum += requests;
}

void OccupancyEstimates::advance()
{
    for (auto& [server, estimate] : servers_) {
        if (estimate.reports > 0)
            estimate.requests
                = (estimate.requests * previousWeight + estimate.sum) / (previousWeight + estimate.reports);
        else
            estimate.requests *= silentFactor;
        estimate.reports = 0;
        estimate.sum = 0;
        ++estimate.intervalsSincePublished;
    }
}

std::vector<ServerOccupancy> OccupancyEstimates::takeChanges()
{
    std::vector<ServerOccupancy> changes;
    for (auto& [server, estimate] : servers_) {
        auto const rounded = static_cast<std::uint32_t>(std::lround(estimate.requests));
        auto const change = std::abs(estimate.requests - estimate.published);
        auto const isNoticeable = change >= std::max(minChange, minRelativeChange * estimate.published);
        auto const isOld = estimate.intervalsSincePublished >= repeatIntervals;
        if (!isNoticeable && !(isOld && (rounded > 0 || estimate.published > 0)))
            continue;
        estimate.published = rounded;
        estimate.intervalsSincePublished = 0;
        changes.push_back({ server, rounded, 0 });
    }
    std::erase_if(servers_, [](auto const& entry) {
        return entry.second.published == 0 && std::lround(entry.second.requests) == 0 && entry.second.reports == 0;
    });
    return changes;
}

std::vector<ServerOccupancy> OccupancyEstimates::all() const
{
    std::vector<ServerOccupancy> result;
    for (auto const& [server, estimate] : servers_) {
        if (estimate.published > 0)
            result.push_back({ server, estimate.published, 0 });
    }
    return result;
}

} // namespace Fleet
