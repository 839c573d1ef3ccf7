#include "Targets.h"

#include <LibConfig/DaemonSettings.h>
#include <LibConfig/TablesDocument.h>
#include <LibTelemetry/Trace.h>

#include <algorithm>
#include <cstdlib>

namespace Fuzz {

namespace {

    void require(bool holds)
    {
        if (!holds)
            std::abort();
    }

    void checkErrors(Config::ConfigErrors const& errors, std::string_view input)
    {
        auto const lines = static_cast<std::size_t>(std::ranges::count(input, '\n')) + 1;
        require(!errors.empty());
        require(std::ranges::is_sorted(errors, {}, &Config::ConfigError::line));
        for (auto const& error : errors) {
            require(error.line <= lines);
            require(Config::describe(error).starts_with("input"));
        }
    }

} // namespace

void checkSettings(std::string_view input)
{
    auto const result = Config::parseDaemonSettings(input, "input");
    if (result.isError())
        checkErrors(result.error(), input);
    else
        require(Config::isValidName(result.value().host.name.value));
}

void checkTables(std::string_view input)
{
    auto const result = Config::parseTables(input, "input");
    if (result.isError()) {
        checkErrors(result.error(), input);
        return;
    }
    auto const readBack = Config::parseTables(Config::formatTables(result.value()), "formatted");
    require(!readBack.isError() && readBack.value() == result.value());
}

void checkTraceparent(std::string_view input)
{
    auto const context = Telemetry::TraceContext::parse(input);
    if (!context)
        return;
    auto const formatted = context->format();
    require(Telemetry::TraceContext::parse(formatted) == context);
    auto const isPlain = input.starts_with("00-") && (input.ends_with("-00") || input.ends_with("-01"));
    require(!isPlain || formatted == input);
}

} // namespace Fuzz
