#include "Daemon.h"

#include "RpcService.h"

#include <sys/stat.h>

#include <future>

namespace Daemon {

namespace {

    using Telemetry::EventId;

    /// Time in which the platform's load balancer notices that this host is not ready, before the listener closes.
    constexpr Core::Duration balancerNotice = std::chrono::seconds(1);
    constexpr Core::Duration transferLimit = std::chrono::seconds(2);
    /// A crash report is of use only while the request may still be sent elsewhere.
    constexpr Core::Duration crashReportLimit = std::chrono::seconds(5);
    constexpr Core::Duration crashReportTimeout = std::chrono::milliseconds(300);
    constexpr Core::Duration suppressedReportInterval = std::chrono::seconds(1);

    Telemetry::EventLogSettings logSettings(Config::DaemonSettings const& settings)
    {
        Telemetry::EventLogSettings result;
        result.level = static_cast<Telemetry::EventLevel>(settings.log.level);
        result.format = settings.log.format == Config::LogFormat::Json ? Telemetry::EventFormat::Json
                                                                       : Telemetry::EventFormat::KeyValue;
        result.file = settings.log.file;
        result.maxFileBytes = settings.log.maxFileBytes;
        result.keptFiles = settings.log.keptFiles;
        result.burst = settings.log.burst;
        result.burstInterval = settings.log.burstInterval;
        result.host = settings.host.name.value;
        return result;
    }

    Proxy::ServerSettings proxySettings(Config::DaemonSettings const& settings)
    {
        Proxy::ServerSettings result;
        result.listen = *settings.listen.caller;
        result.host = settings.host.name;
        result.maxConnections = settings.traffic.maxCallerConnections;
        result.maxHeadBytes = static_cast<std::uint32_t>(settings.traffic.maxHeaderBytes);
        result.callerIdleTimeout = settings.traffic.callerIdleTimeout;
        result.connectTimeout = settings.traffic.backendConnectTimeout;
        result.serverIdleTimeout = settings.traffic.backendIdleTimeout;
        result.provenConnectionAge = settings.traffic.probeFreshness;
        result.probeTimeout = settings.traffic.probeTimeout;
        result.maxAttempts = settings.dispatch.maxAttempts;
        return result;
    }

