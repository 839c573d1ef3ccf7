#include <LibPolicy/ServerChoice.h>

#include <algorithm>

namespace Policy {

namespace {

    void setAvailable(std::vector<bool>& available, std::size_t server, bool value)
    {
        if (available.size() <= server)
            available.resize(server + 1);
        available[server] = value;
    }

    bool contains(std::span<std::size_t const> servers, std::size_t server)
    {
        return std::ranges::find(servers, server) != servers.end();
    }

} // namespace

void RandomChoice::update(std::size_t server, ServerLoad const&) { setAvailable(available_, server, true); }
void RandomChoice::exclude(std::size_t server) { setAvailable(available_, server, false); }
bool RandomChoice::hasAvailable() const { return std::ranges::find(available_, true) != available_.end(); }

std::optional<std::size_t> RandomChoice::choose(std::span<std::size_t const> avoided, Core::Random& random)
{
    candidates_.clear();
    for (std::size_t server = 0; server < available_.size(); ++server) {
        if (available_[server] && !contains(avoided, server))
            candidates_.push_back(server);
    }
    if (candidates_.empty())
        return std::nullopt;
    return candidates_[random.below(candidates_.size())];
}

void RoundRobinChoice::update(std::size_t server, ServerLoad const&) { setAvailable(available_, server, true); }
void RoundRobinChoice::exclude(std::size_t server) { setAvailable(available_, server, false); }
bool RoundRobinChoice::hasAvailable() const { return std::ranges::find(available_, true) != available_.end(); }

std::optional<std::size_t> RoundRobinChoice::choose(std::span<std::size_t const> avoided, Core::Random&)
{
    for (std::size_t step = 0; step < available_.size(); ++step) {
        auto const server = (next_ + step) % available_.size();
        if (available_[server] && !contains(avoided, server)) {
            next_ = server + 1;
            return server;
        }
    }
    return std::nullopt;
}

} // namespace Policy
