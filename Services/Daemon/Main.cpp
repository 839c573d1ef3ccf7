#include "Daemon.h"

#include <LibCore/Process.h>

#include <cxxopts.hpp>
#include <platform/Roles.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <iostream>

namespace {

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

struct CommandLine {
    std::string settings;
    bool checksOnly { false };
    /// The role on the users' platform; empty for the product's own settings.
    std::string platformRole;
    Daemon::StartOptions start;
    /// Set when the process is to end at once.
    std::optional<int> exitCode;
};

CommandLine parseCommandLine(int argc, char** argv)
{
    cxxopts::Options options("primroseshiftd", "Router for servers that own keys");
    options.add_options()("c,config", "Settings file (INI)", cxxopts::value<std::string>())(
        "check-config", "Check the settings and exit")(
        "bootstrap", "Create the store of one of the first control hosts of a new cluster, then run")(
        "join", "Create an empty store for a control host that joins an existing cluster, then run")("platform-role",
        "Run the entry or control role on the users' platform, with the settings file of the platform",
        cxxopts::value<std::string>())("h,help", "Print this help")("version", "Print the version");
    CommandLine line;
    try {
        auto const parsed = options.parse(argc, argv);
        if (parsed.count("help")) {
            std::cout << options.help() << "\nExit codes: 0 stopped, 1 failed, 2 bad settings or command line\n";
            line.exitCode = exitOk;
        } else if (parsed.count("version")) {
            std::cout << "primroseshiftd " PRIMROSESHIFT_VERSION "\n";
            line.exitCode = exitOk;
        } else if (parsed.count("platform-role")) {
            line.platformRole = parsed["platform-role"].as<std::string>();
        } else if (!parsed.count("config")) {
            std::cerr << "primroseshiftd: --config is required\n";
            line.exitCode = exitUsage;
        } else {
            line.settings = parsed["config"].as<std::string>();
            line.checksOnly = parsed.count("check-config") > 0;
            line.start = { parsed.count("bootstrap") > 0, parsed.count("join") > 0 };
        }
    } catch (cxxopts::exceptions::exception const& error) {
        std::cerr << "primroseshiftd: " << error.what() << '\n';
        line.exitCode = exitUsage;
    }
    return line;
}

/// Blocks the signals in this thread and those it starts, so that one thread receives them.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    // A write beyond a file size limit fails instead, like one to a full disk.
    std::signal(SIGXFSZ, SIG_IGN);
    return signals;
}

int runDaemon(Config::DaemonSettings const& settings, Daemon::StartOptions options)
{
    auto const signals = blockSignals();
    auto daemon = Daemon::Daemon::start(settings, options);
    if (daemon.isError()) {
        std::cerr << "primroseshiftd: " << Daemon::describe(daemon.error()) << '\n';
        return exitFailed;
    }
    std::atomic<bool> hasEnded { false };
    std::thread signalThread([&signals, &hasEnded, &running = *daemon.value()] {
        // The first signal begins a graceful stop, any further one ends it early.
        for (;;) {
            int received = 0;
            sigwait(&signals, &received);
            if (hasEnded)
                return;
            running.requestStop();
        }
    });
    daemon.value()->run();
    // The signal thread uses the daemon, so it ends first.
    hasEnded = true;
    ::kill(::getpid(), SIGTERM);
    signalThread.join();
    return exitOk;
}

} // namespace

int main(int argc, char** argv)
{
    auto const line = parseCommandLine(argc, argv);
    if (line.exitCode)
        return *line.exitCode;
    if (!line.platformRole.empty())
        Core::endProcess(Platform::run(line.platformRole));
    auto const settings = Config::loadDaemonSettings(line.settings);
    if (settings.isError()) {
        for (auto const& error : settings.error())
            std::cerr << Config::describe(error) << '\n';
        return exitUsage;
    }
    if (line.checksOnly)
        return exitOk;
    return runDaemon(settings.value(), line.start);
}
