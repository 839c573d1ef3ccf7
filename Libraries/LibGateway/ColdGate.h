#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <deque>

namespace Gateway {

/// The bound on requests to a cold backend server in any second, over all entry hosts together.
struct ColdBound {
    double perSecond { 0 };
};

/// The part of one entry host in that bound for one server. With a part below one request a second, sends are spaced so
/// that all entry hosts together stay within the bound whenever each of them begins.
class ColdGate {
public:
    /// Takes one send if it is allowed now.
    bool tryPass(Core::TimePoint now, ColdBound const&, std::uint32_t entryHosts);
    /// When a send will be allowed again.
    Core::TimePoint nextPass() const { return nextPass_; }

private:
    std::deque<Core::TimePoint> sends_;
    Core::TimePoint nextPass_;
};

} // namespace Gateway
