#include "Command.h"

#include <LibConfig/Units.h>
#include <LibCore/Random.h>

#include <charconv>
#include <cstdlib>

namespace Ctl {

namespace {

    constexpr auto entryPointsVariable = "PRIMROSESHIFT_ENTRY_POINTS";

    std::string environment(char const* name)
    {
        // NOLINTNEXTLINE(concurrency-mt-unsafe): the tool has one thread and never changes its environment.
        auto const* value = std::getenv(name);
        return value ? value : "";
    }

    std::vector<Core::Endpoint> parseEntryPoints(std::string_view text)
    {
        std::vector<Core::Endpoint> entryPoints;
        while (!text.empty()) {
            auto const part = text.substr(0, text.find(','));
            auto endpoint = Core::Endpoint::parse(part);
            if (!endpoint)
                throw UsageError { "entry point '" + std::string(part) + "' is not IP:port" };
            entryPoints.push_back(std::move(*endpoint));
            text.remove_prefix(std::min(text.size(), part.size() + 1));
        }
        if (entryPoints.empty())
            throw UsageError { std::string("no entry point: give --entry-points or set ") + entryPointsVariable };
        return entryPoints;
    }

    ExitCode exitCodeOf(Operator::OperatorError const& error)
    {
        return std::visit(Core::Overloaded {
                              [](Operator::NotLeader const&) { return ExitCode::Unavailable; },
                              [](Operator::Conflict const&) { return ExitCode::Conflict; },
                              [](Operator::EditIdReused const&) { return ExitCode::Conflict; },
                              [](Operator::InvalidEdit const&) { return ExitCode::Invalid; },
                              [](Operator::NotFound const&) { return ExitCode::NotFound; },
                              [](Operator::Unavailable const&) { return ExitCode::Unavailable; },
                              [](Operator::Timeout const&) { return ExitCode::Timeout; },
                              [](Operator::BadRequest const&) { return ExitCode::BadRequest; },
                          },
            error);
    }

} // namespace

std::vector<std::string> Context::arguments() const
{
    return options.count("arguments") > 0 ? options["arguments"].as<std::vector<std::string>>()
                                          : std::vector<std::string> {};
}

std::string Context::soleArgument(std::string const& name) const
{
    auto const given = arguments();
    if (given.size() != 1)
        throw UsageError { "exactly one argument is needed: " + name };
    return given.front();
}

void Context::expectNoArguments() const
{
    if (!arguments().empty())
        throw UsageError { "unexpected argument '" + arguments().front() + "'" };
}

std::optional<std::string> Context::text(std::string const& option) const
{
    return options.count(option) > 0 ? std::optional(options[option].as<std::string>()) : std::nullopt;
}

std::optional<std::uint64_t> Context::number(std::string const& option) const
{
    auto const value = text(option);
    if (!value)
        return std::nullopt;
    auto const number = Config::parseNumber(*value);
    if (number.error)
        throw UsageError { "--" + option + " is not a whole number: " + *value };
    return number.value;
}

Core::Duration Context::duration(std::string const& option) const
{
    auto const value = options[option].as<std::string>();
    auto const duration = Config::parseDuration(value);
    if (duration.error)
        throw UsageError { "--" + option + " is not a duration such as 10s: " + value };
    return duration.value;
}

Operator::OperatorClient Context::client() const
{
    auto const timeout = duration("timeout");
    Operator::OperatorClientSettings settings {
        .entryPoints = parseEntryPoints(text("entry-points").value_or(environment(entryPointsVariable))),
        .totalTimeout = timeout,
    };
    settings.responseTimeout = std::min(settings.responseTimeout, timeout);
    return Operator::OperatorClient(std::move(settings));
}

std::string Context::author() const
{
    auto author = text("author").value_or(environment("USER"));
    if (author.empty())
        throw UsageError { "no author: give --author or set USER" };
    return author;
}

Core::EditId Context::editId() const
{
    auto random = Core::Random::fromSystemEntropy();
    return { text("id").value_or("ctl-" + Core::RequestId::generate(random).toString()) };
}

ExitCode fail(Operator::OperatorError const& error)
{
    std::cerr << "primroseshiftctl: " << Operator::describe(error) << "\n";
    return exitCodeOf(error);
}

void addNoOptions(cxxopts::Options&) { }

void addClientOptions(cxxopts::Options& options)
{
    options.add_options("connection")("entry-points",
        "Operator APIs to try in turn, separated by commas; default: $PRIMROSESHIFT_ENTRY_POINTS",
        cxxopts::value<std::string>(), "IP:port,...")("timeout", "Bound for the whole call",
        cxxopts::value<std::string>()->default_value("20s"), "DURATION")("json", "Print the response as JSON");
}

} // namespace Ctl
