#include <LibCore/Hash.h>

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace Core {

std::uint64_t hash64(std::string_view data, std::uint64_t seed) { return XXH64(data.data(), data.size(), seed); }

Digest digest128(std::string_view data)
{
    auto const hash = XXH3_128bits(data.data(), data.size());
    return { hash.high64, hash.low64 };
}

std::size_t rendezvousChoice(std::string_view key, std::span<std::string_view const> candidates)
{
    auto const seed = hash64(key);
    auto const best = std::ranges::max_element(candidates, {}, [&](auto candidate) { return hash64(candidate, seed); });
    return static_cast<std::size_t>(std::distance(candidates.begin(), best));
}

} // namespace Core
