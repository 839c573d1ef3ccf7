#pragma once

#include <LibOperator/OperatorClient.h>

#include <cxxopts.hpp>

#include <iostream>
#include <span>

/// The operators' command-line tool.
namespace Ctl {

/// Documented in docs/operator-api.md.
enum class ExitCode : std::uint8_t {
    Success = 0,
    Usage = 2,
    /// A document, settings file or edit has errors.
    Invalid = 3,
    Conflict = 4,
    NotFound = 5,
    Unavailable = 6,
    /// The outcome is not known, or a revision is not in effect everywhere yet.
    Timeout = 7,
    BadRequest = 8,
};

/// A fault of the command line. Caught in `main`, since cxxopts reports its own faults as exceptions too.
struct UsageError {
    std::string reason;
};

/// What a subcommand works with.
class Context {
public:
    explicit Context(cxxopts::ParseResult const& parsed)
        : options(parsed)
    {
    }

    cxxopts::ParseResult options;

    /// Positional arguments after the subcommand.
    std::vector<std::string> arguments() const;
    /// The only positional argument.
    std::string soleArgument(std::string const& name) const;
    void expectNoArguments() const;
    bool isJson() const { return options.count("json") > 0; }
    std::optional<std::string> text(std::string const& option) const;
    std::optional<std::uint64_t> number(std::string const& option) const;
    Core::Duration duration(std::string const& option) const;

    Operator::OperatorClient client() const;
    /// From `--author`, otherwise the name of the user.
    std::string author() const;
    /// From `--id`, otherwise a new one.
    Core::EditId editId() const;
};

struct Command {
    std::string name;
    /// Positional arguments, for the help.
    std::string arguments;
    std::string summary;
    void (*addOptions)(cxxopts::Options&);
    ExitCode (*run)(Context const&);
};

/// Reports an error and gives its exit code.
ExitCode fail(Operator::OperatorError const&);

/// Prints the response as JSON, or by `print`.
template <typename Response, typename Print>
ExitCode show(Context const& context, Operator::OperatorResult<Response> const& result, Print print);

void addNoOptions(cxxopts::Options&);
/// `--entry-points`, `--timeout` and `--json`.
void addClientOptions(cxxopts::Options&);

std::span<Command const> showCommands();
std::span<Command const> changeCommands();
std::span<Command const> usageCommands();
std::span<Command const> offlineCommands();

} // namespace Ctl

#include <LibOperator/OperatorCodec.h>

template <typename Response, typename Print>
Ctl::ExitCode Ctl::show(Context const& context, Operator::OperatorResult<Response> const& result, Print print)
{
    if (result.isError())
        return fail(result.error());
    if (context.isJson())
        std::cout << Operator::encode(result.value()) << "\n";
    else
        print(result.value());
    return ExitCode::Success;
}
