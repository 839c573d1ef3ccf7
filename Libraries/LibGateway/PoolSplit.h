#pragma once

#include <LibFleet/Model.h>

namespace Gateway {

/// Distributes the requests of one route over pools by weight. Uses a smooth weighted round robin rather than random
/// choice, so that the shares also hold over a few requests.
class PoolSplit {
public:
    /// The pool for the next request; null for a route without pools.
    Fleet::PoolShare const* choose(std::vector<Fleet::PoolShare> const&);

private:
    std::vector<double> credits_;
};

} // namespace Gateway
