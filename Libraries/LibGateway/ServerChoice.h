#pragma once

#include <LibCore/Random.h>
#include <LibCore/Time.h>

#include <optional>
#include <span>
#include <vector>

namespace Gateway {

/// A server that could run a request of a pool without keys.
struct ServerCandidate {
    /// The expected time until its answer.
    Core::Duration expectedLatency {};
    /// Whether the server is in the failure domain of this entry host.
    bool isInSameDomain { false };
    /// Whether a connection must be opened, which costs the server some work.
    bool needsConnection { false };
    /// The place of the server in the subset that this host uses first, see `ServerSubset`. Empty for others.
    std::optional<std::size_t> subsetPlace;
    /// Whether the server is tried before all others.
    bool isPreferred { false };
    /// Whether the server is tried after all others, since its last answers could not be read.
    bool isFailing { false };
};

/// Determines the order in which the servers of a pool without keys are tried.
///
/// Prevents herding: many entry hosts choose at the same time, with load information that is seconds old, and 77 hosts
/// that all choose the apparently fastest server fill its queue while others are idle. Each host compares the servers
/// of its own subset and a few random ones, two in its own failure domain and two in others, and takes the best; the
/// rest follow in random order.
class ServerChoice {
public:
    /// Returns the indices of the candidates in the order in which they are to be tried.
    static std::vector<std::size_t> order(std::span<ServerCandidate const>, Core::Random&);
};

} // namespace Gateway
