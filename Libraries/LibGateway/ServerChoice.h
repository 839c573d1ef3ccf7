#pragma once

#include <LibCore/Random.h>
#include <LibCore/Time.h>

#include <span>
#include <vector>

namespace Gateway {

/// A server that could run a request of a pool without keys.
struct ServerCandidate {
    /// What is expected until its answer.
    Core::Duration cost {};
    /// It is in the failure domain of this entry host.
    bool isNear { false };
};

/// In which order the servers of a pool without keys are tried.
///
/// Answers the pattern in which many entry hosts choose at the same time by knowledge that is seconds old: 77 hosts
/// that all take the server that looks best fill its queue while others are idle. Each compares a few servers drawn by
/// lot, two of its own failure domain and two others, and takes the best of them; the rest follow by lot.
class ServerChoice {
public:
    /// Positions of the candidates, the first choice first.
    static std::vector<std::size_t> order(std::span<ServerCandidate const>, Core::Random&);
};

} // namespace Gateway
