#include <LibGateway/PoolSplit.h>

#include <algorithm>

namespace Gateway {

Fleet::PoolShare const* PoolSplit::choose(std::vector<Fleet::PoolShare> const& shares)
{
    if (shares.size() <= 1)
        return shares.empty() ? nullptr : &shares.front();
    credits_.resize(shares.size());
    double total = 0;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        credits_[i] += shares[i].weight;
        total += shares[i].weight;
    }
    auto const best = static_cast<std::size_t>(std::ranges::max_element(credits_) - credits_.begin());
    credits_[best] -= total;
    return &shares[best];
}

} // namespace Gateway
