#include "Command.h"
#include "Table.h"

#include <LibConfig/Units.h>
#include <LibOperator/OperatorQuery.h>

#include <array>
#include <ctime>

namespace Ctl {

namespace {

    constexpr std::int64_t millisecondsPerSecond = 1000;

    /// `2026-12-04`, `2026-12-04T01:30`, `2026-12-04T01:30:00`, each in UTC with an optional `Z`, or milliseconds since
    /// the Unix epoch.
    std::int64_t parseTime(std::string const& option, std::string const& text)
    {
        if (auto const number = Config::parseNumber(text); !number.error && !text.empty())
            return static_cast<std::int64_t>(number.value);
        for (auto const* format : { "%Y-%m-%d", "%Y-%m-%dT%H:%M", "%Y-%m-%dT%H:%M:%S" }) {
            std::tm time {};
            auto const* end = strptime(text.c_str(), format, &time);
            if (end && (*end == '\0' || std::string_view(end) == "Z"))
                return static_cast<std::int64_t>(timegm(&time)) * millisecondsPerSecond;
        }
        throw UsageError { "--" + option + " is not a time such as 2026-12-04T01:30Z: " + text };
    }

    Table usageTable(Operator::UsageResponse const& response)
    {
        Table table({ "POOL", "ROUTE", "CALLER", "REQUESTS", "ANSWERED", "NOT RUN", "UNKNOWN", "BYTES IN", "BYTES OUT",
            "BUSY SECONDS", "RETRIES", "HEDGES" });
        for (auto const& [key, counters] : response.rows) {
            auto const milliseconds = counters.serverBusyMicroseconds / 1000;
            auto const fraction = std::to_string(1000 + milliseconds % 1000).substr(1);
            table.add({ key.pool.value, key.route.value, key.caller.value, std::to_string(counters.requests()),
                std::to_string(counters.answered), std::to_string(counters.notRun), std::to_string(counters.unknown),
                std::to_string(counters.bytesFromCaller), std::to_string(counters.bytesToCaller),
                std::to_string(milliseconds / 1000) + "." + fraction, std::to_string(counters.retries),
                std::to_string(counters.hedges) });
        }
        return table;
    }

    ExitCode runUsage(Context const& context)
    {
        context.expectNoArguments();
        auto const from = context.text("from");
        if (!from)
            throw UsageError { "--from is needed" };
        auto const to = context.text("to");
        auto const grouping = Operator::parseGrouping(context.options["by"].as<std::string>());
        auto const format = context.isJson() ? "json" : context.options["format"].as<std::string>();
        if (!grouping)
            throw UsageError { "--by is not pool, route, caller or all" };
        if (format != "table" && format != "csv" && format != "json")
            throw UsageError { "--format is not table, csv or json" };
        auto const result = context.client().usage(
            { parseTime("from", *from), to ? parseTime("to", *to) : Core::wallClockMilliseconds(), *grouping });
        if (result.isError())
            return fail(result.error());
        if (format == "json")
            std::cout << Operator::encode(result.value()) << "\n";
        else if (format == "csv")
            usageTable(result.value()).printCsv(std::cout);
        else
            usageTable(result.value()).print(std::cout);
        if (result.value().corruptRecords > 0)
            std::cerr << "primroseshiftctl: " << result.value().corruptRecords
                      << " damaged usage records were left out\n";
        return ExitCode::Success;
    }

    void addUsageOptions(cxxopts::Options& options)
    {
        addClientOptions(options);
        options.add_options()("from", "Begin, for example 2026-12-01 (UTC)", cxxopts::value<std::string>(), "TIME")(
            "to", "End, not included; default: now", cxxopts::value<std::string>(), "TIME")(
            "by", "pool, route, caller or all", cxxopts::value<std::string>()->default_value("pool"), "GROUPING")(
            "format", "table, csv or json", cxxopts::value<std::string>()->default_value("table"), "FORMAT");
    }

} // namespace

std::span<Command const> usageCommands()
{
    static std::array<Command, 1> const commands { {
        { "usage", "", "Show usage by name over a range of time", addUsageOptions, runUsage },
    } };
    return commands;
}

} // namespace Ctl
