#pragma once

#include <LibFleet/Model.h>
#include <LibNet/HttpServer.h>

/// The request path of an entry host: decides where a request goes and whether it is refused, and carries it there.
namespace Gateway {

/// What a caller says of its request beside method, path and body.
struct RequestMetadata {
    /// Differs between two attempts of a caller. Empty if it has none.
    std::string attemptId;
    /// How long the caller waits, counted from when it sent the request.
    std::optional<Core::Duration> timeLeft;
    /// Of a key-divided pool.
    std::optional<std::uint32_t> key;
};

/// A backend server's load when it answered.
struct ServerLoadReport {
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    std::uint32_t slots { 0 };
    /// Time that work takes relative to the usual; one is as usual.
    double slowness { 1 };
};

/// What a backend server says of its answer.
struct AnswerMetadata {
    /// Of the request that it answers. Empty if it says none.
    std::string attemptId;
    /// The server did not run the request and will not.
    bool isNotRun { false };
    std::optional<ServerLoadReport> load;
};

/// The header fields by which callers, entry hosts and backend servers tell each other what HTTP has no field for.
class RequestCodec {
public:
    virtual ~RequestCodec() = default;
    virtual RequestMetadata readRequest(Proxy::MessageHead const&) const = 0;
    virtual AnswerMetadata readAnswer(Proxy::MessageHead const&) const = 0;
    /// The fields that make the named server, and no other one at its address, run the request within the time left.
    virtual std::vector<Proxy::HeaderField> headerFieldsFor(Core::ServerName const&, Core::Duration left) const = 0;
    /// Whether a field of the caller is replaced by one of `headerFieldsFor`.
    virtual bool replacesField(std::string_view fieldName) const = 0;
};

} // namespace Gateway
