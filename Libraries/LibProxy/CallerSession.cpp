#include <LibCore/Random.h>
#include <LibProxy/AnnounceEndpoint.h>
#include <LibProxy/CallerSession.h>

#include <algorithm>

namespace Proxy {

namespace {

    /// A connection that is idle this long gives its buffer back.
    constexpr Core::Duration bufferRetention = std::chrono::milliseconds(200);
    /// A request that a caller had already sent when the drain began is still answered, as not run.
    constexpr Core::Duration drainGrace = std::chrono::seconds(1);
    constexpr Core::Duration lingerTime = std::chrono::seconds(1);

} // namespace

void CallerSession::run()
{
    while (waitForRequest()) {
        MessageReader request(MessageKind::Request, environment_.settings.maxHeadBytes);
        auto const head = readHead(request);
        if (head.isError())
            return rejectHead(head.error());
        if (!serve(request))
            break;
    }
}

bool CallerSession::waitForRequest()
{
    if (!caller_.input.isEmpty())
        return true;
    auto const limit = Core::BootClock::now() + environment_.settings.callerIdleTimeout;
    auto releaseAt = std::min(limit, Core::BootClock::now() + bufferRetention);
    std::array<pollfd, 2> polled { pollfd { caller_.socket.descriptor(), POLLIN, 0 },
        pollfd { drainDescriptor_, POLLIN, 0 } };
    if (!waitFor(polled, releaseAt)) {
        caller_.input.releaseMemory();
        if (!waitFor(polled, limit))
            return false;
    }
    // A request that has come is answered, also while the server stops.
    if (polled[0].revents != 0)
        return true;
    return environment_.stopDeadline.waitFor(std::span(polled).first(1), Core::BootClock::now() + drainGrace);
}

Core::Result<Core::Void, CallerSession::HeadFailure> CallerSession::readHead(MessageReader& request)
{
    auto const deadline = Core::BootClock::now() + environment_.settings.headTimeout;
    while (true) {
        if (!caller_.input.isEmpty()) {
            auto const complete = request.readHead(caller_.input);
            if (complete.isError()) {
                auto const& error = complete.error();
                auto const isTooLarge = error.kind == ParseErrorKind::HeadTooLarge;
                return HeadFailure { isTooLarge ? Reason::HeadersTooLarge : Reason::BadRequest, error.detail,
                    error.kind == ParseErrorKind::Truncated };
            }
            if (complete.value())
                return Core::Void {};
        }
        auto const received = caller_.input.receiveFrom(caller_.socket);
        if (received.status == IoStatus::Done)
            continue;
        if (received.status != IoStatus::WouldBlock)
            return HeadFailure { .detail = "connection closed", .isEnd = true };
        std::array<pollfd, 1> polled { pollfd { caller_.socket.descriptor(), POLLIN, 0 } };
        if (environment_.stopDeadline.waitFor(polled, deadline))
            continue;
        if (environment_.stopDeadline.hasPassed())
            return HeadFailure { Reason::Draining, "head incomplete at the stop" };
        return HeadFailure { Reason::BadRequest, "head timeout" };
    }
}

void CallerSession::rejectHead(HeadFailure const& failure)
{
    // A connection that ends between requests is the normal end.
    if (failure.isEnd && caller_.input.isEmpty())
        return;
    environment_.collaborators.observer.inputRejected({ caller_.remoteAddress, failure.reason, failure.detail });
    caller_.socket.send(rejectionMessage({ failure.reason }, Core::RequestId::generate(threadRandom()), false));
    caller_.socket.finishSending(lingerTime);
}

bool CallerSession::serve(MessageReader& request)
{
    auto const& head = request.head();
    auto const keepsCaller = head.keepsAlive && !head.isHttp10 && !environment_.isDraining;
    if (head.method == "POST" && head.target == announcePath)
        return serveAnnouncement(environment_, caller_, request, keepsCaller);
    Exchange exchange(environment_, caller_, request, keepsCaller);
    return exchange.run();
}

} // namespace Proxy
