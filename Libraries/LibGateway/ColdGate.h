#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace Gateway {

/// The part of one entry host in the bound on requests to a cold backend server.
struct ColdShare {
    /// Requests in any second, over all entry hosts together.
    double perSecond { 0 };
    std::uint32_t entryHosts { 1 };
    /// The place of this entry host among them for this server. Empty if it is not counted.
    std::optional<std::uint32_t> rank;
};

/// Spaces what one entry host sends to one cold server, so that all entry hosts together keep the bound whenever each
/// of them begins. Where there are more entry hosts than requests allowed in a second, only the first ones send.
class ColdGate {
public:
    /// Takes one send if it is allowed now.
    bool tryPass(Core::TimePoint now, ColdShare const&);

private:
    std::deque<Core::TimePoint> sends_;
};

} // namespace Gateway
