#include <LibGateway/EntryHost.h>
#include <LibGateway/Exchange.h>

#include <algorithm>

namespace Gateway {

using Telemetry::EventId;

namespace {

    constexpr Core::Duration reportInterval = std::chrono::milliseconds(500);
    /// Time until the load balancer has noticed that the host is not ready: it probes once a second and needs two
    /// failed probes.
    constexpr Core::Duration balancerDelay = std::chrono::milliseconds(2600);
    /// Longest time for which a stopping host accepts requests. The platform requires that a running request is waited
    /// for only if it was sent within 3 s. A load balancer may keep sending connections if no other host is ready.
    constexpr Core::Duration maxAcceptTime = std::chrono::milliseconds(2900);
    /// Requests are accepted in the first half of the grace, so that each of them has at least a third of it.
    constexpr int acceptDivisor = 2;
    constexpr Core::Duration stopCheckInterval = std::chrono::milliseconds(50);
    /// Every request is answered this long before the end of the grace, so that its answer has half a second to be
    /// transmitted over the host's network link.
    constexpr Core::Duration maxAnswerMargin = std::chrono::milliseconds(800);
    /// The answer margin is at most this fraction of the grace: the platform requires that a host waits for a running
    /// request until the last sixth of the grace.
    constexpr int answerMarginDivisor = 6;
    /// Reserved at the end of the grace, so that the process exits before it is killed.
    constexpr Core::Duration maxStopMargin = std::chrono::milliseconds(250);
    /// The stop margin is at most this fraction of the answer margin, so that with a short grace too the answers at the
    /// deadline precede the exit.
    constexpr int stopMarginDivisor = 3;

} // namespace

EntryHost::EntryHost(Net::EventLoop& loop, Telemetry::EventLog& events, Telemetry::Metrics& metrics,
    RequestCodec const& codec, EntryHostSettings settings)
    : loop_(loop)
    , events_(events)
    , settings_(std::move(settings))
    , gateway_(loop, events, metrics, codec, settings_.gateway)
    , leaderConnection_(loop, events, *this, settings_.name, settings_.controlHosts)
{
    gateway_.setReservationTransport(*this);
    gateway_.setQuotaTransport(*this);
    sendReport();
}

EntryHost::~EntryHost()
{
    loop_.cancel(reportTimer_);
    loop_.cancel(stopTimer_);
}

void EntryHost::onView(Fleet::ViewUpdate const& update) { gateway_.apply(update); }

void EntryHost::sendReport()
{
    reportTimer_ = loop_.after(reportInterval, [this] { sendReport(); });
    if (leaderConnection_.isConnected())
        gateway_.onLeaderContact();
    auto const report = gateway_.takeReport();
    if (!report.isEmpty() || report.itemRevision != reportedRevision_)
        leaderConnection_.report(report);
    reportedRevision_ = report.itemRevision;
    events_.reportSuppressed();
}

Core::Duration EntryHost::acceptTime() const { return std::min(maxAcceptTime, settings_.stopGrace / acceptDivisor); }

Core::Duration EntryHost::listenTime() const { return std::min(maxAcceptTime, settings_.stopGrace - answerMargin()); }

Core::Duration EntryHost::stopMargin() const { return std::min(maxStopMargin, answerMargin() / stopMarginDivisor); }

Core::Duration EntryHost::answerMargin() const
{
    return std::min(maxAnswerMargin, settings_.stopGrace / answerMarginDivisor);
}

void EntryHost::beginStop(Core::TimePoint requestedAt)
{
    if (std::exchange(isStopping_, true))
        return;
    stopBegan_ = requestedAt;
    events_.write(EventId::ProcessStopping, { { "connections", gateway_.connectionCount() } });
    gateway_.startDraining(stopBegan_ + settings_.stopGrace - answerMargin());
    continueStop();
}

void EntryHost::continueStop()
{
    auto const elapsed = loop_.now() - stopBegan_;
    if (elapsed >= acceptTime())
        gateway_.refuseRequests();
    if (elapsed >= listenTime())
        gateway_.stopListening();
    if (elapsed >= settings_.stopGrace - answerMargin())
        gateway_.refuseIncomplete();
    if (elapsed >= balancerDelay)
        gateway_.closeIdleConnections();
    auto const isDone = elapsed >= balancerDelay && gateway_.connectionCount() == 0;
    if (isDone || elapsed >= settings_.stopGrace - stopMargin()) {
        if (!isDone)
            events_.write(EventId::ShutdownGraceExceeded,
                { { "connections", gateway_.connectionCount() }, { "requests", gateway_.requestCount() } });
        gateway_.closeAll();
        loop_.stop();
        return;
    }
    stopTimer_ = loop_.after(stopCheckInterval, [this] { continueStop(); });
}

} // namespace Gateway
