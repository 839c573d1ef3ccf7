#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace Gateway {

/// One entry host's share of a limit on the requests to one backend server.
struct SendShare {
    /// Maximum number of requests within the window of the limiter, from all entry hosts together.
    std::size_t total { 0 };
    std::uint32_t entryHosts { 1 };
    /// The rank of this entry host among all entry hosts for this server. Empty if the view does not list this host.
    std::optional<std::uint32_t> rank;

    /// The number of requests that this host may send within the window.
    std::size_t allowed() const;
};

/// Limits the rate of requests from one entry host to one server, so that all entry hosts together stay within the
/// server's limit without synchronizing their windows. If there are more entry hosts than requests allowed within the
/// window, only the hosts of the first ranks send.
class SendShareLimiter {
public:
    /// The limit holds for any time as long as the window.
    explicit SendShareLimiter(Core::Duration window)
        : window_(window)
    {
    }

    /// Whether the share allows a request now.
    bool hasRoom(Core::TimePoint now, SendShare const&) const;
    /// Consumes one request of the share if the limit allows it now.
    bool tryAcquire(Core::TimePoint now, SendShare const&);
    /// Records a request that was sent without `tryAcquire`.
    void record(Core::TimePoint now);
    /// Takes back a request that was recorded at this time and not sent.
    void takeBack(Core::TimePoint);
    /// The time of the latest request; the epoch before the first one.
    Core::TimePoint latest() const { return sends_.empty() ? Core::TimePoint {} : sends_.back(); }

private:
    Core::Duration window_;
    std::deque<Core::TimePoint> sends_;
};

} // namespace Gateway
