#pragma once

#include <LibConfig/ConfigError.h>

#include <string>
#include <string_view>
#include <vector>

namespace Config {

/// Longer lines are rejected.
inline constexpr std::size_t maxLineBytes = 8192;

struct IniEntry {
    std::string key;
    std::string value;
    std::uint32_t line { 0 };
};

struct IniSection {
    std::string name;
    /// Zero for entries before the first header.
    std::uint32_t line { 0 };
    std::vector<IniEntry> entries;

    IniEntry const* find(std::string_view key) const;
};

/// The sections of an INI text with line numbers, and what was wrong with its form.
struct IniDocument {
    std::string file;
    std::vector<IniSection> sections;
    ConfigErrors errors;

    IniSection const* find(std::string_view name) const;
};

/// Reads `[section]`, `key = value`, and comment lines that begin with `;` or `#`. There are no inline comments and no
/// continuation lines.
IniDocument parseIni(std::string_view text, std::string_view file);

/// The content of a file.
Core::Result<std::string, ConfigErrors> readFile(std::string const& path);

} // namespace Config
