#include <LibPolicy/LeastLoadedChoice.h>

#include <algorithm>
#include <bit>

namespace Policy {

namespace {
    // Slowness up to which a server is not penalized. The average of a few samples varies by this much by chance, so a
    // lower value would send most of the work to the servers with lucky samples.
    constexpr double normalSlowness = 2;
} // namespace

bool LeastLoadedChoice::Key::isBefore(Key const& other) const
{
    if (available != other.available)
        return available;
    return score < other.score || (score == other.score && lastChosen < other.lastChosen);
}

void LeastLoadedChoice::update(std::size_t server, ServerLoad const& load)
{
    ensureSize(server + 1);
    keys_[server].score = (load.inFlight + 1 + load.externalInFlight) * std::max(load.slowness / normalSlowness, 1.0);
    keys_[server].available = true;
    replay(server);
}

void LeastLoadedChoice::exclude(std::size_t server)
{
    ensureSize(server + 1);
    keys_[server].available = false;
    replay(server);
}

std::optional<std::size_t> LeastLoadedChoice::choose(std::span<std::size_t const> avoided, Core::Random&)
{
    if (leaves_ == 0)
        return std::nullopt;
    std::vector<std::size_t> hidden;
    for (auto const server : avoided) {
        if (server < keys_.size() && keys_[server].available) {
            keys_[server].available = false;
            replay(server);
            hidden.push_back(server);
        }
    }
    auto const winner = winners_[1];
    auto const found = keys_[winner].available;
    if (found)
        keys_[winner].lastChosen = ++choices_;
    for (auto const server : hidden) {
        keys_[server].available = true;
        replay(server);
    }
    if (!found)
        return std::nullopt;
    replay(winner);
    return winner;
}

void LeastLoadedChoice::ensureSize(std::size_t servers)
{
    if (servers <= leaves_)
        return;
    leaves_ = std::max<std::size_t>(std::bit_ceil(servers), 2);
    keys_.resize(leaves_);
    winners_.assign(2 * leaves_, 0);
    for (std::size_t server = 0; server < leaves_; ++server)
        winners_[leaves_ + server] = server;
    for (std::size_t node = leaves_ - 1; node >= 1; --node) {
        auto const left = winners_[2 * node];
        auto const right = winners_[2 * node + 1];
        winners_[node] = keys_[right].isBefore(keys_[left]) ? right : left;
    }
}

void LeastLoadedChoice::replay(std::size_t server)
{
    for (auto node = (leaves_ + server) / 2; node >= 1; node /= 2) {
        auto const left = winners_[2 * node];
        auto const right = winners_[2 * node + 1];
        winners_[node] = keys_[right].isBefore(keys_[left]) ? right : left;
    }
}

} // namespace Policy
