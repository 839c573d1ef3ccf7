#include <LibControl/BalancedPlacement.h>

#include <algorithm>
#include <map>
#include <set>

namespace Control {

namespace {

    /// Factor of the relative load of a server's failure domain in the server's score.
    constexpr double domainInfluence = 0.5;

    /// Builds a plan. Tracks the weight of each server and failure domain, and servers ordered by relative load.
    class PlanBuilder {
    public:
        PlanBuilder(PlacementInput const& input, BalanceSettings const& settings)
            : input_(input)
            , settings_(settings)
        {
            computeSlotWeights();
            addServers();
            for (std::uint32_t slot = 0; slot < input.slots.size(); ++slot)
                addSlot(slot);
        }

        /// Assigns slots without an owner in order of decreasing weight, so that the lighter slots even out the
        /// remaining differences.
        void placeUnownedSlots()
        {
            std::ranges::stable_sort(unownedSlots_, std::ranges::greater {}, [&](auto slot) { return weights_[slot]; });
            for (auto const slot : unownedSlots_)
                move(slot, noServer, targetFor(slot));
        }

        void balance(std::size_t budget)
        {
            if (!needsBalance())
                return;
            for (auto& slots : slotsOf_)
                std::ranges::sort(slots, {}, [&](auto slot) { return weights_[slot]; });
            auto candidates = allServers();
            while (budget > 0 && !candidates.empty()) {
                auto const highest = *candidates.rbegin();
                candidates.erase(highest);
                auto const lowest = lowestServer();
                if (!isWorthMoving(highest.second, lowest))
                    break;
                auto const slot = slotToMove(highest.second, lowest);
                // Each slot of this server is too heavy for its move to improve the balance.
                if (!slot)
                    continue;
                candidates.erase({ relativeLoad(lowest), lowest });
                move(*slot, highest.second, lowest);
                candidates.insert({ relativeLoad(highest.second), highest.second });
                candidates.insert({ relativeLoad(lowest), lowest });
                --budget;
            }
        }

        std::vector<PlannedSlot> takePlannedSlots() { return std::move(planned_); }
        bool canPlace() const { return totalCapacity_ > 0; }

    private:
        struct Domain {
            double weight { 0 };
            double capacity { 0 };
            /// Relative load and index of the servers of the domain that may own slots.
            std::set<std::pair<double, std::uint32_t>> servers;
        };

        void computeSlotWeights()
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
                unownedSlots_.push_back(index);
            }
        }

        double relativeLoad(std::uint32_t server) const
        {
            return serverWeights_[server] / input_.servers[server].capacity;
        }
        double meanRelativeLoad() const { return totalWeight_ / totalCapacity_; }

        void changeWeight(std::uint32_t server, double delta)
        {
            auto& domain = *domainOf_[server];
            domain.servers.erase({ relativeLoad(server), server });
            serverWeights_[server] += delta;
            domain.weight += delta;
            totalWeight_ += delta;
            domain.servers.insert({ relativeLoad(server), server });
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
            // Mean relative load once all slots are placed: the weights of the slots average 1.
            auto const share = static_cast<double>(input_.slots.size()) / totalCapacity_;
            if (last != noServer && input_.servers[last].capacity > 0 && relativeLoad(last) < share)
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
            // The slot is not added to `slotsOf_[to]`, so that the plan contains a slot at most once.
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
                    && (servers.rbegin()->first > settings_.startThreshold * meanRelativeLoad()
                        || servers.begin()->first * settings_.startThreshold < meanRelativeLoad());
            });
        }

        bool isWorthMoving(std::uint32_t from, std::uint32_t to) const
        {
            return from != to
                && (relativeLoad(from) > settings_.stopThreshold * meanRelativeLoad()
                    || relativeLoad(to) * settings_.stopThreshold < meanRelativeLoad());
        }

        /// The heaviest slot whose move leaves `from` with at least the relative load of `to`; otherwise the lightest
        /// slot, if its move still improves the balance.
        std::optional<std::uint32_t> slotToMove(std::uint32_t from, std::uint32_t to) const
        {
            auto const& slots = slotsOf_[from];
            auto const fromCapacity = input_.servers[from].capacity;
            auto const toCapacity = input_.servers[to].capacity;
            auto const equalizing
                = (relativeLoad(from) - relativeLoad(to)) * fromCapacity * toCapacity / (fromCapacity + toCapacity);
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
        std::vector<std::uint32_t> unownedSlots_;
        std::vector<PlannedSlot> planned_;
        double totalWeight_ { 0 };
        double totalCapacity_ { 0 };
    };

} // namespace

std::vector<PlannedSlot> BalancedPlacement::plan(PlacementInput const& input) const
{
    PlanBuilder builder(input, settings_);
    if (!builder.canPlace())
        return {};
    builder.placeUnownedSlots();
    if (input.balanceBudget > 0)
        builder.balance(input.balanceBudget);
    return builder.takePlannedSlots();
}

} // namespace Control
