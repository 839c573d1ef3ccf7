#include <LibPolicy/FingerprintLimiter.h>

namespace Policy {

namespace {
    constexpr std::size_t provenCacheSize = 4096;
} // namespace

FingerprintLimiter::FingerprintLimiter(std::uint32_t maxConcurrentUnproven)
    : maxConcurrentUnproven_(maxConcurrentUnproven)
    , proven_(provenCacheSize)
{
}

bool FingerprintLimiter::mayRun(Core::Digest const& digest) const
{
    auto const found = inFlight_.find(digest);
    return found == inFlight_.end() || found->second < maxConcurrentUnproven_ || isProven(digest);
}

void FingerprintLimiter::onGranted(Core::Digest const& digest) { ++inFlight_[digest]; }

void FingerprintLimiter::onReleased(Core::Digest const& digest, bool answered)
{
    if (answered)
        proven_[cacheIndexOf(digest)] = digest;
    auto const found = inFlight_.find(digest);
    if (found != inFlight_.end() && --found->second == 0)
        inFlight_.erase(found);
}

} // namespace Policy
