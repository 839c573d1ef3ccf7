#include <LibConfig/DaemonSettings.h>
#include <LibConfig/IniDocument.h>
#include <LibConfig/TableText.h>
#include <LibConfig/TablesDocument.h>
#include <LibConfig/Units.h>

#include <algorithm>
#include <limits>

namespace Config {

namespace {

    using Fault = std::optional<ConfigErrorReason>;

    Fault badValue(std::string_view value, std::string expected)
    {
        return BadValue { std::string(value), std::move(expected) };
    }

    template <typename T> Fault assignNumber(T& target, std::string_view value, std::uint64_t min, std::uint64_t max)
    {
        auto const number = parseNumber(value);
        if (number.error && *number.error != UnitError::TooLarge)
            return badValue(value, "a whole number");
        if (number.error || number.value < min || number.value > max)
            return OutOfRange { std::string(value), std::to_string(min), std::to_string(max) };
        target = static_cast<T>(number.value);
        return std::nullopt;
    }

    template <typename T, typename Parse>
    Fault assignQuantity(T& target, std::string_view value, std::string_view units, Parse parse, std::string maximum)
    {
        auto const quantity = parse(value);
        if (quantity.error == UnitError::TooLarge)
            return OutOfRange { std::string(value), "0", std::move(maximum) };
        if (quantity.error)
            return BadUnit { std::string(value), std::string(units) };
        target = quantity.value;
        return std::nullopt;
    }

    Fault assignText(std::string& target, std::string_view value)
    {
        auto text = parseTableText(value);
        if (!text)
            return badValue(value, "a plain or quoted text of at most " + std::to_string(maxTableTextBytes) + " bytes");
        target = std::move(*text);
        return std::nullopt;
    }

    template <typename E, std::size_t N>
    Fault assignWord(E& target, std::string_view value, std::array<std::string_view, N> const& words)
    {
        auto const found = std::ranges::find(words, value);
        if (found == words.end()) {
            std::string expected = "one of";
            std::ranges::for_each(words, [&](auto word) { expected += " " + std::string(word); });
            return badValue(value, expected);
        }
        target = static_cast<E>(found - words.begin());
        return std::nullopt;
    }

    Fault assignPoolName(Core::PoolName& target, std::string_view value)
    {
        target.value = value;
        return isValidName(value) ? std::nullopt : badValue(value, "a valid pool name");
    }

    Fault assignMethods(std::vector<std::string>& target, std::string_view value)
    {
        auto methods = parseMethods(value);
        if (!methods)
            return badValue(value, "a list of methods, separated by ', '");
        target = std::move(*methods);
        return std::nullopt;
    }

    Fault assignKeySource(Routing::KeySource& target, std::string_view value)
    {
        auto source = parseKeySource(value);
        if (!source)
            return badValue(value, "none, path-segment NUMBER, query NAME or header NAME");
        target = std::move(*source);
        return std::nullopt;
    }

    Fault assignHeaderName(Routing::RouteDefinition& route, std::string_view value)
    {
        if (!isToken(value))
            return badValue(value, "a header name");
        if (!route.header)
            route.header.emplace();
        route.header->name = value;
        return std::nullopt;
    }

    Fault assignHeaderValue(Routing::RouteDefinition& route, std::string_view value)
    {
        if (!route.header)
            route.header.emplace();
        return assignText(route.header->value, value);
    }

    Fault assignPoolKey(Routing::PoolDefinition& pool, std::string_view key, std::string_view value)
    {
        constexpr std::uint64_t maxCount = std::numeric_limits<std::uint32_t>::max();
        if (key == "kind")
            return assignWord(pool.kind, value, poolKindWords);
        if (key == "slots")
            return assignNumber(pool.slotCount, value, 0, maxCount);
        if (key == "dispatch-groups")
            return assignNumber(pool.dispatchGroups, value, 1, maxDispatchGroups);
        return UnknownKey {};
    }

