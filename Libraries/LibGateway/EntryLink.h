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

/// The connection of an entry host to the control leader. Looks for the leader among all control hosts it has heard of.
class EntryLink final : private Net::FrameHandler {
public:
    EntryLink(
        Net::EventLoop&, Telemetry::EventLog&, EntryLinkHandler&, std::string name, std::vector<Core::Endpoint> seeds);
    ~EntryLink() override;

    void setSeeds(std::vector<Core::Endpoint>);
    void report(Fleet::LoadReport const&);
    bool isConnected() const { return hasView_; }

private:
    void onOpen(Net::FrameChannel&) override;
    void onFrame(Net::FrameChannel&, std::string_view) override;
    void onClosed(Net::FrameChannel&) override;

    void connect(Core::Endpoint const&);
    void connectLater(Core::Duration);
    void onHint(ControlHost::LeaderHint const&);
    Core::Endpoint nextCandidate();

    Net::EventLoop& loop_;
    Telemetry::EventLog& events_;
    EntryLinkHandler& handler_;
    std::string name_;
    std::vector<Core::Endpoint> seeds_;
    std::vector<Core::Endpoint> members_;
    std::size_t next_ { 0 };
    std::optional<Core::Endpoint> hinted_;
    std::unique_ptr<Net::FrameChannel> channel_;
    Core::Endpoint peer_;
    bool hasAnswer_ { false };
    bool hasView_ { false };
    Net::EventLoop::TimerId timer_;
};

} // namespace Gateway
