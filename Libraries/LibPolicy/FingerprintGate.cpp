#include <LibPolicy/FingerprintGate.h>

namespace Policy {

namespace {
    constexpr std::size_t provenRequests = 4096;
} // namespace

FingerprintGate::FingerprintGate(std::uint32_t maxUnproven)
    : maxUnproven_(maxUnproven)
    , proven_(provenRequests)
{
}

bool FingerprintGate::mayRun(Core::Digest const& digest) const
{
    auto const found = inFlight_.find(digest);
    return found == inFlight_.end() || found->second < maxUnproven_ || isProven(digest);
}

void FingerprintGate::onGranted(Core::Digest const& digest) { ++inFlight_[digest]; }

void FingerprintGate::onReleased(Core::Digest const& digest, bool answered)
{
    if (answered)
        proven_[placeOf(digest)] = digest;
    auto const found = inFlight_.find(digest);
    if (found != inFlight_.end() && --found->second == 0)
        inFlight_.erase(found);
}

} // namespace Policy
