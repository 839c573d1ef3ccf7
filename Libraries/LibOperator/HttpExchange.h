#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Result.h>
#include <LibCore/Time.h>

namespace Operator {

struct HttpRequest {
    Core::Endpoint endpoint;
    std::string method;
    /// Path and query, encoded.
    std::string target;
    std::string body;
    bool isForwarded { false };
};

struct HttpResponse {
    int status { 0 };
    std::string body;
};

struct HttpTimeouts {
    Core::Duration connect;
    /// For the complete response.
    Core::Duration response;
};

/// No complete response arrived.
struct ExchangeFailed {
    /// False only when no connection was made.
    bool mayHaveArrived { false };
};

/// One request on a connection of its own. Never sends a request twice.
Core::Result<HttpResponse, ExchangeFailed> exchange(HttpRequest const&, HttpTimeouts const&);

} // namespace Operator
