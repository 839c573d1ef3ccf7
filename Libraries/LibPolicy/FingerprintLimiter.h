#pragma once

#include <LibCore/Hash.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Policy {

/// Limits the number of concurrent requests with the same fingerprint until one of them has been answered. Without the
/// limit, copies of a crashing request that are sent at the same time would crash more servers than copies sent one
/// after the other.
class FingerprintLimiter {
public:
    explicit FingerprintLimiter(std::uint32_t maxConcurrentUnproven);

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

    bool isProven(Core::Digest const& digest) const { return proven_[cacheIndexOf(digest)] == digest; }
    std::size_t cacheIndexOf(Core::Digest const& digest) const { return Hasher {}(digest) % proven_.size(); }

    std::uint32_t maxConcurrentUnproven_;
    std::unordered_map<Core::Digest, std::uint32_t, Hasher> inFlight_;
    /// Direct-mapped cache of the fingerprints that were answered at least once. On a collision the newer fingerprint
    /// replaces the older one, which is then limited again until its next answer.
    std::vector<Core::Digest> proven_;
};

} // namespace Policy
