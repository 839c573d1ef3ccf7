#pragma once

#include <LibProxy/Exchange.h>

namespace Proxy {

/// Answers one announcement of a backend server. True when the connection can be used again.
bool serveAnnouncement(Environment&, CallerConnection&, MessageReader& request, bool keepsCaller);

} // namespace Proxy
