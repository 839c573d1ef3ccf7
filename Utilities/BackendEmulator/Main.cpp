#include "Announcer.h"
#include "HttpFront.h"

#include <LibCore/Random.h>

#include <cxxopts.hpp>

#include <iostream>

namespace {

cxxopts::Options makeOptions()
{
    cxxopts::Options options("BackendEmulator", "An emulated backend server that announces itself to entry hosts");
    options.add_options()("name", "Name of the server", cxxopts::value<std::string>())(
        "pool", "Pool to join", cxxopts::value<std::string>())(
        "address", "Address to serve on", cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "Port to serve on, 0 for a free one", cxxopts::value<std::uint16_t>()->default_value("0"))("admin-port",
        "Port for switches and counts, 0 for a free one", cxxopts::value<std::uint16_t>()->default_value("0"))(
        "domain", "Failure domain", cxxopts::value<std::string>()->default_value("domain-1"))(
        "slots", "Concurrent requests", cxxopts::value<std::uint32_t>()->default_value("4"))(
        "connections", "Connection limit", cxxopts::value<std::uint32_t>()->default_value("100"))(
        "checks-fencing", "Reject requests with an invalid fencing token")("entry",
        "Entry hosts to announce to, ADDRESS:PORT", cxxopts::value<std::vector<std::string>>())("execution-log",
        "File that gets a line per run of a request", cxxopts::value<std::string>()->default_value(""))(
        "switch", "Initial switches, name=value", cxxopts::value<std::vector<std::string>>())("help", "Print usage");
    return options;
}

/// Empty when an argument is not valid.
std::optional<std::vector<Core::Endpoint>> parseEntryHosts(cxxopts::ParseResult const& arguments)
{
    std::vector<Core::Endpoint> result;
    if (arguments.count("entry") == 0)
        return result;
    for (auto const& text : arguments["entry"].as<std::vector<std::string>>()) {
        auto endpoint = Core::Endpoint::parse(text);
        if (!endpoint)
            return std::nullopt;
        result.push_back(std::move(*endpoint));
    }
    return result;
}

bool setSwitches(cxxopts::ParseResult const& arguments, Emulator::Switches& switches)
{
    if (arguments.count("switch") == 0)
        return true;
    return std::ranges::all_of(arguments["switch"].as<std::vector<std::string>>(), [&](std::string_view text) {
        auto const equals = text.find('=');
        return equals != std::string_view::npos && switches.set(text.substr(0, equals), text.substr(equals + 1));
    });
}

Emulator::Settings toSettings(cxxopts::ParseResult const& arguments)
{
    auto random = Core::Random::fromSystemEntropy();
    // JSON readers of other languages keep integers exact up to 53 bits.
    constexpr std::uint64_t incarnationBound = 1ULL << 53;
    return { .identity = { .name = { arguments["name"].as<std::string>() },
                 .pool = { arguments["pool"].as<std::string>() },
                 .endpoint = { arguments["address"].as<std::string>(), arguments["port"].as<std::uint16_t>() },
                 .failureDomain = { arguments["domain"].as<std::string>() },
                 .incarnation = { random.below(incarnationBound) },
                 .slots = arguments["slots"].as<std::uint32_t>(),
                 .connections = arguments["connections"].as<std::uint32_t>(),
                 .checksFencing = arguments.count("checks-fencing") > 0 },
        .executionLog = arguments["execution-log"].as<std::string>() };
}

int run(cxxopts::ParseResult const& arguments)
{
    auto const entryHosts = parseEntryHosts(arguments);
    Emulator::Backend backend(toSettings(arguments));
    if (!entryHosts || !setSwitches(arguments, backend.switches())) {
        std::cerr << "invalid --entry or --switch\n";
        return 2;
    }
    Emulator::HttpFront front(backend);
    auto const port = front.bind(backend.settings().identity.endpoint);
    if (!port) {
        std::cerr << "cannot bind " << backend.settings().identity.endpoint.toString() << '\n';
        return 1;
    }
    backend.setPort(*port);

    httplib::Server admin;
    Emulator::addAdminHandlers(admin, backend);
    auto const wantedAdminPort = arguments["admin-port"].as<std::uint16_t>();
    auto const adminPort = wantedAdminPort == 0            ? admin.bind_to_any_port("127.0.0.1")
        : admin.bind_to_port("127.0.0.1", wantedAdminPort) ? wantedAdminPort
                                                           : -1;
    if (adminPort <= 0) {
        std::cerr << "cannot bind the admin port\n";
        return 1;
    }
    std::jthread const adminThread([&admin] { admin.listen_after_bind(); });
    Emulator::Announcer announcer(backend, *entryHosts);
    announcer.start();
    std::cout << backend.settings().identity.name.value << ' ' << backend.settings().identity.endpoint.toString()
              << " admin 127.0.0.1:" << adminPort << std::endl; // Flushed: scripts read the ports from it.
    front.listen_after_bind();
    admin.stop();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    auto options = makeOptions();
    try {
        auto const arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0 || arguments.count("name") == 0 || arguments.count("pool") == 0) {
            std::cout << options.help();
            return arguments.count("help") > 0 ? 0 : 2;
        }
        return run(arguments);
    } catch (cxxopts::exceptions::exception const& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
