#pragma once

#include <LibConfig/DaemonSettings.h>

#include <functional>

namespace Config {

/// One key: its documentation and how its value gets into the settings.
struct SettingBinding {
    SettingReference reference;
    /// Returns why the value is refused.
    std::function<std::optional<ConfigErrorReason>(DaemonSettings&, std::string_view value)> assign;
};

/// Every key with a fixed name. Section `[control-peers]` has free keys and is not included.
std::span<SettingBinding const> settingBindings();

/// The rules between several keys.
struct CrossCheckFault {
    CrossCheck rule;
    std::string_view section;
    /// The key to correct.
    std::string_view key;
};
std::vector<CrossCheckFault> crossCheck(DaemonSettings const&);

} // namespace Config
