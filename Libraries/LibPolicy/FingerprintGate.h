#pragma once

#include <LibCore/Hash.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Policy {

/// Bounds how many equal requests run at the same time until one of them was answered. Copies of a request that crashes
/// servers, sent at the same moment, then cost no more servers than copies sent one after the other.
class FingerprintGate {
public:
    explicit FingerprintGate(std::uint32_t maxUnproven);

    bool mayRun(Core::Digest const&) const;
    bool isRunning(Core::Digest const& digest) const { return inFlight_.contains(digest); }
    void onGranted(Core::Digest const&);
    void onReleased(Core::Digest const&, bool answered);

private:
    struct Hasher {
        std::size_t operator()(Core::Digest const& digest) const
        {
            return static_cast<std::size_t>(digest.high ^ digest.low);
        }
    };

    bool isProven(Core::Digest const& digest) const { return proven_[placeOf(digest)] == digest; }
    std::size_t placeOf(Core::Digest const& digest) const { return Hasher {}(digest) % proven_.size(); }

    std::uint32_t maxUnproven_;
    std::unordered_map<Core::Digest, std::uint32_t, Hasher> inFlight_;
    /// Requests that were answered. A newer one may displace an older one, which then has to prove itself again.
    std::vector<Core::Digest> proven_;
};

} // namespace Policy
