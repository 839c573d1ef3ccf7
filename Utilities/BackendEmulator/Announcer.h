#pragma once

#include "Backend.h"

#include <thread>

namespace Emulator {

/// Announces the server to the entry hosts every 300 ms and applies the grants of the replies.
class Announcer {
public:
    Announcer(Backend& backend, std::vector<Core::Endpoint> entryHosts)
        : backend_(backend)
        , entryHosts_(std::move(entryHosts))
    {
    }

    void start();
    void stop() { thread_ = {}; }

private:
    void run(std::stop_token const&);
    /// False when the entry host did not answer with a reply; the next one is tried.
    bool announceTo(Core::Endpoint const&);

    Backend& backend_;
    std::vector<Core::Endpoint> entryHosts_;
    std::jthread thread_;
};

} // namespace Emulator
