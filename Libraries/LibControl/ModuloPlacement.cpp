#include <LibControl/ModuloPlacement.h>
#include <LibCore/Hash.h>

namespace Control {

std::vector<PlannedSlot> ModuloPlacement::plan(PlacementInput const& input) const
{
    std::vector<std::uint32_t> eligible;
    for (std::uint32_t i = 0; i < input.servers.size(); ++i) {
        if (input.servers[i].capacity > 0)
            eligible.push_back(i);
    }
    std::vector<PlannedSlot> planned;
    if (eligible.empty())
        return planned;
    for (std::uint64_t slot = 0; slot < input.slots.size(); ++slot) {
        auto const to = eligible[Core::hash64(std::to_string(slot)) % eligible.size()];
        if (!input.slots[slot].isWaiting && input.slots[slot].owner != to)
            planned.push_back({ { slot }, to });
    }
    return planned;
}

} // namespace Control
