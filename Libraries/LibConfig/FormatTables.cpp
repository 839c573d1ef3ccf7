#include <LibConfig/TableText.h>
#include <LibConfig/TablesDocument.h>
#include <LibConfig/Units.h>

namespace Config {

namespace {

    template <std::size_t N, typename E> std::string word(std::array<std::string_view, N> const& words, E value)
    {
        return std::string(words.at(static_cast<std::size_t>(value)));
    }

    void addLine(std::string& text, std::string_view key, std::string const& value)
    {
        text.append(key).append(" = ").append(value).append("\n");
    }

    void addSection(std::string& text, std::string_view kind, std::string_view name)
    {
        text.append(text.empty() ? "[" : "\n[").append(kind).append(" ").append(name).append("]\n");
    }

    void addPool(std::string& text, Routing::PoolDefinition const& pool)
    {
        Routing::PoolDefinition const defaults;
        addSection(text, "pool", pool.name.value);
        addLine(text, "kind", word(poolKindWords, pool.kind));
        if (pool.slotCount != defaults.slotCount)
            addLine(text, "slots", std::to_string(pool.slotCount));
        if (pool.dispatchGroups != defaults.dispatchGroups)
            addLine(text, "dispatch-groups", std::to_string(pool.dispatchGroups));
    }

    void addMatch(std::string& text, Routing::RouteDefinition const& route)
    {
        if (!route.host.empty())
            addLine(text, "host", formatTableText(route.host));
        if (!route.methods.empty())
            addLine(text, "methods", formatMethods(route.methods));
        addLine(text, "path", formatTableText(route.pathPrefix));
        if (route.header) {
            addLine(text, "header", route.header->name);
            if (!route.header->value.empty())
                addLine(text, "header-value", formatTableText(route.header->value));
        }
    }

    void addRoute(std::string& text, Routing::RouteDefinition const& route)
    {
        Routing::RouteDefinition const defaults;
        addSection(text, "route", route.name.value);
        addLine(text, "pool", route.pool.value);
        addMatch(text, route);
        if (route.key != defaults.key)
            addLine(text, "key", formatKeySource(route.key));
        addLine(text, "class", word(requestClassWords, route.requestClass));
        if (route.priority != defaults.priority)
            addLine(text, "priority", word(priorityWords, route.priority));
        if (route.deadline != defaults.deadline)
            addLine(text, "deadline", formatDuration(route.deadline));
        if (route.maxBodyBytes != defaults.maxBodyBytes)
            addLine(text, "max-body", formatSize(route.maxBodyBytes));
    }

} // namespace

std::string formatTables(TablesDocument const& tables)
{
    std::string text;
    for (auto const& pool : tables.pools)
        addPool(text, pool);
    for (auto const& route : tables.routes)
        addRoute(text, route);
    return text;
}

} // namespace Config
