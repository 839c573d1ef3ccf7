#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace Gateway {

/// One entry host's share of the request rate limit of a cold backend server.
struct ColdStartShare {
    /// Maximum number of requests in any second, from all entry hosts together.
    double perSecond { 0 };
    std::uint32_t entryHosts { 1 };
    /// The rank of this entry host among all entry hosts for this server. Empty if the view does not list this host.
    std::optional<std::uint32_t> rank;
};

/// Limits the rate of requests from one entry host to one cold server, so that all entry hosts together stay within the
/// server's limit without synchronizing their windows. If there are more entry hosts than requests allowed in a second,
/// only the hosts of the first ranks send.
class ColdStartLimiter {
public:
    /// Consumes one request of the share if the limit allows it now.
    bool tryAcquire(Core::TimePoint now, ColdStartShare const&);

private:
    std::deque<Core::TimePoint> sends_;
};

} // namespace Gateway
