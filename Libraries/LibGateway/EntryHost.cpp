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
    /// Time for which a stopping host accepts requests. Later ones would be cut off by the exit of the process: a load
    /// balancer may keep sending connections if no other host is ready.
    constexpr Core::Duration acceptTime = std::chrono::milliseconds(2900);
    constexpr Core::Duration stopCheckInterval = std::chrono::milliseconds(50);
    /// Every request is answered this long before the end of the grace, so that its answer has half a second to be
    /// transmitted over the host's network link.
    constexpr Core::Duration maxAnswerMargin = std::chrono::milliseconds(800);
    /// The answer margin is at most this fraction of the grace: the platform requires that a host waits for a running
    /// request until the last sixth of the grace.
    constexpr int answerMarginDivisor = 6;
    /// Reserved at the end of the grace, so that the process exits before it is killed.
    constexpr Core::Duration stopMargin = std::chrono::milliseconds(250);

} // namespace

EntryHost::EntryHost(Net::EventLoop& loop, Telemetry::EventLog& events, Telemetry::Metrics& metrics,
    RequestCodec const& codec, EntryHostSettings settings)
    : loop_(loop)
    , events_(events)
    , settings_(std::move(settings))
    , gateway_(loop, events, metrics, codec, settings_.gateway)
    , leaderConnection_(loop, events, *this, settings_.name, settings_.controlHosts)
{
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
    auto const report = gateway_.takeReport();
    if (!report.arrivals.empty() || !report.contacts.empty() || !report.suspicions.empty())
        leaderConnection_.report(report);
    events_.reportSuppressed();
}

Core::Duration EntryHost::answerMargin() const
{
    return std::min(maxAnswerMargin, settings_.stopGrace / answerMarginDivisor);
}

void EntryHost::beginStop()
{
    if (std::exchange(isStopping_, true))
        return;
    stopBegan_ = loop_.now();
    events_.write(EventId::ProcessStopping, { { "connections", gateway_.connectionCount() } });
    gateway_.startDraining(stopBegan_ + settings_.stopGrace - answerMargin());
    continueStop();
}

void EntryHost::continueStop()
{
    auto const elapsed = loop_.now() - stopBegan_;
    if (elapsed >= acceptTime)
        gateway_.stopAccepting();
    if (elapsed >= settings_.stopGrace - answerMargin())
        gateway_.refuseIncomplete();
    if (elapsed >= balancerDelay)
        gateway_.closeIdleConnections();
    auto const isDone = elapsed >= balancerDelay && gateway_.connectionCount() == 0;
    if (isDone || elapsed >= settings_.stopGrace - stopMargin) {
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
