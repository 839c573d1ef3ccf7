#pragma once

#include <LibFleet/Model.h>
#include <LibNet/HttpServer.h>

/// The request path of an entry host: routing, admission control and forwarding to backend servers.
namespace Gateway {

/// The metadata that a caller sends with a request besides method, path and body.
struct RequestMetadata {
    /// The caller's ID of this attempt; each attempt has another one. Empty if the caller sent none.
    std::string attemptId;
    /// How long the caller waits for the answer, from when it sent the request.
    std::optional<Core::Duration> timeLeft;
    /// The key of a request to a key-divided pool.
    std::optional<std::uint32_t> key;
    /// The secret by which the caller shows that the request is a workspace's. Empty if there is none.
    std::string apiKey;
};

/// The load of a backend server at the time of its answer.
struct ServerLoadReport {
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    std::uint32_t slots { 0 };
    /// Service time relative to the normal one; 1 is normal.
    double slowness { 1 };
};

/// What a backend server asks of its callers in an answer.
struct BackpressureSignals {
    /// The requests per second that the server takes from all entry hosts together. Empty if it names no limit.
    std::optional<double> requestLimit;
    /// Whether the answer has a limit that cannot be read. Such an answer neither sets nor ends a limit.
    bool isLimitUnreadable { false };
    /// Whether the server is about to end and takes no further requests.
    bool isLeaving { false };
    bool isLeavingUnreadable { false };
    /// How long the server, which has turned the request away, wants no further request from this entry host.
    std::optional<Core::Duration> silence;
    bool isSilenceUnreadable { false };
};

/// The metadata that a backend server sends with an answer.
struct AnswerMetadata {
    /// The attempt ID of the request that is answered. Empty if the server sent none.
    std::string attemptId;
    /// Whether the server reported that it did not run the request and will not run it.
    bool isNotRun { false };
    std::optional<ServerLoadReport> load;
    BackpressureSignals backpressure;
};

/// Reads and writes the platform's own header fields, for metadata that no standard HTTP field carries.
class RequestCodec {
public:
    virtual ~RequestCodec() = default;
    virtual RequestMetadata readRequest(Proxy::MessageHead const&) const = 0;
    virtual AnswerMetadata readAnswer(Proxy::MessageHead const&) const = 0;
    /// The header fields that pass on the time left and the workspace, and name the server, so that no other server at
    /// its address runs the request.
    virtual std::vector<Proxy::HeaderField> headerFieldsFor(
        Core::ServerName const&, Core::Duration left, std::optional<Core::WorkspaceName> const&) const = 0;
    /// Whether a header field of the caller is replaced by one of `headerFieldsFor`, or may carry an API key, which no
    /// server gets to see. `hasWorkspaces` tells whether the configuration has API keys.
    virtual bool replacesField(std::string_view fieldName, bool hasWorkspaces) const = 0;
    /// The header field that tells a caller without a valid API key how to send one.
    virtual Proxy::HeaderField challengeField() const = 0;
};

} // namespace Gateway
