#include "BareServer.h"
#include "LocalControl.h"

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>

namespace {

cxxopts::Options makeOptions()
{
    cxxopts::Options options("BareRelay",
        "The performance baseline: a bare cpp-httplib relay, or the real data path "
        "with collaborators within the process");
    options.add_options()("mode", "bare or proxy", cxxopts::value<std::string>()->default_value("bare"))(
        "listen", "ADDRESS to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "Port to listen on, 0 for a free one", cxxopts::value<std::uint16_t>()->default_value("0"))("backend",
        "Backend servers of the bare relay; those of the proxy announce themselves",
        cxxopts::value<std::vector<std::string>>())(
        "threads", "Bound of connections", cxxopts::value<std::uint32_t>()->default_value("512"))("fillers",
        "Additional pools with a route and a server each",
        cxxopts::value<std::uint32_t>()->default_value("0"))("help", "Print usage");
    return options;
}

int runBare(cxxopts::ParseResult const& arguments, Core::Endpoint const& endpoint)
{
    std::vector<Core::Endpoint> backends;
    if (arguments.count("backend") > 0) {
        for (auto const& text : arguments["backend"].as<std::vector<std::string>>()) {
            if (auto backend = Core::Endpoint::parse(text))
                backends.push_back(std::move(*backend));
        }
    }
    if (backends.empty()) {
        std::cerr << "--backend ADDRESS:PORT is needed\n";
        return 2;
    }
    Relay::BareServer relay(std::move(backends), arguments["threads"].as<std::uint32_t>());
    auto const isServed = relay.serve(endpoint, [&](int port) {
        std::cout << "bare " << endpoint.address << ':' << port << std::endl; // Flushed: scripts read the port.
    });
    return isServed ? 0 : 1;
}

int runProxy(cxxopts::ParseResult const& arguments, Core::Endpoint const& endpoint)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    Relay::LocalControl control(arguments["fillers"].as<std::uint32_t>());
    Proxy::Server server(
        { .listen = endpoint, .host = { "local" }, .maxConnections = arguments["threads"].as<std::uint32_t>() },
        { control, control, control, control, control });
    auto const bound = server.start();
    if (bound.isError()) {
        std::cerr << "cannot bind " << endpoint.toString() << '\n';
        return 1;
    }
    std::cout << "proxy " << bound.value().toString() << std::endl; // Flushed: scripts read the port.
    int signal = 0;
    sigwait(&signals, &signal);
    constexpr auto drainLimit = std::chrono::seconds(10);
    return server.drain(drainLimit) ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    auto options = makeOptions();
    try {
        auto const arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        Core::Endpoint const endpoint { arguments["listen"].as<std::string>(), arguments["port"].as<std::uint16_t>() };
        return arguments["mode"].as<std::string>() == "proxy" ? runProxy(arguments, endpoint)
                                                              : runBare(arguments, endpoint);
    } catch (cxxopts::exceptions::exception const& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
