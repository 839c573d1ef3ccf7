#pragma once

#include <LibProxy/Attempt.h>

namespace Proxy {

/// The whole message that tells a caller why its request got no response of a backend server.
std::string rejectionMessage(Rejection const&, Core::RequestId, bool keepsCaller, bool withBody = true);

/// Sends a caller what it gets: a forwarded response or a rejection.
class ResponseRelay {
public:
    ResponseRelay(Environment& environment, RequestContext& context, bool keepsCaller)
        : environment_(environment)
        , context_(context)
        , keepsCaller_(keepsCaller)
    {
    }

    /// Forwards the response of an attempt whose head was read. Fails only while nothing was sent to the caller.
    Core::Result<Core::Void, AttemptFailure> forward(Attempt&);
    void reject(Rejection const&);
    /// Sends the answer that was kept from the first attempt of an order.
    void replay(KeptAnswer const&);

    /// The caller's connection can be used for another request.
    bool keepsCaller() const { return keepsCaller_; }
    bool isTruncated() const { return isTruncated_; }
    /// The caller closed its connection or did not read in time.
    bool callerLeft() const { return callerLeft_; }
    /// The complete answer when it is small enough to be kept for resends.
    std::optional<KeptAnswer> const& keptAnswer() const { return kept_; }

private:
    enum class Framing : std::uint8_t { NoBody, Length, Chunked, UntilClose };

    Framing framingOf(MessageHead const&) const;
    std::string responseHead(MessageHead const&, Framing) const;
    void keep(std::string_view data);
    /// False when the caller left or the time passed: that given for a last delivery, else that of the request.
    bool write(std::string_view first, std::string_view second, std::optional<Core::TimePoint> lastDelivery);
    void truncate(Framing);

    Environment& environment_;
    RequestContext& context_;
    std::optional<KeptAnswer> kept_;
    bool keepsCaller_;
    bool isTruncated_ { false };
    bool callerLeft_ { false };
};

} // namespace Proxy
