#pragma once

#include "Backend.h"

#include <LibRouting/Pool.h>

namespace PolicyBench {

/// The size of one pool and of the entry hosts in front of it (design page, section 1.5).
struct Site {
    std::string name;
    Routing::PoolKind kind { Routing::PoolKind::AnyServer };
    std::size_t servers { 6 };
    std::size_t entryHosts { 10 };
    std::size_t failureDomains { 3 };
    /// Between two failure domains, one way.
    Core::Duration oneWay { std::chrono::microseconds(1500) };
    BackendModel backend;
    Core::Duration deadline { std::chrono::seconds(1) };

    /// Requests per second at which all slots are busy.
    double capacity() const;
    Site scaled(std::size_t factor) const;
};

Site letterSite();
Site uploadSite();
Site orderingSite();
Site scanSite();
/// The four pools at their size and at ten times the size.
std::vector<Site> allSites();

} // namespace PolicyBench
