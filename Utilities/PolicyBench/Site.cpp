#include "Site.h"

namespace PolicyBench {

using namespace std::chrono_literals;

double Site::capacity() const
{
    return static_cast<double>(servers * backend.slots) * 1e9 / static_cast<double>(backend.meanService.count());
}

Site Site::scaled(std::size_t factor) const
{
    auto result = *this;
    result.name += " x" + std::to_string(factor);
    result.servers *= factor;
    result.entryHosts *= factor;
    return result;
}

Site letterSite()
{
    return { "letter", Routing::PoolKind::KeyPartitioned, 20, 10, 3, 1500us, { .slots = 4, .meanService = 20ms }, 1s };
}

Site uploadSite()
{
    return { "upload", Routing::PoolKind::AnyServer, 6, 10, 3, 1500us, { .slots = 4, .meanService = 100ms }, 5s };
}

Site orderingSite()
{
    return { "ordering", Routing::PoolKind::KeyPartitioned, 30, 10, 4, 500us, { .slots = 2, .meanService = 10ms },
        500ms };
}

Site scanSite()
{
    return { "scan", Routing::PoolKind::AnyServer, 8, 10, 4, 500us, { .slots = 2, .meanService = 50ms }, 3s };
}

std::vector<Site> allSites()
{
    std::vector<Site> sites { letterSite(), uploadSite(), orderingSite(), scanSite() };
    for (std::size_t i = 0; i < 4; ++i)
        sites.push_back(sites[i].scaled(10));
    return sites;
}

} // namespace PolicyBench