    Fault assignRouteKey(Routing::RouteDefinition& route, std::string_view key, std::string_view value)
    {
        if (key == "pool")
            return assignPoolName(route.pool, value);
        if (key == "host")
            return assignText(route.host, value);
        if (key == "methods")
            return assignMethods(route.methods, value);
        if (key == "path")
            return assignText(route.pathPrefix, value);
        if (key == "header")
            return assignHeaderName(route, value);
        if (key == "header-value")
            return assignHeaderValue(route, value);
        if (key == "key")
            return assignKeySource(route.key, value);
        if (key == "class")
            return assignWord(route.requestClass, value, requestClassWords);
        if (key == "priority")
            return assignWord(route.priority, value, priorityWords);
        if (key == "deadline")
            return assignQuantity(
                route.deadline, value, durationUnits, parseDuration, formatDuration(Core::Duration::max()));
        if (key == "max-body")
            return assignQuantity(
                route.maxBodyBytes, value, sizeUnits, parseSize, formatSize(std::numeric_limits<std::uint64_t>::max()));
        return UnknownKey {};
    }

    class TablesParser {
    public:
        explicit TablesParser(IniDocument document)
            : document_(std::move(document))
            , errors_(std::move(document_.errors))
        {
        }

        Core::Result<TablesDocument, ConfigErrors> parse()
        {
            std::ranges::for_each(document_.sections, [this](auto const& section) { readSection(section); });
            if (errors_.empty())
                checkTables();
            if (errors_.empty())
                return std::move(tables_);
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
            std::string_view const header = section.name;
            auto const space = header.find(' ');
            auto const kind = header.substr(0, space);
            std::string name(space == std::string_view::npos ? "" : header.substr(space + 1));
            if (kind != "pool" && kind != "route") {
                auto const line = section.line == 0 ? section.entries.front().line : section.line;
                report(line, section.name, {}, UnknownSection {});
                return;
            }
            if (!isValidName(name))
                report(section.line, section.name, {}, BadValue { name, "a valid name" });
            if (kind == "pool")
                readPool(section, { .name = { std::move(name) } });
            else
                readRoute(section, { .name = { std::move(name) } });
        }

        template <typename Definition, typename Assign>
        void readEntries(IniSection const& section, Definition& definition, Assign assign)
        {
            for (auto const& entry : section.entries) {
                if (auto fault = assign(definition, entry.key, entry.value))
                    report(entry.line, section.name, entry.key, std::move(*fault));
            }
        }

        void readPool(IniSection const& section, Routing::PoolDefinition pool)
        {
            readEntries(section, pool, assignPoolKey);
            tables_.pools.push_back(std::move(pool));
        }

        void readRoute(IniSection const& section, Routing::RouteDefinition route)
        {
            readEntries(section, route, assignRouteKey);
            if (!section.find("pool"))
                report(section.line, section.name, "pool", MissingKey {});
            if (section.find("header-value") && !section.find("header"))
                report(section.line, section.name, "header", MissingKey {});
            tables_.routes.push_back(std::move(route));
        }

        void checkTables()
        {
            auto const table = Routing::RoutingTable::build(tables_.pools, tables_.routes);
            if (!table.isError())
                return;
            for (auto const& fault : table.error())
                report(lineOf(fault), {}, {}, InvalidTable { Routing::describe(fault) });
        }

        std::uint32_t lineOf(Routing::TableError const& fault) const
        {
            auto const name
                = std::visit(Core::Overloaded {
                                 [](Routing::DuplicatePool const& e) { return "pool " + e.pool.value; },
                                 [](Routing::SlotCountOutOfRange const& e) { return "pool " + e.pool.value; },
                                 [](Routing::OverlappingRoutes const& e) { return "route " + e.second.value; },
                                 [](auto const& e) { return "route " + e.route.value; },
                             },
                    fault);
            auto const* section = document_.find(name);
            return section ? section->line : 0;
        }

        IniDocument document_;
        ConfigErrors errors_;
        TablesDocument tables_;
    };

} // namespace

Core::Result<TablesDocument, ConfigErrors> parseTables(std::string_view text, std::string_view file)
{
    return TablesParser(parseIni(text, file)).parse();
}

Core::Result<TablesDocument, ConfigErrors> loadTables(std::string const& path)
{
    return parseTables(TRY(readFile(path)), path);
}

} // namespace Config
