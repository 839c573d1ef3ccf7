#include "Switches.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace Emulator {

namespace {

    struct SwitchEntry {
        std::string_view name;
        std::int64_t initial;
    };

    /// Indexed by `Switch`.
    constexpr std::array switchTable {
        SwitchEntry { "slots", 4 },
        SwitchEntry { "queue", 16 },
        SwitchEntry { "serviceMs", 2 },
        SwitchEntry { "coldRequests", 0 },
        SwitchEntry { "coldServiceMs", 50 },
        SwitchEntry { "coldConcurrency", 1 },
        SwitchEntry { "shed", 0 },
        SwitchEntry { "freeze", 0 },
        SwitchEntry { "crashOnMarked", 1 },
        SwitchEntry { "loadDelayMs", 0 },
        SwitchEntry { "loadLiePercent", -1 },
        SwitchEntry { "silentGeneration", 0 },
        SwitchEntry { "lateMs", 0 },
        SwitchEntry { "drain", 0 },
    };
    static_assert(switchTable.size() == static_cast<std::size_t>(Switch::Count));

} // namespace

Switches::Switches()
{
    for (std::size_t i = 0; i < values_.size(); ++i)
        values_.at(i) = switchTable.at(i).initial;
}

void Switches::set(Switch name, std::int64_t value) { values_.at(static_cast<std::size_t>(name)) = value; }

bool Switches::set(std::string_view name, std::string_view value)
{
    auto const* const found = std::ranges::find(switchTable, name, &SwitchEntry::name);
    std::int64_t number = 0;
    auto const [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (found == switchTable.end() || error != std::errc {} || end != value.data() + value.size())
        return false;
    values_.at(static_cast<std::size_t>(found - switchTable.begin())) = number;
    return true;
}

std::string Switches::toJson() const
{
    nlohmann::json json;
    for (std::size_t i = 0; i < values_.size(); ++i)
        json[std::string(switchTable.at(i).name)] = values_.at(i).load();
    return json.dump();
}

} // namespace Emulator
