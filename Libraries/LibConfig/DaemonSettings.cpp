#include <LibConfig/DaemonSettings.h>
#include <LibConfig/IniDocument.h>
#include <LibConfig/SettingsCatalogue.h>

#include <algorithm>

namespace Config {

namespace {

    constexpr std::string_view peersSection = "control-peers";

    SettingBinding const* findBinding(std::string_view section, std::string_view key)
    {
        auto const bindings = settingBindings();
        auto const found = std::ranges::find_if(bindings,
            [&](auto const& binding) { return binding.reference.section == section && binding.reference.key == key; });
        return found == bindings.end() ? nullptr : &*found;
    }

    bool isKnownSection(std::string_view name)
    {
        return name == peersSection || std::ranges::any_of(settingBindings(), [&](auto const& binding) {
            return binding.reference.section == name;
        });
    }

    std::optional<ControlPeer> parsePeer(std::string_view name, std::string_view value)
    {
        auto const comma = value.find(", ");
        if (comma == std::string_view::npos)
            return std::nullopt;
        auto const domain = value.substr(comma + 2);
        auto endpoint = Core::Endpoint::parse(value.substr(0, comma));
        if (!endpoint || !isValidName(name) || !isValidName(domain))
            return std::nullopt;
        return ControlPeer { { std::string(name) }, std::move(*endpoint), { std::string(domain) } };
    }

    class SettingsParser {
    public:
        explicit SettingsParser(IniDocument document)
            : document_(std::move(document))
            , errors_(std::move(document_.errors))
        {
        }

        Core::Result<DaemonSettings, ConfigErrors> parse()
        {
            std::ranges::for_each(document_.sections, [this](auto const& section) { readSection(section); });
            reportMissingKeys();
            // Rules between keys are only meaningful for values that were accepted.
            if (errors_.empty())
                reportCrossChecks();
            if (errors_.empty())
                return std::move(settings_);
            std::ranges::stable_sort(errors_, {}, &ConfigError::line);
            return std::move(errors_);
        }

    private:
        void report(std::uint32_t line, std::string section, std::string key, ConfigErrorReason reason)
        {
            errors_.push_back({ document_.file, line, std::move(section), std::move(key), std::move(reason) });
        }

        void readSection(IniSection const& section)
        {
            if (!isKnownSection(section.name)) {
                auto const line = section.line == 0 ? section.entries.front().line : section.line;
                report(line, section.name, {}, UnknownSection {});
                return;
            }
            for (auto const& entry : section.entries) {
                auto fault = section.name == peersSection ? readPeer(entry) : readEntry(section.name, entry);
                if (fault)
                    report(entry.line, section.name, entry.key, std::move(*fault));
            }
        }

        std::optional<ConfigErrorReason> readEntry(std::string_view section, IniEntry const& entry)
        {
            auto const* binding = findBinding(section, entry.key);
            if (!binding)
                return UnknownKey {};
            return binding->assign(settings_, entry.value);
        }

        std::optional<ConfigErrorReason> readPeer(IniEntry const& entry)
        {
            auto peer = parsePeer(entry.key, entry.value);
            if (!peer)
                return BadValue { entry.value, "IP:port, FAILURE-DOMAIN under a valid host name" };
            settings_.controlPeers.push_back(std::move(*peer));
            return std::nullopt;
        }

        void reportMissingKeys()
        {
            for (auto const& binding : settingBindings()) {
                auto const& reference = binding.reference;
                if (reference.isRequired && lineOf(reference.section, reference.key) == 0)
                    report(0, reference.section, reference.key, MissingKey {});
            }
        }

        void reportCrossChecks()
        {
            for (auto const& [rule, section, key] : crossCheck(settings_))
                report(lineOf(section, key), std::string(section), std::string(key), Inconsistent { rule });
        }

        std::uint32_t lineOf(std::string_view sectionName, std::string_view key) const
        {
            for (auto const& section : document_.sections) {
                auto const* entry = section.name == sectionName ? section.find(key) : nullptr;
                if (entry)
                    return entry->line;
            }
            return 0;
        }

        IniDocument document_;
        ConfigErrors errors_;
        DaemonSettings settings_;
    };

} // namespace

bool isValidName(std::string_view name)
{
    auto const isAllowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
            || c == '-';
    };
    return !name.empty() && name.size() <= maxNameBytes && std::ranges::all_of(name, isAllowed);
}

Core::Result<DaemonSettings, ConfigErrors> parseDaemonSettings(std::string_view text, std::string_view file)
{
    return SettingsParser(parseIni(text, file)).parse();
}

Core::Result<DaemonSettings, ConfigErrors> loadDaemonSettings(std::string const& path)
{
    return parseDaemonSettings(TRY(readFile(path)), path);
}

std::vector<SettingReference> settingsReference()
{
    std::vector<SettingReference> references;
    std::ranges::transform(settingBindings(), std::back_inserter(references), &SettingBinding::reference);
    references.push_back({ std::string(peersSection), "NAME", "", "IP:port, FAILURE-DOMAIN", "1, 3, 5 or 7 lines",
        "RPC address and failure domain of each control host, the same lines on every host." });
    return references;
}

} // namespace Config
