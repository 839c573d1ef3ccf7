#include "Command.h"

namespace {

using Ctl::Command;
using Ctl::ExitCode;

std::vector<Command> allCommands()
{
    std::vector<Command> commands;
    for (auto const group :
        { Ctl::showCommands(), Ctl::changeCommands(), Ctl::usageCommands(), Ctl::offlineCommands() })
        commands.insert(commands.end(), group.begin(), group.end());
    return commands;
}

void printOverview(std::ostream& stream)
{
    stream << "Usage: primroseshiftctl COMMAND [OPTION...]\n\nCommands:\n";
    for (auto const& command : allCommands()) {
        auto const call = command.name + " " + command.arguments;
        stream << "  " << call << std::string(call.size() < 36 ? 36 - call.size() : 1, ' ') << command.summary << "\n";
    }
    stream << "\n'primroseshiftctl COMMAND --help' shows the options of a command. Exit codes: 0 success, 2 usage,\n"
              "3 invalid document or edit, 4 conflict, 5 not found, 6 not available, 7 outcome not known in time,\n"
              "8 refused request.\n";
}

void printVersion() { std::cout << "primroseshiftctl " << PRIMROSESHIFT_VERSION << "\n"; }

ExitCode runCommand(Command const& command, int argumentCount, char** arguments)
{
    cxxopts::Options options("primroseshiftctl " + command.name, command.summary);
    command.addOptions(options);
    options.add_options()("h,help", "Print this help")("version", "Print the version")(
        "arguments", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({ "arguments" });
    options.positional_help(command.arguments);
    options.custom_help("[OPTION...]");
    Ctl::Context const context(options.parse(argumentCount, arguments));
    if (context.options.count("help") > 0) {
        std::cout << options.help({ "", "connection" });
        return ExitCode::Success;
    }
    if (context.options.count("version") > 0) {
        printVersion();
        return ExitCode::Success;
    }
    return command.run(context);
}

ExitCode run(int argumentCount, char** arguments)
{
    std::string const name = argumentCount > 1 ? arguments[1] : "";
    if (name == "--version") {
        printVersion();
        return ExitCode::Success;
    }
    if (name == "--help" || name == "-h" || name == "help") {
        printOverview(std::cout);
        return ExitCode::Success;
    }
    auto const commands = allCommands();
    auto const command = std::ranges::find(commands, name, &Command::name);
    if (command == commands.end()) {
        std::cerr << "primroseshiftctl: " << (name.empty() ? "no command" : "unknown command '" + name + "'") << "\n\n";
        printOverview(std::cerr);
        return ExitCode::Usage;
    }
    return runCommand(*command, argumentCount - 1, arguments + 1);
}

} // namespace

int main(int argumentCount, char** arguments)
{
    try {
        return static_cast<int>(run(argumentCount, arguments));
    } catch (Ctl::UsageError const& error) {
        std::cerr << "primroseshiftctl: " << error.reason << "\n";
    } catch (cxxopts::exceptions::exception const& error) {
        std::cerr << "primroseshiftctl: " << error.what() << "\n";
    }
    return static_cast<int>(ExitCode::Usage);
}
