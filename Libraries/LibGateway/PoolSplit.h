#pragma once

#include <LibFleet/Model.h>

namespace Gateway {

/// Deals the requests of one route to pools by weight. Deals evenly rather than by lot, so that the shares hold over a
/// few requests too.
class PoolSplit {
public:
    /// Null for a route without pools.
    Fleet::PoolShare const* choose(std::vector<Fleet::PoolShare> const&);

private:
    std::vector<double> credits_;
};

} // namespace Gateway
