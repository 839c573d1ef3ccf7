#pragma once

#include <LibControlHost/Frames.h>
#include <LibNet/FrameChannel.h>
#include <LibTelemetry/EventLog.h>

namespace Gateway {

/// Receives what the control leader tells this entry host.
class EntryLinkHandler {
public:
    virtual ~EntryLinkHandler() = default;
    virtual void onView(Fleet::ViewUpdate const&) = 0;
    /// Of the configuration items that this entry host has, so that a leader sends only newer ones.
    virtual std::uint64_t itemRevision() const = 0;
};

/// The connection of an entry host to the control leader.
///
/// Looks for the leader among all control hosts it has heard of. On a link that is full an answer may take most of a
/// second, and a control host that is frozen takes connections but never answers; so an attempt is not cut off early,
/// but the next one begins beside it. The first control host that sends a view is the leader.
class EntryLink final : private Net::FrameHandler {
public:
    EntryLink(
        Net::EventLoop&, Telemetry::EventLog&, EntryLinkHandler&, std::string name, std::vector<Core::Endpoint> seeds);
    ~EntryLink() override;

    void setSeeds(std::vector<Core::Endpoint>);
    void report(Fleet::LoadReport const&);
    bool isConnected() const { return leader_ != nullptr; }

private:
    struct Attempt {
        Core::Endpoint peer;
        std::unique_ptr<Net::FrameChannel> channel;
    };

    void onOpen(Net::FrameChannel&) override;
    void onFrame(Net::FrameChannel&, std::string_view) override;
    void onClosed(Net::FrameChannel&) override;

    /// Begins an attempt unless the view is there or enough are under way, and looks again after a while.
    void seek();
    void seekLater(Core::Duration);
    void connect(Core::Endpoint const&);
    void onView(Net::FrameChannel&, Fleet::ViewUpdate const&);
    void onHint(Net::FrameChannel&, ControlHost::LeaderHint const&);
    /// Ends an attempt or the connection to the leader.
    void drop(Net::FrameChannel&);
    bool isTrying(Core::Endpoint const&) const;
    Core::Endpoint peerOf(Net::FrameChannel const&) const;
    std::optional<Core::Endpoint> nextCandidate();

    Net::EventLoop& loop_;
    Telemetry::EventLog& events_;
    EntryLinkHandler& handler_;
    std::string name_;
    std::vector<Core::Endpoint> seeds_;
    std::vector<Core::Endpoint> members_;
    std::size_t next_ { 0 };
    std::vector<Attempt> attempts_;
    /// The one of the attempts that sent a view.
    Net::FrameChannel* leader_ { nullptr };
    Net::EventLoop::TimerId timer_;
};

} // namespace Gateway
