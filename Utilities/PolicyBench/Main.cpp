#include "Scenarios.h"

#include <charconv>
#include <cstdio>
#include <cstring>

namespace {

int usage()
{
    std::fprintf(stderr, "usage: PolicyBench NAME [SEED [x1|x10]]; names:\n");
    for (auto const& scenario : PolicyBench::scenarios())
        std::fprintf(stderr, "  %.*s\n", static_cast<int>(scenario.name.size()), scenario.name.data());
    return 2;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 2)
        return usage();
    std::uint64_t seed = 1;
    if (argc > 2 && std::from_chars(argv[2], argv[2] + std::strlen(argv[2]), seed).ec != std::errc {})
        return usage();
    auto sites = PolicyBench::allSites();
    if (argc > 3) {
        auto const large = std::strcmp(argv[3], "x10") == 0;
        std::erase_if(sites, [large](auto const& site) { return (site.entryHosts >= 100) != large; });
    }
    for (auto const& scenario : PolicyBench::scenarios()) {
        if (scenario.name == argv[1]) {
            std::printf("scenario %s, seed %llu\n\n", argv[1], static_cast<unsigned long long>(seed));
            scenario.run(sites, seed);
            return 0;
        }
    }
    return usage();
}
