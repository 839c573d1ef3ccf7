#pragma once

#include <LibConfig/ConfigError.h>
#include <LibRouting/RoutingTable.h>

namespace Config {

/// The pools and routes that operators edit: sections `[pool NAME]` and `[route NAME]`.
struct TablesDocument {
    std::vector<Routing::PoolDefinition> pools;
    std::vector<Routing::RouteDefinition> routes;

    bool operator==(TablesDocument const&) const = default;
};

/// Parses the document and checks it as `Routing::RoutingTable::build` does. `file` is only used in errors.
Core::Result<TablesDocument, ConfigErrors> parseTables(std::string_view text, std::string_view file);
Core::Result<TablesDocument, ConfigErrors> loadTables(std::string const& path);

/// The text that `parseTables` turns back into an equal document, for documents whose pool and route names satisfy
/// `isValidName`. Keys with default values are left out.
std::string formatTables(TablesDocument const&);

} // namespace Config
