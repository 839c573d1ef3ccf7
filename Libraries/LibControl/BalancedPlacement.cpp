#include <LibControl/BalancedPlacement.h>

#include <algorithm>
#include <map>
#include <set>

namespace Control {

namespace {

    /// How much the load of the failure domain counts beside the load of the server.
    constexpr double domainInfluence = 0.5;

    /// The plan under construction: the weight of each server and domain, and the best candidates.
    class Plan {
    public:
        Plan(PlacementInput const& input, BalanceSettings const& settings)
            : input_(input)
            , settings_(settings)
        {
            weighSlots();
            addServers();
            for (std::uint32_t slot = 0; slot < input.slots.size(); ++slot)
                addSlot(slot);
        }

        /// Places slots that need a server, the heaviest first, so that the light ones even out the rest.
        void placeUnowned()
        {
            std::ranges::stable_sort(unowned_, std::ranges::greater {}, [&](auto slot) { return weights_[slot]; });
            for (auto const slot : unowned_)
                move(slot, noServer, targetFor(slot));
        }

        void balance(std::size_t budget)
        {
            if (!needsBalance())
                return;
            for (auto& slots : slotsOf_)
                std::ranges::sort(slots, {}, [&](auto slot) { return weights_[slot]; });
            auto full = allServers();
            while (budget > 0 && !full.empty()) {
                auto const highest = *full.rbegin();
                full.erase(highest);
                auto const lowest = lowestServer();
                if (!isWorthMoving(highest.second, lowest))
                    break;
                auto const slot = slotToMove(highest.second, lowest);
                // A server whose slots are all too heavy to improve anything stays as it is.
                if (!slot)
                    continue;
                full.erase({ relative(lowest), lowest });
                move(*slot, highest.second, lowest);
                full.insert({ relative(highest.second), highest.second });
                full.insert({ relative(lowest), lowest });
                --budget;
            }
        }

        std::vector<PlannedSlot> take() { return std::move(planned_); }
        bool canPlace() const { return totalCapacity_ > 0; }

    private:
        struct Domain {
            double weight { 0 };
            double capacity { 0 };
            /// Relative load and index of its servers.
            std::set<std::pair<double, std::uint32_t>> servers;
        };

        void weighSlots()
        {
            double total = 0;
            for (auto const& slot : input_.slots)
                total += slot.load;
            auto const mean = total / std::max<double>(1, static_cast<double>(input_.slots.size()));
            weights_.reserve(input_.slots.size());
            for (auto const& slot : input_.slots)
                weights_.push_back(
                    mean > 0 ? settings_.baseWeight + (1 - settings_.baseWeight) * slot.load / mean : 1.0);
        }

        void addServers()
        {
            serverWeights_.resize(input_.servers.size());
            slotsOf_.resize(input_.servers.size());
            domainOf_.reserve(input_.servers.size());
            for (std::uint32_t i = 0; i < input_.servers.size(); ++i) {
                auto const& server = input_.servers[i];
                auto& domain = domains_[server.domain];
                domainOf_.push_back(&domain);
                if (server.capacity <= 0)
                    continue;
                domain.capacity += server.capacity;
                totalCapacity_ += server.capacity;
                domain.servers.insert({ 0, i });
            }
        }

        void addSlot(std::uint32_t index)
        {
            auto const& slot = input_.slots[index];
            auto const hasOwner = slot.owner != noServer && input_.servers[slot.owner].capacity > 0;
            if (hasOwner) {
                changeWeight(slot.owner, weights_[index]);
                if (!slot.isWaiting)
                    slotsOf_[slot.owner].push_back(index);
            } else if (!slot.isWaiting) {
                unowned_.push_back(index);
            }
        }

        double relative(std::uint32_t server) const { return serverWeights_[server] / input_.servers[server].capacity; }
        double mean() const { return totalWeight_ / totalCapacity_; }