    Consensus::Configuration firstConfiguration(Config::DaemonSettings const& settings)
    {
        std::vector<Consensus::Member> voters;
        for (auto const& peer : settings.controlPeers)
            voters.push_back({ peer.name, peer.rpc });
        return Consensus::Configuration::ofVoters(std::move(voters));
    }

} // namespace

std::string describe(StartError const& error)
{
    return std::visit(
        Core::Overloaded {
            [](ListenerFailed const& e) { return "cannot listen on " + e.endpoint.toString(); },
            [](LogFailed const& e) { return "cannot write the log file " + e.path; },
            [](UsageFailed const& e) { return "cannot open the usage records in " + e.path; },
            [](Storage::StoreError const& e) { return "cannot open the data directory: " + Storage::describe(e); },
        },
        error);
}

Core::Result<std::unique_ptr<Daemon>, StartError> Daemon::start(
    Config::DaemonSettings const& settings, StartOptions options)
{
    std::unique_ptr<Daemon> daemon(new Daemon(settings));
    auto const opened = daemon->open(options);
    if (opened.isError())
        return opened.error();
    return daemon;
}

Daemon::Daemon(Config::DaemonSettings const& settings)
    : settings_(settings)
    , incarnation_ { static_cast<std::uint64_t>(Core::wallClockMilliseconds()) }
    , connections_(loop_)
    , metrics_({ settings.telemetry.maxLabelValues })
    , leader_(settings.controlPeers, connections_)
    , views_(settings.timing.guardTime)
{
}

Daemon::~Daemon()
{
    stopThread_.join();
    operatorServer_.reset();
    admin_.reset();
    if (proxy_)
        proxy_->stop();
    if (events_)
        events_->write(EventId::ProcessStopped);
}

Core::Result<Core::Void, StartError> Daemon::open(StartOptions options)
{
    TRY(openTelemetry());
    loop_.setFailureHandler([this](kj::Exception const& exception) {
        events_->write(EventId::PeerUnreachable, { { "detail", exception.getDescription().cStr() } });
    });
    loop_.every(suppressedReportInterval, [this] { events_->reportSuppressed(); });
    if (settings_.host.isControl)
        TRY(openControl(options));
    if (settings_.host.isEntry)
        TRY(openEntry());
    TRY(openListeners());
    events_->write(EventId::ProcessStarted,
        { { "entry", settings_.host.isEntry }, { "control", settings_.host.isControl },
            { "incarnation", incarnation_.value } });
    return Core::Void {};
}

Core::Result<Core::Void, StartError> Daemon::openTelemetry()
{
    auto log = Telemetry::EventLog::open(logSettings(settings_), clock_);
    if (log.isError())
        return LogFailed { log.error().path };
    events_ = std::move(log).value();

    if (!settings_.telemetry.spanFile.empty()) {
        Telemetry::SpanWriterSettings spans;
        spans.file = settings_.telemetry.spanFile;
        spans.maxFileBytes = settings_.telemetry.maxSpanFileBytes;
        spans.keptFiles = settings_.telemetry.keptSpanFiles;
        spans.maxQueuedSpans = settings_.telemetry.maxQueuedSpans;
        spans.host = settings_.host.name.value;
        auto writer = Telemetry::SpanWriter::open(std::move(spans));
        if (writer.isError())
            return LogFailed { writer.error().path };
        spans_ = std::move(writer).value();
    }
    if (settings_.host.dataDirectory.empty())
        return Core::Void {};

    mkdir(settings_.host.dataDirectory.c_str(), S_IRWXU);
    Telemetry::UsageAccountSettings usage;
    usage.store.folder = settings_.host.dataDirectory + "/usage";
    usage.store.compactAfterBytes = settings_.usage.compactAfterBytes;
    usage.store.retention = settings_.usage.retention;
    usage.host = settings_.host.name;
    usage.incarnation = incarnation_;
    usage.syncInterval = settings_.usage.syncInterval;
    usage.maxKeys = settings_.usage.maxNames;
    auto account = Telemetry::UsageAccount::open(usage);
    if (account.isError())
        return UsageFailed { usage.store.folder };
    usage_ = std::move(account).value();
    return Core::Void {};
}

Core::Result<Core::Void, StartError> Daemon::openControl(StartOptions options)
{
    disk_ = std::make_unique<Storage::RealDisk>(settings_.host.dataDirectory + "/log");
    Storage::StoreSettings const store { settings_.host.cluster, settings_.host.name,
        settings_.consensus.segmentBytes };
    if (options.bootstraps || options.joins) {
        auto const first = options.bootstraps ? Consensus::bootstrapState(firstConfiguration(settings_))
                                              : Consensus::RecoveredState {};
        auto const created = Storage::Store::create(*disk_, store, first);
        if (created.isError())
            return StartError(created.error());
    }
    auto opened = Storage::Store::open(*disk_, store);
    if (opened.isError())
        return StartError(std::move(opened).error());
    if (opened.value().report.tornBytes > 0)
        events_->write(EventId::LogTailTruncated, { { "bytes", opened.value().report.tornBytes } });
    control_ = std::make_unique<ControlNode>(
        settings_, ControlDependencies { loop_, connections_, *events_, metrics_ }, std::move(opened).value());
    return Core::Void {};
}

Core::Result<Core::Void, StartError> Daemon::openEntry()
{
    dispatch_ = std::make_unique<DispatchTable>(settings_.host.name, loop_, connections_, views_,
        [this](GroupId const& group, Policy::Action const& action) { onDispatchAction(group, action); });
    agent_ = std::make_unique<EntryAgent>(settings_,
        EntryDependencies { loop_, connections_, leader_, views_, *dispatch_, *events_, metrics_ }, incarnation_);
    orders_ = std::make_unique<RemoteOrderGate>(settings_.host.name, incarnation_, loop_, leader_);
    observer_ = std::make_unique<TelemetryObserver>(views_, *events_, metrics_, spans_.get(), usage_.get());
    proxy_ = std::make_unique<Proxy::Server>(
        proxySettings(settings_), Proxy::Collaborators { views_, *dispatch_, *orders_, *observer_, *agent_ });
    agent_->start([this] { return proxy_->slotsInFlight(); });
    if (usage_)
        usageReporter_ = std::make_unique<UsageReporter>(settings_, loop_, connections_, *usage_);
    auto const started = proxy_->start();
    if (started.isError())
        return StartError(ListenerFailed { started.error().endpoint });
    return Core::Void {};
}

Core::Result<Core::Void, StartError> Daemon::openListeners()
{
    auto service = kj::heap<RpcService>(
        settings_, loop_, *events_, RpcService::Roles { control_.get(), dispatch_.get(), usage_.get() });
    auto rpc = Rpc::Listener::open(loop_, settings_.listen.rpc, kj::mv(service));
    if (rpc.isError())
        return StartError(ListenerFailed { rpc.error().endpoint });
    rpc_ = std::move(rpc).value();

    if (control_ && settings_.listen.operatorApi) {
        operatorAdapter_ = std::make_unique<OperatorAdapter>(
            settings_, OperatorAdapter::Sources { loop_, connections_, *control_, usage_.get() });
        Operator::OperatorServerSettings server;
        server.listen = *settings_.listen.operatorApi;
        server.threads = settings_.threads.operatorThreads;
        server.onRequest = [this](std::string_view method, std::string_view path, int status, bool isForwarded) {
            events_->write(isForwarded ? EventId::OperatorRequestForwarded : EventId::OperatorRequestServed,
                { { "method", method }, { "path", path }, { "status", status } });
        };
        auto started = Operator::OperatorServer::start(std::move(server), *operatorAdapter_);
        if (started.isError())
            return StartError(ListenerFailed { started.error().endpoint });
        operatorServer_ = std::move(started).value();
    }
    if (settings_.listen.admin) {
        auto admin = AdminServer::start(*settings_.listen.admin, settings_.threads.adminThreads,
            { [this] { return isReady(); }, [this] { return exposition(); } });
        if (admin.isError())
            return StartError(ListenerFailed { admin.error().endpoint });
        admin_ = std::move(admin).value();
    }
    return Core::Void {};
}

bool Daemon::isReady() const { return !isStopping_ && (!proxy_ || views_.hasValidLease()); }

std::string Daemon::exposition()
{
    if (proxy_)
        metrics_.setCallerConnections(proxy_->counts().callerConnections);
    if (spans_)
        metrics_.setDroppedSpans(spans_->droppedSpans());
    if (dispatch_) {
        for (auto const& group : dispatch_->localGroups()) {
            metrics_.setQueueLength(group->id().pool, group->waiting());
            for (auto const& server : group->servers())
                metrics_.setInFlight(group->id().pool, server.server, server.inFlight, server.limit);
        }
    }
    return metrics_.exposition();
}

void Daemon::onDispatchAction(GroupId const& group, Policy::Action const& action)
{
    auto const giveUpAt = Core::BootClock::now() + crashReportLimit;
    if (auto const* crash = std::get_if<Policy::CrashSuspected>(&action)) {
        loop_.post([this, crash = *crash, giveUpAt] { reportCrash(crash.fingerprint, crash.server, false, giveUpAt); });
    } else if (auto const* cleared = std::get_if<Policy::SuspicionCleared>(&action)) {
        loop_.post([this, cleared = *cleared, giveUpAt] { reportCrash(cleared.fingerprint, {}, true, giveUpAt); });
    } else if (auto const* ejected = std::get_if<Policy::ServerEjected>(&action)) {
        metrics_.countEjection(group.pool, ejected->server);
        events_->write(EventId::BackendEjected, { { "pool", group.pool.value }, { "server", ejected->server.value } });
    } else if (auto const* reinstated = std::get_if<Policy::ServerReinstated>(&action)) {
        events_->write(
            EventId::BackendReinstated, { { "pool", group.pool.value }, { "server", reinstated->server.value } });
    }
}

void Daemon::reportCrash(
    Core::Digest const& fingerprint, Core::ServerName const& server, bool cleared, Core::TimePoint giveUpAt)
{
    if (Core::BootClock::now() >= giveUpAt)
        return;
    auto const from = leader_.endpoint();
    auto call = leader_.host().reportCrashRequest();
    auto digest = call.initFingerprint();
    digest.setHigh(fingerprint.high);
    digest.setLow(fingerprint.low);
    call.setServer(server.value);
    call.setCleared(cleared);
    auto sent = Rpc::withTimeout(loop_, crashReportTimeout, call.send().ignoreResult());
    loop_.detach(sent.then([] {},
        [this, fingerprint, server, cleared, giveUpAt, from](kj::Exception&&) {
            leader_.fail(from);
            reportCrash(fingerprint, server, cleared, giveUpAt);
        }));
}

void Daemon::requestStop()
{
    if (isStopping_.exchange(true)) {
        loop_.stop();
        return;
    }
    stopThread_.start([this] { stopGracefully(); });
}

void Daemon::stopGracefully()
{
    events_->write(EventId::ProcessStopping);
    if (proxy_) {
        std::this_thread::sleep_for(balancerNotice);
        if (!proxy_->drain(settings_.timing.shutdownGrace))
            events_->write(EventId::ShutdownGraceExceeded);
    }
    if (control_) {
        auto const done = std::make_shared<std::promise<void>>();
        auto finished = done->get_future();
        if (loop_.post([this, done] { control_->transferLeadership([done] { done->set_value(); }); }))
            finished.wait_for(transferLimit);
    }
    loop_.stop();
}

} // namespace Daemon
