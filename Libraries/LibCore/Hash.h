#pragma once

#include <compare>
#include <cstdint>
#include <span>
#include <string_view>

namespace Core {

/// XXH64. Stable across hosts and versions, so it may decide placement and be stored.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// A 128-bit digest (XXH3). Not cryptographic.
struct Digest {
    std::uint64_t high { 0 };
    std::uint64_t low { 0 };

    auto operator<=>(Digest const&) const = default;
};

Digest digest128(std::string_view data);

/// The index of the candidate with the highest rendezvous hash for a key, or `candidates.size()` when there is none.
/// Removing a candidate moves only the keys that it held.
std::size_t rendezvousChoice(std::string_view key, std::span<std::string_view const> candidates);

} // namespace Core