        void changeWeight(std::uint32_t server, double by)
        {
            auto& domain = *domainOf_[server];
            domain.servers.erase({ relative(server), server });
            serverWeights_[server] += by;
            domain.weight += by;
            totalWeight_ += by;
            domain.servers.insert({ relative(server), server });
        }

        std::uint32_t lowestServer() const
        {
            auto best = noServer;
            double bestScore = 0;
            for (auto const& [name, domain] : domains_) {
                if (domain.servers.empty())
                    continue;
                auto const [load, server] = *domain.servers.begin();
                auto const score = load + domainInfluence * domain.weight / domain.capacity;
                if (best == noServer || score < bestScore) {
                    best = server;
                    bestScore = score;
                }
            }
            return best;
        }

        std::uint32_t targetFor(std::uint32_t slot) const
        {
            auto const last = input_.slots[slot].lastOwner;
            // The mean includes the slots that are yet to be placed.
            auto const share = static_cast<double>(input_.slots.size()) / totalCapacity_;
            if (last != noServer && input_.servers[last].capacity > 0 && relative(last) < share)
                return last;
            return lowestServer();
        }

        void move(std::uint32_t slot, std::uint32_t from, std::uint32_t to)
        {
            if (from != noServer) {
                changeWeight(from, -weights_[slot]);
                std::erase(slotsOf_[from], slot);
            }
            changeWeight(to, weights_[slot]);
            // Not added to the slots of `to`, so that a slot is planned once at most.
            planned_.push_back({ { slot }, to });
        }

        std::set<std::pair<double, std::uint32_t>> allServers() const
        {
            std::set<std::pair<double, std::uint32_t>> servers;
            for (auto const& [name, domain] : domains_)
                servers.insert(domain.servers.begin(), domain.servers.end());
            return servers;
        }

        bool needsBalance() const
        {
            return std::ranges::any_of(domains_, [&](auto const& entry) {
                auto const& servers = entry.second.servers;
                return !servers.empty()
                    && (servers.rbegin()->first > settings_.startAbove * mean()
                        || servers.begin()->first * settings_.startAbove < mean());
            });
        }

        bool isWorthMoving(std::uint32_t from, std::uint32_t to) const
        {
            return from != to
                && (relative(from) > settings_.stopBelow * mean() || relative(to) * settings_.stopBelow < mean());
        }

        /// The heaviest slot that does not overshoot, or the lightest if it still improves the balance.
        std::optional<std::uint32_t> slotToMove(std::uint32_t from, std::uint32_t to) const
        {
            auto const& slots = slotsOf_[from];
            auto const fromCapacity = input_.servers[from].capacity;
            auto const toCapacity = input_.servers[to].capacity;
            auto const equalizing
                = (relative(from) - relative(to)) * fromCapacity * toCapacity / (fromCapacity + toCapacity);
            auto const above
                = std::ranges::upper_bound(slots, equalizing, {}, [&](auto slot) { return weights_[slot]; });
            if (above != slots.begin())
                return *std::prev(above);
            if (above != slots.end() && weights_[*above] < 2 * equalizing)
                return *above;
            return std::nullopt;
        }

        PlacementInput const& input_;
        BalanceSettings const& settings_;
        std::vector<double> weights_;
        std::vector<double> serverWeights_;
        std::vector<std::vector<std::uint32_t>> slotsOf_;
        std::vector<Domain*> domainOf_;
        std::map<Core::FailureDomain, Domain> domains_;
        std::vector<std::uint32_t> unowned_;
        std::vector<PlannedSlot> planned_;
        double totalWeight_ { 0 };
        double totalCapacity_ { 0 };
    };

} // namespace

std::vector<PlannedSlot> BalancedPlacement::plan(PlacementInput const& input) const
{
    Plan plan(input, settings_);
    if (!plan.canPlace())
        return {};
    plan.placeUnowned();
    if (input.balanceBudget > 0)
        plan.balance(input.balanceBudget);
    return plan.take();
}

} // namespace Control
