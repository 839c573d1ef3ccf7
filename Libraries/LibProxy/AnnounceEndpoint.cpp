#include <LibProxy/AnnounceEndpoint.h>
#include <LibProxy/HeaderRules.h>

namespace Proxy {

namespace {

    constexpr Core::Duration announcementTimeout = std::chrono::seconds(5);
    constexpr Core::Duration lingerTime = std::chrono::seconds(1);

    struct Reply {
        std::uint16_t status { 200 };
        std::string body;
    };

    Reply refuse(std::uint16_t status, std::string_view error)
    {
        return { status, std::string("{\"error\":\"").append(error).append("\"}") };
    }

    Reply toReply(Core::Result<AnnounceReply, AnnounceRefusal> const& result)
    {
        if (!result.isError())
            return { 200, toJson(result.value()) };
        switch (result.error()) {
        case AnnounceRefusal::NotReady:
            return refuse(503, "not-ready");
        case AnnounceRefusal::UnknownPool:
            return refuse(404, "unknown-pool");
        case AnnounceRefusal::NameInUse:
            return refuse(409, "name-in-use");
        }
        return refuse(503, "not-ready");
    }

    Reply handle(Environment& environment, CallerConnection const& caller, RequestBody& body)
    {
        body.setLimit(maxAnnouncementBytes);
        auto const read
            = body.buffer(maxAnnouncementBytes, Core::BootClock::now() + announcementTimeout, environment.stopDeadline);
        if (read.isError() && read.error() == BodyError::DeadlinePassed && environment.isDraining)
            return refuse(503, "draining");
        if (read.isError())
            return read.error() == BodyError::TooLarge ? refuse(413, "too-large") : refuse(400, "bad-body");
        if (environment.isDraining)
            return refuse(503, "draining");
        auto const announcement = parseAnnouncement(body.buffered());
        if (announcement.isError()) {
            auto const detail = describe(announcement.error());
            environment.collaborators.observer.inputRejected({ caller.remoteAddress, Reason::BadRequest, detail });
            return refuse(400, detail);
        }
        return toReply(environment.collaborators.announcements.announce(announcement.value()));
    }

} // namespace

bool serveAnnouncement(Environment& environment, CallerConnection& caller, MessageReader& request, bool keepsCaller)
{
    RequestBody body(request, caller.input, caller.socket);
    auto const reply = handle(environment, caller, body);
    auto const isReusable = keepsCaller && body.isDone();
    std::string text = "HTTP/1.1 " + std::to_string(reply.status) + " Announcement\r\n";
    appendField(text, "Content-Type", "application/json");
    appendField(text, "Content-Length", std::to_string(reply.body.size()));
    if (!isReusable)
        appendField(text, "Connection", "close");
    text.append("\r\n").append(reply.body);

    std::string_view rest = text;
    auto const deadline = Core::BootClock::now() + announcementTimeout;
    while (!rest.empty()) {
        auto const sent = caller.socket.send(rest);
        std::array<pollfd, 1> polled { pollfd { caller.socket.descriptor(), POLLOUT, 0 } };
        if (sent.status == IoStatus::WouldBlock && waitFor(polled, deadline))
            continue;
        if (sent.status != IoStatus::Done)
            return false;
        rest.remove_prefix(sent.bytes);
    }
    if (!body.isDone())
        caller.socket.finishSending(lingerTime);
    return isReusable;
}

} // namespace Proxy
